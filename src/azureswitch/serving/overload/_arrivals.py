"""The rate at which calls of each rank arrive, at this host and at its peers.

It responds to the load that callers ask for, whether it is served or not.
"""

from collections.abc import Iterable
from math import exp

from msgspec import Struct

from azureswitch.core import HostName, ServiceName
from azureswitch.serving._digests import RankArrivals
from azureswitch.serving._events import Call, Rank

RATE_SECONDS = 1.0
"""Time constant of an arrival rate.

Shorter ones make the rate of a rank with few calls jump; a burst counts by two thirds within it.
"""

MIN_RATE = 0.01
"""Calls per second below which a rank is left out: one in 5 s, as the rate decays with the time."""


class Demand(Struct, frozen=True, kw_only=True):
    """What the calls of one rank need, of customers above or below their share.

    Attributes:
        rank: The rank.
        above: Whether they are of customers who have used more than their share.
        rate: Arrivals per second.
        objective: Mean objective for the first output in seconds.
        work: Mean seconds of prefill or of plain service, weighted by themselves, as the credit of
            a call is.
    """

    rank: Rank
    above: bool = False
    rate: float
    objective: float
    work: float

    @property
    def calls(self) -> float:
        """Expected arrivals within the objective."""
        return self.rate * self.objective


class _Flow(Struct, kw_only=True):
    """Decaying sums over the arrivals of one rank at this host."""

    at: float
    rate: float = 0.0
    objective: float = 0.0
    work: float = 0.0
    squares: float = 0.0

    def decay(self, now: float) -> None:
        factor = exp(-max(0.0, now - self.at) / RATE_SECONDS)
        self.at = max(self.at, now)
        self.rate *= factor
        self.objective *= factor
        self.work *= factor
        self.squares *= factor


class _Report(Struct, frozen=True, kw_only=True):
    """The last arrival rates received from a peer."""

    at: float
    arrivals: tuple[RankArrivals, ...]


class Arrivals:
    """Arrival rates by service and rank, shared among hosts by digests.

    Args:
        max_age: Seconds after which a peer's report is not used any more.
    """

    def __init__(self, *, max_age: float) -> None:
        self._max_age = max_age
        self.changed = False
        self._flows: dict[tuple[ServiceName, Rank, bool], _Flow] = {}
        self._peers: dict[HostName, _Report] = {}

    def record(self, call: Call, *, work: float, above: bool = False, now: float) -> None:
        """Record that a call arrived here.

        Args:
            call: The call.
            work: Its seconds of prefill or of plain service.
            above: Whether its customer has used more than its share.
            now: The time.
        """
        flow = self._flows.setdefault((call.service, call.rank, above), _Flow(at=now))
        flow.decay(now)
        self.changed = True
        flow.rate += 1.0 / RATE_SECONDS
        flow.objective += call.objective / RATE_SECONDS
        flow.work += work / RATE_SECONDS
        flow.squares += work * work / RATE_SECONDS

    def reports(self, *, now: float) -> tuple[RankArrivals, ...]:
        """Return the rates for the next digest, and forget ranks without calls."""
        for key, flow in list(self._flows.items()):
            flow.decay(now)
            if flow.rate < MIN_RATE:
                del self._flows[key]
        return tuple(
            RankArrivals(
                service=service,
                customer=rank.customer,
                route=rank.route,
                above=above,
                rate=flow.rate,
                objective=flow.objective / flow.rate,
                work=flow.squares / flow.work if flow.work else 0.0,
            )
            for (service, rank, above), flow in self._flows.items()
        )

    def apply(self, host: HostName, arrivals: tuple[RankArrivals, ...], *, now: float) -> None:
        """Replace what a peer has reported."""
        self._peers[host] = _Report(at=now, arrivals=arrivals)

    def forget(self, now: float) -> None:
        """Forget reports that are too old to be used."""
        for host, report in list(self._peers.items()):
            if now - report.at > self._max_age:
                del self._peers[host]

    def oldest(self, *, now: float) -> float:
        """Return the age in seconds of the oldest report in use, or zero without any."""
        ages = (now - report.at for report in self._peers.values())
        return max((age for age in ages if age <= self._max_age), default=0.0)

    def keep(self, hosts: Iterable[HostName]) -> None:
        """Forget the reports of all hosts but these."""
        for host in self._peers.keys() - set(hosts):
            del self._peers[host]

    def known(self, *, now: float) -> int:
        """Return how many peers have reported lately."""
        return sum(now - report.at <= self._max_age for report in self._peers.values())

    def demands(self, service: ServiceName, *, now: float) -> tuple[Demand, ...]:
        """Return the demand of each rank at this host and known peers, the most urgent first."""
        known = list(self.reports(now=now))
        for report in self._peers.values():
            if now - report.at <= self._max_age:
                known += report.arrivals
        sums: dict[tuple[Rank, bool], list[float]] = {}
        for item in known:
            if item.service != service:
                continue
            rank = Rank(customer=item.customer, route=item.route)
            total = sums.setdefault((rank, item.above), [0.0] * 3)
            total[0] += item.rate
            total[1] += item.rate * item.objective
            total[2] += item.rate * item.work
        return tuple(
            Demand(rank=rank, above=above, rate=rate, objective=objective / rate, work=work / rate)
            for (rank, above), (rate, objective, work) in sorted(sums.items())
            if rate > 0.0
        )
