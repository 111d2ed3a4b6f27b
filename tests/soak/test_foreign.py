"""Foreign entries that the soak writes into the store."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from azureswitch.platform import TARGETS_KIND, HttpStore
from azureswitch_standins.store import StoreStandin
from bench.soak import _foreign
from bench.soak._fleet import Fleet
from bench.soak._foreign import HOSTS_KIND, Foreign
from bench.soak._platform import Platform
from bench.soak._records import STORE, Records, Window


class TestForeign:
    """Unit tests of `Foreign`."""

    def test_comes_and_goes(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Entries of both kinds are written, some mended, and all removed; it is noted."""
        monkeypatch.setattr(_foreign, "STAY_SECONDS", (0.2, 0.2))
        records = Records()

        async def play() -> tuple[set[str], int]:
            store = StoreStandin()
            await store.start()

            def client() -> HttpStore:
                return HttpStore(address=store.address, timeout=5.0)

            class FakeFleet:
                hosts = ()
                store = property(lambda self: client())

            foreign = Foreign(
                fleet=cast(Fleet, FakeFleet()),
                platform=cast(Platform, SimpleNamespace()),
                records=records,
                seed=1,
                away=set(),
            )
            writing = asyncio.create_task(foreign.run(count=1, seconds=0.0))
            await asyncio.sleep(0.15)
            kinds = {k for k in (TARGETS_KIND, HOSTS_KIND) if (await client().list(kind=k)).items}
            await writing
            left = [await client().list(kind=kind) for kind in (TARGETS_KIND, HOSTS_KIND)]
            await store.stop()
            return kinds, sum(len(listing.items) for listing in left)

        assert asyncio.run(play()) == ({TARGETS_KIND, HOSTS_KIND}, 0)
        assert [window.kind for window in records.windows] == ["foreign entries"]

    @pytest.mark.parametrize(
        ("subject", "begin", "found"), [("h2", 11.0, 1), ("h1", 11.0, 0), (STORE, 11.0, 0)]
    )
    def test_unready(self, subject: str, begin: float, found: int) -> None:
        """A host that was not ready in time is a finding, unless something else befell it."""
        records = Records(
            windows=[Window(kind="fault", subject=subject, begin=begin, end=begin + 1.0)]
        )
        foreign = Foreign(
            fleet=cast(Fleet, SimpleNamespace(hosts=())),
            platform=cast(Platform, SimpleNamespace()),
            records=records,
            seed=1,
            away=set(),
        )
        foreign._late.append(("h1", 10.0))
        assert len(foreign.unready()) == found
