"""The fleet as its hosts and the store show it."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from azureswitch.classes import dataclass
from azureswitch.commands._loads import EngineLoad

_TAKING_PART = frozenset({"alive", "suspect"})


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberReport:
    """One host as another one, or itself, knows it.

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
    unreadable: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The fleet as the hosts that were asked see it.

    Attributes:
        asked: The hosts that answered.
        silent: The operations addresses that did not answer.
        head: The newest accepted revision, or None where the store was not reached.
        store_behind: Whether hosts serve by a later revision than the store holds, as after the
            store was restored to an older state.
        members: All hosts that any of those asked knows.
        lagging: Live hosts on which an older revision is in force.
        apart: Hosts that answered and that another one that answered does not know.
        engines: The engines in force on the hosts asked.
        loads: What the engines of the newest revision say of their load, where that was asked for.
        unreadable: Hosts that answered and cannot read an accepted revision.
    """

    asked: tuple[str, ...]
    silent: tuple[str, ...]
    head: int | None
    store_behind: bool
    members: tuple[MemberReport, ...]
    lagging: tuple[str, ...]
    apart: tuple[str, ...]
    engines: tuple[str, ...]
    loads: tuple[EngineLoad, ...] = ()
    unreadable: tuple[str, ...] = ()

    @property
    def needs_attention(self) -> bool:
        """Whether anything is not as it should be."""
        suspects = any(member.status == "suspect" for member in self.members)
        missing = any(load.missing for load in self.loads)
        lists = self.silent or self.lagging or self.apart or self.unreadable
        return bool(lists or self.store_behind or suspects or missing)


def assess(
    answers: Mapping[str, EntryStatus | None],
    *,
    head: int | None,
    loads: tuple[EngineLoad, ...] = (),
) -> FleetStatus:
    """Put together what hosts say.

    Args:
        answers: What was answered at each operations address, None for nothing; one at least did.
        head: The newest accepted revision, or None where it is not known.
        loads: What engines say of their load.

    Returns:
        The status of the fleet.
    """
    entries = tuple(entry for entry in answers.values() if entry is not None)
    members = _merged(entries)
    newest = max(head or 0, *(member.revision for member in members))
    return FleetStatus(
        asked=tuple(entry.host for entry in entries),
        silent=tuple(address for address, entry in answers.items() if entry is None),
        head=head,
        store_behind=head is not None and head < newest,
        members=members,
        lagging=tuple(
            member.host
            for member in members
            if member.status in _TAKING_PART and member.revision < newest
        ),
        apart=_apart(entries),
        engines=tuple(sorted({engine for entry in entries for engine in entry.engines})),
        loads=loads,
        unreadable=tuple(entry.host for entry in entries if entry.unreadable),
    )


def _merged(entries: Iterable[EntryStatus]) -> tuple[MemberReport, ...]:
    """Return each host once; what it says of itself goes before what others say."""
    members: dict[str, MemberReport] = {}
    for entry in entries:
        for member in entry.members:
            if member.host == entry.host:
                members[member.host] = replace(member, revision=entry.revision)
            else:
                members.setdefault(member.host, member)
    return tuple(members[host] for host in sorted(members))


def _apart(entries: tuple[EntryStatus, ...]) -> tuple[str, ...]:
    known = [{member.host for member in entry.members} for entry in entries]
    hosts = {entry.host for entry in entries}
    return tuple(sorted(host for host in hosts if any(host not in names for names in known)))
