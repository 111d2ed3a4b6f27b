"""What a caller never reads is not kept for as long as its connection lives."""

import asyncio
import socket

import pytest

from azureswitch.server import CallerLimits, CloseReason, Exchange, _connection
from tests.server.fixtures import Script, answer, request, run, serve
from tests.waiting import reach

IDLE_SECONDS = 0.3
SLOW_SECONDS = 1.0
"""The same for callers who do read, which a busy machine holds up."""

SIZE = 32_000_000
"""Bytes of an answer; the kernel takes 4 MB of them on loopback."""


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the time that a connection may be idle be what counts."""
    monkeypatch.setattr(_connection, "UNREAD_LEAST", IDLE_SECONDS)


def large(exchange: Exchange) -> None:
    """Give an answer that the kernel does not take whole."""
    exchange.respond(status=200, headers=(), body=b"x" * SIZE)


class TestUnsent:
    """A whole answer that its caller does not read."""

    @pytest.mark.parametrize("headers", ["", "connection: close\r\n"], ids=["kept", "closed"])
    def test_never_read(self, headers: str) -> None:
        """The connection ends once nothing of it has moved for the time that it may be idle."""

        async def scenario() -> None:
            limits = CallerLimits(idle_seconds=IDLE_SECONDS)
            async with serve(Script(limits=limits, acts={"/1": large})) as bed:
                with socket.create_connection(("127.0.0.1", bed.port)) as caller:
                    caller.sendall(request("/1", headers=headers))
                    await reach(lambda: bed.server.connections == 1)
                    await asyncio.sleep(10 * IDLE_SECONDS)
                    assert bed.server.connections == 0
                    assert bed.script.closed[0].reason is CloseReason.UNREAD

        run(scenario)

    @pytest.mark.parametrize("headers", ["", "connection: close\r\n"], ids=["kept", "closed"])
    def test_read_slowly(self, headers: str) -> None:
        """Who reads slowly gets it whole, though it takes longer than a connection may be idle."""

        async def scenario() -> None:
            limits = CallerLimits(idle_seconds=SLOW_SECONDS)
            async with serve(Script(limits=limits, acts={"/1": large})) as bed:
                caller = await bed.connect()
                caller.send(request("/1", headers=headers))
                await caller.reader.readuntil(b"\r\n\r\n")
                body = 0
                while body < SIZE:
                    body += len(await caller.reader.readexactly(min(SIZE - body, SIZE // 16)))
                    await asyncio.sleep(SLOW_SECONDS / 8)
                assert body == SIZE
                assert not await caller.reader.read()

        run(scenario)

    def test_least(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """However short that time is, lost packets may be sent again."""

        async def scenario() -> None:
            monkeypatch.setattr(_connection, "UNREAD_LEAST", 10 * IDLE_SECONDS)
            limits = CallerLimits(idle_seconds=IDLE_SECONDS / 10)
            async with serve(Script(limits=limits, acts={"/1": large})) as bed:
                caller = await bed.connect()
                caller.send(request("/1"))
                await asyncio.sleep(2 * IDLE_SECONDS)
                await caller.reader.readuntil(b"\r\n\r\n")
                assert len(await caller.reader.readexactly(SIZE)) == SIZE

        run(scenario)

    def test_read_late(self) -> None:
        """Who begins to read within that time gets it whole, and may go on."""

        async def scenario() -> None:
            limits = CallerLimits(idle_seconds=SLOW_SECONDS)
            script = Script(limits=limits, acts={"/1": large, "/2": answer})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1"))
                await asyncio.sleep(SLOW_SECONDS / 4)
                await caller.reader.readuntil(b"\r\n\r\n")
                await caller.reader.readexactly(SIZE)
                assert (await caller.ask("/2")).endswith(b"/2")

        run(scenario)
