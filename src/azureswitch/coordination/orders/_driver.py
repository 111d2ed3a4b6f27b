"""The driver that brings engines to their wanted state."""

from asyncio import TaskGroup, gather, get_running_loop, sleep
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod

from absl import logging

from azureswitch.coordination.leases import Lease
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.orders._model import (
    LOADS,
    GroupPlan,
    OrderFailed,
    OrdersEvent,
    OrdersTicked,
    ReadState,
    SendOrder,
    StateRead,
    StateUnread,
    Wanted,
)
from azureswitch.coordination.orders._plan import plan_groups
from azureswitch.coordination.orders._reduce import reduce
from azureswitch.coordination.orders._state import OrdersState
from azureswitch.core import Effect, Effects, Incarnation, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    LeaseLostError,
    OrderRefusedError,
    TargetRefusedError,
)
from azureswitch.hashing import ranked
from azureswitch.ports import Engine, Order, Store

_TICK = 1.0
"""Seconds between two looks at what is due."""


class OrderKeeper:
    """Looks after the groups of engines that fall to this host.

    Args:
        myself: This process.
        store: The platform's store.
        members: Returns what this host knows of the members, itself included.
        engines: Returns the engines of the configuration in force.
        wanted: Returns what the configuration in force wants of them, such as `wanted_from` does.
        seed: Seeds the jitter; different on every host.
        loads: Loads from the weight store at a time at most, over the whole fleet.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        store: Store,
        members: Callable[[], Iterable[Member]],
        engines: Callable[[], Mapping[TargetName, Engine]],
        wanted: Callable[[], Iterable[Wanted]],
        seed: int,
        loads: int = LOADS,
    ) -> None:
        self._myself = myself
        self._store = store
        self._members = members
        self._engines = engines
        self._wanted = wanted
        self._seed = seed
        self._loads = loads
        self._leases: dict[str, Lease] = {}
        self._stopped = False
        self._state = OrdersState(seed=seed)

    @property
    def groups(self) -> tuple[str, ...]:
        """The groups whose lease this host believes to hold."""
        return tuple(name for name, lease in self._leases.items() if lease.fence is not None)

    @property
    def loading(self) -> int:
        """Loads that this host has under way."""
        return self._state.loading

    async def run(self) -> None:
        """Look after engines until cancelled."""
        async with TaskGroup() as group:
            group.create_task(self._renew())
            while True:
                await self.tick()
                await sleep(_TICK)

    async def stop(self) -> None:
        """Give all leases back for good, so that other hosts need not wait."""
        self._stopped = True
        await gather(*(lease.release() for lease in self._leases.values()))
        self._leases = {}

    async def tick(self) -> None:
        """Do what is due now; nothing after `stop`."""
        if self._stopped:
            return
        plans = plan_groups(wanted=self._wanted(), loads=self._loads)
        held = await self._hold(plans)
        event = OrdersTicked(now=get_running_loop().time(), groups=held)
        await self._carry_out(reduce(self._state, event))

    async def _renew(self) -> None:
        # An engine that hangs holds a tick up, and must not cost the leases.
        while True:
            await sleep(_TICK)
            await gather(*(lease.contend() for lease in tuple(self._leases.values())))

    async def _hold(self, plans: tuple[GroupPlan, ...]) -> tuple[GroupPlan, ...]:
        live = {
            member.incarnation.host
            for member in self._members()
            if member.status is MemberStatus.ALIVE
        }
        live.add(self._myself.host)
        mine = [
            plan for plan in plans if ranked(name=plan.name, hosts=live)[0] == self._myself.host
        ]
        names = {plan.name for plan in mine}
        gone = [self._leases.pop(name) for name in self._leases.keys() - names]
        await gather(*(lease.release() for lease in gone))
        fences = await gather(*(self._lease(plan.name).contend() for plan in mine))
        return tuple(plan for plan, fence in zip(mine, fences, strict=True) if fence is not None)

    def _lease(self, name: str) -> Lease:
        if name not in self._leases:
            self._leases[name] = Lease(
                myself=self._myself, store=self._store, group=name, seed=self._seed
            )
        return self._leases[name]

    async def _carry_out(self, effects: Effects) -> None:
        await gather(*(self._follow(effect) for effect in effects))

    async def _follow(self, effect: Effect) -> None:
        await self._carry_out(reduce(self._state, await self._run(effect)))

    @singledispatchmethod
    async def _run(self, effect: Effect) -> OrdersEvent:
        raise NotImplementedError(type(effect))

    @_run.register
    async def _(self, effect: ReadState) -> OrdersEvent:
        try:
            state = await self._engine(effect.target).state()
        except AzureswitchError:
            return StateUnread(now=get_running_loop().time(), target=effect.target)
        return StateRead(now=get_running_loop().time(), target=effect.target, state=state)

    @_run.register
    async def _(self, effect: SendOrder) -> OrdersEvent:
        target = effect.target
        lease = self._lease(effect.group)
        try:
            fence = await lease.use()
            order = Order(kind=effect.kind, value=effect.value, present=effect.present, fence=fence)
            state = await self._engine(target).order(order=order)
        except OrderRefusedError as error:
            await lease.yield_to(newest=error.newest)
            logging.info("orders: %s", error)
            return self._failed(effect, acted=False)
        except (LeaseLostError, TargetRefusedError):
            return self._failed(effect, acted=False)
        except AzureswitchError as error:
            logging.warning("orders: %s", error)
            return self._failed(effect, acted=True)
        logging.info("orders: %s has %s %s.", target, effect.kind.value, effect.value)
        return StateRead(now=get_running_loop().time(), target=target, state=state)

    def _failed(self, effect: SendOrder, *, acted: bool) -> OrdersEvent:
        return OrderFailed(now=get_running_loop().time(), target=effect.target, acted=acted)

    def _engine(self, target: TargetName) -> Engine:
        engine = self._engines().get(target)
        if engine is None:
            raise TargetRefusedError(target=target)
        return engine
