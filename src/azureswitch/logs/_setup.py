"""Connects absl's logger with JSON lines on standard output."""

import sys

from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from azureswitch.logs._stream import LineStream

FIELDS = ("created", "levelname", "message")
"""What each line has of the logging library's own."""

NAMES = {"created": "time", "levelname": "level"}
"""How these are called in a line; ``time`` is in seconds of the wall clock, which may jump."""


def start_logs(*, host: str) -> LineStream:
    """Write JSON lines to standard output from now on.

    Args:
        host: The name of this host, which each line has.

    Returns:
        The stream, which counts the lines that it had to drop.
    """
    # absl holds its level in a flag and warns until flags are read; these programs have none.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    stream = LineStream(descriptor=sys.stdout.fileno())
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    formatter = JsonFormatter(FIELDS, rename_fields=NAMES, static_fields={"host": host})
    handler.setFormatter(formatter)
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.FATAL)
    return stream
