"""Typed values on the command line."""

from typing import TypeVar

from cleo.commands.command import Command

from azureswitch.exceptions import InvalidOptionError
from azureswitch.settings import Integer, Kind, Seconds

T = TypeVar("T")

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


def parse_option(command: Command, option: str, kind: Kind[T]) -> T:
    """Return an option of any type.

    Raises:
        InvalidOptionError: It is missing or not of its type.
    """
    value = command.option(option)
    try:
        return kind.parse(value or "")
    except ValueError as error:
        raise InvalidOptionError(
            option=option, value=value or "", expected=kind.expected
        ) from error
