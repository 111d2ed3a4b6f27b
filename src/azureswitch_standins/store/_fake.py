"""The store as an object for tests, with faults that a test switches on and off."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from typing import TypeVar

from msgspec import Struct

from azureswitch.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from azureswitch.ports import ChangeKind, Listing, StoreChange, StoredObject
from azureswitch_standins.store._model import CallKind, StoreCounters, StoreModel

Result = TypeVar("Result")


class StoreFaults(Struct, frozen=True, kw_only=True):
    """What goes wrong with the store.

    Attributes:
        down: Every call fails, nothing is written, and waiting watches break.
        delay: Seconds that each call takes longer.
        lose_after: Writes that pass whole before answers are lost.
        lose_answers: Writes after these whose answers are lost.
        lose_writes: Whether writes with a lost answer are lost as well; else they take effect.
    """

    down: bool = False
    delay: float = 0.0
    lose_after: int = 0
    lose_answers: int = 0
    lose_writes: bool = False


class StoreFake:
    """The `azureswitch.ports.Store` port over a `StoreModel`.

    Several fakes may share one model: each then stands for the way of one host to the store, with
    faults of its own.  Time is that of the running event loop.
    """

    def __init__(self, *, model: StoreModel | None = None) -> None:
        self._model = model or StoreModel()
        self._faults = StoreFaults()
        self._writes = 0
        self._breaks: set[Callable[[], None]] = set()

    @property
    def model(self) -> StoreModel:
        """The objects behind this way to the store."""
        return self._model

    @property
    def counters(self) -> StoreCounters:
        """What the store has counted since the start."""
        return self._model.counters

    @property
    def faults(self) -> StoreFaults:
        """What goes wrong now; set it to change that, which restarts the count of writes."""
        return self._faults

    @faults.setter
    def faults(self, faults: StoreFaults) -> None:
        self._faults = faults
        self._writes = 0
        if faults.down:
            self.drop_watches()

    def drop_watches(self) -> None:
        """Break every waiting watch of this way to the store."""
        for broken in tuple(self._breaks):
            broken()

    async def get(self, *, kind: str, name: str) -> StoredObject:
        """Return an object."""
        await self._enter(call=CallKind.GET, key=f"{kind}/{name}")
        return self._model.get(kind=kind, name=name)

    async def list(self, *, kind: str) -> Listing:
        """Return all objects of a kind."""
        await self._enter(call=CallKind.LIST, key=kind)
        return self._model.list(kind=kind)

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object."""
        key = f"{kind}/{name}"
        await self._enter(call=CallKind.CREATE, key=key)
        return self._write(key, lambda: self._model.create(kind=kind, name=name, value=value))

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object whose version is still ``version``."""
        key = f"{kind}/{name}"
        await self._enter(call=CallKind.UPDATE, key=key)
        return self._write(
            key,
            lambda: self._model.update(kind=kind, name=name, value=value, version=version),
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``."""
        key = f"{kind}/{name}"
        await self._enter(call=CallKind.DELETE, key=key)
        self._write(key, lambda: self._model.delete(kind=kind, name=name, version=version))

    async def watch(
        self, *, kind: str, version: int, timeout: float
    ) -> AsyncGenerator[StoreChange, None]:
        """Yield the changes to a kind after ``version``, and a bookmark at the end."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        await self._enter(call=CallKind.WATCH, key=kind)
        waiter = _Waiter()
        self._model.listen(listener=waiter.wake)
        self._breaks.add(waiter.drop)
        try:
            while True:
                for change in self._model.changes(kind=kind, after=version):
                    version = change.item.version
                    yield change
                if waiter.dropped:
                    raise StoreUnavailableError(key=kind)
                if not await waiter.wait(seconds=end - loop.time()):
                    break
            # A change may have come at the very end; the bookmark must not skip it.
            for change in self._model.changes(kind=kind, after=version):
                version = change.item.version
                yield change
            if self._model.version > version:
                yield _bookmark(kind=kind, version=self._model.version)
        finally:
            self._breaks.discard(waiter.drop)
            self._model.unlisten(listener=waiter.wake)

    async def _enter(self, *, call: CallKind, key: str) -> None:
        if self._faults.delay > 0.0:
            await asyncio.sleep(self._faults.delay)
        if self._faults.down:
            raise StoreUnavailableError(key=key)
        self._model.count(call=call, key=key, now=asyncio.get_running_loop().time())

    def _write(self, key: str, write: Callable[[], Result]) -> Result:
        index = self._writes
        self._writes += 1
        faults = self._faults
        if not faults.lose_after <= index < faults.lose_after + faults.lose_answers:
            return write()
        if not faults.lose_writes:
            write()
        raise StoreOutcomeUnknownError(key=key)


class _Waiter:
    """Wakes one watch."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._dropped = False

    @property
    def dropped(self) -> bool:
        """Whether the watch was broken."""
        return self._dropped

    def wake(self) -> None:
        """Let the watch look for changes."""
        self._event.set()

    def drop(self) -> None:
        """Break the watch."""
        self._dropped = True
        self._event.set()

    async def wait(self, *, seconds: float) -> bool:
        """Wait until woken; return whether that was in time."""
        if seconds <= 0.0:
            return False
        try:
            async with asyncio.timeout(seconds):
                await self._event.wait()
        except TimeoutError:
            return False
        self._event.clear()
        return True


def _bookmark(*, kind: str, version: int) -> StoreChange:
    item = StoredObject(kind=kind, name="", version=version, value=b"")
    return StoreChange(kind=ChangeKind.BOOKMARK, item=item)
