"""Tests that crowds of unfinished requests neither end an entry host nor take it over."""

from pathlib import Path

import pytest

from bench.soak._documents import HostLimits
from tests.crowds.crowd import (
    Crowd,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
    whole_body,
)
from tests.crowds.hosts import MEGABYTE, entry_host, meet
from tests.entry.rig import KEY
from tests.platform.processes import NETWORK, run

START = (
    "POST /v1/completions HTTP/1.1\r\nhost: a\r\n"
    f"content-type: application/json\r\nauthorization: Bearer {KEY}\r\n"
).encode()

MEMORY = HostLimits(memory_mb=200)
DESCRIPTORS = HostLimits(memory_mb=200, descriptors=300)
"""Limits under which a small crowd shows what a larger one does to a larger host."""

IP = f"{NETWORK}.130"

SETTINGS = f"body_bytes = 4194304\nmemory_bytes = {MEMORY.memory_mb * MEGABYTE}"

SMALL, LARGE = 200, 20_000
"""Characters of an ordinary prompt."""

CROWDS = {
    "heads": Crowd(clients=300, sent=unfinished_head(START, size=32_000)),
    "whole-heads": Crowd(
        clients=400, sent=unfinished_body(unfinished_head(START, size=21_000), size=2)
    ),
    "large-bodies": Crowd(clients=80, sent=unfinished_body(START, size=4_000_000)),
    "large-chunks": Crowd(clients=80, sent=unfinished_chunks(START, size=4_000_000)),
    "whole-bodies": Crowd(clients=80, sent=whole_body(START, size=4_000_000)),
    "small-bodies": Crowd(clients=2_500, sent=unfinished_body(START, size=65_000)),
}

SILENT = Crowd(clients=350)


class TestMemory:
    """Requests that never become whole."""

    @pytest.mark.parametrize("size", [SMALL, LARGE], ids=["small", "large"])
    @pytest.mark.parametrize("crowd", CROWDS.values(), ids=CROWDS)
    def test_unfinished(self, tmp_path: Path, crowd: Crowd, size: int) -> None:
        """The host stays within its memory, and serves an ordinary request beside them."""

        async def scenario() -> None:
            async with entry_host(tmp_path, limits=MEMORY, ip=IP, settings=SETTINGS) as host:
                outcome = await meet(host, crowd, listener="callers", size=size)
                assert outcome.running
                assert outcome.memory <= host.memory
                assert outcome.answered

        run(scenario)


class TestDescriptors:
    """Connections on which nothing is sent."""

    @pytest.mark.parametrize("listener", ["callers", "operations", "peers"])
    def test_silent(self, tmp_path: Path, listener: str) -> None:
        """The host keeps descriptors free, and serves an ordinary request beside them."""

        async def scenario() -> None:
            async with entry_host(tmp_path, limits=DESCRIPTORS, ip=IP, settings=SETTINGS) as host:
                outcome = await meet(host, SILENT, listener=listener, size=SMALL)
                assert outcome.running
                assert outcome.descriptors < host.descriptors
                assert outcome.answered

        run(scenario)
