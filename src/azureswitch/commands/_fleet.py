"""The fleet as its hosts and the store show it."""

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.commands._answers import PARTS, HostAnswer
from azureswitch.commands._evacuations import EvacuationReport, merge_evacuations
from azureswitch.commands._loads import EngineLoad
from azureswitch.commands._merging import TargetReport, merge_foreign, merge_targets
from azureswitch.commands._quarantines import merge_quarantines
from azureswitch.exceptions import StatusPartError
from azureswitch.inventory import Inventory
from azureswitch.status import ForeignCollection, HostStatus, MemberReport, QuarantineStatus

_TAKING_PART = frozenset({"alive", "suspect"})

_WITH_ATTEMPTS = frozenset({"alive", "suspect", "leaving"})
"""States in which a host may still have requests at targets."""


class UntoldPart(Struct, frozen=True, kw_only=True):
    """A part of a host's status that it does not tell while another host does.

    Attributes:
        host: The host.
        part: The part.
    """

    host: str
    part: str


class LostPaths(Struct, frozen=True, kw_only=True):
    """A host that does not reach all targets directly.

    Attributes:
        host: The host.
        reached: How many targets it reaches directly.
        targets: How many targets it knows.
        seconds: For how long it has not reached one of them, the longest.
    """

    host: str
    reached: int
    targets: int
    seconds: float


class FleetStatus(Struct, frozen=True, kw_only=True):
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
        targets: The targets that any host knows, or None where none tells.
        foreign: The collections of the store with foreign entries, or None where no host tells.
        evacuations: The evacuated places, by any host or by the newest revision.
        quarantines: What any host suspects or holds, as targets crashed under it.
        lost_paths: Hosts that do not reach all targets directly.
        untold: What some hosts do not tell while others do.
        unread: What hosts tell that cannot be read.
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
    targets: tuple[TargetReport, ...] | None = None
    foreign: tuple[ForeignCollection, ...] | None = None
    evacuations: tuple[EvacuationReport, ...] = ()
    quarantines: tuple[QuarantineStatus, ...] = ()
    lost_paths: tuple[LostPaths, ...] = ()
    untold: tuple[UntoldPart, ...] = ()
    unread: tuple[StatusPartError, ...] = ()

    @property
    def needs_attention(self) -> bool:
        """Whether anything is not as it should be."""
        suspects = any(member.status == "suspect" for member in self.members)
        missing = any(load.missing for load in self.loads)
        foreign = any(collection.total for collection in self.foreign or ())
        lists = self.silent or self.lagging or self.apart or self.unreadable or self.unread
        found = lists or self.lost_paths or self.quarantines or self.store_behind
        return bool(found or suspects or missing or foreign)


def assess(
    answers: Mapping[str, HostAnswer | None],
    *,
    head: int | None,
    loads: tuple[EngineLoad, ...] = (),
    inventory: Inventory | None = None,
) -> FleetStatus:
    """Put together what hosts say.

    Args:
        answers: What was answered at each operations address, None for nothing; one at least did.
        head: The newest accepted revision, or None where it is not known.
        loads: What engines say of their load.
        inventory: The inventory of the newest revision, or None where it is not known.

    Returns:
        The status of the fleet.
    """
    told = tuple(answer for answer in answers.values() if answer is not None)
    entries = tuple(answer.status for answer in told)
    members = _merged(entries)
    newest = max((head or 0, *(member.revision for member in members)))
    targets = [entry.targets for entry in entries if entry.targets is not None]
    foreign = [entry.foreign for entry in entries if entry.foreign is not None]
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
        targets=merge_targets(targets) if targets else None,
        foreign=merge_foreign(foreign) if foreign else None,
        evacuations=merge_evacuations(
            entries,
            inventory=inventory,
            live={member.host for member in members if member.status in _WITH_ATTEMPTS},
        ),
        quarantines=merge_quarantines(entries),
        lost_paths=tuple(_lost_paths(entries)),
        untold=tuple(_untold(told)),
        unread=tuple(error for answer in told for error in answer.unread),
    )


def _lost_paths(entries: Iterable[HostStatus]) -> Iterator[LostPaths]:
    for entry in entries:
        targets = entry.targets or ()
        lost = [target.path_lost for target in targets if target.path_lost is not None]
        if lost:
            yield LostPaths(
                host=entry.host,
                reached=len(targets) - len(lost),
                targets=len(targets),
                seconds=max(lost),
            )


def _untold(told: tuple[HostAnswer, ...]) -> Iterator[UntoldPart]:
    shown = [part for part in PARTS if any(answer.tells(part) for answer in told)]
    for answer in told:
        for part in shown:
            if answer.misses(part):
                yield UntoldPart(host=answer.status.host, part=part)


def _merged(entries: Iterable[HostStatus]) -> tuple[MemberReport, ...]:
    """Return each host once; what it says of itself goes before what others say."""
    members: dict[str, MemberReport] = {}
    for entry in entries:
        for member in entry.members:
            if member.host == entry.host:
                members[member.host] = replace(member, revision=entry.revision)
            else:
                members.setdefault(member.host, member)
    return tuple(members[host] for host in sorted(members))


def _apart(entries: tuple[HostStatus, ...]) -> tuple[str, ...]:
    known = [{member.host for member in entry.members} for entry in entries]
    hosts = {entry.host for entry in entries}
    return tuple(sorted(host for host in hosts if any(host not in names for names in known)))
