"""What all hosts have sent to each target and not seen end, from their own accounts."""

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import CallId, HostName, PlaceName, TargetName
from azureswitch.serving._digests import DomainTotals, Occupancy, TargetStart
from azureswitch.serving._starts import Starts, starts_by_target

PEER_SECONDS = 7.0
"""Seconds after which a peer's account says nothing any more.

In a large fleet a host hears a regular digest of each other one every 3.2 s; two may be missing.
"""

TOTALS_SECONDS = 10.0
"""Seconds after which the totals of another failure domain say nothing any more.

A host hears those of each of four others every 3.2 s on average, at random.
"""


class _Totals(Struct, frozen=True, kw_only=True):
    """What was told last of another failure domain.

    Attributes:
        at: When it was heard.
        occupancies: What all hosts have at its targets.
    """

    at: float
    occupancies: Mapping[TargetName, Occupancy]


class _Account(Struct, frozen=True, kw_only=True):
    """What one peer said last.

    Attributes:
        at: When it was heard.
        occupancies: What it has at targets.
        starts: Which starts of the targets it means, as far as it says so.
        counted: What of it is counted here.
    """

    at: float
    occupancies: tuple[Occupancy, ...]
    starts: Mapping[TargetName, int]
    counted: tuple[Occupancy, ...]


class Ledger:
    """The sum of this host's sends and of what its peers say of theirs.

    A send is told to the peers at once.  So two hosts choose the same idle engine only where they
    do so within a message's time, a millisecond or two, and need not wait for the engine's report,
    which is some hundred milliseconds late.

    What is said of another start of a target than the one known here is not counted.  What is said
    of a later one is kept until that is known here too.

    Args:
        starts: Which start of each target is known.
    """

    def __init__(self, *, starts: Starts) -> None:
        self._starts = starts
        self._entries: dict[tuple[CallId, int], tuple[Occupancy, ...]] = {}
        self._own: dict[TargetName, Occupancy] = {}
        self._accounts: dict[HostName, _Account] = {}
        self._peers: dict[TargetName, Occupancy] = {}
        self._domains: dict[PlaceName, _Totals] = {}
        self._changed = False
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether a send was entered since the peers were told last."""
        return self._begun

    @property
    def changed(self) -> bool:
        """Whether this host's account is not what its peers were told last."""
        return self._changed

    @property
    def accounts(self) -> int:
        """How many peers' accounts are known."""
        return len(self._accounts)

    def at(self, target: TargetName) -> Occupancy:
        """Return what all hosts have at a target.

        Of one in another failure domain of a large fleet it is at least what was told of it there,
        and at least what this host and its peers have there themselves.
        """
        accounted = self._accounted(target)
        told = self._totals_at(target)
        return accounted if told is None else _most(accounted, told)

    def _accounted(self, target: TargetName) -> Occupancy:
        """Return what this host and its peers have at a target, by their own accounts."""
        own = self._own.get(target)
        peers = self._peers.get(target)
        if own is None or peers is None:
            return own or peers or Occupancy(target=target)
        return _sum(own, peers)

    def _totals_at(self, target: TargetName) -> Occupancy | None:
        """Return what the hosts of another failure domain told of a target there."""
        for totals in self._domains.values():
            if target in totals.occupancies:
                return totals.occupancies[target]
        return None

    def totals(self, targets: Iterable[TargetName]) -> tuple[Occupancy, ...]:
        """Return what all hosts have at some targets; idle ones are left out."""
        found = map(self._accounted, targets)
        return tuple(item for item in found if not _is_idle(item))

    def hear_totals(self, totals: DomainTotals, *, now: float) -> None:
        """Replace what was told of another failure domain."""
        self._domains[totals.place] = _Totals(
            at=now, occupancies={item.target: item for item in totals.occupancies}
        )

    def add(self, *, call: CallId, attempt: int, occupancies: tuple[Occupancy, ...]) -> None:
        """Enter an attempt that is being sent."""
        self._entries[call, attempt] = occupancies
        self._begun = self._begun or bool(occupancies)
        self._apply(occupancies, sign=1)

    def read(self, *, call: CallId, attempt: int) -> None:
        """Note that the prompt of an attempt has been read."""
        entry = self._entries.get((call, attempt))
        if entry is None:
            return
        told = self._changed or any(item.reading for item in entry)
        self._apply(entry, sign=-1)
        written = tuple(_written(item) for item in entry)
        self._entries[call, attempt] = written
        self._apply(written, sign=1)
        self._changed = told

    def remove(self, *, call: CallId, attempt: int) -> None:
        """Strike out an attempt that has ended."""
        self._apply(self._entries.pop((call, attempt), ()), sign=-1)

    def tell(self) -> tuple[Occupancy, ...]:
        """Return this host's account for its peers; targets with nothing are left out.

        The reading of short prompts stays untold.  It takes 30 ms, and to tell of its end would be
        a third message for each request to each host.
        """
        self._changed = False
        self._begun = False
        told = (replace(item, short_reading=0.0) for item in self._own.values())
        return tuple(item for item in told if not _is_idle(item))

    def hear(
        self,
        *,
        host: HostName,
        occupancies: tuple[Occupancy, ...],
        now: float,
        starts: tuple[TargetStart, ...] = (),
    ) -> None:
        """Replace a peer's account.

        Args:
            host: The peer.
            occupancies: What it has at targets.
            now: The time.
            starts: Which starts of the targets it means.
        """
        named = starts_by_target(starts)
        counted = self._counted(occupancies, named)
        known = self._accounts.get(host)
        before = () if known is None else known.counted
        self._accounts[host] = _Account(
            at=now, occupancies=occupancies, starts=named, counted=counted
        )
        # Most of an account stands as it was told last.
        _add(self._peers, [item for item in before if item not in counted], sign=-1)
        _add(self._peers, [item for item in counted if item not in before], sign=1)

    def restart(self, targets: Collection[TargetName]) -> None:
        """Strike out what all hosts had at targets that have started again.

        What peers said without naming a start was said before, so that it goes too.
        """
        for key, entry in self._entries.items():
            self._entries[key] = _elsewhere(entry, targets)
        for target in targets:
            if self._own.pop(target, None) is not None:
                self._changed = True
        for host, account in self._accounts.items():
            left = tuple(
                item
                for item in account.occupancies
                if item.target not in targets or item.target in account.starts
            )
            self._accounts[host] = replace(account, occupancies=left)
        for place, totals in self._domains.items():
            kept = {name: o for name, o in totals.occupancies.items() if name not in targets}
            self._domains[place] = replace(totals, occupancies=kept)
        self.recount(targets)

    def recount(self, targets: Collection[TargetName]) -> None:
        """Count the peers' accounts of targets anew, as another start of them is known."""
        if not targets:
            return
        for target in targets:
            self._peers.pop(target, None)
        for host, account in self._accounts.items():
            counted = self._counted(account.occupancies, account.starts)
            self._accounts[host] = replace(account, counted=counted)
            _add(self._peers, (item for item in counted if item.target in targets), sign=1)

    def keep(self, hosts: Iterable[HostName]) -> None:
        """Forget the accounts of all hosts but these."""
        for host in self._accounts.keys() - set(hosts):
            self._forget(host)

    def expire(self, now: float) -> None:
        """Forget the accounts that are too old."""
        for host, account in list(self._accounts.items()):
            if now - account.at > PEER_SECONDS:
                self._forget(host)
        for place, totals in list(self._domains.items()):
            if now - totals.at > TOTALS_SECONDS:
                del self._domains[place]

    def _forget(self, host: HostName) -> None:
        account = self._accounts.pop(host, None)
        if account is not None:
            _add(self._peers, account.counted, sign=-1)

    def _counted(
        self, occupancies: tuple[Occupancy, ...], starts: Mapping[TargetName, int]
    ) -> tuple[Occupancy, ...]:
        """Return what a peer said of the starts known here."""
        if not starts:
            return occupancies
        holds = self._starts.holds
        return tuple([o for o in occupancies if holds(o.target, starts.get(o.target, 0))])

    def _apply(self, occupancies: tuple[Occupancy, ...], *, sign: int) -> None:
        if occupancies:
            _add(self._own, occupancies, sign=sign)
            self._changed = True


def _add(
    totals: dict[TargetName, Occupancy], occupancies: Iterable[Occupancy], *, sign: int
) -> None:
    for item in occupancies:
        known = totals.get(item.target, Occupancy(target=item.target))
        total = _sum(known, item, sign=sign)
        if _is_idle(total):
            # Dropping the entry also drops what rounding left of its sums.
            totals.pop(item.target, None)
        else:
            totals[item.target] = total


def _sum(first: Occupancy, second: Occupancy, *, sign: int = 1) -> Occupancy:
    reading = first.reading + sign * second.reading
    short_reading = first.short_reading + sign * second.short_reading
    return Occupancy(
        target=first.target,
        reading=reading if reading > 0.0 else 0.0,
        short_reading=short_reading if short_reading > 0.0 else 0.0,
        streams=first.streams + sign * second.streams,
        long_streams=first.long_streams + sign * second.long_streams,
        tokens=first.tokens + sign * second.tokens,
    )


def _most(first: Occupancy, second: Occupancy) -> Occupancy:
    return Occupancy(
        target=first.target,
        reading=max(first.reading, second.reading),
        short_reading=max(first.short_reading, second.short_reading),
        streams=max(first.streams, second.streams),
        long_streams=max(first.long_streams, second.long_streams),
        tokens=max(first.tokens, second.tokens),
    )


def _elsewhere(
    entry: tuple[Occupancy, ...], targets: Collection[TargetName]
) -> tuple[Occupancy, ...]:
    """Return what is left of an entry without some targets."""
    return tuple(item for item in entry if item.target not in targets)


def _written(item: Occupancy) -> Occupancy:
    """Return what is left of an entry once its prompt has been read."""
    return Occupancy(
        target=item.target,
        streams=item.streams,
        long_streams=item.long_streams,
        tokens=item.tokens,
    )


def _is_idle(item: Occupancy) -> bool:
    return not (
        item.streams
        or item.long_streams
        or item.tokens
        or item.reading > 1e-6
        or item.short_reading > 1e-6
    )
