"""Answers that are too long to be kept whole until they are complete."""

import asyncio
from http import HTTPStatus

import pytest

from azureswitch.client import HttpClient
from azureswitch.gateway import Gateway
from tests.gateway.fixtures import usual_headers
from tests.gateway.test_ends_framing import OK, SEALED, Sent, close, reset, serve, split
from tests.gateway.test_gateway import run
from tests.waiting import PATIENCE, reach

SHORT_OF_MEMORY = 200_000
"""A memory limit, in bytes, that leaves room for requests and for answers of some 90 KB."""

ROOM = 300_000_000
"""A memory limit, in bytes, that leaves room for all that a test sends."""

LONG = b"a" * 200_000
"""An answer that has no room there."""

LENGTH = OK + b"content-length: %d\r\n\r\n" % len(LONG)
FAILURE = b"HTTP/1.1 500 Failed\r\n" + SEALED + b"content-length: %d\r\n\r\n" % len(LONG)

WHOLE = Sent(parts=(LENGTH + LONG,))
CUT = Sent(parts=(LENGTH + LONG[:150_000],), ends=reset)
ENDS_WITH_ITS_CONNECTION = Sent(parts=(OK + b"\r\n" + LONG,), ends=close)


def without_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return a body that comes in chunks, and whether it is complete."""
    whole = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return whole, True
        whole += rest[:length]
        body = rest[length + 2 :]
    return whole, False


class TestShortOfMemory:
    """Where there is no memory to keep an answer, it is passed on as it arrives."""

    @pytest.mark.parametrize("answer", [WHOLE, ENDS_WITH_ITS_CONNECTION])
    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_whole(self, path: str, answer: Sent) -> None:
        """The caller gets all of it, after one run."""

        async def scenario() -> None:
            async with serve(answer, memory=SHORT_OF_MEMORY) as bed:
                status, _, body = split(await bed.exchange("POST", path))
                assert (status, bed.runs) == (HTTPStatus.OK, 1)
                assert without_chunks(body) == (LONG, True)
                assert bed.end == "Request answered."

        run(scenario)

    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_cut(self, path: str) -> None:
        """What is cut does not look complete, and is not joined with another run."""

        async def scenario() -> None:
            async with serve(CUT, WHOLE, memory=SHORT_OF_MEMORY) as bed:
                status, _, body = split(await bed.exchange("POST", path))
                got, complete = without_chunks(body)
                assert (status, complete, bed.runs) == (HTTPStatus.OK, False, 1)
                assert LONG.startswith(got)
                assert bed.end == "Request failed."

        run(scenario)

    def test_failure(self) -> None:
        """A failure is not passed on where another run may replace it."""

        async def scenario() -> None:
            failure = Sent(parts=(FAILURE + LONG,))
            async with serve(failure, WHOLE, memory=SHORT_OF_MEMORY) as bed:
                status, _, body = split(await bed.exchange("POST", "/read/"))
                assert (status, bed.runs) == (HTTPStatus.OK, 2)
                assert without_chunks(body) == (LONG, True)

        run(scenario)


class TestRoom:
    """Where there is memory, an answer is kept whole, and may be replaced until then."""

    def test_cut(self) -> None:
        """The caller of a request that may be repeated gets the answer of the next run."""

        async def scenario() -> None:
            async with serve(CUT, WHOLE) as bed:
                status, headers, body = split(await bed.exchange("POST", "/read/"))
                assert (status, body, bed.runs) == (HTTPStatus.OK, LONG, 2)
                assert b"content-length: 200000" in headers

        run(scenario)


class TestCallerLeaves:
    """Requests that go on after their callers have left."""

    def test_still_counted(self) -> None:
        """The body of a request that runs on is held, and counted, until the run has ended."""

        async def scenario() -> None:
            answered = asyncio.Event()

            async def hang(
                head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await answered.wait()
                await WHOLE(head, reader, writer)

            async with serve(hang, memory=ROOM) as bed:
                host, _, port = bed.gateway.callers_address.rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                lines = [f"{name}: {value}" for name, value in usual_headers("r1")]
                lines.append(f"content-length: {len(LONG)}")
                head = "\r\n".join(("POST /book/1 HTTP/1.1", *lines, "", "")).encode()
                writer.write(head + LONG)
                await reach(lambda: bed.runs == 1)
                writer.transport.abort()
                await asyncio.sleep(0.1)
                assert bed.gateway.shell.open_calls == 1
                assert await buffered(bed.gateway) >= len(LONG)
                answered.set()
                await reach(lambda: bed.gateway.shell.open_calls == 0)
                assert await buffered(bed.gateway) == 0

        run(scenario)


async def buffered(gateway: Gateway) -> float:
    """Return the bytes that a gateway holds for requests and answers, by its metrics."""
    client = HttpClient(address=gateway.pages_address)
    answer = await client.request(method="GET", path="/metrics", timeout=PATIENCE)
    client.close()
    lines = answer.body.decode().splitlines()
    (line,) = (line for line in lines if line.startswith("azureswitch_buffered_bytes"))
    return float(line.rpartition(" ")[2])
