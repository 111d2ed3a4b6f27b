"""The HTTP client against servers that misbehave."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.exceptions import HttpBrokenError, HttpNotSentError

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

HELLO = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
STRAY = b"HTTP/1.1 418 Other\r\ncontent-length: 5\r\n\r\nother"


async def ask(answer: bytes, *, close: bool, timeout: float, times: int = 1) -> list[HttpAnswer]:
    """Send requests one after another to a server that answers each connection once."""
    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if close:
            writer.close()
        else:
            await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(address=f"127.0.0.1:{port}")
    try:
        return [await client.request(method="GET", path="/", timeout=timeout) for _ in range(times)]
    finally:
        client.close()
        server.close()


class TestAnswers:
    """What counts as the whole answer to a request."""

    @pytest.mark.parametrize(
        ("answer", "close", "whole"),
        [
            (b"HTTP/1.1 200 OK\r\n\r\nhello", True, True),
            (b"HTTP/1.1 200 OK\r\n\r\nhel", False, False),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel", True, False),
            (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\nz", False, False),
        ],
        ids=["ends with its connection", "out of time", "cut", "not HTTP"],
    )
    def test_whole(self, answer: bytes, close: bool, whole: bool) -> None:
        """An answer that ends with its connection is whole only if the server ended it."""
        if whole:
            (got,) = asyncio.run(ask(answer, close=close, timeout=5.0))
            assert got.body == b"hello"
            return
        with pytest.raises(HttpBrokenError):
            asyncio.run(ask(answer, close=close, timeout=0.05))

    def test_answer_that_nobody_asked_for(self) -> None:
        """A second answer behind the first reaches neither this request nor the next."""
        answers = asyncio.run(ask(HELLO + STRAY, close=False, timeout=5.0, times=2))
        assert [(got.head.status, got.body) for got in answers] == [(200, b"hello")] * 2


class TestPermitted:
    """Requests that may no longer be sent once there is a connection."""

    @pytest.mark.parametrize("permitted", [True, False])
    def test_nothing_written(self, permitted: bool) -> None:
        """Guards against a request that is written although its permission ended meanwhile."""
        received = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.extend(await reader.read(1_000))
            writer.write(HELLO)
            writer.close()

        async def scenario() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            client = HttpClient(address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            exchange = client.stream(
                method="GET", path="/", timeout=5.0, permitted=lambda: permitted
            )
            try:
                async with exchange as answer:
                    assert await answer.body() == b"hello"
            finally:
                client.close()
                server.close()

        if permitted:
            asyncio.run(scenario())
            assert received.startswith(b"GET / ")
            return
        with pytest.raises(HttpNotSentError):
            asyncio.run(scenario())
        assert not received
