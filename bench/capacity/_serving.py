"""Processor time of the serving reducer by event, and memory of its state, by size."""

import sys
import tracemalloc
from collections.abc import Callable
from random import Random
from subprocess import run
from time import process_time

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, ServiceName
from azureswitch.inventory import Rules, Snapshot, encode
from azureswitch.ports import LoadReport
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    CustomerUse,
    Digest,
    DigestReceived,
    FirstTokenArrived,
    HostSelf,
    LoadReported,
    PeersChanged,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    TargetLoad,
    Ticked,
    reduce,
)
from bench.capacity._series import CUSTOMERS, ENGINES, HOSTS, Series, series
from bench.inventory import fleet as inventory_of

ENGINE_SIZES = (20, 100, 300, 600)
CUSTOMER_SIZES = (10, 50, 100, 380)
HOST_SIZES = (9, 50, 200, 420)
FEW_CUSTOMERS = 10
FEW_ENGINES = 20
RUNNING = 128
"""Requests that run on one host: 16 a second of 8 seconds each."""

ROUNDS = 200
"""Calls, ticks or digests of one measurement."""

PLACE_ENGINES = 55
"""Engines of one failure domain, at which a host of it has work."""

MEGABYTE = 1_000_000.0


class _Bed:
    """One host's serving state before engines."""

    def __init__(self, *, engines: int, customers: int, running: int = RUNNING) -> None:
        self._random = Random(1)
        self._count = 0
        self.now = 1_000.0
        inventory = inventory_of(engines=engines, customers=customers)
        self.snapshot = Snapshot(revision=1, inventory=inventory, rules=Rules())
        myself = HostSelf(name=HostName("entry-000"), place=PlaceName("place-00"), started=1)
        self.state = ServingState(myself=myself, seed=1)
        self.feed(SnapshotAdopted(now=self.now, snapshot=self.snapshot))
        self.report()
        for _ in range(running):
            self.start()

    def feed(self, event: ServingEvent) -> tuple[object, ...]:
        """Apply an event."""
        return tuple(reduce(self.state, event))

    def report(self) -> None:
        """Let every engine report."""
        self._count += 1
        for target in self.snapshot.inventory.targets:
            report = LoadReport(
                target=target.name,
                started=1,
                sequence=self._count,
                running=self._random.randrange(32),
                waiting=0,
                waiting_tokens=self._random.randrange(4_000),
                urgent_tokens=0,
                memory_used=self._random.randrange(100_000),
                memory_total=target.memory,
                models=target.models,
            )
            self.feed(LoadReported(now=self.now, report=report))

    def start(self) -> CallId:
        """Let a call arrive and its first token come."""
        self._count += 1
        customers = self.snapshot.inventory.customers
        call = Call(
            id=CallId(f"call-{self._count}"),
            customer=customers[self._count % len(customers)].name,
            service=ServiceName("lm"),
            model="model-a",
            prompt_tokens=1_000,
            output_tokens=300,
            deadline=self.now + 60.0,
        )
        effects = self.feed(CallArrived(now=self.now, call=call))
        if any(isinstance(effect, StartAttempt) for effect in effects):
            self.feed(FirstTokenArrived(now=self.now, call=call.id, attempt=1))
        return call.id

    def whole_call(self) -> None:
        """Let a call come and go."""
        call = self.start()
        end = AttemptEnd.COMPLETE
        self.feed(AttemptEnded(now=self.now, call=call, attempt=1, end=end, tokens=300))

    def tick(self) -> None:
        """Let time pass."""
        self.now += 0.05
        self.feed(Ticked(now=self.now))

    def hear(self, host: int) -> None:
        """Let a digest of another host arrive."""
        self._count += 1
        targets = self.snapshot.inventory.targets[:PLACE_ENGINES]
        loads = tuple(
            TargetLoad(target=item.name, urgent=0.1, middle=0.1, total=0.3, tokens=1_000)
            for item in targets
        )
        uses = tuple(
            CustomerUse(customer=CustomerName(item.name), seconds=self._random.random())
            for item in self.snapshot.inventory.customers
        )
        digest = Digest(
            host=HostName(f"entry-{host:03d}"),
            sequence=self._count,
            started=1,
            loads=loads,
            uses=uses,
        )
        self.feed(DigestReceived(now=self.now, digest=digest))


def _time(action: Callable[[], object], *, rounds: int = ROUNDS) -> float:
    """Return microseconds of processor time of one action."""
    action()
    used = process_time()
    for _ in range(rounds):
        action()
    return (process_time() - used) / rounds * 1e6


def _memory(build: Callable[[], object]) -> float:
    """Return the megabytes that an object and what it refers to take."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / MEGABYTE


def _heard(hosts: int, customers: int) -> _Bed:
    bed = _Bed(engines=ENGINES, customers=customers, running=0)
    names = tuple(HostName(f"entry-{number:03d}") for number in range(hosts))
    bed.feed(PeersChanged(now=bed.now, hosts=names))
    for number in range(1, hosts):
        bed.hear(number)
    return bed


def serving() -> list[Series]:
    """Measure the reducer and its state."""
    beds = {size: _Bed(engines=size, customers=FEW_CUSTOMERS) for size in ENGINE_SIZES}
    by_engines = {
        "call": {size: _time(bed.whole_call) for size, bed in beds.items()},
        "tick": {size: _time(bed.tick) for size, bed in beds.items()},
        "report": {size: _time(bed.report, rounds=5) / size for size, bed in beds.items()},
    }
    rich = {size: _Bed(engines=FEW_ENGINES, customers=size) for size in CUSTOMER_SIZES}
    by_customers = {
        "tick": {size: _time(bed.tick) for size, bed in rich.items()},
        "digest": {size: _time(lambda bed=bed: bed.hear(1)) for size, bed in rich.items()},  # type: ignore[misc]
    }
    found = [
        series(f"serving.{name}", unit="us", by="engines", size=ENGINES, points=points)
        for name, points in by_engines.items()
    ]
    found += [
        series(f"serving.{name}", unit="us", by="customers", size=CUSTOMERS, points=points)
        for name, points in by_customers.items()
    ]
    return found


def state() -> list[Series]:
    """Measure the memory of the state, of a snapshot and of a whole process before it."""
    engines = {
        size: _memory(lambda size=size: _Bed(engines=size, customers=FEW_CUSTOMERS))  # type: ignore[misc]
        for size in ENGINE_SIZES
    }
    hosts = {size: _memory(lambda size=size: _heard(size, CUSTOMERS)) for size in HOST_SIZES}  # type: ignore[misc]
    bodies = {
        size: float(len(encode(inventory=inventory_of(engines=size), rules=Rules())))
        for size in ENGINE_SIZES
    }
    return [
        series("memory.by_engines", unit="MB", by="engines", size=ENGINES, points=engines),
        series("memory.by_hosts", unit="MB", by="hosts", size=HOSTS, points=hosts),
        series("snapshot.body", unit="bytes", by="engines", size=ENGINES, points=bodies),
        series("memory.modules", unit="MB", by="process", size=1, points={1: _modules()}),
    ]


def _modules() -> float:
    """Return the megabytes of a process that has only loaded an entry's modules."""
    # A child's most resident memory begins with that of its parent, so the present one is read.
    code = "import azureswitch.entry; print(open('/proc/self/status').read())"
    done = run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    line = next(line for line in done.stdout.splitlines() if line.startswith("VmRSS:"))
    return float(line.split()[1]) * 1_024 / MEGABYTE
