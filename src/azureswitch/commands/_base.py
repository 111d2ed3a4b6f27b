"""What all commands share: options, output, errors and exit codes."""

from abc import ABC, abstractmethod
from asyncio import run
from collections.abc import Callable, Mapping
from functools import singledispatch
from typing import Protocol, TypeVar, runtime_checkable

from absl import logging
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type
from msgspec import Struct, json

from azureswitch.client import HttpClient
from azureswitch.commands._exits import ExitCode, exit_code
from azureswitch.commands._loads import EngineFactory
from azureswitch.commands._revisions import Revisions
from azureswitch.commands._settings import AUTHOR_KIND, OperatorSettings, read_settings
from azureswitch.engines import HttpEngine
from azureswitch.exceptions import AzureswitchError, ChangeOutcomeUnknownError
from azureswitch.inventory import Target
from azureswitch.platform import HttpStore
from azureswitch.ports import Engine, Store
from azureswitch.programs import parse_option

T = TypeVar("T")


@runtime_checkable
class Closable(Protocol):
    """What has connections to close."""

    def close(self) -> None:
        """Close idle connections."""


class Connections(Struct, frozen=True, kw_only=True):
    """How commands reach the platform and the hosts; tests put fakes in their place.

    Attributes:
        store: Makes the port to the object store at an address.
        operations: Makes the client of an entry host's operations address.
        engine: Makes the port of an engine.
        patience: Seconds for which a change is tried while the store gives no clear answer.
    """

    store: Callable[[str], Store] = lambda address: HttpStore(address=address)
    operations: Callable[[str], HttpClient] = lambda address: HttpClient(address=address)
    engine: EngineFactory = lambda target: HttpEngine(target=target.name, address=target.address)
    patience: float = 10.0


class Failure(Struct, frozen=True, kw_only=True):
    """A failure as programs read it.

    Attributes:
        error: The stable name of the failure.
        message: One sentence.
        ran: Whether a change may have taken effect: ``not_run`` says that it did not.
        details: The fields of the failure.
    """

    error: str
    message: str
    ran: str
    details: AzureswitchError


@singledispatch
def text(report: object) -> str:
    """Return a report for people; each type of report registers its own."""
    return str(report)


@singledispatch
def outcome(report: object) -> ExitCode:
    """Return the exit code that goes with a report."""
    return ExitCode.DONE


def failure(error: AzureswitchError) -> Failure:
    """Return a failure as programs read it."""
    return Failure(
        error=error.code,
        message=error.message,
        ran=error.ran.value,
        details=error,
    )


def encoded(report: object) -> str:
    """Return a report as JSON."""
    return json.encode(report, enc_hook=_fields_of).decode()


def _fields_of(value: object) -> Mapping[str, object]:
    """Return what stands for an error in a report: its fields."""
    if isinstance(value, AzureswitchError):
        return value.fields
    raise NotImplementedError(type(value))


class OperatorCommand(Command, ABC):  # type: ignore[misc]
    """One command: it makes a report, which is shown as a table or as JSON."""

    options = [  # noqa: RUF012 - cleo's own way to declare them.
        option("json", description="Print JSON for programs."),
        option("settings", "s", description="The settings file.", flag=False),
        option("author", description="Who makes the change, for the audit trail.", flag=False),
    ]

    def __init__(self, *, connections: Connections) -> None:
        self._connections = connections
        self._opened: list[object] = []
        super().__init__()

    @property
    def settings(self) -> OperatorSettings:
        """The settings that the command line names."""
        return read_settings(self.option("settings"))

    @property
    def author(self) -> str:
        """Who makes a change."""
        if self.option("author") is None:
            return self.settings.author
        return parse_option(self, "author", AUTHOR_KIND)

    @property
    def store(self) -> Store:
        """The platform's object store."""
        return self._open(self._connections.store(str(self.settings.store)))

    @property
    def revisions(self) -> Revisions:
        """The accepted configurations."""
        return Revisions(store=self.store, patience=self._connections.patience)

    def engine(self, target: Target) -> Engine:
        """Return the port of an engine."""
        return self._open(self._connections.engine(target))

    def entry(self, address: str) -> HttpClient:
        """Return the client of an entry host's operations address."""
        return self._open(self._connections.operations(address))

    @abstractmethod
    async def report(self) -> object:
        """Do what the command is for and return its report, a data class.

        Raises:
            AzureswitchError: It failed.
        """

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            report = run(self._run())
        except AzureswitchError as error:
            self._show_failure(error)
            return exit_code(error)
        except Exception:
            # cleo would end with the code of a wrong command line, after which nothing was done.
            logging.exception("commands: %s failed.", self.name)
            self._show_failure(AzureswitchError())
            return ExitCode.INTERNAL
        self._show(encoded(report) if self.option("json") else text(report))
        return outcome(report)

    async def _run(self) -> object:
        try:
            return await self.report()
        finally:
            for item in self._opened:
                if isinstance(item, Closable):
                    item.close()
            self._opened.clear()

    def _open(self, item: T) -> T:
        """Note a connection that is to be closed when the command ends."""
        self._opened.append(item)
        return item

    def _show(self, content: str) -> None:
        # RAW keeps cleo from reading angle brackets in data as its own markup.
        self.io.write_line(content, type=Type.RAW)

    def _show_failure(self, error: AzureswitchError) -> None:
        if self.option("json"):
            self._show(encoded(failure(error)))
        else:
            self.io.write_error_line(failure_text(error), type=Type.RAW)


@singledispatch
def failure_text(error: AzureswitchError) -> str:
    """Return a failure for people; types that need more than a sentence register their own."""
    return f"{error.code}: {error.message}"


@failure_text.register
def _(error: ChangeOutcomeUnknownError) -> str:
    again = f"--base {error.base} --change {error.change}"
    return f"{error.code}: {error.message} Run the same command again with {again}."
