"""The planned work that the soak does on hosts."""

import asyncio
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest

from bench.soak import _planned
from bench.soak._fleet import Fleet, Host
from bench.soak._planned import Planned, stop_host
from bench.soak._platform import Platform
from bench.soak._records import AWAY, Records


class FakeProcess:
    """A process that ends some time after it is told to."""

    def __init__(self) -> None:
        self.signals: list[str] = []

    async def terminate(self, *, timeout: float) -> int:
        """Stop."""
        self.signals.append("stop")
        await asyncio.sleep(0.05)
        self.signals.append("over")
        return 0

    def ask_to_stop(self) -> None:
        """Be told once more."""
        self.signals.append("again")

    def reload(self) -> None:
        """Be told of settings."""


class FakeHost:
    """A host with such a process."""

    def __init__(self, name: str = "h1") -> None:
        self.name = name
        self.started = 0.0
        self.starts = 0
        self.process = FakeProcess()
        self.log = Path()

    async def start(self) -> None:
        """Count."""
        self.starts += 1

    def move_store(self) -> None:
        """Do nothing."""


class TestPlanned:
    """Unit tests of planned work."""

    @pytest.mark.parametrize(
        ("again", "signals"),
        [(0.0, ["stop", "over"]), (0.01, ["stop", "again", "over"])],
    )
    def test_stop(self, again: float, signals: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
        """A host is stopped, also told so twice, and started anew; both are noted as planned."""
        monkeypatch.setattr(_planned, "DOWN_SECONDS", (0.0, 0.0))
        host, records = FakeHost(), Records()
        asyncio.run(stop_host(cast(Host, host), records=records, random=Random(1), again=again))
        assert (host.process.signals, host.starts) == (signals, 1)
        assert [(w.kind, w.subject) for w in records.windows] == [
            ("host stopped", "h1 planned"),
            (AWAY, "h1"),
        ]

    def test_burst(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A series restarts each host once, and the stops overlap."""
        monkeypatch.setattr(_planned, "DOWN_SECONDS", (0.0, 0.0))
        monkeypatch.setattr(_planned, "GAPS", (0.02,))
        hosts = [FakeHost(f"h{number}") for number in range(3)]
        records = Records()

        async def flip() -> None:
            pass

        planned = Planned(
            fleet=cast(Fleet, SimpleNamespace(hosts=hosts, targets=[])),
            platform=cast(Platform, SimpleNamespace(flip_extra_key=flip)),
            records=records,
            seed=1,
            away=set(),
        )
        asyncio.run(planned.run(count=1, seconds=0.0))
        assert [host.starts for host in hosts] == [1, 1, 1]
        stops = sorted((w.begin, w.end) for w in records.windows if w.subject.endswith("planned"))
        assert stops[1][0] < stops[0][1]
