"""The silences that the soak draws, and the configurations beside them."""

import asyncio
from itertools import permutations
from types import SimpleNamespace
from typing import cast

import pytest
from msgspec.structs import asdict

from azureswitch.exceptions import HttpNotSentError
from bench.soak import _silences
from bench.soak._documents import Layout
from bench.soak._fleet import Fleet
from bench.soak._platform import Platform
from bench.soak._records import Records
from bench.soak._silences import Silences


class FakeTarget:
    """A target that can be told to fall silent, or that is gone."""

    def __init__(self, *, name: str, gone: bool = False) -> None:
        self.plan = SimpleNamespace(name=name)
        self.process = SimpleNamespace(running=True)
        self.listed = asyncio.Event()
        self.listed.set()
        self._gone = gone

    async def fall_silent(self, seconds: float) -> None:
        """Take the order."""
        if self._gone:
            raise HttpNotSentError(address="127.0.0.1:1")


class FakePlatform:
    """Keeps what was changed."""

    def __init__(self) -> None:
        self.changes: list[dict[str, int]] = []
        self.flips = 0

    async def change(self, **fields: int) -> None:
        """Keep it."""
        self.changes.append(fields)

    async def flip_extra_key(self) -> None:
        """Count it."""
        self.flips += 1


class TestSilences:
    """Unit tests of `Silences`."""

    def test_series(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """One, several or nearly all targets fall silent beside changes of each kind."""
        monkeypatch.setattr(_silences, "PERIOD_SECONDS", (0.05, 0.1))
        monkeypatch.setattr(_silences, "SILENT_SECONDS", (0.01, 0.05))
        monkeypatch.setattr(_silences, "CHANGE_SECONDS", (0.001, 0.002))
        monkeypatch.setattr(_silences, "PAUSE_SECONDS", 0.0)
        records, platform = Records(), FakePlatform()

        async def play() -> None:
            targets = [FakeTarget(name=f"t{n}") for n in range(8)]
            targets.append(FakeTarget(name="gone", gone=True))
            await Silences(
                fleet=cast(Fleet, SimpleNamespace(targets=targets)),
                platform=cast(Platform, platform),
                records=records,
                seed=1,
            ).run(count=6, seconds=0.3)

        asyncio.run(play())
        for one, other in permutations(records.silences, 2):
            assert one.target != other.target or not one.begin <= other.begin < one.end
        starts = {round(silent.begin, 2) for silent in records.silences}
        assert len(records.silences) > len(starts) > 6
        assert "gone" not in {silent.target for silent in records.silences}
        assert (records.windows, records.findings) == ([], [])
        assert platform.flips
        kinds = {key for change in platform.changes[:-1] for key in change}
        assert kinds == set(Layout.__struct_fields__)
        assert platform.changes[-1] == asdict(Layout())
