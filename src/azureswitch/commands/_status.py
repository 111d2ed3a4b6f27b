"""``azureswitch status``."""

from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

from cleo.helpers import option
from msgspec import DecodeError, ValidationError, json

from azureswitch.client import HttpClient
from azureswitch.commands._base import OperatorCommand, outcome, text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._loads import EngineLoad, read_loads
from azureswitch.commands._revisions import head_revision
from azureswitch.commands._tables import table
from azureswitch.exceptions import EntryUnreachableError, HttpError, StoreError
from azureswitch.inventory import TargetRole

STATUS_TIMEOUT = 2.0
"""Seconds that a host may take to answer."""

_TAKING_PART = frozenset({"alive", "suspect"})


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberReport:
    """One host as the asked one knows it.

    Attributes:
        host: Its name.
        place: Its failure domain.
        address: Where other hosts reach it.
        status: ``alive``, ``suspect``, ``leaving`` or ``dead``.
        revision: The revision in force on it; zero for none.
        started: When its process started, in milliseconds of the wall clock.
    """

    host: str
    place: str
    address: str
    status: str
    revision: int
    started: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStatus:
    """What an entry host's ``/status`` says."""

    host: str
    place: str
    revision: int
    leaving: bool
    open_calls: int
    members: tuple[MemberReport, ...]
    engines: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The fleet as one entry host sees it.

    Attributes:
        asked: The operations address that answered.
        head: The newest accepted revision, or None where the store was not reached.
        store_behind: Whether hosts serve by a later revision than the store holds, as after the
            store was restored to an older state.
        lagging: Live hosts on which an older revision is in force.
        entry: What the asked host says.
        loads: What the engines of the newest revision say of their load, where that was asked for.
    """

    asked: str
    head: int | None
    store_behind: bool
    lagging: tuple[str, ...]
    entry: EntryStatus
    loads: tuple[EngineLoad, ...] = ()


@text.register
def _(report: FleetStatus) -> str:
    return "\n\n".join(_parts(report))


@outcome.register
def _(report: FleetStatus) -> ExitCode:
    suspects = any(member.status == "suspect" for member in report.entry.members)
    silent = any(load.missing for load in report.loads)
    wrong = report.store_behind or report.lagging or suspects or silent
    return ExitCode.ATTENTION if wrong else ExitCode.DONE


def _parts(report: FleetStatus) -> Iterator[str]:
    entry = report.entry
    head = "not known, as the store was not reached" if report.head is None else report.head
    yield f"Asked {entry.host} at {report.asked}. Newest accepted revision: {head}."
    if report.store_behind:
        yield "The store is behind: hosts serve by a later revision than it holds."
    heading = ("HOST", "PLACE", "ADDRESS", "STATUS", "REVISION", "NOTE")
    members = sorted(entry.members, key=lambda member: member.host)
    rows = (
        (m.host, m.place, m.address, m.status, m.revision, _mark(m.host, report)) for m in members
    )
    yield table(heading, rows)
    if report.loads:
        yield table(_LOAD_HEADING, map(_load_cells, report.loads))
    else:
        yield f"{len(entry.engines)} engines in force: {', '.join(entry.engines) or 'none'}."


_LOAD_HEADING = ("ENGINE", "PLACE", "ROLE", "RUNNING", "WAITING", "MEMORY", "NOTE")


def _load_cells(load: EngineLoad) -> tuple[object, ...]:
    target, report = load.target, load.report
    cells = (target.name, target.place, target.role.value)
    if report is None:
        return (*cells, "", "", "", "does not answer")
    memory = f"{report.memory_used / max(1, report.memory_total):.0%}"
    idle = not report.running and not report.waiting
    note = "empty" if idle and target.role is TargetRole.DRAINING else ""
    return (*cells, report.running, report.waiting, memory, note)


def _mark(host: str, report: FleetStatus) -> str:
    return "lagging" if host in report.lagging else ""


class StatusCommand(OperatorCommand):
    """Shows hosts, engines and revisions in force."""

    name = "status"
    description = "Show live and leaving hosts, engines, and the revision in force on each host."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *OperatorCommand.options,
        option("engines", "e", description="Ask each engine for its load."),
    ]

    async def report(self) -> FleetStatus:
        """Ask the first entry host that answers.

        Raises:
            EntryUnreachableError: None answered.
        """
        addresses = tuple(str(address) for address in self.settings.operations)
        for address in addresses:
            entry = await _ask(self._connections.operations(address))
            if entry is not None:
                return await self._fleet(address, entry)
        raise EntryUnreachableError(addresses=", ".join(addresses))

    async def _fleet(self, asked: str, entry: EntryStatus) -> FleetStatus:
        head, loads = await self._head()
        newest = max(head or 0, *(member.revision for member in entry.members), entry.revision)
        lagging = tuple(
            sorted(
                member.host
                for member in entry.members
                if member.status in _TAKING_PART and member.revision < newest
            )
        )
        return FleetStatus(
            asked=asked,
            head=head,
            store_behind=head is not None and head < newest,
            lagging=lagging,
            entry=entry,
            loads=loads,
        )

    async def _head(self) -> tuple[int | None, tuple[EngineLoad, ...]]:
        """Return the newest revision, if the store is reached, and its engines' load."""
        try:
            if not self.option("engines"):
                return await head_revision(self.store), ()
            head = await self.revisions.head()
        except StoreError:
            return None, ()
        loads = await read_loads(head.inventory.targets, self._connections.engine)
        return head.revision, loads


async def _ask(client: HttpClient) -> EntryStatus | None:
    try:
        answer = await client.request(method="GET", path="/status", timeout=STATUS_TIMEOUT)
        if answer.head.status != HTTPStatus.OK:
            return None
        return json.decode(answer.body, type=EntryStatus)
    except (HttpError, DecodeError, ValidationError):
        return None
    finally:
        client.close()
