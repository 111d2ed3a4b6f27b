"""Tests that crowds of unfinished requests neither end a host of the platform nor take it over."""

from pathlib import Path

import pytest

from bench.soak._documents import HOST_HEADER, HostLimits
from tests.crowds.crowd import (
    Crowd,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
    whole_body,
)
from tests.crowds.hosts import meet, platform_host
from tests.platform.processes import NETWORK, run

START = f"POST /look/1 HTTP/1.1\r\nhost: {HOST_HEADER}\r\n".encode()

MEMORY = HostLimits(memory_mb=100)
DESCRIPTORS = HostLimits(descriptors=400)
"""Limits under which a small crowd shows what a larger one does to a larger host."""

SMALL, LARGE = 200, 4_000_000
"""Bytes of the body of an ordinary request."""

CROWDS = {
    "heads": Crowd(clients=300, sent=unfinished_head(START, size=11_600)),
    "heads-over-the-limit": Crowd(clients=300, sent=unfinished_head(START, size=28_000)),
    "whole-heads": Crowd(
        clients=300, sent=unfinished_body(unfinished_head(START, size=11_600), size=2)
    ),
    "large-bodies": Crowd(clients=60, sent=unfinished_body(START, size=4_000_000)),
    "large-chunks": Crowd(clients=60, sent=unfinished_chunks(START, size=4_000_000)),
    "whole-bodies": Crowd(clients=60, sent=whole_body(START, size=4_000_000)),
    "small-bodies": Crowd(clients=700, sent=unfinished_body(START, size=65_000)),
    "small-chunks": Crowd(clients=700, sent=unfinished_chunks(START, size=65_000)),
}

SILENT = Crowd(clients=450)


class TestMemory:
    """Requests that never become whole."""

    @pytest.mark.parametrize("size", [SMALL, LARGE], ids=["small", "large"])
    @pytest.mark.parametrize("crowd", CROWDS.values(), ids=CROWDS)
    def test_unfinished(self, tmp_path: Path, crowd: Crowd, size: int) -> None:
        """The host stays within its memory, and serves an ordinary request beside them."""

        async def scenario() -> None:
            async with platform_host(tmp_path, ip=f"{NETWORK}.120", limits=MEMORY) as host:
                outcome = await meet(host, crowd, listener="callers", size=size)
                assert outcome.running
                assert outcome.memory <= host.memory
                assert outcome.answered

        run(scenario)


class TestDescriptors:
    """Connections on which nothing is sent."""

    @pytest.mark.parametrize("listener", ["callers", "readiness", "metrics", "peers", "tunnels"])
    def test_silent(self, tmp_path: Path, listener: str) -> None:
        """The host keeps descriptors free, and serves an ordinary request beside them."""

        async def scenario() -> None:
            async with platform_host(tmp_path, ip=f"{NETWORK}.121", limits=DESCRIPTORS) as host:
                outcome = await meet(host, SILENT, listener=listener, size=SMALL)
                assert outcome.running
                assert outcome.descriptors <= host.descriptors
                assert outcome.answered

        run(scenario)
