"""The HTTP adapters raise the ports' exact errors, tested with stand-ins over loopback."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from azureswitch.core import HostName, PlaceName
from azureswitch.exceptions import (
    AzureswitchError,
    HostListError,
    StoreAnswerTooLargeError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    StoreVersionGoneError,
)
from azureswitch.platform import HttpHostList, HttpStore
from azureswitch.ports import ChangeKind, HostStatus, ListedHost
from azureswitch_standins.hosts import HostListStandin
from azureswitch_standins.store import StoreFaults, StoreLimits, StoreModel, StoreStandin
from tests.platform.refusals import REFUSALS, Call
from tests.waiting import PATIENCE, reach

ENDLESS_BODY = (
    b"transfer-encoding: chunked\r\n\r\n",
    b"10000\r\n%b\r\n" % (b" " * 0x10000),
)
"""How an answer goes on behind its status, and what follows again and again."""


@asynccontextmanager
async def serve(
    limits: StoreLimits | None = None,
) -> AsyncIterator[tuple[StoreStandin, HttpStore]]:
    """Serve a store that holds ``a/x`` and yield it with a client."""
    standin = StoreStandin(model=StoreModel(limits=limits))
    await standin.start()
    store = HttpStore(address=standin.address, timeout=PATIENCE)
    await store.create(kind="a", name="x", value=b"\x00\xff")
    try:
        yield standin, store
    finally:
        store.close()
        await standin.stop()


async def collect(store: HttpStore, *, version: int) -> list[tuple[ChangeKind, int]]:
    """Watch kind ``a`` for a moment."""
    watch = store.watch(kind="a", version=version, timeout=0.05)
    return [(change.kind, change.item.version) async for change in watch]


async def listed(store: HttpStore) -> list[str]:
    """Return the names of kind ``a``."""
    return [item.name for item in (await store.list(kind="a")).items]


def create(store: HttpStore) -> Awaitable[object]:
    """Create ``a/y``."""
    return store.create(kind="a", name="y", value=b"")


def get(store: HttpStore) -> Awaitable[object]:
    """Read ``a/x``."""
    return store.get(kind="a", name="x")


class TestHttpStore:
    """Unit tests of `HttpStore`."""

    def test_objects(self) -> None:
        """Values are preserved, and versions increase across all objects."""

        async def run() -> None:
            async with serve() as (_, store):
                assert (await store.get(kind="a", name="x")).value == b"\x00\xff"
                changed = await store.update(kind="a", name="x", value=b"2", version=1)
                odd = await store.create(kind="a", name="sp ace/%", value=b"")
                listing = await store.list(kind="a")
                assert (listing.items, listing.version) == ((odd, changed), 3)
                await store.delete(kind="a", name="x", version=changed.version)
                assert await collect(store, version=1) == [
                    (ChangeKind.PUT, 2),
                    (ChangeKind.PUT, 3),
                    (ChangeKind.DELETED, 4),
                ]

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("call", "error"),
        [*REFUSALS, (lambda s: collect(s, version=0), StoreVersionGoneError)],
    )
    def test_refuses(self, call: Call, error: type[StoreError]) -> None:
        """Each refusal of the store raises its error type."""

        async def run() -> None:
            async with serve(StoreLimits(history=0)) as (_, store):
                with pytest.raises(error):
                    await call(store)

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("faults", "call", "error", "written"),
        [
            (StoreFaults(down=True), create, StoreUnavailableError, False),
            (StoreFaults(down=True), get, StoreUnavailableError, False),
            (StoreFaults(lose_answers=1), create, StoreOutcomeUnknownError, True),
            (
                StoreFaults(lose_answers=1, lose_writes=True),
                create,
                StoreOutcomeUnknownError,
                False,
            ),
            (StoreFaults(delay=0.15), create, StoreOutcomeUnknownError, True),
            (StoreFaults(delay=0.15), get, StoreUnavailableError, False),
        ],
    )
    def test_faults(
        self, faults: StoreFaults, call: Call, error: type[StoreError], written: bool
    ) -> None:
        """A write raises unavailable only if it had no effect; otherwise its outcome is unknown."""

        async def run() -> None:
            async with serve() as (standin, store):
                hasty = HttpStore(
                    address=standin.address, timeout=0.1 if faults.delay else PATIENCE
                )
                if faults.delay:
                    # On an open connection a call is sent at once, even on a busy machine.
                    await get(hasty)
                await standin.set_faults(faults=faults)
                with pytest.raises(error):
                    await call(hasty)
                await standin.set_faults(faults=StoreFaults())
                # A slow store writes after the caller has given up.
                await asyncio.sleep(faults.delay)
                async with asyncio.timeout(PATIENCE):
                    while len(names := await listed(store)) < 1 + written:
                        await asyncio.sleep(0.005)
                assert names == (["x", "y"] if written else ["x"])

        asyncio.run(run())

    def test_rates(self) -> None:
        """A call over the rate limit has no effect and has a retry delay."""

        async def run() -> None:
            async with serve(StoreLimits(writes=1.0)) as (_, store):
                with pytest.raises(StoreUnavailableError) as caught:
                    await create(store)
                assert caught.value.retry_after == 1.0

        asyncio.run(run())

    def test_watch_left(self) -> None:
        """A cancelled watch no longer counts as waiting."""

        async def run() -> None:
            async with serve() as (standin, store):
                watch = store.watch(kind="a", version=0, timeout=9.0)
                await anext(watch)
                waiting = asyncio.ensure_future(anext(watch))
                await reach(lambda: standin.counters.waiting == 1)
                waiting.cancel()
                await reach(lambda: not standin.counters.waiting)

        asyncio.run(run())

    def test_watch_breaks(self) -> None:
        """An outage breaks a waiting watch; one from the same version continues after it."""

        async def run() -> None:
            async with serve() as (standin, store):
                watch = store.watch(kind="a", version=0, timeout=9.0)
                assert (await anext(watch)).item.version == 1
                await standin.set_faults(faults=StoreFaults(down=True))
                with pytest.raises(StoreUnavailableError):
                    await anext(watch)
                await standin.set_faults(faults=StoreFaults())
                await create(store)
                assert await collect(store, version=1) == [(ChangeKind.PUT, 2)]

        asyncio.run(run())


class TestHttpHostList:
    """Unit tests of `HttpHostList`."""

    def test_hosts(self) -> None:
        """The list is preserved; any failure of the list or the connection raises one type."""

        async def run() -> None:
            host = ListedHost(
                name=HostName("h"),
                place=PlaceName("p"),
                address="127.0.0.1:1",
                status=HostStatus.LEAVING,
            )
            standin = HostListStandin(hosts=(host,))
            await standin.start()
            hosts = HttpHostList(address=standin.address)
            assert await hosts.hosts() == (host,)
            standin.list.down = True
            with pytest.raises(HostListError):
                await hosts.hosts()
            await standin.stop()
            with pytest.raises(AzureswitchError) as caught:
                await hosts.hosts()
            assert type(caught.value) is HostListError

        asyncio.run(run())


@pytest.mark.parametrize(
    ("framing", "piece", "error"),
    [
        (*ENDLESS_BODY, None),
        (b"x-a: ", b"a" * 0x10000, StoreUnavailableError),
    ],
    ids=["body", "head"],
)
def test_store_that_answers_without_end(
    framing: bytes, piece: bytes, error: type[StoreError] | None
) -> None:
    """A call ends at a bound; a watch whose changes are too many is followed by a listing."""

    async def scenario() -> None:
        async with answering(framing, piece) as store:
            with pytest.raises(error or StoreVersionGoneError):
                await collect(store, version=1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (listed, StoreAnswerTooLargeError),
        (get, StoreAnswerTooLargeError),
        (create, StoreOutcomeUnknownError),
    ],
)
def test_answer_without_end(
    call: Callable[[HttpStore], Awaitable[object]], error: type[StoreError]
) -> None:
    """A read is paused like any that fails, and a write may have taken effect."""

    async def scenario() -> None:
        async with answering(*ENDLESS_BODY) as store:
            with pytest.raises(error) as caught:
                await call(store)
            assert type(caught.value) is error

    asyncio.run(scenario())


@asynccontextmanager
async def answering(framing: bytes, piece: bytes) -> AsyncIterator[HttpStore]:
    """Yield a client of a store whose answers have no end."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield HttpStore(address=f"127.0.0.1:{port}", timeout=PATIENCE)
    server.close()
