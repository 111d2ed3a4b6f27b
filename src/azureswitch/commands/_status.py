"""``azureswitch status``."""

from asyncio import gather
from collections.abc import Iterator
from http import HTTPStatus

from cleo.helpers import option

from azureswitch.client import HttpClient
from azureswitch.commands._answers import HostAnswer, read_answer
from azureswitch.commands._base import OperatorCommand, failure_text, outcome, text
from azureswitch.commands._evacuations import evacuation_text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._fleet import FleetStatus, assess
from azureswitch.commands._loads import EngineLoad, read_loads
from azureswitch.commands._merging import TargetReport
from azureswitch.commands._quarantines import quarantine_text
from azureswitch.commands._revisions import EMPTY
from azureswitch.commands._tables import table
from azureswitch.commands._times import start_text
from azureswitch.decoding import UNDECODED
from azureswitch.exceptions import (
    EntryUnreachableError,
    HttpError,
    RevisionNotFoundError,
    SnapshotUnreadableError,
    StoreError,
)
from azureswitch.inventory import Inventory, TargetRole
from azureswitch.status import STATUS_PATH, ForeignCollection
from azureswitch.texts import printable

STATUS_TIMEOUT = 2.0
"""Seconds that a host may take to answer."""

_HOST_HEADING = ("HOST", "PLACE", "ADDRESS", "STATUS", "REVISION", "NOTE")
_LOAD_HEADING = ("ENGINE", "PLACE", "ROLE", "STARTED", "RUNNING", "WAITING", "MEMORY", "NOTE")
_TARGET_HEADING = ("TARGET", "PLACE", "STATE", "STARTED", "NOTE")
_FOREIGN_HEADING = ("COLLECTION", "NAME", "VERSION", "FAULT", "WHAT IS WRONG")

TARGET_ROWS = 40
"""Targets that are shown to people, those that started last; programs are told all."""

FOREIGN_ROWS = 40
"""Foreign entries that are shown to people; programs are told all that the hosts list."""


@text.register
def _(report: FleetStatus) -> str:
    return "\n\n".join(_parts(report))


@outcome.register
def _(report: FleetStatus) -> ExitCode:
    return ExitCode.ATTENTION if report.needs_attention else ExitCode.DONE


def _parts(report: FleetStatus) -> Iterator[str]:
    head = "not known, as the store was not reached" if report.head is None else report.head
    yield f"Asked {', '.join(report.asked)}. Newest accepted revision: {head}."
    if report.silent:
        yield f"Nothing answers at {', '.join(report.silent)}."
    if report.store_behind:
        yield "The store is behind: hosts serve by a later revision than it holds."
    rows = (
        (m.host, m.place, m.address, m.status, m.revision, _host_note(m.host, report))
        for m in report.members
    )
    yield table(_HOST_HEADING, rows)
    if report.evacuations:
        yield evacuation_text(report.evacuations)
    if report.quarantines:
        yield quarantine_text(report.quarantines)
    if report.loads:
        yield table(_LOAD_HEADING, map(_load_cells, report.loads))
    elif report.targets is None:
        yield f"{len(report.engines)} engines in force: {', '.join(report.engines) or 'none'}."
    if report.targets is not None:
        yield from _target_parts(report.targets)
    if report.foreign is not None:
        yield from _foreign_parts(report.foreign)
    for missing in report.untold:
        yield printable(
            f"{missing.host} does not tell {missing.part}, as is usual of an older version."
        )
    for error in report.unread:
        yield printable(failure_text(error))


def _host_note(host: str, report: FleetStatus) -> str:
    notes = {
        "lagging": report.lagging,
        "not known to all": report.apart,
        "cannot read the newest": report.unreadable,
    }
    found = [note for note, hosts in notes.items() if host in hosts]
    found += [
        f"reaches {lost.reached} of {lost.targets} targets directly (for {lost.seconds:.0f} s)"
        for lost in report.lost_paths
        if lost.host == host
    ]
    return ", ".join(found)


def _target_parts(targets: tuple[TargetReport, ...]) -> Iterator[str]:
    yield table(_TARGET_HEADING, map(_target_cells, targets[:TARGET_ROWS]))
    if len(targets) > TARGET_ROWS:
        yield f"{len(targets) - TARGET_ROWS} more targets started earlier; --json shows them."


def _target_cells(target: TargetReport) -> tuple[object, ...]:
    notes = ["hosts know other starts"] if target.apart else []
    if target.limit is not None:
        notes.append(f"takes {target.limit:g} requests a second")
    if target.cold is not None:
        notes.append(f"cold for {target.cold:.1f} s more")
    started = start_text(target.started)
    return (target.name, target.place, target.state, started, ", ".join(notes))


def _foreign_parts(collections: tuple[ForeignCollection, ...]) -> Iterator[str]:
    total = sum(collection.total for collection in collections)
    if not total:
        yield "No foreign entries in the store."
        return
    unnamed = sum(collection.unnamed for collection in collections)
    note = f" ({unnamed} without a name)" if unnamed else ""
    yield f"{total} foreign entries in the store{note}:"
    rows = tuple(
        (collection.collection, entry.name, entry.version, entry.fault, entry.detail)
        for collection in collections
        for entry in collection.entries
    )
    if rows:
        yield table(_FOREIGN_HEADING, rows[:FOREIGN_ROWS])
    more = total - unnamed - min(len(rows), FOREIGN_ROWS)
    if more > 0:
        yield f"{more} more foreign entries; azureswitch_foreign_entries counts them by fault."


def _load_cells(load: EngineLoad) -> tuple[object, ...]:
    target, report = load.target, load.report
    cells = (target.name, target.place, target.role.value)
    if report is None:
        return (*cells, "", "", "", "", "does not answer")
    memory = f"{report.memory_used / max(1, report.memory_total):.0%}"
    idle = not report.running and not report.waiting
    note = "empty" if idle and target.role is TargetRole.DRAINING else ""
    started = start_text(report.started)
    return (*cells, started, report.running, report.waiting, memory, note)


class StatusCommand(OperatorCommand):
    """Shows hosts, targets, revisions in force, evacuations and foreign entries."""

    name = "status"
    description = "Show hosts and their revision, targets and their start, and foreign entries."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *OperatorCommand.options,
        option("engines", "e", description="Ask each engine for its load."),
    ]

    async def report(self) -> FleetStatus:
        """Ask the entry hosts of the settings, and the store.

        Raises:
            EntryUnreachableError: No host answered.
        """
        addresses = tuple(str(address) for address in self.settings.operations)
        clients = (self.entry(address) for address in addresses)
        answers = dict(zip(addresses, await gather(*map(_ask, clients)), strict=True))
        if not any(answers.values()):
            raise EntryUnreachableError(addresses=", ".join(addresses))
        head, inventory = await self._head()
        targets = inventory.targets if inventory and self.option("engines") else ()
        loads = await read_loads(targets, self.engine)
        return assess(answers, head=head, loads=loads, inventory=inventory)

    async def _head(self) -> tuple[int | None, Inventory | None]:
        """Return the newest revision and its inventory, each None if it is unavailable."""
        revisions = self.revisions
        entry = None
        try:
            entry = await revisions.changes.head()
            if entry is None:
                return EMPTY.revision, None
            return entry.revision, (await revisions.snapshot(entry)).inventory
        except StoreError:
            return entry.revision if entry else None, None
        except (RevisionNotFoundError, SnapshotUnreadableError):
            # The hosts' reports need no inventory, but engines are found only through it.
            if entry is None or self.option("engines"):
                raise
            return entry.revision, None


async def _ask(client: HttpClient) -> HostAnswer | None:
    try:
        answer = await client.request(method="GET", path=STATUS_PATH, timeout=STATUS_TIMEOUT)
        if answer.head.status != HTTPStatus.OK:
            return None
        return read_answer(answer.body)
    except (HttpError, *UNDECODED):
        return None
