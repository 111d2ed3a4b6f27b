"""``azureswitch status``."""

from asyncio import gather
from collections.abc import Iterator
from http import HTTPStatus

from cleo.helpers import option
from msgspec import DecodeError, ValidationError, json

from azureswitch.client import HttpClient
from azureswitch.commands._base import OperatorCommand, outcome, text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._fleet import EntryStatus, FleetStatus, assess
from azureswitch.commands._loads import EngineLoad, read_loads
from azureswitch.commands._revisions import head_revision
from azureswitch.commands._tables import table
from azureswitch.exceptions import EntryUnreachableError, HttpError, StoreError
from azureswitch.inventory import TargetRole

STATUS_TIMEOUT = 2.0
"""Seconds that a host may take to answer."""

_HOST_HEADING = ("HOST", "PLACE", "ADDRESS", "STATUS", "REVISION", "NOTE")
_LOAD_HEADING = ("ENGINE", "PLACE", "ROLE", "RUNNING", "WAITING", "MEMORY", "NOTE")


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
    if report.loads:
        yield table(_LOAD_HEADING, map(_load_cells, report.loads))
    else:
        yield f"{len(report.engines)} engines in force: {', '.join(report.engines) or 'none'}."


def _host_note(host: str, report: FleetStatus) -> str:
    notes = {
        "lagging": report.lagging,
        "not known to all": report.apart,
        "cannot read the newest": report.unreadable,
    }
    return ", ".join(note for note, hosts in notes.items() if host in hosts)


def _load_cells(load: EngineLoad) -> tuple[object, ...]:
    target, report = load.target, load.report
    cells = (target.name, target.place, target.role.value)
    if report is None:
        return (*cells, "", "", "", "does not answer")
    memory = f"{report.memory_used / max(1, report.memory_total):.0%}"
    idle = not report.running and not report.waiting
    note = "empty" if idle and target.role is TargetRole.DRAINING else ""
    return (*cells, report.running, report.waiting, memory, note)


class StatusCommand(OperatorCommand):
    """Shows hosts, engines and revisions in force."""

    name = "status"
    description = "Show live and leaving hosts, engines, and the revision in force on each host."
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
        head, loads = await self._head()
        return assess(answers, head=head, loads=loads)

    async def _head(self) -> tuple[int | None, tuple[EngineLoad, ...]]:
        """Return the newest revision, if the store is reached, and its engines' load."""
        try:
            if not self.option("engines"):
                return await head_revision(self.store), ()
            head = await self.revisions.head()
        except StoreError:
            return None, ()
        loads = await read_loads(head.inventory.targets, self.engine)
        return head.revision, loads


async def _ask(client: HttpClient) -> EntryStatus | None:
    try:
        answer = await client.request(method="GET", path="/status", timeout=STATUS_TIMEOUT)
        if answer.head.status != HTTPStatus.OK:
            return None
        return json.decode(answer.body, type=EntryStatus)
    except (HttpError, DecodeError, ValidationError):
        return None
