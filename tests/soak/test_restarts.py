"""Targets that the soak starts again under their names."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from bench.soak import _restarts
from bench.soak._fleet import Fleet
from bench.soak._proxy import Mode
from bench.soak._records import Records
from bench.soak._restarts import Restarts


class FakeTarget:
    """A target that notes what is done with it."""

    def __init__(self, name: str) -> None:
        self.plan = SimpleNamespace(name=name, service="pool")
        self.listen = "127.0.0.1:9"
        self.listed = asyncio.Event()
        self.listed.set()
        self.steps: list[str] = []
        self.process = SimpleNamespace(running=True, kill=self._kill, start=self._start)
        self.proxy = SimpleNamespace(set_mode=lambda mode: self.steps.append(mode.name))

    async def _kill(self) -> None:
        self.steps.append("kill")

    async def _start(self) -> None:
        assert not self.listed.is_set()
        self.steps.append("start")
        self.listed.set()


class TestRestarts:
    """Unit tests of `Restarts`."""

    @pytest.mark.parametrize(("alike", "restarted"), [(1, 0), (4, 3)])
    def test_kinds(self, alike: int, restarted: int, monkeypatch: pytest.MonkeyPatch) -> None:
        """Each kind comes in its turn, at targets of whose service another one is left."""
        for name in ("DOWN_SECONDS", "HIDDEN_SECONDS"):
            monkeypatch.setattr(_restarts, name, (0.0, 0.0))
        monkeypatch.setattr(_restarts, "WATCH_SECONDS", 0.0)
        monkeypatch.setattr(_restarts, "DESK", "pool")
        records = Records()

        async def play() -> list[FakeTarget]:
            targets = [FakeTarget(f"i-{number}") for number in range(alike)]
            fleet = cast(Fleet, SimpleNamespace(targets=targets))
            restarts = Restarts(fleet=fleet, records=records, seed=1, away=set())
            await restarts.run(count=3, seconds=0.0)
            return targets

        steps = [step for target in asyncio.run(play()) for step in target.steps]
        assert steps.count("kill") == steps.count("start") == restarted
        assert len({window.kind for window in records.windows}) == restarted
        hidden = [step for step in steps if step not in ("kill", "start")]
        assert len(hidden) == (2 if restarted else 0)
        assert hidden[1:] == [Mode.PASS.name] * (len(hidden) // 2)
