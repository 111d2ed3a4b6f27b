"""What each level of resilience costs the store, and how soon long work is taken over.

The cost is that of the fleet in two years' time: 6,700 requests a second on 420 hosts, one in fifty
of them long.  One host runs in the real reducer for an hour of virtual time, and the fleet is that
host times 420.  The ways that were not built are worked out from the same calls and record sizes.
The takeover is measured with real memberships and journals over in-memory peers.
"""

from asyncio import get_running_loop, sleep
from collections.abc import AsyncIterator
from heapq import heappop, heappush
from random import Random
from typing import cast

from msgspec import Struct
from msgspec.msgpack import encode

from azureswitch.coordination.journal import (
    JOURNAL_KIND,
    MIN_FLUSH_SECONDS,
    GroupWritten,
    JobRecord,
    Journal,
    JournalState,
    JournalTicked,
    LongCallEnded,
    LongCallStarted,
    WriteGroup,
    reduce,
)
from azureswitch.core import (
    CallId,
    CustomerName,
    HostName,
    Incarnation,
    ServiceName,
    TargetName,
)
from azureswitch.ports import Chunk, Engine, StoredObject
from azureswitch.serving import Call
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from bench.records import Direction, Record

HOSTS = 420
CALLS = 6_700.0
"""Requests a second of the whole fleet."""

LONG_SHARE = 0.02
LONG_SECONDS = 60.0
"""Seconds that long work runs, on average."""

SHORT_SECONDS = 8.0
"""Seconds that a short answer runs: 2.2 million tokens a second over 6,700 requests, 25 ms each."""

SPAN = 3_600.0
"""Seconds of one host in virtual time."""

TAKEOVER_HOSTS = 9
TAKEOVER_SEEDS = (1, 2, 3, 4)
ENGINE_GRACE = 5.0
"""Seconds for which the stand-in engine goes on with a request that nobody reads."""


class Cost(Struct, frozen=True, kw_only=True):
    """What a way costs the whole fleet.

    Attributes:
        writes: Store writes a second.
        bytes: Bytes written a second.
    """

    writes: float
    bytes: float


def _record(number: int, now: float) -> JobRecord:
    return JobRecord(
        call=CallId(f"01hxyz0000000000000000{number:06d}"),
        customer=CustomerName(f"customer-{number % 380}"),
        target=TargetName(f"pool-engine-{number % 600:03d}"),
        attempt=1,
        owner=Incarnation(host=HostName("entry-123"), started=1_700_000_000_000),
        expires=1_700_000_000.0 + now,
    )


def built(*, rate: float = CALLS * LONG_SHARE) -> Cost:
    """Return the cost of job ids with one grouped record per host, from the real reducer.

    Args:
        rate: Long requests a second of the whole fleet.
    """
    random = Random(1)
    state = JournalState(myself=Incarnation(host=HostName("entry-123"), started=1), seed=1)
    rate /= HOSTS
    ends: list[tuple[float, CallId]] = []
    arrival, number, writes, size = 0.0, 0, 0, 0
    for second in range(int(SPAN)):
        now = float(second)
        while arrival <= now:
            number += 1
            record = _record(number, now)
            reduce(state, LongCallStarted(now=now, record=record))
            heappush(ends, (now + random.expovariate(1 / LONG_SECONDS), record.call))
            arrival += random.expovariate(rate)
        while ends and ends[0][0] <= now:
            reduce(state, LongCallEnded(now=now, call=heappop(ends)[1]))
        for effect in reduce(state, JournalTicked(now=now, members=(), wall=0.0)):
            if isinstance(effect, WriteGroup):
                writes += 1
                value = encode(effect.records)
                size += len(value)
                item = StoredObject(
                    kind=JOURNAL_KIND, name="entry-123:1", version=writes, value=value
                )
                reduce(state, GroupWritten(now=now, item=item))
    return Cost(writes=writes / SPAN * HOSTS, bytes=size / SPAN * HOSTS)


def _per_call(rate: float, seconds: float) -> Cost:
    """Return the cost of an object per call: created, given progress, deleted."""
    updates = seconds // MIN_FLUSH_SECONDS
    size = len(encode(_record(1, 0.0)))
    return Cost(writes=rate * (2 + updates), bytes=rate * (1 + updates) * size)


def _grouped_for_all() -> Cost:
    """Return the cost of one grouped record per host for every call, long or short."""
    size = len(encode(_record(1, 0.0)))
    running = CALLS * (LONG_SHARE * LONG_SECONDS + (1 - LONG_SHARE) * SHORT_SECONDS)
    return Cost(writes=HOSTS / MIN_FLUSH_SECONDS, bytes=running * size / MIN_FLUSH_SECONDS)


class _EnginePort:
    """Notes when it is attached to, and never ends."""

    def __init__(self) -> None:
        self.attached: list[float] = []

    async def attach(self, *, call: CallId, attempt: int, offset: int) -> AsyncIterator[Chunk]:
        """Note the time and wait."""
        self.attached.append(get_running_loop().time())
        await sleep(SPAN)
        yield Chunk(data=b"", tokens=0, last=True)


def _takeover(seed: int) -> float:
    """Return the seconds from a host's death until another reads its long work's output."""

    async def main() -> float:
        fleet = FleetFake(seed=seed)
        engine, target = _EnginePort(), TargetName("engine")
        engines = cast("dict[TargetName, Engine]", {target: engine})
        journals = {
            host.name: _journal(fleet, host, engines, seed) for host in fleet.add(TAKEOVER_HOSTS)
        }
        await until(fleet.complete, limit=60.0)
        victim = Random(seed).choice(fleet.hosts)
        call = Call(
            id=CallId("call"),
            customer=CustomerName("customer"),
            service=ServiceName("pool"),
            deadline=get_running_loop().time() + SPAN,
        )
        await journals[victim.name].record(call=call, target=target, attempt=1)
        await until(lambda: bool(fleet.model.list(kind=JOURNAL_KIND).items), limit=60.0)
        await sleep(Random(seed).uniform(1.0, 3.0))
        died = get_running_loop().time()
        fleet.kill(victim)
        await until(lambda: bool(engine.attached), limit=60.0)
        return engine.attached[0] - died

    return run_virtual(main())


def _journal(
    fleet: FleetFake, host: FleetHost, engines: dict[TargetName, Engine], seed: int
) -> Journal:
    myself = next(
        member.incarnation
        for member in host.membership.members
        if member.incarnation.host == host.name
    )
    journal = Journal(
        myself=myself,
        store=host.store,
        peers=host.peers,
        members=lambda: host.membership.members,
        seed=seed + myself.started,
        engines=lambda: engines,
    )
    host.tasks.append(get_running_loop().create_task(journal.run()))
    return journal


def records() -> list[Record]:
    """Measure the journal."""
    long_rate = CALLS * LONG_SHARE
    cost = built()
    other = {
        "object_per_long_call": _per_call(long_rate, LONG_SECONDS),
        "object_per_call": _per_call(CALLS, SHORT_SECONDS),
        "group_for_all": _grouped_for_all(),
    }
    bounded = [
        Record(
            name="journal.writes.built",
            value=cost.writes,
            unit="1/s",
            bound=50.0,
            direction=Direction.AT_MOST,
            baseline=other["object_per_long_call"].writes,
        ),
        Record(
            name="journal.bytes.built",
            value=cost.bytes,
            unit="bytes/s",
            bound=150_000.0,
            direction=Direction.AT_MOST,
            baseline=other["group_for_all"].bytes,
        ),
        Record(
            name="journal.takeover_max",
            value=max(_takeover(seed) for seed in TAKEOVER_SEEDS),
            unit="s",
            bound=ENGINE_GRACE,
            direction=Direction.AT_MOST,
        ),
    ]
    weighed = [
        Record(name=f"journal.{what}.{way}", value=value, unit=unit)
        for way, cost in other.items()
        for what, value, unit in (
            ("writes", cost.writes, "1/s"),
            ("bytes", cost.bytes, "bytes/s"),
        )
    ]
    return [*bounded, *weighed]


if __name__ == "__main__":
    for record in records():
        print(record.name, round(record.value, 3), record.unit, record.holds)
