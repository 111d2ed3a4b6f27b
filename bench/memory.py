"""How fast engine memory is back after deaths, and what the sweep costs.

Real memberships and sweepers run over in-memory peers in virtual time, before stand-in engines that
count what is held.  Every process holds memory at a third of the engines when something dies.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable
from random import Random
from typing import cast

from msgspec import Struct

from azureswitch.coordination.memory import Sweeper
from azureswitch.core import CallId, Incarnation, TargetName
from azureswitch.ports import Engine, Holding, HoldingKind
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.engine import EngineModel, EngineSettings
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from bench.records import Direction, Record

HOSTS = 9
ENGINES = 20
TOKENS = 1_000
SEEDS = (1, 2, 3)
AIM = 10.0
"""Seconds from a death within which its memory is back."""

LIMIT = 60.0
QUIET_SECONDS = 30.0
LOSS = 0.1
PAUSE_SECONDS = 2.0
PAUSES = 10
MESSAGES = frozenset({"OwnerQuery", "OwnerReply", "KeptQuery", "KeptReply"})


class EnginePort:
    """The part of an engine that the sweep uses, over a stand-in."""

    def __init__(self, *, name: TargetName) -> None:
        self.model = EngineModel(settings=EngineSettings(name=name))
        self.reads = 0

    async def holdings(self) -> tuple[Holding, ...]:
        """Return what is held."""
        self.reads += 1
        return self.model.holdings

    async def release(self, *, holding: str) -> None:
        """Free a holding."""
        self.model.release(now=get_running_loop().time(), holding=holding)


class Process(Struct, kw_only=True, eq=False):
    """One process with its sweeper, and whether its attempts have ended."""

    host: FleetHost
    incarnation: Incarnation
    ended: bool = False


class Bed:
    """A fleet before engines."""

    def __init__(self, *, seed: int, hosts: int = HOSTS) -> None:
        self.random = Random(seed)
        self.fleet = FleetFake(seed=seed)
        names = [TargetName(f"engine-{at:02d}") for at in range(ENGINES)]
        self.engines = {name: EnginePort(name=name) for name in names}
        self.processes = [self.start(host) for host in self.fleet.add(hosts)]

    def start(self, host: FleetHost) -> Process:
        """Start a process on a host of the fleet."""
        myself = next(
            member.incarnation
            for member in host.membership.members
            if member.incarnation.host == host.name
        )
        process = Process(host=host, incarnation=myself)
        sweeper = Sweeper(
            myself=myself,
            members=lambda: host.membership.members,
            engines=lambda: cast("dict[TargetName, Engine]", self.engines),
            peers=host.peers,
            running=lambda call, attempt: call.startswith(host.name) and not process.ended,
            seed=self.random.randrange(2**32),
        )
        host.tasks.append(get_running_loop().create_task(sweeper.run()))
        return process

    def hold(self, process: Process) -> None:
        """Hold memory at a third of the engines."""
        owner = process.incarnation
        for name in self.random.sample(sorted(self.engines), ENGINES // 3):
            holding = Holding(
                id=f"{owner}-{name}",
                kind=HoldingKind.RESERVATION,
                call=CallId(f"{owner.host}-call"),
                attempt=1,
                owner=owner,
                tokens=TOKENS,
            )
            self.engines[name].model.reserve(now=get_running_loop().time(), holding=holding)

    def held(self, processes: list[Process]) -> int:
        """Return the tokens that stand-ins count for some processes."""
        owners = {process.incarnation for process in processes}
        return sum(
            holding.tokens
            for engine in self.engines.values()
            for holding in engine.model.holdings
            if holding.owner in owners
        )


def _play(
    script: Callable[[Bed], Awaitable[float]], *, seed: int = SEEDS[0], hosts: int = HOSTS
) -> float:
    async def main() -> float:
        bed = Bed(seed=seed, hosts=hosts)
        await until(bed.fleet.complete, limit=LIMIT)
        for process in bed.processes:
            bed.hold(process)
        await sleep(bed.random.uniform(1.0, 3.0))
        return await script(bed)

    return run_virtual(main())


async def _kill(bed: Bed, victims: list[Process]) -> float:
    for process in victims:
        bed.fleet.kill(process.host)
    seconds = await until(lambda: not bed.held(victims), limit=LIMIT)
    others = [process for process in bed.processes if process not in victims]
    lost = len(others) * (ENGINES // 3) * TOKENS - bed.held(others)
    return seconds if not lost else float("inf")


async def _one(bed: Bed) -> float:
    return await _kill(bed, bed.random.sample(bed.processes, 1))


async def _two(bed: Bed) -> float:
    return await _kill(bed, bed.random.sample(bed.processes, 2))


async def _place(bed: Bed) -> float:
    place = bed.processes[0].host.place
    return await _kill(bed, [item for item in bed.processes if item.host.place == place])


async def _engine(bed: Bed) -> float:
    # An engine dies, its process ends the attempt, and none of its releases arrives.
    name = bed.random.choice(sorted(bed.engines))
    dead = bed.engines[name].model
    owners = {holding.owner for holding in dead.holdings}
    dead.die(now=get_running_loop().time())
    victims = [item for item in bed.processes if item.incarnation in owners]
    for process in victims:
        process.ended = True
    return await until(lambda: not bed.held(victims), limit=LIMIT)


async def _false_suspicion(bed: Bed) -> float:
    # Datagrams are lost and processes stop for a while; all of them live on.
    before = bed.held(bed.processes)
    bed.fleet.network.loss = LOSS
    for _ in range(PAUSES):
        paused = bed.random.choice(bed.processes).host
        bed.fleet.pause(paused)
        await sleep(PAUSE_SECONDS)
        bed.fleet.resume(paused)
        await sleep(PAUSE_SECONDS)
    return float(before - bed.held(bed.processes))


async def _reads(bed: Bed) -> float:
    before = sum(engine.reads for engine in bed.engines.values())
    await sleep(QUIET_SECONDS)
    reads = sum(engine.reads for engine in bed.engines.values()) - before
    return reads / QUIET_SECONDS / len(bed.processes)


async def _bytes(bed: Bed) -> float:
    before = _message_bytes(bed)
    await sleep(QUIET_SECONDS)
    return (_message_bytes(bed) - before) / QUIET_SECONDS / len(bed.processes)


def reads(*, hosts: int = HOSTS) -> float:
    """Return how many engines a host reads a second while nothing fails."""
    return _play(_reads, hosts=hosts)


def message_bytes(*, hosts: int = HOSTS) -> float:
    """Return the bytes a second that a host exchanges about owners while nothing fails."""
    return _play(_bytes, hosts=hosts)


def _message_bytes(bed: Bed) -> int:
    return sum(
        item.sent_bytes + item.received_bytes
        for process in bed.processes
        for item in process.host.peers.traffic
        if item.kind in MESSAGES
    )


def records() -> list[Record]:
    """Measure the sweep."""
    scripts = {"entry": _one, "two_entries": _two, "place": _place, "engine": _engine}
    found = [
        Record(
            name=f"memory.returned_max.{case}",
            value=max(_play(script, seed=seed) for seed in SEEDS),
            unit="s",
            bound=AIM,
            direction=Direction.AT_MOST,
        )
        for case, script in scripts.items()
    ]
    wrong = sum(_play(_false_suspicion, seed=seed) for seed in SEEDS)
    return [
        *found,
        Record(
            name="memory.released_of_the_living",
            value=wrong,
            unit="tokens",
            bound=0.0,
            direction=Direction.AT_MOST,
        ),
        Record(
            name="memory.reads_per_host",
            value=reads(),
            unit="1/s",
            bound=4.0,
            direction=Direction.AT_MOST,
        ),
        Record(
            name="memory.message_bytes_per_host",
            value=message_bytes(),
            unit="bytes/s",
            bound=1_500.0,
            direction=Direction.AT_MOST,
        ),
    ]


if __name__ == "__main__":
    for record in records():
        print(record.name, round(record.value, 3), record.unit, record.holds)
