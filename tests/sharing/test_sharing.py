"""Few hosts poll each engine, and what they learn reaches the others within the budget."""

from collections import Counter
from random import Random

import pytest
from msgspec.msgpack import encode

from azureswitch.coordination.sharing import (
    BURST_BYTES,
    FULL_HOSTS,
    MESSAGE_OVERHEAD,
    POLL_PERIOD,
    POLLERS,
    REPORT_BYTES,
    TICK,
    EnginePolled,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    Meter,
    PollEngine,
    PollFailed,
    ReportLearned,
    ReportsHeard,
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

REPLACED = 2.0
"""Seconds within which the reports of a lost poller come from another one."""


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
        self.learned: dict[str, dict[str, float]] = {}
        self.unreachable: set[str] = set()
        self.waiting: list[tuple[str, str, ReportsHeard]] = []
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
            self.learned[host.address] = {}
            event = EnginesChanged(now=0.0, engines=self.engines, places=self.places)
            reduce(self.states[host.address], event)
        self.tell()

    def tell(self) -> None:
        """Let every host know which hosts are not dead."""
        hosts = tuple(host for host in self.hosts if host.address not in self.dead)
        for host in hosts:
            event = HostsChanged(now=self.now, place=host.place, hosts=hosts)
            reduce(self.states[host.address], event)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            due, self.waiting = self.waiting, []
            for source, address, heard in due:
                if not {source, address} & self.dead and (source in self.cut) == (
                    address in self.cut
                ):
                    event = ReportsHeard(now=self.now, reports=heard.reports)
                    self.carry_out(address, reduce(self.states[address], event))
            for address, state in self.states.items():
                if address not in self.dead:
                    self.carry_out(address, reduce(state, SharingTicked(now=self.now)))

    def carry_out(self, address: str, effects: Effects) -> None:
        """Carry out a host's effects."""
        for effect in effects:
            if isinstance(effect, PollEngine):
                self._poll(address, effect.target)
            elif isinstance(effect, SendReports):
                self.sent[address] += len(encode(effect.message)) + MESSAGE_OVERHEAD
                if self.random.random() >= self.loss:
                    heard = ReportsHeard(now=self.now, reports=effect.message.reports)
                    self.waiting.append((address, effect.address, heard))
            elif isinstance(effect, ReportLearned):
                self.learned[address][effect.report.target] = self.now - effect.age
            elif isinstance(effect, EngineUnreachable):
                self.unreachable.add(address)

    def _poll(self, address: str, target: TargetName) -> None:
        self.polls[target] += 1
        event = (
            PollFailed(now=self.now, target=target)
            if target in self.down
            else EnginePolled(now=self.now, report=report(target))
        )
        self.carry_out(address, reduce(self.states[address], event))

    def oldest(self) -> float:
        """Return the greatest age of a report that a live host has of an engine of its place."""
        return max(
            self.now - self.learned[host.address].get(engine.name, -100.0)
            for host in self.hosts
            for engine in self.engines
            if host.address not in self.dead and host.place == engine.place
        )


class TestPolling:
    """Who polls."""

    @pytest.mark.parametrize(
        ("hosts", "places"), [(1, 1), (2, 1), (6, 3), (9, 3), (20, 3), (60, 11)]
    )
    def test_pollers(self, hosts: int, places: int) -> None:
        """Each engine has two pollers, of its place where that has as many."""
        fleet = Fleet(hosts=hosts, places=places)
        for engine in fleet.engines:
            polling = [host for host in fleet.hosts if engine.name in _mine(fleet, host)]
            assert len(polling) == min(POLLERS, hosts)
            if hosts >= POLLERS * places:
                assert {host.place for host in polling} == {engine.place}

    def test_even(self) -> None:
        """No host polls many more engines than the others of its place."""
        fleet = Fleet(hosts=38, engines=55)
        counts = [len(_mine(fleet, host)) for host in fleet.hosts]
        assert sum(counts) == POLLERS * 55
        assert max(counts) == 3

    def test_region(self) -> None:
        """A place with too few hosts has its engines polled from its region."""
        fleet = Fleet(hosts=6, places=3)
        fleet.dead = {"entry-0"}
        fleet.tell()
        polling = [h.address for h in fleet.hosts if "engine-0" in _mine(fleet, h)]
        assert len(set(polling) - fleet.dead) == POLLERS

    def test_in_turns(self) -> None:
        """Two pollers take turns, so that no engine is polled much more often than twice."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(20.0)
        most = POLLERS * 20.0 / (POLL_PERIOD * 0.9) + POLLERS
        assert max(fleet.polls.values()) <= most
        assert min(fleet.polls.values()) >= most / 2


class TestFailures:
    """Pollers die, networks part, messages are lost, late or doubled."""

    @pytest.mark.parametrize("known", [False, True])
    def test_poller_dies(self, known: bool) -> None:
        """Reports go on within two seconds, also before its death is known."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.dead = {"entry-0"}
        if known:
            fleet.tell()
        for _ in range(20):
            fleet.run(REPLACED / 4)
            assert fleet.oldest() <= REPLACED

    def test_both_pollers_die(self) -> None:
        """Where both pollers of engines die unnoticed, the others poll for themselves."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.dead = {"entry-0", "entry-3"}
        for _ in range(20):
            fleet.run(REPLACED / 4)
            assert fleet.oldest() <= REPLACED

    def test_partition(self) -> None:
        """A place that is cut off knows its engines, and so do the others."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.cut = {host.address for host in fleet.hosts if host.place == "place-0"}
        fleet.run(5.0)
        assert fleet.oldest() <= REPLACED
        every = [fleet.now - min(known.values()) for known in fleet.learned.values()]
        assert max(every) <= 2 * REPLACED

    def test_loss(self) -> None:
        """With one message in five lost, reports stay young."""
        fleet = Fleet(hosts=9, places=3, loss=0.2)
        fleet.run(3.0)
        for _ in range(20):
            fleet.run(0.5)
            assert fleet.oldest() <= REPLACED

    def test_unreachable(self) -> None:
        """That an engine does not answer is found out by each host for itself."""
        fleet = Fleet(hosts=9, places=3)
        fleet.run(3.0)
        fleet.down = {"engine-0"}
        fleet.run(3.0)
        assert fleet.unreachable == set(fleet.states)

    def test_stale(self) -> None:
        """Reports that arrive late or twice say how old they are, and unknown engines are left."""
        fleet = Fleet(hosts=2)
        shared = pack(report("engine-0"), age=2.5, usual=("base",))
        other = pack(report("gone"), age=0.0)
        event = ReportsHeard(now=9.0, reports=(shared, shared, other))
        effects = reduce(fleet.states["entry-0"], event)
        expected = ReportLearned(report=report("engine-0"), age=2.5)
        assert list(effects) == [expected, expected]


class TestBudget:
    """Large fleets keep to the budget."""

    @pytest.mark.parametrize(("hosts", "places"), [(FULL_HOSTS + 1, 1), (40, 2), (66, 11)])
    def test_never_exceeded(self, hosts: int, places: int) -> None:
        """No host sends more than its rate and one burst in any time."""
        fleet = Fleet(hosts=hosts, places=places, engines=2 * hosts)
        for _ in range(10):
            before = fleet.sent.copy()
            fleet.run(2.0)
            spent = max(fleet.sent[address] - before[address] for address in fleet.sent)
            assert spent <= REPORT_BYTES * 2.0 + BURST_BYTES
        assert max(fleet.sent.values()) <= REPORT_BYTES * 20.0 + BURST_BYTES

    def test_meter(self) -> None:
        """A message over the burst passes when the bucket is full and is paid for afterwards."""
        meter = Meter(rate=100.0, burst=200.0)
        taken = [now for now in range(100) if meter.take(500, now=float(now))]
        assert taken == [2, 7, 12, *range(17, 100, 5)]


class TestPacking:
    """What is sent is what arrives."""

    @pytest.mark.parametrize("usual", [(), ("base",), ("other",)])
    def test_report(self, usual: tuple[str, ...]) -> None:
        """A report passed on is the same report."""
        shared = pack(report("engine-1"), age=0.2, usual=usual)
        assert unpack(shared, usual=usual) == report("engine-1")

    def test_digest(self) -> None:
        """A digest passed on is the same to the millisecond, at less than half of the bytes."""
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


def _mine(fleet: Fleet, host: SharingHost) -> frozenset[TargetName]:
    return fleet.states[host.address].mine
