"""The driver of one lease."""

from asyncio import Lock, get_running_loop, sleep
from functools import singledispatchmethod

from absl import logging
from msgspec.json import encode

from azureswitch.coordination.leases._model import (
    LEASE_KIND,
    LEASE_TERM,
    CreateLease,
    LeaseConflicted,
    LeaseEvent,
    LeaseFenced,
    LeaseOutcomeUnknown,
    LeaseRead,
    LeaseReleased,
    LeaseStoreFailed,
    LeaseTicked,
    LeaseUsed,
    LeaseWritten,
    ReadLease,
    UpdateLease,
)
from azureswitch.coordination.leases._reduce import reduce
from azureswitch.coordination.leases._state import LeaseState
from azureswitch.core import Effect, Incarnation
from azureswitch.exceptions import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreOutcomeUnknownError,
)
from azureswitch.ports import Store

_TICK_SECONDS = 0.5
"""Seconds between two `LeaseTicked` events."""

_MAX_STORE_CALLS = 6
"""Upper bound of store calls after one event; a store that loses every answer is asked later."""


class Lease:
    """Acquires, renews and releases the lease of one group for one host.

    Args:
        myself: This process.
        store: The platform's store.
        group: The group.
        seed: Seeds the jitter and the nonces; different on every host.
        term: Seconds without a renewal after which another host takes over.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        store: Store,
        group: str,
        seed: int,
        term: float = LEASE_TERM,
    ) -> None:
        self._state = LeaseState(myself=myself, seed=seed, term=term)
        self._store = store
        self._group = group
        self._lock = Lock()

    @property
    def group(self) -> str:
        """The group that the lease is on."""
        return self._group

    @property
    def fence(self) -> int | None:
        """The fencing number while this host assumes that it holds the lease, otherwise None."""
        return self._state.fence

    async def contend(self) -> int | None:
        """Acquire or renew the lease if that is due.

        Returns:
            The fencing number if this host holds the lease now, otherwise None.
        """
        await self._apply(LeaseTicked(now=get_running_loop().time()))
        return self.fence

    async def use(self) -> int:
        """Return the fencing number for one order, confirmed within the last term.

        Raises:
            LeaseLostError: The lease was lost or could not be confirmed.
        """
        await self._apply(LeaseUsed(now=get_running_loop().time()))
        fence = self.fence
        if fence is None or not self._state.is_fresh(now=get_running_loop().time()):
            raise LeaseLostError(group=self._group)
        return fence

    async def yield_to(self, *, newest: int) -> None:
        """Yield the lease to a newer holder, whose fencing number a receiver has reported."""
        await self._apply(LeaseFenced(now=get_running_loop().time(), newest=newest))

    async def release(self) -> None:
        """Release the lease, so that another host need not wait for the end of the term."""
        await self._apply(LeaseReleased(now=get_running_loop().time()))

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            await self.contend()
            await sleep(_TICK_SECONDS)

    async def _apply(self, event: LeaseEvent) -> None:
        # The lock allows one store call at a time: the next event is the result of the last effect.
        async with self._lock:
            before = self.fence
            effects = reduce(self._state, event)
            for _ in range(_MAX_STORE_CALLS):
                if not effects:
                    break
                effects = reduce(self._state, await self._execute(effects[0]))
            if before != self.fence:
                logging.info("leases: %s has fence %s here.", self._group, self.fence)

    async def _execute(self, effect: Effect) -> LeaseEvent:
        try:
            return await self._run(effect)
        except StoreOutcomeUnknownError:
            return LeaseOutcomeUnknown(now=get_running_loop().time())
        except (StoreConflictError, StoreNotFoundError):
            return LeaseConflicted(now=get_running_loop().time())
        except StoreError:
            return LeaseStoreFailed(now=get_running_loop().time())

    @singledispatchmethod
    async def _run(self, effect: Effect) -> LeaseEvent:
        raise NotImplementedError(type(effect))

    @_run.register
    async def _(self, effect: ReadLease) -> LeaseEvent:
        try:
            item = await self._store.get(kind=LEASE_KIND, name=self._group)
        except StoreNotFoundError:
            return LeaseRead(now=get_running_loop().time(), item=None)
        return LeaseRead(now=get_running_loop().time(), item=item)

    @_run.register
    async def _(self, effect: CreateLease) -> LeaseEvent:
        value = encode(effect.value)
        item = await self._store.create(kind=LEASE_KIND, name=self._group, value=value)
        return LeaseWritten(now=get_running_loop().time(), item=item)

    @_run.register
    async def _(self, effect: UpdateLease) -> LeaseEvent:
        item = await self._store.update(
            kind=LEASE_KIND,
            name=self._group,
            value=encode(effect.value),
            version=effect.version,
        )
        return LeaseWritten(now=get_running_loop().time(), item=item)
