"""Numbers on the command line."""

from cleo.commands.command import Command

from azureswitch.programs import parse_option
from azureswitch.settings import Integer, Seconds

MOST = 1_000_000_000
"""The greatest number that an option takes."""


def count(command: Command, option: str) -> int:
    """Return an option as a whole number.

    Raises:
        InvalidOptionError: It is missing or none.
    """
    return parse_option(command, option, Integer(low=0, high=MOST))


def seconds(command: Command, option: str) -> float:
    """Return an option as a duration in seconds.

    Raises:
        InvalidOptionError: It is missing or none.
    """
    return parse_option(command, option, Seconds())
