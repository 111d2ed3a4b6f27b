"""The adapters to targets type each failure, against a server that answers by script."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from msgspec.structs import replace

from azureswitch.core import CallId, HostName, Incarnation, TargetName
from azureswitch.engines import HttpEngine, HttpPlainTarget
from azureswitch.engines._plain import ANSWER_LIMIT
from azureswitch.exceptions import (
    AnswerTooLargeError,
    AzureswitchError,
    OrderRefusedError,
    TargetAnswerError,
    TargetBrokenError,
    TargetRefusedError,
    TargetRejectedError,
)
from azureswitch.ports import Chunk, EngineRequest, Order, OrderKind, PlainRequest, Surface

SSE = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def token(*, call: str = "c1", text: str = " a", **fields: object) -> bytes:
    """Return one event of a token."""
    choice = {"index": 0, "text": text, "finish_reason": None}
    event = {"id": call, "choices": [choice], **fields}
    return b"data: " + json.dumps(event, separators=(",", ":")).encode() + b"\n\n"


def end(tokens: int) -> bytes:
    """Return the last events of an answer of so many tokens."""
    choice = {"index": 0, "text": "", "finish_reason": "length"}
    event = {"id": "c1", "choices": [choice], "usage": {"completion_tokens": tokens}}
    return b"data: " + json.dumps(event).encode() + b"\n\ndata: [DONE]\n\n"


def chunked(*parts: bytes, whole: bool = True) -> bytes:
    """Return an event stream in HTTP chunks."""
    body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return SSE + body + (b"0\r\n\r\n" if whole else b"")


def failed(status: int, kind: str, *, not_run: bool = True, **fields: object) -> bytes:
    """Return the answer of a target that fails."""
    body = json.dumps({"error": {"type": kind, "message": "m", "not_run": not_run, **fields}})
    return (
        f"HTTP/1.1 {status} X\r\nretry-after: 2\r\ncontent-length: {len(body)}\r\n\r\n{body}"
    ).encode()


class Script:
    """A server that gives the same answer to every request and keeps what it was sent."""

    def __init__(self, *, answer: bytes) -> None:
        self._answer = answer
        self.heads: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection and close it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.heads.append(head)
        length = head.lower().partition("content-length: ")[2].partition("\r\n")[0]
        await reader.readexactly(int(length or "0"))
        writer.write(self._answer)
        writer.close()


@asynccontextmanager
async def scripted(answer: bytes) -> AsyncIterator[tuple[Script, str]]:
    """Run a scripted server and give its address."""
    script = Script(answer=answer)
    server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        yield script, f"127.0.0.1:{port}"


def engine_request(*, resume_from: int = 0) -> EngineRequest:
    """Return a request of call ``c1``."""
    return EngineRequest(
        call=CallId("c1"),
        attempt=1,
        owner=Incarnation(host=HostName("h"), started=7),
        surface=Surface.COMPLETION,
        body=b"{}",
        cache_scope="k",
        priority=-1,
        timeout=5.0,
        resume_from=resume_from,
    )


def plain_request(*, method: str = "POST") -> PlainRequest:
    """Return a booking."""
    return PlainRequest(
        call=CallId("c1"),
        method=method,
        path="book?day=1",
        headers=(("Authorization", "Bearer secret"), ("Connection", "close"), ("X-Shop", "s")),
        body=b"b",
        idempotency_key="k1",
        timeout=5.0,
    )


def engine(address: str) -> HttpEngine:
    """Return the adapter to an engine ``e``."""
    return HttpEngine(target=TargetName("e"), address=address)


async def read(chunks: AsyncIterator[Chunk], into: list[Chunk]) -> None:
    """Read a stream, keeping what arrived before it failed."""
    async for chunk in chunks:
        into.append(chunk)


async def read_all(answer: bytes, *, resume_from: int = 0) -> list[Chunk]:
    """Read the stream of a scripted answer."""
    found: list[Chunk] = []
    async with scripted(answer) as (_, address):
        await read(engine(address).stream(request=engine_request(resume_from=resume_from)), found)
    return found


class TestStream:
    """Unit tests of `HttpEngine.stream`."""

    @pytest.mark.parametrize(
        ("parts", "resume_from", "tokens"),
        [
            ((token() + token(), end(2)), 0, 2),
            ((token() + token() + end(2),), 0, 2),
            ((token()[:9], token()[9:] + end(1)[:5], end(1)[5:]), 0, 1),
            ((token(tokens=3), end(3)), 0, 3),
            ((token(), end(8)), 7, 1),
            ((b": idle\n\n" + token(), end(1)), 0, 1),
            ((token(text='"id":"c2" data: [DONE]\n\n"usage":{'), end(1)), 0, 1),
            ((token(usage=None), token(text=""), end(2)), 0, 2),
        ],
    )
    def test_whole(self, parts: tuple[bytes, ...], resume_from: int, tokens: int) -> None:
        """Whole events are relayed unchanged however they are cut, and their tokens counted."""
        chunks = asyncio.run(read_all(chunked(*parts), resume_from=resume_from))
        assert b"".join(chunk.data for chunk in chunks) == b"".join(parts)
        assert all(chunk.data.endswith(b"\n\n") for chunk in chunks)
        assert sum(chunk.tokens for chunk in chunks) == tokens
        assert [chunk.last for chunk in chunks] == [False] * (len(chunks) - 1) + [True]

    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            (chunked(token(call="c2")), TargetAnswerError),
            (chunked(token() + token(call="c2") + end(2)), TargetAnswerError),
            (chunked(token(), end(2)), TargetAnswerError),
            (chunked(token(), b"data: [DONE]\n\n"), TargetAnswerError),
            (chunked(token(), end(1), token()), TargetAnswerError),
            (chunked(b"data: {\n\n"), TargetAnswerError),
            (chunked(b"<html>\n\n"), TargetAnswerError),
            (chunked(b'data: {"error":{"type":"x"}}\n\n'), TargetBrokenError),
            (chunked(token()), TargetBrokenError),
            (chunked(token(), whole=False), TargetBrokenError),
            (b"HTTP/1.1 ", TargetBrokenError),
            (b"nonsense\r\n\r\n", TargetBrokenError),
            (b"", TargetBrokenError),
            (failed(400, "context_length_exceeded"), TargetRejectedError),
            (failed(404, "model_not_found"), TargetRejectedError),
            (failed(404, "request_not_found"), TargetRefusedError),
            (failed(409, "attempt_exists"), TargetBrokenError),
            (failed(409, "order_fenced", fence=1, newest=2), OrderRefusedError),
            (failed(429, "queue_full"), TargetRefusedError),
            (failed(503, "memory_full"), TargetRefusedError),
            (failed(503, "x", not_run=False), TargetBrokenError),
            (failed(500, "x", not_run=False), TargetBrokenError),
        ],
    )
    def test_fails(self, answer: bytes, error: type[AzureswitchError]) -> None:
        """Each failure has its type; only what certainly did not run is refused or rejected."""
        with pytest.raises(AzureswitchError) as caught:
            asyncio.run(read_all(answer))
        assert type(caught.value) is error

    def test_broken_midway(self) -> None:
        """Whole events before a break are relayed and counted; a part of one is not."""

        async def run() -> None:
            found: list[Chunk] = []
            answer = chunked(token(), token()[:9], whole=False)
            async with scripted(answer) as (_, address):
                with pytest.raises(TargetBrokenError) as caught:
                    await read(engine(address).stream(request=engine_request()), found)
            assert [chunk.data for chunk in found] == [token()]
            assert caught.value.tokens == 1

        asyncio.run(run())

    def test_headers(self) -> None:
        """The engine learns call, attempt, owner, priority, scope, time and offset."""

        async def run() -> None:
            async with scripted(chunked(token(), end(3))) as (script, address):
                await read(engine(address).stream(request=engine_request(resume_from=2)), [])
            for line in (
                "POST /v1/completions HTTP/1.1",
                "x-request-id: c1",
                "x-attempt: 1",
                "x-owner: h:7",
                "x-priority: -1",
                "x-cache-scope: k",
                "x-timeout: 5.000",
                "x-resume-from: 2",
                "x-stream: sse",
            ):
                assert f"{line}\r\n" in script.heads[0]

        asyncio.run(run())


class TestCalls:
    """Unit tests of the other calls to targets."""

    def test_unreachable(self) -> None:
        """A refused connection never ran."""

        async def run() -> None:
            async with scripted(b"") as (_, address):
                pass
            plain = HttpPlainTarget(target=TargetName("s"), address=address)
            with pytest.raises(TargetRefusedError):
                await read(engine(address).stream(request=engine_request()), [])
            with pytest.raises(TargetRefusedError):
                await engine(address).load()
            with pytest.raises(TargetRefusedError):
                await plain.send(request=plain_request())

        asyncio.run(run())

    def test_fenced(self) -> None:
        """A fenced order tells both numbers."""

        async def run() -> None:
            answer = failed(409, "order_fenced", fence=1, newest=2)
            order = Order(kind=OrderKind.MODEL, value="m", present=True, fence=1)
            async with scripted(answer) as (_, address):
                with pytest.raises(OrderRefusedError) as caught:
                    await engine(address).order(order=order)
            assert (caught.value.fence, caught.value.newest) == (1, 2)

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            (b"", TargetBrokenError),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", TargetBrokenError),
            (failed(503, "refused"), TargetRefusedError),
            (failed(503, "x", not_run=False), None),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", None),
            (b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * (ANSWER_LIMIT + 1), AnswerTooLargeError),
        ],
    )
    def test_plain(self, answer: bytes, error: type[AzureswitchError] | None) -> None:
        """A booking that broke may have run and is sent once; a clear status is the answer."""

        async def run() -> None:
            async with scripted(answer) as (script, address):
                target = HttpPlainTarget(target=TargetName("s"), address=address)
                if error is None:
                    assert (await target.send(request=plain_request())).status in (200, 503)
                else:
                    with pytest.raises(error):
                        await target.send(request=plain_request())
            (head,) = script.heads
            assert "x-shop: s\r\n" in head.lower()
            assert "idempotency-key: k1\r\n" in head
            assert "secret" not in head

        asyncio.run(run())

    def test_kept_connection(self) -> None:
        """A call with a key is not sent again where a kept connection breaks, safe or not."""
        seen: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                seen.append(head.decode().partition(" ")[2])
                if b"idempotency-key" in head:
                    break
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            writer.close()

        async def run() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            target = HttpPlainTarget(target=TargetName("s"), address=f"127.0.0.1:{port}")
            tally = replace(plain_request(method="GET"), body=b"")
            await target.send(request=replace(tally, idempotency_key=None))
            with pytest.raises(TargetBrokenError):
                await target.send(request=tally)
            server.close()

        asyncio.run(run())
        assert len(seen) == 2
