"""Few hosts poll each engine, and their reports reach the others within the budget."""

from collections import Counter
from random import Random

import pytest
from msgspec.msgpack import encode

from azureswitch.coordination.sharing import (
    BURST_BYTES,
    FULL_HOSTS,
    MESSAGE_OVERHEAD,
    POLL_PERIOD_SECONDS,
    POLLERS,
    REPORT_BYTES,
    TICK_SECONDS,
    DeliverReport,
    EnginePolled,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    Meter,
    PollEngine,
    PollFailed,
    ReportsReceived,
    SendReports,
    SharingHost,
    SharingState,
    SharingTicked,
    pack,
    pack_digest,
    reduce,
    unpack,
    unpack_digest,
)
from azureswitch.core import CustomerName, Effects, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import Place, Target
from azureswitch.ports import LoadReport
from azureswitch.serving import CustomerUse, Demand, Digest, TargetLoad

TAKEOVER_SECONDS = 2.0
"""Seconds within which another host replaces a lost poller."""


def report(name: str, sequence: int = 1, models: tuple[str, ...] = ("base",)) -> LoadReport:
    """Return a report of an engine."""
    return LoadReport(
        target=TargetName(name),
        started=5,
        sequence=sequence,
        running=1,
        waiting=2,
        waiting_tokens=3,
        urgent_tokens=4,
        memory_used=6,
        memory_total=7,
        models=models,
        draining=True,
    )


class Fleet:
    """Reducers of several hosts over virtual time; messages take one tick."""

    def __init__(
        self, *, hosts: int, places: int = 1, engines: int = 12, loss: float = 0.0
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.random = Random(hosts)
        self.dead: set[str] = set()
        self.cut: set[str] = set()
        self.down: set[str] = set()
        self.polls: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.reports: dict[str, dict[str, float]] = {}
        self.unreachable: set[str] = set()
        self.in_transit: list[tuple[str, str, ReportsReceived]] = []
        self.hosts = [
            SharingHost(
                name=HostName(f"entry-{index}"),
                place=PlaceName(f"place-{index % places}"),
                address=f"entry-{index}",
            )
            for index in range(hosts)
        ]
        self.engines = tuple(
            Target(
                name=TargetName(f"engine-{index}"),
                service=ServiceName("pool"),
                place=PlaceName(f"place-{index % places}"),
                address="a:1",
                models=("base",),
            )
            for index in range(engines)
        )
        self.places = tuple(
            Place(name=PlaceName(f"place-{index}"), region="west") for index in range(places)
        )
        self.states = {
            host.address: SharingState(host=host.name, seed=index)
            for index, host in enumerate(self.hosts)
        }
        for host in self.hosts:
            self.reports[host.address] = {}
            event = EnginesChanged(now=0.0, engines=self.engines, places=self.places)
            reduce(self.states[host.address], event)
        self.update_hosts()

    def update_hosts(self) -> None:
        """Update the hosts that are not dead at each host."""
        hosts = tuple(host for host in self.hosts if host.address not in self.dead)
        for host in hosts:
            event = HostsChanged(now=self.now, place=host.place, hosts=hosts)
            reduce(self.states[host.address], event)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            due, self.in_transit = self.in_transit, []
            for source, address, received in due:
                if not {source, address} & self.dead and (source in self.cut) == (
                    address in self.cut
                ):
                    event = ReportsReceived(now=self.now, reports=received.reports)
                    self.execute(address, reduce(self.states[address], event))
            for address, state in self.states.items():
                if address not in self.dead:
                    self.execute(address, reduce(state, SharingTicked(now=self.now)))

    def execute(self, address: str, effects: Effects) -> None:
        """Execute the effects of a host."""
        for effect in effects:
            if isinstance(effect, PollEngine):
                self._poll(address, effect.target)
            elif isinstance(effect, SendReports):
                self.sent[address] += len(encode(effect.message)) + MESSAGE_OVERHEAD
                if self.random.random() >= self.loss:
                    received = ReportsReceived(now=self.now, reports=effect.message.reports)
                    self.in_transit.append((address, effect.address, received))
            elif isinstance(effect, DeliverReport):
                self.reports[address][effect.report.target] = self.now - effect.age
            elif isinstance(effect, EngineUnreachable):
                self.unreachable.add(address)

    def _poll(self, address: str, target: TargetName) -> None:
        self.polls[target] += 1
        event = (
            PollFailed(now=self.now, target=target)
            if target in self.down
            else EnginePolled(now=self.now, report=report(target))
        )
        self.execute(address, reduce(self.states[address], event))

    def max_age(self) -> float:
        """Return the greatest age of a report that a live host has of an engine of its place."""
        return max(
            self.now - self.reports[host.address].get(engine.name, -100.0)
            for host in self.hosts
            for engine in self.engines
            if host.address not in self.dead and host.place == engine.place
        )


class TestPolling:
    """Which hosts poll an engine, and when."""

    @pytest.mark.parametrize(
        ("hosts", "places"), [(1, 1), (2, 1), (6, 3), (9, 3), (20, 3), (60, 11)]
    )
    def test_pollers(self, hosts: int, places: int) -> None:
        """Each engine has two pollers, of its failure domain if that has as many hosts."""
        fleet = Fleet(hosts=hosts, places=places)
        for engine in fleet.engines:
            polling = [host for host in fleet.hosts if engine.name in _assigned(fleet, host)]
            assert len(polling) == min(POLLERS, hosts)
            if hosts >= POLLERS * places:
                assert {host.place for host in polling} == {engine.place}

    def test_even(self) -> None:
        """No host polls many more engines than the others of its failure domain."""
        fleet = Fleet(hosts=38, engines=55)
        counts = [len(_assigned(fleet, host)) for host in fleet.hosts]
        assert sum(counts) == POLLERS * 55
        assert max(counts) == 3

    def test_region(self) -> None:
        """Engines of a failure domain with too few hosts are polled by hosts of its region."""
        fleet = Fleet(hosts=6, places=3)
        fleet.dead = {"entry-0"}
        fleet.update_hosts()
        polling = [h.address for h in fleet.hosts if "engine-0" in _assigned(fleet, h)]
        assert len(set(polling) - fleet.dead) == POLLERS

    def test_in_turns(self) -> None:
        """Two pollers alternate, so no engine is polled much more often than twice per period."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(20.0)
        most = POLLERS * 20.0 / (POLL_PERIOD_SECONDS * 0.9) + POLLERS
        assert max(fleet.polls.values()) <= most
        assert min(fleet.polls.values()) >= most / 2


class TestFailures:
    """Dead pollers, partitions, and lost, late or duplicated messages."""

    @pytest.mark.parametrize("known", [False, True])
    def test_poller_dies(self, known: bool) -> None:
        """Reports resume within two seconds, even before the death is known."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.dead = {"entry-0"}
        if known:
            fleet.update_hosts()
        for _ in range(20):
            fleet.run(TAKEOVER_SECONDS / 4)
            assert fleet.max_age() <= TAKEOVER_SECONDS

    def test_both_pollers_die(self) -> None:
        """If both pollers of an engine die undetected, the other hosts poll it themselves."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.dead = {"entry-0", "entry-3"}
        for _ in range(20):
            fleet.run(TAKEOVER_SECONDS / 4)
            assert fleet.max_age() <= TAKEOVER_SECONDS

    def test_partition(self) -> None:
        """A partitioned failure domain has reports of its engines, and so have the others."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.cut = {host.address for host in fleet.hosts if host.place == "place-0"}
        fleet.run(5.0)
        assert fleet.max_age() <= TAKEOVER_SECONDS
        every = [fleet.now - min(known.values()) for known in fleet.reports.values()]
        assert max(every) <= 2 * TAKEOVER_SECONDS

    def test_loss(self) -> None:
        """With one message in five lost, reports stay recent."""
        fleet = Fleet(hosts=9, places=3, loss=0.2)
        fleet.run(3.0)
        for _ in range(20):
            fleet.run(0.5)
            assert fleet.max_age() <= TAKEOVER_SECONDS

    def test_unreachable(self) -> None:
        """Each host detects by itself that an engine does not answer."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.down = {"engine-0"}
        fleet.run(3.0)
        assert fleet.unreachable == set(fleet.states)

    def test_stale(self) -> None:
        """Late or duplicated reports carry their age; reports of unknown engines are ignored."""
        fleet = Fleet(hosts=2)
        shared = pack(report("engine-0"), age=2.5, usual=("base",))
        other = pack(report("gone"), age=0.0)
        event = ReportsReceived(now=9.0, reports=(shared, shared, other))
        effects = reduce(fleet.states["entry-0"], event)
        expected = DeliverReport(report=report("engine-0"), age=2.5)
        assert list(effects) == [expected, expected]


class TestBudget:
    """The bandwidth of large fleets."""

    @pytest.mark.parametrize(("hosts", "places"), [(FULL_HOSTS + 1, 1), (40, 2), (66, 11)])
    def test_never_exceeded(self, hosts: int, places: int) -> None:
        """No host sends more than its rate and one burst in any period."""
        fleet = Fleet(hosts=hosts, places=places, engines=2 * hosts)
        for _ in range(10):
            before = fleet.sent.copy()
            fleet.run(2.0)
            spent = max(fleet.sent[address] - before[address] for address in fleet.sent)
            assert spent <= REPORT_BYTES * 2.0 + BURST_BYTES
        assert max(fleet.sent.values()) <= REPORT_BYTES * 20.0 + BURST_BYTES

    def test_meter(self) -> None:
        """A message larger than the burst passes when the bucket is full and delays later ones."""
        meter = Meter(rate=100.0, burst=200.0)
        taken = [now for now in range(100) if meter.take(500, now=float(now))]
        assert taken == [2, 7, 12, *range(17, 100, 5)]


class TestPacking:
    """Encoding and decoding."""

    @pytest.mark.parametrize("usual", [(), ("base",), ("other",)])
    def test_report(self, usual: tuple[str, ...]) -> None:
        """A decoded report equals the encoded one."""
        shared = pack(report("engine-1"), age=0.2, usual=usual)
        assert unpack(shared, usual=usual) == report("engine-1")

    def test_digest(self) -> None:
        """A decoded digest is equal to the millisecond, and takes less than half of the bytes."""
        name = TargetName("engine-1")
        load = TargetLoad(target=name, urgent=0.125, middle=0.25, total=1.5, tokens=9_000)
        digest = Digest(
            host=HostName("entry-1"),
            sequence=7,
            started=8,
            loads=(load,) * 9,
            uses=(CustomerUse(customer=CustomerName("c"), seconds=1_234.567),) * 9,
            suspects=(name,),
            demands=(Demand(service=ServiceName("s"), model="m", short=1e-7, long=0.3),),
            saved=(name,),
        )
        assert unpack_digest(pack_digest(digest)) == digest
        assert 2 * len(encode(pack_digest(digest))) < len(encode(digest))


def _assigned(fleet: Fleet, host: SharingHost) -> frozenset[TargetName]:
    return fleet.states[host.address].assigned
