"""The faults that the soak brings about."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from azureswitch.exceptions import HttpNotSentError
from bench.soak import _faults
from bench.soak._faults import Faults
from bench.soak._fleet import Fleet
from bench.soak._platform import Platform
from bench.soak._records import Records


class FreshTarget:
    """A target whose process runs, and which does not listen until its entry is in the store."""

    def __init__(self, *, name: str) -> None:
        self.plan = SimpleNamespace(name=name, service="pool")
        self.process = SimpleNamespace(running=True)
        self.listed = asyncio.Event()
        self.orders = 0

    async def set_faults(self, faults: object) -> None:
        """Take an order once it listens."""
        if not self.listed.is_set():
            raise HttpNotSentError(address="127.0.0.1:1")
        self.orders += 1


class TestMisbehaves:
    """A target that is told to misbehave."""

    @pytest.mark.parametrize("seconds", [0.0, 0.05])
    def test_fresh(self, seconds: float, monkeypatch: pytest.MonkeyPatch) -> None:
        """One that was started just now is told so once it listens."""
        monkeypatch.setattr(_faults, "LAST_SECONDS", (0.0, 0.0))
        records = Records()

        async def play() -> int:
            targets = [FreshTarget(name="i-1"), FreshTarget(name="i-2")]
            fleet = cast(Fleet, SimpleNamespace(targets=targets, hosts=[]))
            platform = cast(Platform, SimpleNamespace())
            faults = Faults(fleet=fleet, platform=platform, records=records, seed=1)
            loop = asyncio.get_running_loop()
            for target in targets:
                loop.call_later(seconds, target.listed.set)
            await faults.run(count=1, seconds=0.0, only="target misbehaves")
            return sum(target.orders for target in targets)

        assert asyncio.run(play()) == 2
        assert records.findings == []
