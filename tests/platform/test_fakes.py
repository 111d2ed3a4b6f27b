"""The fakes of the store and the host list follow the contracts of the ports."""

import asyncio

import pytest

from azureswitch.core import HostName, PlaceName
from azureswitch.exceptions import (
    HostListError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    StoreVersionGoneError,
)
from azureswitch.ports import ChangeKind, HostStatus, ListedHost, Store, StoreChange
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.hosts import HostListFake
from azureswitch_standins.store import StoreFake, StoreFaults, StoreLimits, StoreModel
from tests.platform.refusals import REFUSALS, Call


async def collect(store: Store, *, version: int, timeout: float = 0.01) -> list[StoreChange]:
    """Watch kind ``a`` until the timeout."""
    return [change async for change in store.watch(kind="a", version=version, timeout=timeout)]


class TestStoreFake:
    """Unit tests of `StoreFake`."""

    @pytest.mark.parametrize(("call", "error"), REFUSALS)
    def test_refuses(self, call: Call, error: type[StoreError]) -> None:
        """A call that violates a rule raises its error type and changes nothing."""

        async def run() -> None:
            store = StoreFake()
            made = await store.create(kind="a", name="x", value=b"1")
            with pytest.raises(error):
                await call(store)
            assert (await store.list(kind="a")).items == (made,)
            assert store.model.version == made.version

        run_virtual(run())

    @pytest.mark.parametrize(
        ("faults", "error", "written"),
        [
            (StoreFaults(down=True), StoreUnavailableError, False),
            (StoreFaults(lose_answers=1), StoreOutcomeUnknownError, True),
            (StoreFaults(lose_answers=1, lose_writes=True), StoreOutcomeUnknownError, False),
        ],
    )
    def test_faults(self, faults: StoreFaults, error: type[StoreError], written: bool) -> None:
        """Each fault raises its error type, and writes take effect only as configured."""

        async def run() -> None:
            store = StoreFake()
            store.faults = faults
            with pytest.raises(error):
                await store.create(kind="a", name="x", value=b"")
            store.faults = StoreFaults()
            assert bool((await store.list(kind="a")).items) is written

        run_virtual(run())

    def test_watch(self) -> None:
        """A watch yields changes of its kind only, including deletions, and a final bookmark."""

        async def run() -> None:
            store = StoreFake()
            first = await store.create(kind="a", name="x", value=b"1")
            await store.delete(kind="a", name="x", version=first.version)
            await store.create(kind="b", name="x", value=b"1")
            changes = await collect(store, version=0)
            assert [(change.kind, change.item.version) for change in changes] == [
                (ChangeKind.PUT, 1),
                (ChangeKind.DELETED, 2),
                (ChangeKind.BOOKMARK, 3),
            ]
            assert (store.counters.watches, store.counters.waiting) == (1, 0)

        run_virtual(run())

    def test_watch_gone(self) -> None:
        """A watch from a version older than the history is refused."""

        async def run() -> None:
            store = StoreFake(model=StoreModel(limits=StoreLimits(history=2)))
            for name in "xyz":
                await store.create(kind="a", name=name, value=b"")
            assert len(await collect(store, version=1)) == 2
            with pytest.raises(StoreVersionGoneError):
                await collect(store, version=0)

        run_virtual(run())

    def test_watch_breaks(self) -> None:
        """An outage breaks only the watches of its own client."""

        async def run() -> None:
            store = StoreFake()
            other = StoreFake(model=store.model)
            broken = asyncio.create_task(collect(store, version=0, timeout=9.0))
            whole = asyncio.create_task(collect(other, version=0))
            await asyncio.sleep(0)
            assert store.counters.waiting == 2
            store.faults = StoreFaults(down=True)
            with pytest.raises(StoreUnavailableError):
                await broken
            assert await whole == []

        run_virtual(run())

    def test_rates(self) -> None:
        """Writes over the rate limit are refused with a retry delay; reads have their own limit."""

        async def run() -> None:
            store = StoreFake(model=StoreModel(limits=StoreLimits(writes=2.0)))
            for name in "xy":
                await store.create(kind="a", name=name, value=b"")
            with pytest.raises(StoreUnavailableError) as caught:
                await store.create(kind="a", name="z", value=b"")
            assert caught.value.retry_after is not None
            assert 0.0 < caught.value.retry_after <= 0.5
            assert len((await store.list(kind="a")).items) == 2
            assert (store.counters.creates, store.counters.refused) == (3, 1)

        run_virtual(run())


class TestHostListFake:
    """Unit tests of `HostListFake`."""

    def test_lags(self) -> None:
        """A change is visible after the lag, and an outage raises its error type."""

        async def run() -> None:
            host = ListedHost(
                name=HostName("h"), place=PlaceName("p"), address="-", status=HostStatus.LIVE
            )
            fake = HostListFake(lag=0.01)
            fake.put(host=host)
            assert await fake.hosts() == ()
            await asyncio.sleep(0.02)
            assert await fake.hosts() == (host,)
            fake.down = True
            with pytest.raises(HostListError):
                await fake.hosts()

        run_virtual(run())
