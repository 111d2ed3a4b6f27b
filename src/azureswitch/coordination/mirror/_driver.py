"""Follows one kind of the store's objects by listing and watching."""

from asyncio import CancelledError, Task, create_task, get_running_loop, sleep
from collections.abc import Callable
from random import Random

from absl import logging

from azureswitch.coordination.mirror._events import Broken, Changed, Listed, MirrorEvent, Ticked
from azureswitch.coordination.mirror._reduce import Publish, reduce
from azureswitch.coordination.mirror._state import MirrorState
from azureswitch.exceptions import StoreError, StoreVersionGoneError
from azureswitch.ports import Store, StoredObject

Listener = Callable[[tuple[StoredObject, ...]], None]

WATCH_SECONDS = 0.9
"""Seconds that one watch waits.

A watch may be deaf without being cut off: while the store drops its history, it hears nothing for a
second or longer.  A new one from the same version hears of all that was missed, or that the history
is gone.  A change must be in force 2 s after it was acknowledged, so the next watch has to begin
within 1 s of the end of that second.  Each watch is a call that is paid for.
"""

TICK = 0.1
"""Seconds between two looks for objects whose grace is over."""

PAUSE_FIRST = 0.05
"""Seconds before the first new call after a failure, at most."""

PAUSE_MOST = 0.4
"""Seconds between two calls while the store fails, at most: a change must be in force after 2 s."""


class Mirror:
    """A copy of the objects of one kind, kept up to date while `run` runs.

    Args:
        store: The store.
        kind: The kind.
        publish: Called with all objects whenever they changed.
        return_grace: Seconds after the store's return for which an object that is missing stays.
        seed: Seeds the pauses between calls.
    """

    def __init__(
        self,
        *,
        store: Store,
        kind: str,
        publish: Listener,
        return_grace: float = 0.0,
        seed: int,
    ) -> None:
        self._store = store
        self._kind = kind
        self._listener = publish
        self._random = Random(seed)
        self._state = MirrorState(return_grace=return_grace)
        self._failures = 0

    @property
    def listed(self) -> bool:
        """Whether the objects have been read once."""
        return self._state.listed

    @property
    def version(self) -> int:
        """The version up to which the copy is complete."""
        return self._state.version

    async def run(self) -> None:
        """Follow the store until cancelled."""
        ticks = create_task(self._tick())
        try:
            await self._follow()
        finally:
            await _end(ticks)

    async def _follow(self) -> None:
        listing = True
        while True:
            try:
                if listing:
                    await self._list()
                    listing = False
                await self._watch()
            except StoreVersionGoneError:
                logging.info("mirror: The history of %s is gone; listing again.", self._kind)
                listing = True
            except StoreError as error:
                await self._pause(error)

    async def _list(self) -> None:
        listing = await self._store.list(kind=self._kind)
        self._recovered()
        self._feed(Listed(now=_now(), listing=listing))

    async def _watch(self) -> None:
        changes = self._store.watch(
            kind=self._kind, version=self._state.version, timeout=WATCH_SECONDS
        )
        async for change in changes:
            self._recovered()
            self._feed(Changed(now=_now(), change=change))

    async def _pause(self, error: StoreError) -> None:
        if not self._failures:
            logging.warning("mirror: The store does not answer for %s: %s", self._kind, error)
        self._failures += 1
        self._feed(Broken(now=_now()))
        most = min(PAUSE_MOST, PAUSE_FIRST * 2.0 ** min(self._failures, 8))
        await sleep(most * self._random.uniform(0.5, 1.0))

    def _recovered(self) -> None:
        if self._failures:
            logging.info("mirror: The store answers again for %s.", self._kind)
        self._failures = 0

    async def _tick(self) -> None:
        while True:
            await sleep(TICK)
            if self._state.missing:
                self._feed(Ticked(now=_now()))

    def _feed(self, event: MirrorEvent) -> None:
        for effect in reduce(event, self._state):
            if isinstance(effect, Publish):
                self._listener(effect.objects)


async def _end(task: Task[None]) -> None:
    task.cancel()
    try:
        await task
    except CancelledError:
        return


def _now() -> float:
    return get_running_loop().time()
