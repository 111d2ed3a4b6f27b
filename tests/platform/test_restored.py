"""A store restored from a backup, which assigns the same versions again."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureswitch.coordination.mirror import CopyPeers, Mirrors
from azureswitch.core import HostName
from azureswitch.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    StoreVersionGoneError,
)
from azureswitch.platform import HttpStore
from azureswitch.ports import ERA_MOST, StoredObject, era_of, revision_of, version_of
from azureswitch.ports._history import REVISION_MOST
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreStandin
from tests.waiting import PATIENCE, reach

KIND = "servers"

MOST_LISTS = 3
"""Full listings that one restore may cost a host."""

CALM_SECONDS = 1.0


@asynccontextmanager
async def serve_store() -> AsyncIterator[tuple[StoreStandin, HttpStore]]:
    """Serve a store that holds an object, and yield it with a client that has called it."""
    standin = StoreStandin()
    await standin.start()
    await standin.store.create(kind=KIND, name="a", value=b"1")
    store = HttpStore(address=standin.address, timeout=PATIENCE)
    await store.list(kind=KIND)
    try:
        yield standin, store
    finally:
        store.close()
        await standin.stop()


@asynccontextmanager
async def mirrored(store: HttpStore) -> AsyncIterator[Callable[[], dict[str, bytes]]]:
    """Mirror a store, and yield a function that returns the mirrored values by name."""
    seen: dict[str, bytes] = {}

    def publish(objects: tuple[StoredObject, ...]) -> None:
        seen.clear()
        seen.update({item.name: item.value for item in objects})

    address = "127.0.0.1:1"
    peers = CopyPeers(
        host=HostName("h1"),
        address=address,
        peers=PeersNetworkFake().peers(address=address),
        members=tuple,
    )
    mirror = Mirrors(peers=peers).add(
        store=store, kind=KIND, publish=publish, return_grace=0.0, seed=1
    )
    running = asyncio.create_task(mirror.run())
    try:
        yield lambda: seen
    finally:
        running.cancel()
        await asyncio.wait([running])


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""
    asyncio.run(scenario())  # type: ignore[arg-type]


class TestMirror:
    """A host's mirror of the store, through a restore."""

    @pytest.mark.parametrize("lost", [0, 1, 40])
    def test_follows(self, lost: int) -> None:
        """It matches the restored store, follows later changes, and needs few listings."""

        async def scenario() -> None:
            async with serve_store() as (standin, store), mirrored(store) as seen:
                copy = standin.store.model.copy()
                for number in range(lost):
                    await standin.store.create(kind=KIND, name=f"lost{number}", value=b"2")
                await reach(lambda: len(seen()) == 1 + lost)
                before = standin.counters.lists
                standin.restore(copy)
                await reach(lambda: seen() == {"a": b"1"})
                await asyncio.sleep(CALM_SECONDS)
                await standin.store.create(kind=KIND, name="b", value=b"3")
                await reach(lambda: seen() == {"a": b"1", "b": b"3"})
                assert standin.counters.lists - before <= MOST_LISTS

        run(scenario)

    def test_given_again(self) -> None:
        """A version assigned again to other contents is not mistaken for the known one."""

        async def scenario() -> None:
            async with serve_store() as (standin, store), mirrored(store) as seen:
                copy = standin.store.model.copy()
                await standin.store.create(kind=KIND, name="b", value=b"old")
                await reach(lambda: "b" in seen())
                standin.restore(copy)
                await standin.store.create(kind=KIND, name="b", value=b"new")
                await reach(lambda: seen().get("b") == b"new")

        run(scenario)


class TestEras:
    """The era that the store reports."""

    @pytest.mark.parametrize("told", ["", "x", "-1", "1.5", "9" * 30])
    def test_no_era(self, told: str) -> None:
        """An invalid era is ignored, and the store is used as before."""

        async def scenario() -> None:
            async with serve_store() as (standin, store):
                standin.store.model.restore(standin.store.model.copy())
                before = (await store.list(kind=KIND)).version
                standin.era = told
                assert (await store.list(kind=KIND)).version == before

        run(scenario)

    def test_older(self) -> None:
        """A response of an older era is rejected."""

        async def scenario() -> None:
            async with serve_store() as (standin, store):
                standin.store.model.restore(standin.store.model.copy())
                await store.list(kind=KIND)
                standin.era = "0"
                with pytest.raises(StoreUnavailableError):
                    await store.get(kind=KIND, name="a")
                with pytest.raises(StoreOutcomeUnknownError):
                    await store.create(kind=KIND, name="b", value=b"")

        run(scenario)

    @given(
        places=st.lists(
            st.tuples(st.integers(0, ERA_MOST), st.integers(1, REVISION_MOST)),
            min_size=2,
            max_size=2,
        )
    )
    def test_versions(self, places: list[tuple[int, int]]) -> None:
        """Versions are ordered by era and then by revision, and both can be recovered."""
        one, two = (version_of(era=era, revision=revision) for era, revision in places)
        assert (one < two) is (places[0] < places[1])
        assert [(era_of(v), revision_of(v)) for v in (one, two)] == places
        assert max(one, two) < 2**63


class TestConditions:
    """Writes and watches that use a version from before the restore."""

    def test_update(self) -> None:
        """A write conditional on an old version fails, even if its revision is in use again."""

        async def scenario() -> None:
            async with serve_store() as (standin, store):
                copy = standin.store.model.copy()
                old = await store.create(kind=KIND, name="b", value=b"old")
                standin.restore(copy)
                await store.create(kind=KIND, name="b", value=b"another's")
                with pytest.raises(StoreConflictError):
                    await store.update(kind=KIND, name="b", value=b"mine", version=old.version)
                with pytest.raises(StoreConflictError):
                    await store.delete(kind=KIND, name="b", version=old.version)
                new = await store.get(kind=KIND, name="b")
                assert new.value == b"another's"
                assert new.version > old.version
                await store.update(kind=KIND, name="b", value=b"mine", version=new.version)

        run(scenario)

    @pytest.mark.parametrize("written", [0, 3])
    def test_watch(self, written: int) -> None:
        """A watch from an old version fails as its history is gone, whatever was written since."""

        async def scenario() -> None:
            async with serve_store() as (standin, store):
                copy = standin.store.model.copy()
                old = await store.create(kind=KIND, name="b", value=b"old")
                standin.restore(copy)
                for number in range(written):
                    await standin.store.create(kind=KIND, name=f"n{number}", value=b"")
                with pytest.raises(StoreVersionGoneError):
                    async for _ in store.watch(kind=KIND, version=old.version, timeout=0.2):
                        pass

        run(scenario)
