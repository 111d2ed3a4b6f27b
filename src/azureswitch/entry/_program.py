"""The daemon ``azureswitch-entry``."""

import asyncio
import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from pathlib import Path
from signal import SIGINT, SIGTERM

from absl import logging

from azureswitch.entry._server import EntryServer
from azureswitch.entry._settings import EntrySettings, LogLevel, read_settings
from azureswitch.exceptions import SettingsError

EXIT_OK = 0
EXIT_START = 1
"""An address could not be used."""
EXIT_SETTINGS = 2
"""The settings were refused."""

_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry host until SIGTERM or SIGINT.

    Args:
        arguments: The command line without the program's name, or None for the process's own.

    Returns:
        0 after a graceful stop, 1 where an address cannot be used, 2 where the settings are wrong.
    """
    parser = ArgumentParser(prog="azureswitch-entry", description="Runs one entry host.")
    parser.add_argument("--settings", type=Path, required=True, help="The settings file.")
    options = parser.parse_args(arguments)
    try:
        settings = read_settings(options.settings)
    except SettingsError as error:
        print(f"azureswitch-entry: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[settings.log_level])
    logging.set_stderrthreshold(logging.DEBUG)
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        print(f"azureswitch-entry: {error}", file=sys.stderr)
        return EXIT_START
    return EXIT_OK


async def _serve(settings: EntrySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = EntryServer(settings=settings)
    await server.start()
    await stop.wait()
    await server.stop(graceful=True)
