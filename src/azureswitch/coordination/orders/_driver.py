"""The driver of the orders reducer, with leases and engines."""

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
    StateReadFailed,
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

_TICK_SECONDS = 1.0
"""Seconds between two `OrdersTicked` events."""


class OrderKeeper:
    """Manages the groups of engines that are assigned to this host.

    Args:
        myself: This process.
        store: The platform's store.
        members: Returns the current members, this host included.
        engines: Returns the engines of the configuration in force.
        wanted: Returns the wanted states of engines, for example `wanted_from` a configuration.
        seed: Seeds the jitter; different on every host.
        loads: Upper bound of concurrent loads from the weight store by the whole fleet.
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
        """The groups whose lease this host holds, as far as it knows."""
        return tuple(name for name, lease in self._leases.items() if lease.fence is not None)

    @property
    def loading(self) -> int:
        """Number of loads in progress that this host has ordered."""
        return self._state.loading

    async def run(self) -> None:
        """Manage engines until cancelled."""
        async with TaskGroup() as group:
            group.create_task(self._renew())
            while True:
                await self.tick()
                await sleep(_TICK_SECONDS)

    async def stop(self) -> None:
        """Release all leases and acquire no more, so that other hosts need not wait for expiry."""
        self._stopped = True
        await gather(*(lease.release() for lease in self._leases.values()))
        self._leases = {}

    async def tick(self) -> None:
        """Execute what is due now; does nothing after `stop`."""
        if self._stopped:
            return
        plans = plan_groups(wanted=self._wanted(), loads=self._loads)
        held = await self._acquire_leases(plans)
        event = OrdersTicked(now=get_running_loop().time(), groups=held)
        await self._execute_all(reduce(self._state, event))

    async def _renew(self) -> None:
        # Leases are renewed separately, as an engine that hangs delays a tick.
        while True:
            await sleep(_TICK_SECONDS)
            await gather(*(lease.contend() for lease in tuple(self._leases.values())))

    async def _acquire_leases(self, plans: tuple[GroupPlan, ...]) -> tuple[GroupPlan, ...]:
        live = {
            member.incarnation.host
            for member in self._members()
            if member.status is MemberStatus.ALIVE
        }
        live.add(self._myself.host)
        own = [plan for plan in plans if ranked(name=plan.name, hosts=live)[0] == self._myself.host]
        names = {plan.name for plan in own}
        dropped = [self._leases.pop(name) for name in self._leases.keys() - names]
        await gather(*(lease.release() for lease in dropped))
        fences = await gather(*(self._lease(plan.name).contend() for plan in own))
        return tuple(plan for plan, fence in zip(own, fences, strict=True) if fence is not None)

    def _lease(self, name: str) -> Lease:
        if name not in self._leases:
            self._leases[name] = Lease(
                myself=self._myself, store=self._store, group=name, seed=self._seed
            )
        return self._leases[name]

    async def _execute_all(self, effects: Effects) -> None:
        await gather(*(self._execute(effect) for effect in effects))

    async def _execute(self, effect: Effect) -> None:
        await self._execute_all(reduce(self._state, await self._run(effect)))

    @singledispatchmethod
    async def _run(self, effect: Effect) -> OrdersEvent:
        raise NotImplementedError(type(effect))

    @_run.register
    async def _(self, effect: ReadState) -> OrdersEvent:
        try:
            state = await self._engine(effect.target).state()
        except AzureswitchError:
            return StateReadFailed(now=get_running_loop().time(), target=effect.target)
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
