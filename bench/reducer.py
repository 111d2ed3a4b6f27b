"""What the serving reducer costs: events, effects and processor time per call, and its state."""

from collections.abc import Iterator
from gc import collect
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import (
    Customer,
    Inventory,
    Place,
    Rules,
    Service,
    ServiceKind,
    Snapshot,
    Target,
)
from azureswitch.ports import LoadReport
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    FirstTokenArrived,
    HostSelf,
    LoadReported,
    ServingEvent,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    reduce,
)
from bench.records import Direction, Record

CALLS = 2_000
"""Calls of one run."""

SIZES = ((20, 10), (600, 380))
"""Engines and customers: of today and of the size to design for."""

CALL_EVENTS_BOUND = 3.0
"""Events of a call that meets no failure: it arrives, has a first token and ends."""

EFFECTS_BOUND = 7.0
"""Effects of a call that meets no failure."""

GROWTH_BOUND = 3.0
"""How much longer an event of a call may take at the greater size."""

STATE_BOUND = 6.0
"""Megabytes of state at the greater size."""


def _snapshot(engines: int, customers: int) -> Snapshot:
    place = PlaceName("p")
    service = ServiceName("llm")
    targets = tuple(
        Target(
            name=TargetName(f"e{index}"),
            service=service,
            place=place,
            address=f"127.0.0.1:{index}",
            models=("base",),
            memory=480_000,
        )
        for index in range(engines)
    )
    inventory = Inventory(
        places=(Place(name=place, region="r"),),
        services=(Service(name=service, kind=ServiceKind.MODEL),),
        targets=targets,
        customers=tuple(
            Customer(name=CustomerName(f"u{index}"), key_hash="", limit=1_000.0)
            for index in range(customers)
        ),
    )
    return Snapshot(revision=1, inventory=inventory, rules=Rules())


def _report(name: str) -> LoadReport:
    return LoadReport(
        target=TargetName(name),
        started=1,
        sequence=1,
        running=1,
        waiting=0,
        waiting_tokens=0,
        urgent_tokens=0,
        memory_used=0,
        memory_total=480_000,
        models=("base",),
    )


def _call(index: int, *, customers: int, now: float) -> Call:
    return Call(
        id=CallId(f"c{index}"),
        customer=CustomerName(f"u{index % customers}"),
        service=ServiceName("llm"),
        model="base",
        prompt_tokens=500 + index % 7_000,
        output_tokens=200,
        prefix=(index % 50, index),
        deadline=now + 60.0,
    )


class _Run:
    """Calls one after the other at one host, four running at any time."""

    def __init__(self, *, engines: int, customers: int) -> None:
        myself = HostSelf(name=HostName("h"), place=PlaceName("p"), started=1)
        self._state = ServingState(myself=myself, seed=1)
        self._customers = customers
        self.events = 0
        self.effects = 0
        reduce(self._state, SnapshotAdopted(now=0.0, snapshot=_snapshot(engines, customers)))
        for index in range(engines):
            reduce(self._state, LoadReported(now=0.0, report=_report(f"e{index}")))

    def go(self) -> float:
        """Carry out all calls and return the processor seconds of their events."""
        begun = perf_counter()
        running: list[tuple[CallId, int]] = []
        for index in range(CALLS):
            now = index * 0.01
            call = _call(index, customers=self._customers, now=now)
            running += self._send(CallArrived(now=now, call=call))
            if len(running) > 4:
                self._end(*running.pop(0), now=now)
        return perf_counter() - begun

    def _end(self, call: CallId, attempt: int, *, now: float) -> None:
        self._send(FirstTokenArrived(now=now, call=call, attempt=attempt))
        end = AttemptEnd.COMPLETE
        self._send(AttemptEnded(now=now, call=call, attempt=attempt, end=end, tokens=150))

    def _send(self, event: ServingEvent) -> list[tuple[CallId, int]]:
        effects = reduce(self._state, event)
        self.events += 1
        self.effects += len(effects)
        return [(e.call, e.attempt) for e in effects if isinstance(e, StartAttempt)]

    def tick_seconds(self) -> float:
        """Return the processor seconds of one tick."""
        begun = perf_counter()
        for index in range(100):
            reduce(self._state, Ticked(now=CALLS * 0.01 + index * 0.05))
        return (perf_counter() - begun) / 100


def _state_megabytes(engines: int, customers: int) -> float:
    collect()
    start()
    run = _Run(engines=engines, customers=customers)
    run.go()
    collect()
    used, _ = get_traced_memory()
    stop()
    del run
    return used / 1e6


def _timings() -> Iterator[Record]:
    seconds = []
    for engines, customers in SIZES:
        runs = [_Run(engines=engines, customers=customers) for _ in range(3)]
        best = min(run.go() / run.events for run in runs)
        seconds.append(best)
        name = f"reducer.call_us_per_event.{engines}"
        yield Record(name=name, value=best * 1e6, unit="us")
        tick = min(run.tick_seconds() for run in runs)
        yield Record(name=f"reducer.tick_us.{engines}", value=tick * 1e6, unit="us")
    yield Record(
        name="reducer.size_growth",
        value=seconds[1] / seconds[0],
        unit="ratio",
        bound=GROWTH_BOUND,
        direction=Direction.AT_MOST,
    )


def records() -> list[Record]:
    """Return the counts per call, which have bounds, and the times, which have none."""
    engines, customers = SIZES[-1]
    run = _Run(engines=engines, customers=customers)
    run.go()
    found = [
        Record(
            name="reducer.events_per_call",
            value=run.events / CALLS,
            unit="events",
            bound=CALL_EVENTS_BOUND,
            direction=Direction.AT_MOST,
        ),
        Record(
            name="reducer.effects_per_call",
            value=run.effects / CALLS,
            unit="effects",
            bound=EFFECTS_BOUND,
            direction=Direction.AT_MOST,
        ),
        Record(
            name=f"reducer.state.{engines}",
            value=_state_megabytes(engines, customers),
            unit="MB",
            bound=STATE_BOUND,
            direction=Direction.AT_MOST,
        ),
    ]
    return [*found, *_timings()]
