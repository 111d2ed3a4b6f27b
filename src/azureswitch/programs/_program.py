"""Programs, and how their command lines are run."""

import sys
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TypeVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Type

from azureswitch import __version__
from azureswitch.exceptions import CommandError, CommandLineError
from azureswitch.programs._options import parse_option
from azureswitch.settings import Kind

T = TypeVar("T")

EXIT_OK = 0
EXIT_USAGE = 2
"""The command line was refused, and nothing was done."""


class Program(Command, ABC):  # type: ignore[misc]
    """A command whose wrong options are refused by a sentence."""

    @abstractmethod
    def work(self) -> int:
        """Do what the program is for and return its exit code.

        Raises:
            CommandError: The command line is refused.
        """

    def handle(self) -> int:
        """Run the program and return its exit code."""
        try:
            return self.work()
        except CommandError as error:
            self.complain(error)
            return EXIT_USAGE

    def value(self, option: str, kind: Kind[T], *, default: T | None = None) -> T:
        """Return an option by its type, as `parse_option` does.

        Raises:
            InvalidOptionError: It is missing or not of its type.
        """
        return parse_option(self, option, kind, default=default)

    def complain(self, error: Exception) -> None:
        """Say on standard error what went wrong."""
        # RAW keeps cleo from reading angle brackets in data as its own markup.
        self.io.write_error_line(f"{self.application.name}: {error}", type=Type.RAW)


def run_program(program: Program, arguments: Sequence[str] | None = None) -> int:
    """Run a program of one command.

    Args:
        program: The command; its name is the program's.
        arguments: The command line without the program's name, or None for the process's own.

    Returns:
        The exit code: what the program returns, or 2 where the command line was refused.
    """
    application = Application(program.name, __version__)
    application.add(program)
    given = sys.argv[1:] if arguments is None else arguments
    return run_application(application, (program.name, *given))


def run_application(application: Application, arguments: Sequence[str] | None = None) -> int:
    """Run a program of several commands.

    Args:
        application: The program with its commands.
        arguments: The command line without the program's name, or None for the process's own.

    Returns:
        The exit code: what the command returns, or 2 where the command line was refused.
    """
    application.auto_exits(False)
    # cleo would end with the code 1 of whatever fails, and without the place where it did.
    application.catch_exceptions(False)
    given = sys.argv[1:] if arguments is None else arguments
    try:
        return int(application.run(ArgvInput([application.name, *given])))
    except CleoError as error:
        print(f"{application.name}: {CommandLineError(detail=str(error))}", file=sys.stderr)
        return EXIT_USAGE
