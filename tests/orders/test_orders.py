"""Tests of orders: paused holders, engines that ignore fences, restarts and the load limit."""

from asyncio import Event, TaskGroup, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from msgspec.structs import replace

from azureswitch.coordination.leases import LEASE_TERM
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.orders import (
    LOADS,
    MAX_READ_FAILURES,
    READ_PERIOD_SECONDS,
    OrderKeeper,
    Wanted,
    plan_groups,
)
from azureswitch.core import HostName, Incarnation, PlaceName, TargetName
from azureswitch.exceptions import OrderRefusedError, TargetRefusedError
from azureswitch.inventory import TargetRole
from azureswitch.ports import Engine, EngineState, Order, OrderKind
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.engine import EngineError, EngineModel, EngineSettings
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel

HOSTS = tuple(HostName(f"host-{at}") for at in range(3))
OLD, NEW = "base@1", "base@2"
LOAD_SECONDS = 10.0
SETTLE_SECONDS = 60.0
"""Seconds within which a few engines reach their wanted state under any of these faults."""


class EngineFake:
    """A stand-in engine that records its orders and its loads in progress.

    Attributes:
        model: The stand-in.
        down: Whether it cannot be reached.
        orders: All orders that it received.
    """

    def __init__(self, *, name: str, checks_fence: bool) -> None:
        settings = EngineSettings(
            name=name, models=(OLD,), checks_fence=checks_fence, load_seconds=LOAD_SECONDS
        )
        self.model = EngineModel(settings=settings)
        self.down = False
        self.orders: list[Order] = []
        self._ordered: set[str] = set()

    @property
    def loading(self) -> set[str]:
        """Models ordered and not loaded yet."""
        self._ordered -= set(self.now_state.models)
        return self._ordered

    @property
    def now_state(self) -> EngineState:
        """The state, read without a call."""
        return self.model.state(now=get_running_loop().time())

    def restart(self) -> None:
        """Lose all orders."""
        self._ordered = set()
        self.model.restart(now=get_running_loop().time(), started=2)

    async def state(self) -> EngineState:
        """Read the state back."""
        if self.down:
            raise TargetRefusedError(target="engine")
        return self.now_state

    async def order(self, *, order: Order) -> EngineState:
        """Carry out an order."""
        if self.down:
            raise TargetRefusedError(target="engine")
        self.orders.append(order)
        try:
            state = self.model.order(now=get_running_loop().time(), order=order)
        except EngineError as error:
            newest = self.now_state.fence
            raise OrderRefusedError(target="engine", fence=order.fence, newest=newest) from error
        if order.kind is OrderKind.MODEL and order.present:
            self._ordered.add(order.value)
        return state


class DelayedEngine:
    """One host's connection to an engine, on which orders can be delayed."""

    def __init__(self, *, engine: EngineFake) -> None:
        self.engine = engine
        self.held = 0
        self.open = Event()
        self.open.set()

    async def state(self) -> EngineState:
        """Read the state back."""
        return await self.engine.state()

    async def order(self, *, order: Order) -> EngineState:
        """Execute an order, once the connection is open."""
        self.held += 1
        await self.open.wait()
        self.held -= 1
        return await self.engine.order(order=order)


async def until(reached: Callable[[], bool], *, limit: float = SETTLE_SECONDS) -> float:
    """Wait until a condition is true; return the elapsed seconds."""
    start = get_running_loop().time()
    while not reached():
        assert get_running_loop().time() < start + limit
        await sleep(0.5)
    return get_running_loop().time() - start


class Fleet:
    """Hosts that manage engines."""

    def __init__(self, *, engines: int = 1, checks_fence: bool = True) -> None:
        names = [f"engine-{at:02d}" for at in range(engines)]
        self.model = StoreModel()
        self.engines = {
            TargetName(name): EngineFake(name=name, checks_fence=checks_fence) for name in names
        }
        self.wanted = tuple(Wanted(target=name, models=(NEW,)) for name in self.engines)
        self.members = {
            name: Member(
                incarnation=Incarnation(host=name, started=1),
                place=PlaceName("place"),
                address="10.0.0.1:7000",
                status=MemberStatus.ALIVE,
            )
            for name in HOSTS
        }
        self.connections = {
            host: {name: DelayedEngine(engine=engine) for name, engine in self.engines.items()}
            for host in HOSTS
        }
        self.stores = {host: StoreFake(model=self.model) for host in HOSTS}
        self.member_lists = {host: dict(self.members) for host in HOSTS}
        self.keepers = {host: self._keeper(at, host) for at, host in enumerate(HOSTS)}
        self.dead: set[HostName] = set()
        self.max_loading = 0

    def _keeper(self, at: int, host: HostName) -> OrderKeeper:
        return OrderKeeper(
            myself=self.members[host].incarnation,
            store=self.stores[host],
            members=self.member_lists[host].values,
            engines=lambda: cast("dict[TargetName, Engine]", self.connections[host]),
            wanted=lambda: self.wanted,
            seed=at,
        )

    @property
    def holder(self) -> HostName:
        """A host that holds the first group."""
        return next(host for host in HOSTS if self.keepers[host].groups)

    @property
    def settled(self) -> bool:
        """Whether every reachable engine has its wanted state."""
        states = {name: e.now_state for name, e in self.engines.items() if not e.down}
        return all(
            states[item.target].models == item.models
            and states[item.target].role == item.role.value
            for item in self.wanted
            if item.target in states
        )

    def want(self, *models: str, role: TargetRole = TargetRole.SERVING) -> None:
        """Change the wanted state of all engines."""
        self.wanted = tuple(replace(item, models=models, role=role) for item in self.wanted)

    def remove(self, host: HostName, *, by: tuple[HostName, ...] = HOSTS) -> None:
        """Remove a host from the member lists of others."""
        for other in by:
            self.member_lists[other].pop(host, None)

    def run(self, script: Callable[["Fleet"], Awaitable[None]]) -> None:
        """Run a script concurrently with all keepers in virtual time."""

        async def main() -> None:
            async with TaskGroup() as group:
                tasks = {host: group.create_task(k.run()) for host, k in self.keepers.items()}
                tasks[HostName("")] = group.create_task(self._watch(tasks))
                await script(self)
                for task in tasks.values():
                    task.cancel()

        run_virtual(main())

    async def _watch(self, tasks: dict[HostName, object]) -> None:
        while True:
            loading = sum(len(engine.loading) for engine in self.engines.values())
            self.max_loading = max(self.max_loading, loading)
            await sleep(0.5)

    async def settle(self, *, limit: float = SETTLE_SECONDS) -> float:
        """Wait until every engine has its wanted state; return the elapsed seconds."""
        return await until(lambda: self.settled, limit=limit)


class TestWanted:
    """Engines reach their wanted state."""

    def test_new_version_is_there_before_the_old_goes(self) -> None:
        """A new version of a model is loaded before the old one is unloaded."""

        async def script(fleet: Fleet) -> None:
            await fleet.settle()
            (engine,) = fleet.engines.values()
            assert [order.present for order in engine.orders] == [True, False]

        Fleet().run(script)

    def test_draining_engine_is_told_and_loads_nothing(self) -> None:
        """A draining engine gets its role at once and no more models."""

        async def script(fleet: Fleet) -> None:
            fleet.want(OLD, role=TargetRole.DRAINING)
            await fleet.settle()
            fleet.want(OLD, NEW, role=TargetRole.DRAINING)
            await sleep(SETTLE_SECONDS)
            (engine,) = fleet.engines.values()
            assert [order.kind for order in engine.orders] == [OrderKind.ROLE]
            fleet.want(OLD)
            await fleet.settle()

        Fleet().run(script)

    def test_restarted_engine_is_ordered_again(self) -> None:
        """An engine that restarts during a load, or after it, is ordered again."""

        async def script(fleet: Fleet) -> None:
            (engine,) = fleet.engines.values()
            await sleep(LOAD_SECONDS / 2)
            engine.restart()
            await fleet.settle(limit=LOAD_SECONDS + 2 * READ_PERIOD_SECONDS)
            engine.restart()
            await fleet.settle(limit=LOAD_SECONDS + 2 * READ_PERIOD_SECONDS)

        Fleet().run(script)


class TestLeaving:
    """A host that shuts down while its requests end."""

    def test_another_host_takes_over(self) -> None:
        """It releases its leases and acquires none again, and another host takes over."""

        async def script(fleet: Fleet) -> None:
            await fleet.settle()
            leaving = fleet.holder
            others = tuple(host for host in HOSTS if host != leaving)
            fleet.remove(leaving, by=others)
            for host in others:
                fleet.stores[host].faults = StoreFaults(down=True)
            await fleet.keepers[leaving].stop()
            await sleep(5.0)
            assert fleet.keepers[leaving].groups == ()
            for host in others:
                fleet.stores[host].faults = StoreFaults()
            fleet.want(OLD)
            await fleet.settle()
            assert fleet.keepers[leaving].groups == ()
            assert fleet.holder != leaving

        Fleet().run(script)


class TestLateOrders:
    """Orders of a lease holder that was paused between its check of the lease and their arrival."""

    @pytest.mark.parametrize("checks_fence", [True, False], ids=["checks", "ignores"])
    def test_late_order_does_no_harm(self, checks_fence: bool) -> None:
        """An engine that checks fences rejects it; another one is corrected after the next read."""

        async def script(fleet: Fleet) -> None:
            await fleet.settle()
            (name,) = fleet.engines
            engine, paused = fleet.engines[name], fleet.holder
            connection = fleet.connections[paused][name]
            connection.open.clear()
            fleet.want("other")
            await until(lambda: connection.held > 0)
            fleet.want(NEW)
            fleet.stores[paused].faults = StoreFaults(down=True)
            fleet.remove(paused, by=tuple(host for host in HOSTS if host != paused))
            await until(lambda: len([host for host in HOSTS if fleet.keepers[host].groups]) == 2)
            # One order of the successor makes its fencing number known to the engine.
            fleet.want(NEW, "third")
            await fleet.settle()
            before = engine.now_state
            fleet.stores[paused].faults = StoreFaults()
            connection.open.set()
            await sleep(0.1)
            assert engine.orders[-1].value == "other"
            assert engine.orders[-1].fence < before.fence
            assert bool(engine.loading) is not checks_fence
            for _ in range(int(LOAD_SECONDS)):
                await sleep(1.0)
                assert NEW in engine.now_state.models
            await fleet.settle()
            await sleep(SETTLE_SECONDS)
            assert fleet.settled

        Fleet(checks_fence=checks_fence).run(script)

    def test_refused_fence_is_not_sent_again(self) -> None:
        """A holder whose order was rejected checks with the store before it sends another."""

        async def script(fleet: Fleet) -> None:
            await fleet.settle()
            (engine,) = fleet.engines.values()
            newer = Order(kind=OrderKind.ADAPTER, value="a", present=True, fence=1_000)
            await engine.order(order=newer)
            fleet.want("other")
            await sleep(SETTLE_SECONDS)
            refused = engine.orders[engine.orders.index(newer) + 1 :]
            assert len(refused) > 1
            assert len({order.fence for order in refused}) == len(refused)

        Fleet().run(script)

    def test_holder_without_the_store_sends_nothing(self) -> None:
        """A holder that cannot confirm its lease after its term sends no orders."""

        async def script(fleet: Fleet) -> None:
            await fleet.settle()
            (engine,) = fleet.engines.values()
            fleet.stores[fleet.holder].faults = StoreFaults(down=True)
            await sleep(2 * LEASE_TERM)
            sent = len(engine.orders)
            fleet.want("other")
            await sleep(SETTLE_SECONDS)
            assert len(engine.orders) == sent

        Fleet().run(script)


class TestLoadLimit:
    """The limit of concurrent loads from the weight store."""

    def test_loads_at_a_time_stay_under_the_limit(self) -> None:
        """Many engines load at the limit, but not above it."""

        async def script(fleet: Fleet) -> None:
            seconds = await fleet.settle(limit=600.0)
            assert fleet.max_loading == LOADS
            # Reads between two loads reduce the rate.
            assert seconds <= 1.5 * LOAD_SECONDS * len(fleet.engines) / LOADS

        Fleet(engines=24).run(script)

    def test_limit_holds_over_a_change_of_holder(self) -> None:
        """The next holder of the lease counts loads that are still in progress."""

        async def script(fleet: Fleet) -> None:
            await sleep(LOAD_SECONDS / 2)
            dead = fleet.holder
            fleet.stores[dead].faults = StoreFaults(down=True)
            for connection in fleet.connections[dead].values():
                connection.open.clear()
            fleet.remove(dead)
            await fleet.settle(limit=600.0)
            assert fleet.max_loading <= LOADS

        Fleet(engines=12).run(script)

    def test_dead_engine_blocks_no_other(self) -> None:
        """Loads of dead engines do not block others."""

        async def script(fleet: Fleet) -> None:
            await sleep(LOAD_SECONDS / 2)
            for engine in fleet.engines.values():
                engine.down = bool(engine.loading)
            await fleet.settle(limit=MAX_READ_FAILURES * READ_PERIOD_SECONDS + 2 * LOAD_SECONDS)
            for engine in fleet.engines.values():
                engine.down = False
            await fleet.settle(limit=600.0)

        Fleet(engines=8).run(script)

    @pytest.mark.parametrize(("engines", "loads"), [(1, 4), (3, 4), (4, 4), (600, 8), (5, 1)])
    def test_groups_share_the_limit(self, engines: int, loads: int) -> None:
        """Every group can load something, and all groups together stay within the limit."""
        wanted = [Wanted(target=TargetName(f"engine-{at}"), models=(NEW,)) for at in range(engines)]
        groups = plan_groups(wanted=reversed(wanted), loads=loads)
        assert sum(group.loads for group in groups) == loads
        assert all(group.loads for group in groups)
        assert sorted(item.target for group in groups for item in group.wanted) == sorted(
            item.target for item in wanted
        )
        assert groups == plan_groups(wanted=wanted, loads=loads)
