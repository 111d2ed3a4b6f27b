"""Typed values on the command line."""

from typing import TypeVar

from cleo.commands.command import Command

from azureswitch.exceptions import InvalidOptionError
from azureswitch.settings import Kind

T = TypeVar("T")


def parse_option(command: Command, option: str, kind: Kind[T], *, default: T | None = None) -> T:
    """Return an option of any type.

    Args:
        command: The command that runs.
        option: The option's name.
        kind: Its type.
        default: The value where the option is not given, or None where it must be.

    Returns:
        The value.

    Raises:
        InvalidOptionError: It is missing or not of its type.
    """
    value = command.option(option)
    if value is None and default is not None:
        return default
    try:
        return kind.parse(value or "")
    except ValueError as error:
        raise InvalidOptionError(
            option=option, value=value or "", expected=kind.expected
        ) from error
