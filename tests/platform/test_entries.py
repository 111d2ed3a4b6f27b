"""What the store's reader makes of entries that others have left there."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from azureswitch.exceptions import StoreUnavailableError
from azureswitch.platform import HttpStore
from azureswitch.ports import ChangeKind, StoreChange
from azureswitch_standins.store import StoreStandin
from tests.platform.foreign import UNREADABLE, spec
from tests.waiting import PATIENCE

KIND = "servers"


@asynccontextmanager
async def serve(*, page: int = 500) -> AsyncIterator[tuple[StoreStandin, HttpStore]]:
    """Serve a store that holds ``i-1`` and give the port to it."""
    standin = StoreStandin(page=page)
    await standin.start()
    store = HttpStore(address=standin.address, timeout=PATIENCE)
    await store.create(kind=KIND, name="i-1", value=spec())
    try:
        yield standin, store
    finally:
        store.close()
        await standin.stop()


@pytest.mark.parametrize(
    ("foreign", "named"), [pytest.param(*row, id=name) for name, row in UNREADABLE.items()]
)
class TestUnreadable:
    """Entries that do not fit the form of the store's objects."""

    @pytest.mark.parametrize("page", [500, 2, 1])
    def test_listing(self, foreign: bytes, named: bool, page: int) -> None:
        """All others are listed; a page without a name to go on from is no whole listing."""

        async def run() -> None:
            async with serve(page=page) as (standin, store):
                standin.plant(kind=KIND, name="i-2", entry=foreign)
                await store.create(kind=KIND, name="i-3", value=spec())
                if page == 1 and not named:
                    # The next page is asked for by a name, and this one has none.
                    with pytest.raises(StoreUnavailableError):
                        await store.list(kind=KIND)
                    return
                listing = await store.list(kind=KIND)
                names = ["i-1", "i-2", "i-3"] if named else ["i-1", "i-3"]
                assert [item.name for item in listing.items] == names
                assert [item.value for item in listing.items if item.name != "i-2"] == [spec()] * 2
                assert listing.version == 3

        asyncio.run(run())

    def test_watch(self, foreign: bytes, named: bool) -> None:
        """The watch goes on, and an entry with a name replaces what it was before."""

        async def run() -> None:
            async with serve() as (standin, store):
                await store.create(kind=KIND, name="i-2", value=spec())
                standin.plant(kind=KIND, name="i-2", entry=foreign)
                await store.create(kind=KIND, name="i-3", value=spec())
                watch = store.watch(kind=KIND, version=2, timeout=9.0)
                seen: list[StoreChange] = []
                async for change in watch:
                    if change.kind is not ChangeKind.BOOKMARK:
                        seen.append(change)
                    if change.item.name == "i-3":
                        break
                names = ["i-2", "i-3"] if named else ["i-3"]
                assert [change.item.name for change in seen] == names
                assert all(change.item.value != spec() for change in seen[:-1])
                assert seen[-1].item.value == spec()

        asyncio.run(run())
