"""What a host knows of who polls which engine, and what it learned."""

from collections import Counter
from collections.abc import Callable, Iterator
from math import ceil
from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from azureswitch.coordination.sharing._limits import (
    FULL_HOSTS,
    GAP_DECAY,
    MISSED_REPORTS,
    POLL_PERIOD,
    POLLERS,
    POLLS_MOST,
    REPORT_BYTES,
)
from azureswitch.coordination.sharing._meter import Meter
from azureswitch.coordination.sharing._model import SharingHost
from azureswitch.core import HostName, PlaceName, TargetName
from azureswitch.hashing import ranked
from azureswitch.inventory import Place, Target, latest, started_again
from azureswitch.ports import LoadReport


class Learned(Struct, frozen=True, kw_only=True):
    """A report of an engine that this host polls.

    Attributes:
        report: The report.
        at: When it arrived.
        number: Counts the reports that this host learned.
    """

    report: LoadReport
    at: float
    number: int


class Visit(Struct, frozen=True, kw_only=True):
    """What another host was sent last.

    Attributes:
        at: When; drawn below zero for a host that was sent nothing yet.
        number: The newest report then.
    """

    at: float
    number: int = 0


class SharingState:
    """The state of sharing on one host.

    Args:
        host: This host.
        seed: Seeds jitter and the order of receivers.
    """

    def __init__(self, *, host: HostName, seed: int) -> None:
        self._host = host
        self._place = PlaceName("")
        self._random = Random(seed)
        self._hosts: dict[str, SharingHost] = {}
        self._engines: dict[TargetName, Target] = {}
        self._regions: dict[PlaceName, str] = {}
        self._ranks: dict[TargetName, int] = {}
        self.meter = Meter(rate=REPORT_BYTES)
        self.polling: set[TargetName] = set()
        self.due: dict[TargetName, float] = {}
        self.polled: dict[TargetName, float] = {}
        self.learned: dict[TargetName, Learned] = {}
        self.heard: dict[TargetName, float] = {}
        self.visited: dict[str, Visit] = {}
        self.number = 0
        self.sent = 0
        self._gap = 0.0
        self.scan_due = 0.0

    @property
    def random(self) -> Random:
        """The source of every random choice."""
        return self._random

    @property
    def engines(self) -> dict[TargetName, Target]:
        """The engines in force."""
        return self._engines

    @property
    def mine(self) -> frozenset[TargetName]:
        """The engines that this host polls for others."""
        return frozenset(self._ranks)

    @property
    def full(self) -> bool:
        """Whether the fleet is small, so that everyone gets everything at once."""
        return len(self._hosts) < FULL_HOSTS

    @property
    def period(self) -> float:
        """Seconds between two polls of one engine by this host."""
        return POLL_PERIOD if self.full else max(POLL_PERIOD, len(self._ranks) / POLLS_MOST)

    @property
    def near(self) -> list[SharingHost]:
        """The hosts that get every report of this one, those that waited longest first."""
        return self._waiting(lambda host: self.full or host.place == self._place)

    @property
    def far(self) -> list[SharingHost]:
        """The hosts that get some reports of this one, those that waited longest first."""
        return self._waiting(lambda host: not self.full and host.place != self._place)

    @property
    def watched(self) -> list[TargetName]:
        """The engines that this host polls itself when it hears nothing of them."""
        if self.full:
            return list(self._engines)
        return [name for name, item in self._engines.items() if item.place == self._place]

    def learn(self, report: LoadReport, *, now: float) -> None:
        """Keep a report of an engine that this host polls, to pass it on."""
        self.number += 1
        self.learned[report.target] = Learned(report=report, at=now, number=self.number)

    @property
    def patience(self) -> float:
        """Seconds without a report after which a host polls an engine itself."""
        return MISSED_REPORTS * max(self.period, self._gap)

    def tells(self, target: TargetName, host: SharingHost) -> bool:
        """Whether this poller of an engine is the one that tells a host, or both do."""
        if self.full:
            return True
        return self._ranks[target] == xxh3_64_intdigest(f"{target}\0{host.name}".encode()) % POLLERS

    def told(self, host: SharingHost, *, now: float) -> None:
        """Note that a host was sent reports."""
        since = self.visited[host.address].at
        self.visited[host.address] = Visit(at=now, number=self.number)
        self.sent += 1
        if host.place == self._place and since > 0.0:
            self._gap = max(self._gap * GAP_DECAY, now - since)

    def set_hosts(self, hosts: tuple[SharingHost, ...], *, place: PlaceName) -> None:
        """Take over the other hosts."""
        self._place = place
        self._hosts = {host.address: host for host in hosts if host.name != self._host}
        self.visited = {
            address: self.visited.get(address) or Visit(at=-self._random.random())
            for address in self._hosts
        }
        self._choose()

    def set_engines(self, engines: tuple[Target, ...], places: tuple[Place, ...]) -> None:
        """Take over the engines; of one that has started again nothing is kept or passed on."""
        before = self._engines
        self._engines = {engine.name: latest(before.get(engine.name), engine) for engine in engines}
        for name, engine in self._engines.items():
            if started_again(before.get(name), engine):
                self._forget(name)
        self._regions = {place.name: place.region for place in places}
        for known in (self.due, self.polled, self.heard):
            for name in known.keys() - self._engines.keys():
                del known[name]
        self._choose()

    def _forget(self, name: TargetName) -> None:
        self.learned.pop(name, None)
        for times in (self.due, self.polled, self.heard):
            times.pop(name, None)

    def _waiting(self, wanted: Callable[[SharingHost], bool]) -> list[SharingHost]:
        found = (host for host in self._hosts.values() if wanted(host))
        return sorted(found, key=lambda host: self.visited[host.address].at)

    def _choose(self) -> None:
        """Find out which engines this host polls."""
        polling = [host for host in self._hosts.values() if host.polls]
        groups: dict[frozenset[HostName], list[TargetName]] = {}
        known: dict[PlaceName, frozenset[HostName]] = {}
        for engine in self._engines.values():
            if engine.place not in known:
                known[engine.place] = self._candidates(engine.place, polling)
            if self._host in known[engine.place]:
                groups.setdefault(known[engine.place], []).append(engine.name)
        self._ranks = {
            name: pollers.index(self._host)
            for hosts, names in groups.items()
            for name, pollers in _pollers(names, hosts)
            if self._host in pollers
        }
        self.learned = {name: item for name, item in self.learned.items() if name in self._ranks}

    def _candidates(self, place: PlaceName, polling: list[SharingHost]) -> frozenset[HostName]:
        """Return the hosts of a place, of its region where they are too few, or all."""
        homes = [(self._host, self._place), *((host.name, host.place) for host in polling)]
        region = self._regions.get(place)
        in_place = frozenset(name for name, home in homes if home == place)
        if len(in_place) >= POLLERS:
            return in_place
        in_region = frozenset(name for name, home in homes if self._regions.get(home) == region)
        if len(in_region) >= POLLERS:
            return in_region
        return frozenset(name for name, _ in homes)


def _pollers(
    names: list[TargetName], hosts: frozenset[HostName]
) -> Iterator[tuple[TargetName, tuple[HostName, ...]]]:
    """Yield the pollers of each engine, an even share of engines for each host.

    Each engine takes the first hosts by rendezvous hashing that have room, so that hosts which know
    the same engines and hosts agree.
    """
    count = min(POLLERS, len(hosts))
    shares = Counter[HostName]()
    most = ceil(count * len(names) / len(hosts))
    for name in sorted(names):
        order = ranked(name=name, hosts=hosts)
        free = [host for host in order if shares[host] < most]
        if len(free) < count:
            # At the end the room that is left may all be with one host.
            free += [host for host in order if host not in free]
        pollers = tuple(free[:count])
        shares.update(pollers)
        yield name, pollers
