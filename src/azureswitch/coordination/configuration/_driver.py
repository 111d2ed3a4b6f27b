"""The driver of the configuration reducer, with the store, peers and the clock."""

from asyncio import Task, create_task, get_running_loop, sleep
from asyncio import timeout as deadline
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from random import Random
from typing import Any

from absl import logging

from azureswitch.coordination.configuration._changes import read_head
from azureswitch.coordination.configuration._effects import (
    Adopt,
    Cast,
    CloseWatch,
    FetchFromHost,
    FetchFromStore,
    ListHosts,
    OpenWatch,
    ReadHead,
)
from azureswitch.coordination.configuration._events import (
    Asked,
    BodyFetched,
    ConfigurationEvent,
    FetchFailed,
    HeadSeen,
    HostsListed,
    NewsReceived,
    StoreFailed,
    Ticked,
    WatchRenewed,
)
from azureswitch.coordination.configuration._limits import (
    BODY_KIND,
    HEAD_KIND,
    HEAD_NAME,
    STORE_TIMEOUT_SECONDS,
    TICK_SECONDS,
    WATCH_TIMEOUT_SECONDS,
)
from azureswitch.coordination.configuration._messages import (
    BodyPull,
    BodyReply,
    RevisionAsk,
    RevisionNews,
    unpack_body,
)
from azureswitch.coordination.configuration._model import read_entry
from azureswitch.coordination.configuration._reduce import reduce
from azureswitch.coordination.configuration._state import ConfigurationState
from azureswitch.coordination.membership import Member
from azureswitch.core import Effect, HostName, Incarnation, PlaceName
from azureswitch.exceptions import (
    AuditError,
    HostListError,
    PeerError,
    StoreError,
)
from azureswitch.ports import ChangeKind, HostList, Peers, Store, StoredObject

Listener = Callable[[int, bytes], None]


class Configuration:
    """The configuration in force on this host, which is kept up to date while `run` runs.

    Args:
        store: The platform's store.
        peers: Sends messages to other hosts; the handlers are registered here.
        members: Returns the current members.
        myself: This process.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        hosts: The platform's host list, or None if there is none.
        seed: Seeds all random choices.
    """

    def __init__(
        self,
        *,
        store: Store,
        peers: Peers,
        members: Callable[[], tuple[Member, ...]],
        myself: Incarnation,
        place: PlaceName,
        address: str = "",
        hosts: HostList | None = None,
        seed: int,
    ) -> None:
        self._store = store
        self._peers = peers
        self._members = members
        self._hosts = hosts
        self._random = Random(seed)
        self._host: HostName = myself.host
        self._place = place
        self._address = address
        self._state_or_none: ConfigurationState | None = None
        self._listeners: list[Listener] = []
        self._tasks: set[Task[None]] = set()
        self._watch: Task[None] | None = None
        peers.handle(RevisionNews, self._receive_news)
        peers.handle(RevisionAsk, self._receive_ask)
        peers.handle(BodyPull, self._answer_pull)

    @property
    def revision(self) -> int:
        """The revision in force; zero before the first one."""
        return 0 if self._state_or_none is None else self._state_or_none.revision

    @property
    def body(self) -> bytes:
        """The body in force."""
        return b"" if self._state_or_none is None else self._state_or_none.body

    @property
    def digest(self) -> str:
        """SHA-256 of the body in force, in lower-case hexadecimal."""
        return "" if self._state_or_none is None else self._state_or_none.digest

    @property
    def watching(self) -> bool:
        """Whether this host watches the store."""
        return self._state_or_none is not None and self._state_or_none.watching

    @property
    def _state(self) -> ConfigurationState:
        if self._state_or_none is None:
            self._state_or_none = ConfigurationState(
                host=self._host,
                place=self._place,
                address=self._own_address(),
                random=self._random,
                now=_now(),
            )
        return self._state_or_none

    def on_adopt(self, callback: Listener) -> None:
        """Register a callback of each later revision in force, called with revision and body."""
        self._listeners.append(callback)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        try:
            while True:
                self._feed(Ticked(now=_now(), members=self._members()))
                await sleep(TICK_SECONDS)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    def _own_address(self) -> str:
        """Return the given address, or that of this host in the member list."""
        own = (item.address for item in self._members() if item.incarnation.host == self._host)
        return self._address or next(own, "")

    def _receive_news(self, news: RevisionNews) -> None:
        self._feed(NewsReceived(now=_now(), news=news))

    def _receive_ask(self, ask: RevisionAsk) -> None:
        self._feed(Asked(now=_now(), ask=ask))

    async def _answer_pull(self, pull: BodyPull) -> BodyReply:
        state = self._state
        if state.revision < pull.revision:
            return BodyReply(revision=0, digest="", packed=b"")
        return BodyReply(revision=state.revision, digest=state.digest, packed=state.packed)

    def _feed(self, event: ConfigurationEvent) -> None:
        for effect in reduce(self._state, event):
            self._execute(effect)

    @singledispatchmethod
    def _execute(self, effect: Effect) -> None:
        raise TypeError(type(effect))

    @_execute.register
    def _(self, effect: Cast) -> None:
        self._peers.cast(address=effect.address, message=effect.message)

    @_execute.register
    def _(self, effect: ListHosts) -> None:
        if self._hosts is not None:
            self._spawn(self._list_hosts(self._hosts))

    @_execute.register
    def _(self, effect: ReadHead) -> None:
        self._spawn(self._read_head())

    @_execute.register
    def _(self, effect: OpenWatch) -> None:
        self._watch = self._spawn(self._watch_head())

    @_execute.register
    def _(self, effect: CloseWatch) -> None:
        if self._watch is not None:
            self._watch.cancel()

    @_execute.register
    def _(self, effect: FetchFromStore) -> None:
        self._spawn(self._fetch_from_store(effect))

    @_execute.register
    def _(self, effect: FetchFromHost) -> None:
        self._spawn(self._fetch_from_host(effect))

    @_execute.register
    def _(self, effect: Adopt) -> None:
        for listener in self._listeners:
            try:
                listener(effect.revision, effect.body)
            except Exception:
                # A failing listener must not keep the next revision from being fetched.
                logging.exception("configuration: Revision %d was not applied.", effect.revision)

    async def _list_hosts(self, hosts: HostList) -> None:
        try:
            listed = await hosts.hosts()
        except HostListError as error:
            logging.warning("configuration: %s", error)
            return
        self._feed(HostsListed(now=_now(), hosts=listed))

    async def _read_head(self) -> None:
        try:
            async with deadline(STORE_TIMEOUT_SECONDS):
                found = await read_head(self._store)
            self._record_head(found)
        except (AuditError, StoreError, TimeoutError) as error:
            self._record_store_failure(error)

    async def _watch_head(self) -> None:
        try:
            # The deadline also ends a watch whose connection hangs.
            async with deadline(WATCH_TIMEOUT_SECONDS + 2 * STORE_TIMEOUT_SECONDS):
                await self._follow_head()
        except (AuditError, StoreError, TimeoutError) as error:
            # If the history that the watch needs is gone, the next one begins with a listing.
            self._record_store_failure(error)
        else:
            self._feed(WatchRenewed(now=_now()))

    async def _follow_head(self) -> None:
        async with deadline(STORE_TIMEOUT_SECONDS):
            listing = await self._store.list(kind=HEAD_KIND)
        self._record_head(next(iter(listing.items), None))
        version = listing.version
        changes = self._store.watch(kind=HEAD_KIND, version=version, timeout=WATCH_TIMEOUT_SECONDS)
        async for change in changes:
            if change.kind is ChangeKind.PUT:
                self._record_head(change.item)

    def _record_head(self, found: StoredObject | None) -> None:
        # A head that cannot be decoded must not be taken for one that was never written.
        entry = None if found is None else read_entry(name=HEAD_NAME, value=found.value)
        self._feed(HeadSeen(now=_now(), entry=entry))

    def _record_store_failure(self, error: Exception) -> None:
        logging.warning(
            "configuration: The head cannot be read from the store (%s).", type(error).__name__
        )
        self._feed(StoreFailed(now=_now()))

    async def _fetch_from_store(self, effect: FetchFromStore) -> None:
        entry = effect.entry
        try:
            async with deadline(STORE_TIMEOUT_SECONDS):
                found = await self._store.get(kind=BODY_KIND, name=entry.body_name)
        except (StoreError, TimeoutError):
            self._feed(FetchFailed(now=_now(), address=""))
            return
        self._feed(
            BodyFetched(now=_now(), revision=entry.revision, digest=entry.digest, body=found.value)
        )

    async def _fetch_from_host(self, effect: FetchFromHost) -> None:
        try:
            reply = await self._peers.call(
                address=effect.address,
                request=BodyPull(revision=effect.revision),
                reply=BodyReply,
                timeout=effect.timeout,
            )
        except PeerError:
            self._feed(FetchFailed(now=_now(), address=effect.address))
            return
        body = unpack_body(reply.packed) if reply.revision else None
        if body is None:
            self._feed(FetchFailed(now=_now(), address=effect.address))
            return
        self._feed(BodyFetched(now=_now(), revision=reply.revision, digest=reply.digest, body=body))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> Task[None]:
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _now() -> float:
    return get_running_loop().time()
