"""The state of sharing on one host: which host polls which engine, and the newest reports."""

from collections import Counter
from collections.abc import Callable, Iterator
from math import ceil
from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from azureswitch.coordination.sharing._limits import (
    FULL_HOSTS,
    INTERVAL_DECAY,
    MAX_MISSED_REPORTS,
    MAX_POLLS_PER_SECOND,
    POLL_PERIOD_SECONDS,
    POLLERS,
    REPORT_BYTES,
)
from azureswitch.coordination.sharing._meter import Meter
from azureswitch.coordination.sharing._model import SharingHost
from azureswitch.core import HostName, PlaceName, TargetName
from azureswitch.hashing import ranked
from azureswitch.inventory import Place, Target, latest, started_again
from azureswitch.ports import LoadReport


class RecordedReport(Struct, frozen=True, kw_only=True):
    """The newest report of an engine that this host polls.

    Attributes:
        report: The report.
        at: When it arrived.
        number: Its number among the reports that this host has recorded, from 1.
    """

    report: LoadReport
    at: float
    number: int


class LastSend(Struct, frozen=True, kw_only=True):
    """The last send of reports to another host.

    Attributes:
        at: When it was; a random negative number if nothing was sent yet.
        number: The number of the newest report at that time.
    """

    at: float
    number: int = 0


class SharingState:
    """The state of sharing on one host.

    Args:
        host: This host.
        seed: Seeds the jitter and the order of receivers.
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
        self.next_poll: dict[TargetName, float] = {}
        self.polled_at: dict[TargetName, float] = {}
        self.latest_reports: dict[TargetName, RecordedReport] = {}
        self.reported_at: dict[TargetName, float] = {}
        self.last_sends: dict[str, LastSend] = {}
        self.last_number = 0
        self.sent_count = 0
        self._longest_interval = 0.0
        self.next_scan = 0.0

    @property
    def random(self) -> Random:
        """The source of every random choice."""
        return self._random

    @property
    def engines(self) -> dict[TargetName, Target]:
        """The engines of the configuration in force, by name."""
        return self._engines

    @property
    def assigned(self) -> frozenset[TargetName]:
        """The engines that this host polls and reports to others."""
        return frozenset(self._ranks)

    @property
    def exchanges_all(self) -> bool:
        """Whether the fleet is small, so that every report is sent to all hosts at once."""
        return len(self._hosts) < FULL_HOSTS

    @property
    def period(self) -> float:
        """Seconds between two polls of one engine by this host."""
        return (
            POLL_PERIOD_SECONDS
            if self.exchanges_all
            else max(POLL_PERIOD_SECONDS, len(self._ranks) / MAX_POLLS_PER_SECOND)
        )

    @property
    def local_hosts(self) -> list[SharingHost]:
        """The hosts that receive every report of this one, by the time of the last send."""
        return self._by_last_send(lambda host: self.exchanges_all or host.place == self._place)

    @property
    def remote_hosts(self) -> list[SharingHost]:
        """The hosts that receive some reports of this one, by the time of the last send."""
        return self._by_last_send(lambda host: not self.exchanges_all and host.place != self._place)

    @property
    def monitored(self) -> list[TargetName]:
        """The engines that this host polls itself if it receives no reports of them."""
        if self.exchanges_all:
            return list(self._engines)
        return [name for name, item in self._engines.items() if item.place == self._place]

    def record(self, report: LoadReport, *, now: float) -> None:
        """Record a report of an engine that this host polls, to send it to others."""
        self.last_number += 1
        self.latest_reports[report.target] = RecordedReport(
            report=report, at=now, number=self.last_number
        )

    @property
    def max_silence(self) -> float:
        """Seconds without a report after which a host polls an engine itself."""
        return MAX_MISSED_REPORTS * max(self.period, self._longest_interval)

    def reports_to(self, target: TargetName, host: SharingHost) -> bool:
        """Return whether this host, one of the pollers of an engine, reports it to another host."""
        if self.exchanges_all:
            return True
        return self._ranks[target] == xxh3_64_intdigest(f"{target}\0{host.name}".encode()) % POLLERS

    def mark_sent(self, host: SharingHost, *, now: float) -> None:
        """Record that reports were sent to a host."""
        since = self.last_sends[host.address].at
        self.last_sends[host.address] = LastSend(at=now, number=self.last_number)
        self.sent_count += 1
        if host.place == self._place and since > 0.0:
            self._longest_interval = max(self._longest_interval * INTERVAL_DECAY, now - since)

    def set_hosts(self, hosts: tuple[SharingHost, ...], *, place: PlaceName) -> None:
        """Replace the other hosts."""
        self._place = place
        self._hosts = {host.address: host for host in hosts if host.name != self._host}
        self.last_sends = {
            address: self.last_sends.get(address) or LastSend(at=-self._random.random())
            for address in self._hosts
        }
        self._assign()

    def set_engines(self, engines: tuple[Target, ...], places: tuple[Place, ...]) -> None:
        """Replace the engines; reports of an earlier start of an engine are discarded."""
        before = self._engines
        self._engines = {engine.name: latest(before.get(engine.name), engine) for engine in engines}
        for name, engine in self._engines.items():
            if started_again(before.get(name), engine):
                self._forget(name)
        self._regions = {place.name: place.region for place in places}
        for known in (self.next_poll, self.polled_at, self.reported_at):
            for name in known.keys() - self._engines.keys():
                del known[name]
        self._assign()

    def _forget(self, name: TargetName) -> None:
        self.latest_reports.pop(name, None)
        for times in (self.next_poll, self.polled_at, self.reported_at):
            times.pop(name, None)

    def _by_last_send(self, wanted: Callable[[SharingHost], bool]) -> list[SharingHost]:
        found = (host for host in self._hosts.values() if wanted(host))
        return sorted(found, key=lambda host: self.last_sends[host.address].at)

    def _assign(self) -> None:
        """Determine which engines this host polls."""
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
        self.latest_reports = {
            name: item for name, item in self.latest_reports.items() if name in self._ranks
        }

    def _candidates(self, place: PlaceName, polling: list[SharingHost]) -> frozenset[HostName]:
        """Return the hosts of a failure domain, of its region if those are too few, or all."""
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
    """Yield the pollers of each engine, with an even share of engines for each host.

    Each engine takes the first hosts by rendezvous hashing that have capacity left, so hosts that
    know the same engines and hosts obtain the same result.
    """
    count = min(POLLERS, len(hosts))
    shares = Counter[HostName]()
    most = ceil(count * len(names) / len(hosts))
    for name in sorted(names):
        order = ranked(name=name, hosts=hosts)
        free = [host for host in order if shares[host] < most]
        if len(free) < count:
            # For the last engines, one host may have all the remaining capacity.
            free += [host for host in order if host not in free]
        pollers = tuple(free[:count])
        shares.update(pollers)
        yield name, pollers
