"""What a caller gets of answers whose framing is unusual, early, or cut."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import pytest

from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.gateway import Gateway
from azureswitch.inventory import Target
from tests.gateway.fixtures import (
    PACE,
    PATIENCE,
    RecordingLog,
    deployment,
    event,
    make_gateway,
    model_headers,
    usual_headers,
    whole_stream,
)
from tests.gateway.test_gateway import run

RESET_ON_CLOSE = pack("ii", 1, 0)
"""Value of `SO_LINGER` with which a close resets the connection."""

TRAVEL_SECONDS = 0.05
"""Seconds in which bytes cross loopback and are read."""

SEALED = b"x-azureswitch-attempt-id: r1\r\nx-azureswitch-response-seal: seal\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + SEALED

WHOLE = b"whole"
COUNT = 4

LONG_BODY = b"x" * 3_000_000
"""A body that no socket buffer holds."""

Answer = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Answers a request of which the head was read."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def body_length(head: bytes) -> int:
    """Return the length of a request's body."""
    lines = head.decode().lower().split("\r\n")
    found = (line for line in lines if line.startswith("content-length:"))
    return int(next(found, "0").rpartition(":")[2])


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """Sends bytes once the request was read, and ends the connection or keeps it.

    Attributes:
        parts: The bytes; each part is read before the next is sent.
        ends: What ends the connection, or None.
    """

    parts: tuple[bytes, ...]
    ends: Callable[[asyncio.StreamWriter], None] | None = None

    async def __call__(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        await reader.readexactly(body_length(head))
        for part in self.parts:
            writer.write(part)
            await asyncio.sleep(TRAVEL_SECONDS)
        if self.ends is not None:
            self.ends(writer)


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection."""
    writer.close()


@dataclass(slots=True, kw_only=True)
class Bed:
    """A gateway before a target that answers as it is told."""

    gateway: Gateway
    log: RecordingLog
    runs: int = 0

    async def exchange(self, method: str, path: str, *, body: bytes = b"body") -> bytes:
        """Send one last request and return all that comes until the connection ends."""
        host, _, port = self.gateway.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        pairs = (
            *usual_headers("r1"),
            *(model_headers() if path in ("/ask/", "/once/") else ()),
            ("connection", "close"),
            ("content-length", str(len(body))),
        )
        lines = [f"{name}: {value}" for name, value in pairs]
        head = "\r\n".join((f"{method} {path} HTTP/1.1", *lines, "", "")).encode()
        writer.write(head + body)
        got = b""
        try:
            async with asyncio.timeout(PATIENCE):
                while data := await reader.read(65_536):
                    got += data
        except ConnectionError:
            pass
        writer.close()
        return got

    def errors(self) -> list[str]:
        """Return how the attempts failed."""
        return [entry.error for entry in self.log.entries if entry.sentence == "Attempt over."]

    @property
    def end(self) -> str:
        """The last sentence about the request."""
        return self.log.about("r1")[-1]


@asynccontextmanager
async def serve(*answers: Answer, memory: int = 0) -> AsyncIterator[Bed]:
    """Run a gateway with one target under several names; its last answer is repeated.

    Args:
        answers: What the target answers, in turn.
        memory: The memory limit of the gateway, in bytes; zero for none.
    """
    log = RecordingLog()
    gateway = make_gateway(log=log, memory=memory)
    bed = Bed(gateway=gateway, log=log)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            act = answers[min(bed.runs, len(answers) - 1)]
            bed.runs += 1
            await act(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    await gateway.start()
    gateway.set_targets(
        tuple(_listed(f"{kind}{n}", address, kind) for kind in ("e", "s") for n in range(3))
    )
    gateway.adopt(deployment())
    try:
        yield bed
    finally:
        gateway.abort()
        server.close()


def _listed(name: str, address: str, kind: str) -> Target:
    streams = kind == "e"
    return Target(
        name=TargetName(name),
        service=ServiceName("pool" if streams else "plain"),
        place=PlaceName("p1"),
        address=address,
        models=("m",) if streams else (),
        memory=PACE.memory if streams else 0,
    )


def split(answer: bytes) -> tuple[int, bytes, bytes]:
    """Return the status of an answer, the rest of its head, and what follows the head."""
    head, _, rest = answer.partition(b"\r\n\r\n")
    line, _, headers = head.partition(b"\r\n")
    return int(line.split()[1]) if line else 0, headers.lower(), rest


LENGTH = OK + b"content-length: 5\r\n\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
NEITHER = OK + b"\r\n"
BOTH = OK + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKS = b"5\r\nwhole\r\n0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
SWITCH = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"

SOUND = Sent(parts=(LENGTH + WHOLE,))

WHOLE_ANSWERS = {
    "a length": Sent(parts=(LENGTH, b"who", b"le")),
    "a length, closed behind it": Sent(parts=(LENGTH + WHOLE,), ends=close),
    "a length, reset behind it": Sent(parts=(LENGTH + WHOLE,), ends=reset),
    "chunks": Sent(parts=(CHUNKED, CHUNKS[:7], CHUNKS[7:])),
    "chunks, reset behind them": Sent(parts=(CHUNKED + CHUNKS,), ends=reset),
    "neither, closed": Sent(parts=(NEITHER, WHOLE), ends=close),
    "100 first": Sent(parts=(CONTINUE, LENGTH + WHOLE)),
    "100 first, in the same bytes": Sent(parts=(CONTINUE + LENGTH + WHOLE,)),
    "103 first": Sent(parts=(HINTS, HINTS, LENGTH + WHOLE)),
}

CUT_ANSWERS = {
    "a length, closed within": Sent(parts=(LENGTH, b"who"), ends=close),
    "a length, reset within": Sent(parts=(LENGTH, b"who"), ends=reset),
    "chunks, closed within": Sent(parts=(CHUNKED, b"5\r\nwho"), ends=close),
    "chunks, no last one": Sent(parts=(CHUNKED, b"5\r\nwhole\r\n"), ends=close),
    "neither, reset": Sent(parts=(NEITHER, WHOLE), ends=reset),
    "neither, reset before the body": Sent(parts=(NEITHER,), ends=reset),
    "both": Sent(parts=(BOTH, CHUNKS)),
    "a head, closed within": Sent(parts=(LENGTH[:30],), ends=close),
    "a status line, closed within": Sent(parts=(OK[:12],), ends=close),
    "a status line, closed behind": Sent(parts=(OK[:17],), ends=close),
    "a header's name, closed within": Sent(parts=(OK + b"content-le",), ends=close),
    "a header's value, closed within": Sent(parts=(OK + b"content-length: ",), ends=close),
    "a header's line, closed behind": Sent(parts=(OK + b"content-length: 5\r\n",), ends=close),
    "a head, reset before its blank line": Sent(parts=(NEITHER[:-2],), ends=reset),
    "a head, closed in its blank line": Sent(parts=(NEITHER[:-1],), ends=close),
    "100, closed within": Sent(parts=(CONTINUE[:15],), ends=close),
    "103, then half a head": Sent(parts=(HINTS, LENGTH[:30]), ends=close),
    "a chunk's size, closed within": Sent(parts=(CHUNKED, b"5"), ends=close),
    "the last chunk, closed within": Sent(parts=(CHUNKED, CHUNKS[:-3]), ends=close),
    "trailers, closed within": Sent(parts=(CHUNKED, CHUNKS[:-2] + b"x-a: b"), ends=close),
    "100, then closed": Sent(parts=(CONTINUE,), ends=close),
    "101": Sent(parts=(SWITCH, b"bytes of x")),
    "no HTTP": Sent(parts=(b"220 mail ready\r\n",)),
    "nothing, closed": Sent(parts=(), ends=close),
    "nothing, reset": Sent(parts=(), ends=reset),
}


class TestWhole:
    """Answers that are whole however they say where they end."""

    @pytest.mark.parametrize("answer", WHOLE_ANSWERS.values(), ids=WHOLE_ANSWERS.keys())
    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_passed_on(self, path: str, answer: Sent) -> None:
        """The caller gets it whole, after one run."""

        async def scenario() -> None:
            async with serve(answer) as bed:
                status, headers, body = split(await bed.exchange("POST", path))
                assert (status, body, bed.runs) == (HTTPStatus.OK, WHOLE, 1)
                assert b"content-length: 5" in headers
                assert bed.end == "Request answered."

        run(scenario)


class TestCut:
    """Answers that end early, or whose end nobody can tell."""

    @pytest.mark.parametrize("answer", CUT_ANSWERS.values(), ids=CUT_ANSWERS.keys())
    def test_repeated(self, answer: Sent) -> None:
        """A request that may be repeated gets the whole answer of a second run."""

        async def scenario() -> None:
            async with serve(answer, SOUND) as bed:
                status, _, body = split(await bed.exchange("POST", "/read/"))
                assert (status, body, bed.runs) == (HTTPStatus.OK, WHOLE, 2)
                assert bed.end == "Request answered."

        run(scenario)

    @pytest.mark.parametrize("answer", CUT_ANSWERS.values(), ids=CUT_ANSWERS.keys())
    def test_not_repeated(self, answer: Sent) -> None:
        """A request that may run once gets a failure, and no part of the answer."""

        async def scenario() -> None:
            async with serve(answer) as bed:
                status, _, body = split(await bed.exchange("POST", "/book/"))
                assert (status, bed.runs) == (HTTPStatus.BAD_GATEWAY, 1)
                assert b"who" not in body
                assert b"outcome" in body
                assert bed.errors() == ["target_broken"]
                assert bed.end == "Request failed."

        run(scenario)


STREAM = CHUNKED
FIRST = event(1) + event(2)


def in_chunk(data: bytes) -> bytes:
    """Return a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CUT_STREAMS = {
    "chunks, reset": Sent(parts=(STREAM, in_chunk(FIRST)), ends=reset),
    "chunks, closed": Sent(parts=(STREAM, in_chunk(FIRST)), ends=close),
    "neither, reset": Sent(parts=(NEITHER, FIRST), ends=reset),
    "a length, closed": Sent(parts=(OK + b"content-length: 999\r\n\r\n", FIRST), ends=close),
}


CUT_HEADS = {
    name: answer
    for name, answer in CUT_ANSWERS.items()
    if not any(word in name for word in ("length,", "both", "neither"))
}
"""Answers that end before anything of their body was sent, or in the midst of what frames it."""


class TestCutHeadOfStream:
    """Streams whose head is cut."""

    @pytest.mark.parametrize("answer", CUT_HEADS.values(), ids=CUT_HEADS.keys())
    def test_not_whole(self, answer: Sent) -> None:
        """The caller gets no answer that looks whole."""

        async def scenario() -> None:
            async with serve(answer) as bed:
                got = await bed.exchange("POST", "/once/")
                status, _, _ = split(got)
                assert status != HTTPStatus.OK or not got.endswith(b"0\r\n\r\n")
                assert bed.end == "Request failed."

        run(scenario)


class TestCutStream:
    """Streams that are cut between two events."""

    @pytest.mark.parametrize("answer", CUT_STREAMS.values(), ids=CUT_STREAMS.keys())
    def test_resumed(self, answer: Sent) -> None:
        """Where it may be resumed, the caller gets the whole of it."""
        rest = whole_stream(COUNT, first=3)
        second = Sent(parts=(STREAM, in_chunk(rest) + b"0\r\n\r\n"))

        async def scenario() -> None:
            async with serve(answer, second) as bed:
                status, _, body = split(await bed.exchange("POST", "/ask/"))
                assert (status, bed.runs) == (HTTPStatus.OK, 2)
                assert body.endswith(b"0\r\n\r\n")
                assert all(event(number) in body for number in range(1, COUNT + 1))
                assert bed.end == "Request answered."

        run(scenario)

    @pytest.mark.parametrize("answer", CUT_STREAMS.values(), ids=CUT_STREAMS.keys())
    def test_not_resumed(self, answer: Sent) -> None:
        """Where it may not, the answer does not look whole, and the log says that it failed."""

        async def scenario() -> None:
            async with serve(answer) as bed:
                status, _, body = split(await bed.exchange("POST", "/once/"))
                assert (status, bed.runs) == (HTTPStatus.OK, 1)
                assert event(2) in body
                assert not body.endswith(b"0\r\n\r\n")
                assert bed.end == "Request failed."

        run(scenario)


async def answer_early(
    head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer after the head of a request, and read its body later."""
    writer.write(LENGTH + WHOLE)
    await asyncio.sleep(TRAVEL_SECONDS)
    while await reader.read(65_536):
        pass


async def answer_early_and_close(
    head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer after the head of a request, and close with its body unread."""
    writer.write(LENGTH + WHOLE)
    await writer.drain()
    writer.close()


class TestEarly:
    """Answers that come before the target has read the whole request."""

    def test_read_later(self) -> None:
        """The caller gets it, and the rest of the body goes nowhere else."""

        async def scenario() -> None:
            async with serve(answer_early) as bed:
                status, _, body = split(await bed.exchange("POST", "/book/", body=LONG_BODY))
                assert (status, body, bed.runs) == (HTTPStatus.OK, WHOLE, 1)

        run(scenario)

    def test_closed(self) -> None:
        """Whether or not it survives the close, the caller gets one whole answer or failure."""

        async def scenario() -> None:
            async with serve(answer_early_and_close) as bed:
                status, _, body = split(await bed.exchange("POST", "/book/", body=LONG_BODY))
                assert (status, body == WHOLE) in (
                    (HTTPStatus.OK, True),
                    (HTTPStatus.BAD_GATEWAY, False),
                )
                assert bed.runs == 1

        run(scenario)


class TestHead:
    """Requests whose answers have no body."""

    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_whole(self, path: str) -> None:
        """Nothing follows the head."""

        async def scenario() -> None:
            async with serve(Sent(parts=(LENGTH,))) as bed:
                status, _, rest = split(await bed.exchange("HEAD", path, body=b""))
                assert (status, rest) == (HTTPStatus.OK, b"")
                assert bed.end == "Request answered."

        run(scenario)

    @pytest.mark.parametrize("status", [204, 304])
    def test_bodiless_status(self, status: int) -> None:
        """Nothing follows the head of an answer whose status has no body."""
        head = b"HTTP/1.1 %d x\r\n%b\r\n" % (status, SEALED)

        async def scenario() -> None:
            async with serve(Sent(parts=(head,))) as bed:
                got, headers, rest = split(await bed.exchange("POST", "/read/"))
                assert (got, rest) == (status, b"")
                assert b"transfer-encoding" not in headers
                assert bed.end == "Request answered."

        run(scenario)
