"""What membership costs a host, and how fast and how wrongly it finds deaths.

Real memberships run over in-memory peers in virtual time, so that all but processor time is the
same in each run.  ``python -m bench.membership SIZE...`` measures other fleet sizes.
"""

import sys
from asyncio import Task, create_task, sleep
from functools import partial
from math import ceil
from time import process_time

from msgspec import Struct

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from bench.records import Direction, Record

SIZES = (9, 50, 200)
SETTLE_SECONDS = 60.0
SETTLE_SECONDS_PER_HOST = 0.6
"""Seconds that the news of all hosts having started at once goes round, per host."""

MEASURED_SECONDS = 30.0
KILLS = 3
PAUSE_SECONDS = 2.0
PAUSE_ROUNDS = 3
BYTE_BOUND = 2_000.0
"""Bytes a second that an idle host may send and receive for membership."""


class Figures(Struct, frozen=True, kw_only=True):
    """What one fleet size gave.

    Attributes:
        size: Hosts.
        bytes: Bytes a second that a host sends and receives when nothing changes.
        messages: Messages a second that it sends and receives.
        processor: Percent of a core that a host uses, fakes included.
        detected: Seconds from a kill until the last host holds it for dead, per kill.
        left: Seconds until the last host knows that one leaves.
        wrongly_dead: Running hosts that were held for dead while others were paused.
        wrongly_suspected: Running hosts that were suspected while others were paused.
    """

    size: int
    bytes: float
    messages: float
    processor: float
    detected: tuple[float, ...]
    left: float
    wrongly_dead: int
    wrongly_suspected: int


class _Observer:
    """Notes which of the hosts that always ran were accused."""

    def __init__(self, *, fleet: FleetFake, paused: frozenset[HostName]) -> None:
        self._paused = paused
        self.dead: set[HostName] = set()
        self.suspected: set[HostName] = set()
        for host in fleet.hosts:
            host.membership.on_change(partial(self._note, host))

    def _note(self, host: FleetHost, members: tuple[Member, ...]) -> None:
        self.dead.update(set(host.membership.dead) - self._paused)
        suspects = (item for item in members if item.status is MemberStatus.SUSPECT)
        self.suspected.update({item.incarnation.host for item in suspects} - self._paused)


def _totals(fleet: FleetFake) -> tuple[int, int]:
    traffic = [item for host in fleet.hosts for item in host.peers.traffic]
    size = sum(item.sent_bytes + item.received_bytes for item in traffic)
    count = sum(item.sent_messages + item.received_messages for item in traffic)
    return size, count


async def _measure_cost(fleet: FleetFake) -> tuple[float, float, float]:
    size, count = _totals(fleet)
    used = process_time()
    await sleep(MEASURED_SECONDS)
    used = process_time() - used
    size, count = (
        after - before for after, before in zip(_totals(fleet), (size, count), strict=True)
    )
    share = 1.0 / MEASURED_SECONDS / len(fleet.hosts)
    return size * share, count * share, used * share * 100.0


async def _measure_pauses(fleet: FleetFake) -> tuple[int, int]:
    paused = fleet.hosts[: ceil(len(fleet.hosts) / 10)]
    observer = _Observer(fleet=fleet, paused=frozenset(host.name for host in paused))
    for _ in range(PAUSE_ROUNDS):
        for host in paused:
            fleet.pause(host)
        await sleep(PAUSE_SECONDS)
        for host in paused:
            fleet.resume(host)
        await sleep(10.0)
    wrongly = (len(observer.dead), len(observer.suspected))
    await until(fleet.complete, limit=60.0)
    return wrongly


async def _measure_deaths(fleet: FleetFake) -> tuple[float, ...]:
    seconds = []
    for _ in range(KILLS):
        host = fleet.hosts[-1]
        fleet.kill(host)
        seconds.append(await until(partial(_all_dead, fleet, host.name), limit=60.0))
        await sleep(5.0)
    return tuple(seconds)


def _all_dead(fleet: FleetFake, name: HostName) -> bool:
    return all(name in host.membership.dead for host in fleet.hosts)


async def _measure_leave(fleet: FleetFake) -> float:
    host = fleet.hosts[0]
    left = until(lambda: fleet.all_see(lambda members: _leaves(members, host.name)), limit=30.0)
    host.tasks.append(_spawn(host))
    return await left


def _spawn(host: FleetHost) -> Task[None]:
    return create_task(host.membership.leave())


def _leaves(members: tuple[Member, ...], name: HostName) -> bool:
    return any(
        item.incarnation.host == name and item.status is MemberStatus.LEAVING for item in members
    )


async def _measure(size: int) -> Figures:
    fleet = FleetFake()
    fleet.add(size)
    await until(fleet.complete, limit=120.0)
    await sleep(SETTLE_SECONDS + SETTLE_SECONDS_PER_HOST * size)
    cost = await _measure_cost(fleet)
    wrongly_dead, wrongly_suspected = await _measure_pauses(fleet)
    left = await _measure_leave(fleet)
    detected = await _measure_deaths(fleet)
    return Figures(
        size=size,
        bytes=cost[0],
        messages=cost[1],
        processor=cost[2],
        detected=detected,
        left=left,
        wrongly_dead=wrongly_dead,
        wrongly_suspected=wrongly_suspected,
    )


def measure(size: int) -> Figures:
    """Measure one fleet size in virtual time."""
    return run_virtual(_measure(size))


def _records(figures: Figures) -> list[Record]:
    prefix = f"membership.{figures.size}"

    def at_most(name: str, value: float, unit: str, bound: float) -> Record:
        return Record(
            name=f"{prefix}.{name}",
            value=value,
            unit=unit,
            bound=bound,
            direction=Direction.AT_MOST,
        )

    return [
        at_most("bytes", figures.bytes, "bytes/s", BYTE_BOUND),
        at_most("messages", figures.messages, "1/s", 12.0),
        at_most("detected_p100", max(figures.detected), "s", 8.0),
        at_most("leave_spread_p100", figures.left, "s", 2.0),
        at_most("running_held_for_dead", figures.wrongly_dead, "hosts", 0.0),
        Record(name=f"{prefix}.running_suspected", value=figures.wrongly_suspected, unit="hosts"),
        Record(name=f"{prefix}.processor", value=figures.processor, unit="% of core"),
    ]


def records() -> list[Record]:
    """Measure today's fleet, a larger one, and a large one."""
    figures = [measure(size) for size in SIZES]
    results = [record for item in figures for record in _records(item)]
    slope = Record(
        name="membership.bytes_200_to_9",
        value=figures[-1].bytes / figures[0].bytes,
        unit="ratio",
        bound=1.5,
        direction=Direction.AT_MOST,
    )
    return [*results, slope]


def main(sizes: list[int]) -> None:
    """Print the records of some fleet sizes."""
    for size in sizes:
        for record in _records(measure(size)):
            print(f"{record.name:40} {record.value:12.3f} {record.unit}", flush=True)


if __name__ == "__main__":
    main([int(item) for item in sys.argv[1:]] or list(SIZES))
