"""Callers who keep connections tell how these end."""

import asyncio
from collections.abc import Awaitable, Callable
from socket import create_server
from time import monotonic, sleep

import pytest

from bench.soak._keepers import Ending, Wire
from bench.soak._records import CallKind, CallRecord

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n"
SOON = 0.1

Taken = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Play = Callable[[Wire, CallRecord], Awaitable[None]]


def _call() -> CallRecord:
    now = monotonic()
    return CallRecord(
        id="c1", kind=CallKind.LOOK, host="h1", key="", digest="", sent=now, deadline=now + 5.0
    )


class TestWire:
    """Unit tests of `Wire`."""

    @pytest.mark.parametrize(
        ("reads", "answer", "ending", "status", "begun"),
        [
            (True, HEAD + b"\r\nbody", Ending.OPEN, 200, True),
            (True, HEAD + b"\r\nbo", Ending.READ, 0, True),
            (True, b"", Ending.READ, 0, False),
            (False, b"", Ending.UNREAD, 0, False),
        ],
    )
    def test_endings(
        self, reads: bool, answer: bytes, ending: Ending, status: int, begun: bool
    ) -> None:
        """A close after all was read is told from one before it, and both from an answer."""

        async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if reads:
                await reader.readuntil(b"\r\n\r\n")
            else:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(SOON)
            writer.write(answer)
            writer.close()

        async def play(wire: Wire, call: CallRecord) -> None:
            await wire.ask(call, REQUEST)

        call = _call()
        asyncio.run(_with_server(taken, play, call))
        assert (call.ending or Ending.OPEN.value) == ending.value
        assert (call.status, call.begun) == (status, begun)

    def test_crossing(self) -> None:
        """A request that is sent on a connection that was just closed has not been read."""

        async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        async def play(wire: Wire, call: CallRecord) -> None:
            await asyncio.sleep(SOON)
            assert not wire.usable(polite=False)
            await wire.ask(call, REQUEST)

        call = _call()
        asyncio.run(_with_server(taken, play, call))
        assert call.ending == Ending.UNREAD.value

    @pytest.mark.parametrize("closes", [False, True])
    def test_close_told_as_a_crossing_as_the_soak_is_late(self, closes: bool) -> None:
        """A close that has arrived is known, though the loop has not come to read it."""

        async def scenario() -> None:
            with create_server(("127.0.0.1", 0)) as server:
                address = server.getsockname()
                _, wire = await asyncio.get_running_loop().create_connection(Wire, *address)
                taken, _ = server.accept()
                if closes:
                    taken.close()
                    sleep(SOON)
                assert wire.usable(polite=False)
                assert wire.ended is closes
                wire.abort()
                taken.close()

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("more", "told", "polite"),
        [
            (b"\r\n", False, True),
            (b"connection: close\r\n\r\n", True, True),
            (b"keep-alive: timeout=0\r\n\r\n", False, False),
            (b"keep-alive: timeout=5\r\n\r\n", False, True),
        ],
    )
    def test_told(self, more: bytes, told: bool, polite: bool) -> None:
        """What an answer says of its connection is kept; only who is polite heeds its time."""

        async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + more + b"body")
            await reader.read()

        async def play(wire: Wire, call: CallRecord) -> None:
            await wire.ask(call, REQUEST)
            await asyncio.sleep(0.01)
            assert wire.told_to_close is told
            assert wire.usable(polite=True) is polite
            assert wire.usable(polite=False)

        asyncio.run(_with_server(taken, play, _call()))


async def _with_server(taken: Taken, play: Play, call: CallRecord) -> None:
    server = await asyncio.start_server(taken, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    _, wire = await asyncio.get_running_loop().create_connection(Wire, ip, port)
    try:
        async with asyncio.timeout(10.0):
            await play(wire, call)
    finally:
        wire.abort()
        server.close()
