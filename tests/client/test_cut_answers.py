"""Answers that are cut at any of their bytes."""

import asyncio
from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import pytest

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.exceptions import HttpBrokenError

RESET_ON_CLOSE = pack("ii", 1, 0)
"""Value of `SO_LINGER` with which a close resets the connection."""

HEAD = b"HTTP/1.1 200 OK\r\nx-a: b\r\n"
LENGTH = HEAD + b"content-length: 5\r\n\r\nwhole"
CHUNKS = HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2;x=y\r\nle\r\n0\r\nx-c: d\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
NEITHER = HEAD + b"\r\nwhole"

End = Callable[[asyncio.StreamWriter], None]


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection."""
    writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def ask_each(answer: bytes, end: End, *, places: range) -> list[HttpAnswer | None]:
    """Return what a client takes for whole of an answer that is cut at each of some places."""
    cuts = iter(places)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer[: next(cuts)])
        await writer.drain()
        end(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = HttpClient(address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}", pool_limit=0)
    found: list[HttpAnswer | None] = []
    for _ in places:
        try:
            found.append(
                await client.request(method="POST", path="/", body=b"b", timeout=5.0, fresh=True)
            )
        except HttpBrokenError:
            found.append(None)
    server.close()
    return found


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize(
    "answer",
    [LENGTH, CHUNKS, HINTS + LENGTH, HINTS + CHUNKS],
    ids=["length", "chunks", "103 and a length", "103 and chunks"],
)
def test_no_cut_looks_whole(answer: bytes, end: End) -> None:
    """An answer that says how long it is, is not whole before its last byte."""
    found = asyncio.run(ask_each(answer, end, places=range(len(answer))))
    assert found == [None] * len(answer)


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("before", [b"", HINTS])
def test_no_cut_head_looks_whole(before: bytes, end: End) -> None:
    """An answer that ends with its connection needs a whole head."""
    answer = before + NEITHER
    places = range(answer.index(b"\r\n\r\nwhole") + 4)
    assert asyncio.run(ask_each(answer, end, places=places)) == [None] * len(places)


def test_reset_ends_no_answer() -> None:
    """An answer that ends with its connection is whole once that is closed, and not reset."""
    places = range(len(NEITHER) - len(b"whole"), len(NEITHER) + 1)
    assert asyncio.run(ask_each(NEITHER, reset, places=places)) == [None] * len(places)
