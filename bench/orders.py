"""How fast the fleet's engines change their model under the weight store's limit, and the cost.

Real memberships, leases and order keepers run in virtual time before stand-in engines.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable
from typing import cast

from azureswitch.coordination.orders import LOADS, OrderKeeper, Wanted
from azureswitch.core import TargetName
from azureswitch.ports import Engine, EngineState, Order, OrderKind
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.engine import EngineModel, EngineSettings
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from bench.records import Direction, Record

HOSTS = 9
ENGINES = 24
OLD, NEW, LATE = "base@1", "base@2", "late@1"
LOAD_SECONDS = 30.0
QUIET_SECONDS = 60.0
LIMIT = 3_600.0
STEP = 0.25


class EnginePort:
    """The part of an engine that orders use, over a stand-in."""

    def __init__(self, *, name: TargetName) -> None:
        settings = EngineSettings(
            name=name, models=(OLD,), checks_fence=False, load_seconds=LOAD_SECONDS
        )
        self.model = EngineModel(settings=settings)
        self.calls = 0
        self._ordered: set[str] = set()

    @property
    def state_now(self) -> EngineState:
        """The state without a call."""
        return self.model.state(now=get_running_loop().time())

    @property
    def loading(self) -> int:
        """Loads under way."""
        self._ordered -= set(self.state_now.models)
        return len(self._ordered)

    async def state(self) -> EngineState:
        """Read the state back."""
        self.calls += 1
        return self.state_now

    async def order(self, *, order: Order) -> EngineState:
        """Carry out an order."""
        self.calls += 1
        state = self.model.order(now=get_running_loop().time(), order=order)
        if order.kind is OrderKind.MODEL and order.present:
            self._ordered.add(order.value)
        elif order.kind is OrderKind.MODEL:
            self._ordered.discard(order.value)
        return state


class Bed:
    """A fleet before engines."""

    def __init__(self, *, engines: int = ENGINES) -> None:
        self.fleet = FleetFake(seed=1)
        names = [TargetName(f"engine-{at:02d}") for at in range(engines)]
        self.engines = {name: EnginePort(name=name) for name in names}
        self.wanted = self._want(OLD)
        for host in self.fleet.add(HOSTS):
            self._start(host)

    @property
    def loading(self) -> int:
        """Loads under way at all engines."""
        return sum(engine.loading for engine in self.engines.values())

    def want(self, model: str) -> None:
        """Change what is wanted of all engines."""
        self.wanted = self._want(model)

    def settled(self) -> bool:
        """Whether every engine has exactly what is wanted."""
        return all(self.engines[i.target].state_now.models == i.models for i in self.wanted)

    def _want(self, model: str) -> tuple[Wanted, ...]:
        return tuple(Wanted(target=name, models=(model,)) for name in self.engines)

    def _start(self, host: FleetHost) -> None:
        myself = next(
            member.incarnation
            for member in host.membership.members
            if member.incarnation.host == host.name
        )
        keeper = OrderKeeper(
            myself=myself,
            store=host.store,
            members=lambda: host.membership.members,
            engines=lambda: cast("dict[TargetName, Engine]", self.engines),
            wanted=lambda: self.wanted,
            seed=myself.started,
        )
        host.tasks.append(get_running_loop().create_task(keeper.run()))


def _play(
    script: Callable[[Bed], Awaitable[tuple[float, float]]], *, engines: int = ENGINES
) -> tuple[float, float]:
    async def main() -> tuple[float, float]:
        bed = Bed(engines=engines)
        await until(bed.fleet.complete, limit=60.0)
        await sleep(QUIET_SECONDS)
        return await script(bed)

    return run_virtual(main())


async def _rollout(bed: Bed) -> tuple[float, float]:
    """Return how long a new model takes, against the limit's own time, and the most loads."""
    most = 0
    start = get_running_loop().time()
    bed.want(NEW)
    while not bed.settled() and get_running_loop().time() < start + LIMIT:
        most = max(most, bed.loading)
        await sleep(STEP)
    least = ENGINES * LOAD_SECONDS / LOADS
    return (get_running_loop().time() - start) / least, float(most)


async def _quiet(bed: Bed) -> tuple[float, float]:
    """Return store writes a second, and calls a second at each engine."""
    writes = bed.fleet.model.counters.writes
    calls = sum(engine.calls for engine in bed.engines.values())
    await sleep(QUIET_SECONDS)
    writes = bed.fleet.model.counters.writes - writes
    calls = sum(engine.calls for engine in bed.engines.values()) - calls
    return writes / QUIET_SECONDS, calls / QUIET_SECONDS / len(bed.engines)


async def _late(bed: Bed) -> tuple[float, float]:
    """Return how long late orders stand at engines that ignore fences; the model serves on."""
    for engine in bed.engines.values():
        await engine.order(order=Order(kind=OrderKind.MODEL, value=LATE, present=True, fence=0))
        engine.model.order(
            now=get_running_loop().time(),
            order=Order(kind=OrderKind.ROLE, value="draining", present=True, fence=0),
        )
    seconds = await until(
        lambda: all(e.state_now.role == "serving" for e in bed.engines.values()), limit=LIMIT
    )
    await until(bed.settled, limit=LIMIT)
    return seconds, 0.0


def quiet(*, engines: int = ENGINES) -> tuple[float, float]:
    """Return store writes a second, and calls a second at each engine, with nothing to do.

    Args:
        engines: Engines before the fleet.
    """
    return _play(_quiet, engines=engines)


def records() -> list[Record]:
    """Measure orders."""
    ratio, most = _play(_rollout)
    writes, calls = quiet()
    late, _ = _play(_late)
    return [
        Record(
            name="orders.rollout_over_limit",
            value=ratio,
            unit="ratio",
            bound=1.1,
            direction=Direction.AT_MOST,
        ),
        Record(
            name="orders.most_loads",
            value=most,
            unit="loads",
            bound=float(LOADS),
            direction=Direction.AT_MOST,
        ),
        Record(
            name="orders.lease_writes",
            value=writes,
            unit="1/s",
            bound=4.0,
            direction=Direction.AT_MOST,
        ),
        Record(
            name="orders.calls_per_engine",
            value=calls,
            unit="1/s",
            bound=0.3,
            direction=Direction.AT_MOST,
        ),
        Record(
            name="orders.late_order_stands_max",
            value=late,
            unit="s",
            bound=10.0,
            direction=Direction.AT_MOST,
        ),
    ]


if __name__ == "__main__":
    for record in records():
        print(record.name, round(record.value, 3), record.unit, record.holds)
