"""Mirrors one kind of the store's objects by listing, watching and announcements of peers."""

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
    Changed,
    Checked,
    CopyReceived,
    CopyRequestsEnded,
    Listed,
    MirrorEvent,
    PeerChecked,
    StoreFailed,
    Ticked,
)
from azureswitch.coordination.mirror._messages import StoreSeen, pack_objects, unpack_objects
from azureswitch.coordination.mirror._peers import CopyPeers
from azureswitch.coordination.mirror._reduce import (
    CHECK_INTERVAL_SECONDS,
    WATCHERS,
    CheckStore,
    NotifyPeers,
    Publish,
    Relist,
    RequestCopy,
    reduce,
)
from azureswitch.coordination.mirror._state import MirrorState
from azureswitch.core import Effect
from azureswitch.exceptions import PeerError, StoreError, StoreVersionGoneError
from azureswitch.ports import Store, StoredObject
from azureswitch.tasks import Tasks

Listener = Callable[[tuple[StoredObject, ...]], None]

WATCH_TIMEOUT_SECONDS = 25.0
"""Timeout of a watch in seconds; the store permits 30, and each watch is a paid call."""

FIRST_RANK_WATCH_SECONDS = 0.5
"""Timeout in seconds of a watch of the first host in rank, so that the next need not check."""

CHECK_TIMEOUT_SECONDS = 0.04
"""Timeout in seconds of a watch that only checks whether changes were missed."""

TICK_SECONDS = 0.05
"""Seconds between two `Ticked` events."""

BASE_PAUSE_SECONDS = 0.05
"""Base in seconds of the backoff after failures; the longest pause doubles with each failure."""

MAX_PAUSE_SECONDS = 0.4
"""Longest pause in seconds while the store fails: a change must be in force after 2 s."""

MAX_RANKED_PAUSE_SECONDS = 2.0
"""Longest pause in seconds of hosts late in rank; others announce when the store answers again."""


class Mirror:
    """A copy of the objects of one kind, kept up to date while `run` runs.

    Args:
        store: The store.
        kind: The kind.
        publish: Called with all objects whenever they have changed.
        peers: Exchanges messages with peers.
        return_grace: Seconds after an outage of the store for which missing objects are kept.
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
        """The version up to which the copy is complete; zero if there is no copy."""
        return self._state.version

    def packed(self) -> bytes:
        """Return the objects that the store holds, as far as is known, packed for peers."""
        present = self._state.present()
        if self._packed is None or self._packed[0] != present:
            self._packed = (present, pack_objects(present))
        return self._packed[1]

    def receive(self, seen: StoreSeen) -> None:
        """Handle an announcement of a peer."""
        self._feed(PeerChecked(now=_now(), seen=seen))

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self._tasks = Tasks(prefix="mirror")
        ticks = create_task(self._tick())
        try:
            await self._follow()
        finally:
            await _cancel_and_wait(ticks)
            await self._tasks.stop()

    async def _follow(self) -> None:
        while True:
            try:
                if self._listing:
                    await self._list()
                    self._listing = False
                await self._wait_and_check()
            except StoreVersionGoneError:
                logging.info("mirror: The history of %s is gone; listing again.", self._kind)
                self._listing = True
            except StoreError as error:
                await self._pause(error)

    async def _list(self) -> None:
        listing = await self._store.list(kind=self._kind)
        self._note_recovery()
        self._feed(Listed(now=_now(), listing=listing))

    async def _wait_and_check(self) -> None:
        """Wait for changes until a check is due, and check.

        The first host in rank checks continuously by short watches.
        """
        rank = self._peers.rank(self._kind)
        first = rank == 0
        self._due.clear()
        if rank >= WATCHERS:
            await self._due.wait()
            await self._watch(CHECK_TIMEOUT_SECONDS)
        elif await self._watch_until_due(
            FIRST_RANK_WATCH_SECONDS if first else WATCH_TIMEOUT_SECONDS
        ):
            if not first:
                return
        else:
            await self._watch(CHECK_TIMEOUT_SECONDS)
        self._note_recovery()
        self._feed(Checked(now=_now()))

    async def _watch_until_due(self, seconds: float) -> bool:
        """Watch for some seconds; return False at once if a check becomes due before."""
        watch: Task[None] = create_task(self._watch(seconds))
        due: Task[object] = create_task(self._due.wait())
        try:
            await wait((watch, due), return_when=FIRST_COMPLETED)
        finally:
            await _cancel_and_wait(due, watch)
        if watch.cancelled():
            return False
        watch.result()
        return True

    async def _watch(self, seconds: float) -> None:
        changes = self._store.watch(kind=self._kind, version=self._state.version, timeout=seconds)
        async for change in changes:
            self._note_recovery()
            self._feed(Changed(now=_now(), change=change))

    async def _pause(self, error: StoreError) -> None:
        if not self._failures:
            logging.warning("mirror: The store does not answer for %s: %s", self._kind, error)
        self._failures += 1
        self._feed(StoreFailed(now=_now()))
        await sleep(self._max_pause() * self._random.uniform(0.5, 1.0))

    def _max_pause(self) -> float:
        """Return the longest pause in seconds before the next call after a failure.

        Hosts after the first few in rank wait longer by their rank, so that a large fleet makes few
        more calls than a small one.  A host without a copy cannot serve and does not wait longer.
        """
        pause = min(MAX_PAUSE_SECONDS, BASE_PAUSE_SECONDS * 2.0 ** min(self._failures, 8))
        rank = self._peers.rank(self._kind)
        if rank < WATCHERS or not self._state.listed:
            return pause
        return min(MAX_RANKED_PAUSE_SECONDS, MAX_PAUSE_SECONDS * (rank + 1) / WATCHERS)

    def _note_recovery(self) -> None:
        if self._failures:
            logging.info("mirror: The store answers again for %s.", self._kind)
        self._failures = 0

    async def _tick(self) -> None:
        while True:
            await sleep(until_step(TICK_SECONDS))
            now = _now()
            not_due = now - self._state.checked_at < CHECK_INTERVAL_SECONDS
            # The rank matters only once a check may be due, and costs a hash per host.
            rank = 0 if not_due else self._peers.rank(self._kind)
            self._feed(Ticked(now=now, rank=rank))

    async def _request_copies(self, effect: RequestCopy) -> None:
        """Request copies of peers in turn, until this host has the announced version."""
        for address in self._peers.sources(known=effect.address, random=self._random):
            if self._state.version >= effect.version:
                break
            copy = await self._request_copy(address)
            if copy is not None:
                self._feed(copy)
        self._feed(CopyRequestsEnded(now=_now()))

    async def _request_copy(self, address: str) -> CopyReceived | None:
        """Return a peer's copy, or None if it is not newer or the request failed."""
        version = self._state.version
        try:
            reply = await self._peers.request_copy(self._kind, address=address, version=version)
            if reply.version <= version:
                return None
            objects = unpack_objects(reply.packed)
        except (PeerError, ValueError) as error:
            logging.info("mirror: The copy of %s at %s was not had: %s", self._kind, address, error)
            return None
        logging.info("mirror: Version %d of %s comes from %s.", reply.version, self._kind, address)
        return CopyReceived(now=_now(), version=reply.version, objects=objects)

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
    def _(self, effect: CheckStore) -> None:
        self._due.set()

    @_run.register
    def _(self, effect: Relist) -> None:
        logging.warning("mirror: A peer's copy of %s differs; listing again.", self._kind)
        self._listing = True
        self._due.set()

    @_run.register
    def _(self, effect: NotifyPeers) -> None:
        self._peers.notify(self._kind, effect)

    @_run.register
    def _(self, effect: RequestCopy) -> None:
        self._tasks.spawn(self._request_copies(effect), name=f"copy of {self._kind}")


async def _cancel_and_wait(*tasks: Task[Any]) -> None:
    """Cancel tasks and wait for their end; failures of the store are ignored.

    The tasks are not awaited directly, as a cancellation of the caller would be taken for that of
    the task: the calling loop would go on, and a process that is to stop would not end.
    """
    for task in tasks:
        task.add_done_callback(_retrieve_failure)
        task.cancel()
    await wait(tasks)
    for task in tasks:
        if not task.cancelled() and not isinstance(task.exception(), StoreError):
            task.result()


def _retrieve_failure(task: Task[Any]) -> None:
    """Retrieve and log a task's failure, which its caller does not do if it was cancelled."""
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, StoreError):
        logging.error("mirror: Task %s failed.", task.get_name(), exc_info=error)


def _now() -> float:
    return get_running_loop().time()
