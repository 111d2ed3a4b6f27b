"""The unfinished attempts of all hosts at each target, by the hosts' own accounts."""

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import CallId, HostName, PlaceName, TargetName
from azureswitch.serving._digests import DomainTotals, Occupancy, TargetStart
from azureswitch.serving._starts import Starts, starts_by_target

PEER_SECONDS = 7.0
"""Seconds after which a peer's account expires.

In a large fleet a host receives a regular digest of each peer every 3.2 s; two may be lost.
"""

TOTALS_SECONDS = 10.0
"""Seconds after which the totals of another failure domain expire.

A host receives the totals of each of four other domains at random, every 3.2 s on average.
"""


class _Totals(Struct, frozen=True, kw_only=True):
    """The last totals received from another failure domain.

    Attributes:
        at: When they were received.
        occupancies: The load of all hosts at its targets.
    """

    at: float
    occupancies: Mapping[TargetName, Occupancy]


class _Account(Struct, frozen=True, kw_only=True):
    """The last account received from one peer.

    Attributes:
        at: When it was received.
        occupancies: The peer's load per target.
        starts: The starts of targets that it refers to; unknown ones are left out.
        counted: Those of its occupancies that refer to the starts known here.
    """

    at: float
    occupancies: tuple[Occupancy, ...]
    starts: Mapping[TargetName, int]
    counted: tuple[Occupancy, ...]


class Ledger:
    """The sum of this host's unfinished attempts and of those that its peers report.

    A host reports each attempt to its peers at once.  Two hosts therefore choose the same idle
    engine only if they do so within the transit time of a message, a millisecond or two, rather
    than within the delay of the engine's load report, some hundred milliseconds.

    An occupancy that refers to another start of a target than the one known here is not counted.
    One of a later start is kept, and counted as soon as that start is known here too.

    Args:
        starts: The known starts of targets.
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
        """Whether an attempt was added since the last digest."""
        return self._begun

    @property
    def changed(self) -> bool:
        """Whether this host's account has changed since the last digest."""
        return self._changed

    @property
    def accounts(self) -> int:
        """The number of peers whose accounts are known."""
        return len(self._accounts)

    def at(self, target: TargetName) -> Occupancy:
        """Return the load of all hosts at a target.

        For a target in another failure domain of a large fleet, each figure is the maximum of the
        totals received from there and of the sum of the accounts known here.
        """
        accounted = self._accounted(target)
        totals = self._totals_at(target)
        return accounted if totals is None else _maximum(accounted, totals)

    def _accounted(self, target: TargetName) -> Occupancy:
        """Return the load of this host and its peers at a target, by their accounts."""
        own = self._own.get(target)
        peers = self._peers.get(target)
        if own is None or peers is None:
            return own or peers or Occupancy(target=target)
        return _sum(own, peers)

    def _totals_at(self, target: TargetName) -> Occupancy | None:
        """Return the load of a target in the totals of another failure domain, if any."""
        for totals in self._domains.values():
            if target in totals.occupancies:
                return totals.occupancies[target]
        return None

    def totals(self, targets: Iterable[TargetName]) -> tuple[Occupancy, ...]:
        """Return the load of this host and its peers at some targets; idle ones are left out."""
        found = map(self._accounted, targets)
        return tuple(item for item in found if not _is_idle(item))

    def set_totals(self, totals: DomainTotals, *, now: float) -> None:
        """Replace the totals of another failure domain."""
        self._domains[totals.place] = _Totals(
            at=now, occupancies={item.target: item for item in totals.occupancies}
        )

    def add(self, *, call: CallId, attempt: int, occupancies: tuple[Occupancy, ...]) -> None:
        """Add an attempt that is being sent."""
        self._entries[call, attempt] = occupancies
        self._begun = self._begun or bool(occupancies)
        self._apply(occupancies, sign=1)

    def read(self, *, call: CallId, attempt: int) -> None:
        """Record that the prefill of an attempt has finished."""
        entry = self._entries.get((call, attempt))
        if entry is None:
            return
        changed = self._changed or any(item.reading for item in entry)
        self._apply(entry, sign=-1)
        remaining = tuple(_after_prefill(item) for item in entry)
        self._entries[call, attempt] = remaining
        self._apply(remaining, sign=1)
        self._changed = changed

    def remove(self, *, call: CallId, attempt: int) -> None:
        """Remove an attempt that has ended."""
        self._apply(self._entries.pop((call, attempt), ()), sign=-1)

    def collect_account(self) -> tuple[Occupancy, ...]:
        """Return this host's account for its peers; idle targets are left out.

        The prefill of short prompts is not reported.  It takes 30 ms, and reporting its end would
        cost a third message per request and host.
        """
        self._changed = False
        self._begun = False
        reported = (replace(item, short_reading=0.0) for item in self._own.values())
        return tuple(item for item in reported if not _is_idle(item))

    def set_account(
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
            occupancies: The peer's load per target.
            now: The time.
            starts: The starts of targets that it refers to.
        """
        named = starts_by_target(starts)
        counted = self._matching(occupancies, named)
        known = self._accounts.get(host)
        before = () if known is None else known.counted
        self._accounts[host] = _Account(
            at=now, occupancies=occupancies, starts=named, counted=counted
        )
        # Most entries of an account are unchanged since the last digest.
        _add(self._peers, [item for item in before if item not in counted], sign=-1)
        _add(self._peers, [item for item in counted if item not in before], sign=1)

    def restart(self, targets: Collection[TargetName]) -> None:
        """Remove the load of all hosts at targets that have restarted.

        Peers' entries without a start are removed as well, as they date from before the restart.
        """
        for key, entry in self._entries.items():
            self._entries[key] = _without(entry, targets)
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
        """Recompute the peers' load at targets whose known start has changed."""
        if not targets:
            return
        for target in targets:
            self._peers.pop(target, None)
        for host, account in self._accounts.items():
            counted = self._matching(account.occupancies, account.starts)
            self._accounts[host] = replace(account, counted=counted)
            _add(self._peers, (item for item in counted if item.target in targets), sign=1)

    def keep(self, hosts: Iterable[HostName]) -> None:
        """Forget the accounts of all hosts but these."""
        for host in self._accounts.keys() - set(hosts):
            self._forget(host)

    def expire(self, now: float) -> None:
        """Forget the accounts and totals that have expired."""
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

    def _matching(
        self, occupancies: tuple[Occupancy, ...], starts: Mapping[TargetName, int]
    ) -> tuple[Occupancy, ...]:
        """Return the occupancies that refer to the starts known here, or to unknown ones."""
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
            # Removing the entry also discards the rounding errors in its sums.
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


def _maximum(first: Occupancy, second: Occupancy) -> Occupancy:
    return Occupancy(
        target=first.target,
        reading=max(first.reading, second.reading),
        short_reading=max(first.short_reading, second.short_reading),
        streams=max(first.streams, second.streams),
        long_streams=max(first.long_streams, second.long_streams),
        tokens=max(first.tokens, second.tokens),
    )


def _without(
    entry: tuple[Occupancy, ...], targets: Collection[TargetName]
) -> tuple[Occupancy, ...]:
    """Return the occupancies of an entry at all but some targets."""
    return tuple(item for item in entry if item.target not in targets)


def _after_prefill(item: Occupancy) -> Occupancy:
    """Return an occupancy without its prefill."""
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
