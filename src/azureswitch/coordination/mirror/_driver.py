"""Follows one kind of the store's objects by listing, watching, and what peers tell."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    Task,
    create_task,
    get_running_loop,
    sleep,
    wait,
)
from collections.abc import Callable
from functools import singledispatchmethod
from random import Random
from typing import Any

from absl import logging

from azureswitch.clock import until_step
from azureswitch.coordination.mirror._events import (
    Asked,
    Broken,
    Changed,
    Checked,
    Copied,
    Heard,
    Listed,
    MirrorEvent,
    Ticked,
)
from azureswitch.coordination.mirror._messages import StoreSeen, pack_objects, unpack_objects
from azureswitch.coordination.mirror._peers import CopyPeers
from azureswitch.coordination.mirror._reduce import (
    CHECK_SECONDS,
    WATCHERS,
    AskPeer,
    AskStore,
    ListAgain,
    Publish,
    TellPeers,
    reduce,
)
from azureswitch.coordination.mirror._state import MirrorState
from azureswitch.core import Effect
from azureswitch.exceptions import PeerError, StoreError, StoreVersionGoneError
from azureswitch.ports import Store, StoredObject
from azureswitch.tasks import Tasks

Listener = Callable[[tuple[StoredObject, ...]], None]

WATCH_SECONDS = 25.0
"""Seconds that a watch waits for a change; the store permits 30, and each is a call paid for."""

FIRST_WATCH_SECONDS = 0.5
"""Seconds that a watch of the first host in rank waits, so that the next one need not check."""

CHECK_WAIT = 0.04
"""Seconds that a watch waits which only asks whether anything was missed."""

TICK = 0.05
"""Seconds between two looks at what is due."""

PAUSE_FIRST = 0.05
"""Seconds before the first new call after a failure, at most."""

PAUSE_MOST = 0.4
"""Seconds between two calls while the store fails, at most: a change must be in force after 2 s."""

PAUSE_BEHIND = 2.0
"""The same for hosts far behind in rank, which hear from the others as it answers again."""


class Mirror:
    """A copy of the objects of one kind, kept up to date while `run` runs.

    Args:
        store: The store.
        kind: The kind.
        publish: Called with all objects whenever they changed.
        peers: The way to the peers.
        return_grace: Seconds after the store's return for which an object that is missing stays.
        seed: Seeds the pauses between calls.
    """

    def __init__(
        self,
        *,
        store: Store,
        kind: str,
        publish: Listener,
        peers: CopyPeers,
        return_grace: float = 0.0,
        seed: int,
    ) -> None:
        self._store = store
        self._kind = kind
        self._listener = publish
        self._peers = peers
        self._random = Random(seed)
        self._state = MirrorState(return_grace=return_grace)
        self._failures = 0
        self._packed: tuple[tuple[StoredObject, ...], bytes] | None = None
        self._listing = True
        self._due = Event()
        self._tasks = Tasks(prefix="mirror")

    @property
    def version(self) -> int:
        """The version up to which the copy is complete; zero where there is none."""
        return self._state.version

    def packed(self) -> bytes:
        """Return the objects that the store holds, so far as is known, packed for peers."""
        present = self._state.present()
        if self._packed is None or self._packed[0] != present:
            self._packed = (present, pack_objects(present))
        return self._packed[1]

    def hear(self, seen: StoreSeen) -> None:
        """Take over that a peer has checked its copy."""
        self._feed(Heard(now=_now(), seen=seen))

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self._tasks = Tasks(prefix="mirror")
        ticks = create_task(self._tick())
        try:
            await self._follow()
        finally:
            await _end(ticks)
            await self._tasks.stop()

    async def _follow(self) -> None:
        while True:
            try:
                if self._listing:
                    await self._list()
                    self._listing = False
                await self._wait()
            except StoreVersionGoneError:
                logging.info("mirror: The history of %s is gone; listing again.", self._kind)
                self._listing = True
            except StoreError as error:
                await self._pause(error)

    async def _list(self) -> None:
        listing = await self._store.list(kind=self._kind)
        self._recovered()
        self._feed(Listed(now=_now(), listing=listing))

    async def _wait(self) -> None:
        """Wait for changes until a check is due, and check.

        The first host in rank checks by nothing but short watches, one after the other.
        """
        rank = self._peers.rank(self._kind)
        first = rank == 0
        self._due.clear()
        if rank >= WATCHERS:
            await self._due.wait()
            await self._watch(CHECK_WAIT)
        elif await self._undisturbed(FIRST_WATCH_SECONDS if first else WATCH_SECONDS):
            if not first:
                return
        else:
            await self._watch(CHECK_WAIT)
        self._recovered()
        self._feed(Checked(now=_now()))

    async def _undisturbed(self, seconds: float) -> bool:
        """Watch for so long, and return False as soon as a check is due before that."""
        watch: Task[None] = create_task(self._watch(seconds))
        due: Task[object] = create_task(self._due.wait())
        try:
            await wait((watch, due), return_when=FIRST_COMPLETED)
        finally:
            await _end(due, watch)
        if watch.cancelled():
            return False
        watch.result()
        return True

    async def _watch(self, seconds: float) -> None:
        changes = self._store.watch(kind=self._kind, version=self._state.version, timeout=seconds)
        async for change in changes:
            self._recovered()
            self._feed(Changed(now=_now(), change=change))

    async def _pause(self, error: StoreError) -> None:
        if not self._failures:
            logging.warning("mirror: The store does not answer for %s: %s", self._kind, error)
        self._failures += 1
        self._feed(Broken(now=_now()))
        await sleep(self._longest_pause() * self._random.uniform(0.5, 1.0))

    def _longest_pause(self) -> float:
        """Return the most seconds until the next call, now that one has failed.

        Each host but the first few waits longer by its rank, so that a large fleet makes few more
        calls than a small one.  One that has no copy yet cannot serve and does not wait so long.
        """
        most = min(PAUSE_MOST, PAUSE_FIRST * 2.0 ** min(self._failures, 8))
        rank = self._peers.rank(self._kind)
        if rank < WATCHERS or not self._state.listed:
            return most
        return min(PAUSE_BEHIND, PAUSE_MOST * (rank + 1) / WATCHERS)

    def _recovered(self) -> None:
        if self._failures:
            logging.info("mirror: The store answers again for %s.", self._kind)
        self._failures = 0

    async def _tick(self) -> None:
        while True:
            await sleep(until_step(TICK))
            now = _now()
            early = now - self._state.checked_at < CHECK_SECONDS
            # The rank is worked out where it matters alone; it takes a hash for each host.
            rank = 0 if early else self._peers.rank(self._kind)
            self._feed(Ticked(now=now, rank=rank))

    async def _ask_peers(self, effect: AskPeer) -> None:
        """Ask some peers one after the other, until this host has the version that was told of."""
        for address in self._peers.sources(known=effect.address, random=self._random):
            if self._state.version >= effect.version:
                break
            copy = await self._ask_peer(address)
            if copy is not None:
                self._feed(copy)
        self._feed(Asked(now=_now()))

    async def _ask_peer(self, address: str) -> Copied | None:
        """Return a peer's copy, or None where it is not newer or not to be had."""
        version = self._state.version
        try:
            reply = await self._peers.ask(self._kind, address=address, version=version)
            if reply.version <= version:
                return None
            objects = unpack_objects(reply.packed)
        except (PeerError, ValueError) as error:
            logging.info("mirror: The copy of %s at %s was not had: %s", self._kind, address, error)
            return None
        logging.info("mirror: Version %d of %s comes from %s.", reply.version, self._kind, address)
        return Copied(now=_now(), version=reply.version, objects=objects)

    def _feed(self, event: MirrorEvent) -> None:
        for effect in reduce(event, self._state):
            self._run(effect)

    @singledispatchmethod
    def _run(self, effect: Effect) -> None:
        raise NotImplementedError(type(effect))

    @_run.register
    def _(self, effect: Publish) -> None:
        self._listener(effect.objects)

    @_run.register
    def _(self, effect: AskStore) -> None:
        self._due.set()

    @_run.register
    def _(self, effect: ListAgain) -> None:
        logging.warning("mirror: A peer's copy of %s differs; listing again.", self._kind)
        self._listing = True
        self._due.set()

    @_run.register
    def _(self, effect: TellPeers) -> None:
        self._peers.tell(self._kind, effect)

    @_run.register
    def _(self, effect: AskPeer) -> None:
        self._tasks.spawn(self._ask_peers(effect), name=f"copy of {self._kind}")


async def _end(*tasks: Task[Any]) -> None:
    """Cancel tasks and wait for their end, without the failure of a store that is given up.

    To await a task itself would take a cancellation of the caller for the task's own, and the loop
    that calls this would go on: a process told to stop would not end.
    """
    for task in tasks:
        task.add_done_callback(_take_failure)
        task.cancel()
    await wait(tasks)
    for task in tasks:
        if not task.cancelled() and not isinstance(task.exception(), StoreError):
            task.result()


def _take_failure(task: Task[Any]) -> None:
    """Take a task's failure, which has nobody else to take it where its caller was cancelled."""
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, StoreError):
        logging.error("mirror: Task %s failed.", task.get_name(), exc_info=error)


def _now() -> float:
    return get_running_loop().time()
