"""Crowds of clients that stop just short of the end of their requests and stay connected."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress

from msgspec import Struct

PIECE_BYTES = 65_536
"""Bytes that a client sends at a time."""

CHUNK_BYTES = 16_384
"""Bytes of a body in one chunk."""

CONNECTING = 64
"""Clients of a crowd that connect at the same moment; more would overflow the queue of a host."""

SENDING_SECONDS = 12.0
"""Seconds after which a crowd sends nothing more, as a host need not read what it is sent."""

SMALL_HEADER = b"a: b\r\n"
"""A header whose parsed form takes many times its bytes."""


class Crowd(Struct, frozen=True, kw_only=True):
    """Clients that all send the same bytes and then nothing more.

    Attributes:
        clients: How many there are, each with a connection of its own.
        sent: What each of them sends.
    """

    clients: int
    sent: bytes = b""


def unfinished_head(start: bytes, *, size: int) -> bytes:
    """Return a request's head of about so many bytes, in small headers and without its end."""
    return start + SMALL_HEADER * ((size - len(start)) // len(SMALL_HEADER))


def unfinished_body(start: bytes, *, size: int) -> bytes:
    """Return a request with a declared length whose body lacks its last byte."""
    return start + b"content-length: %d\r\n\r\n" % size + bytes(size - 1)


def whole_body(start: bytes, *, size: int) -> bytes:
    """Return a whole request with a declared length."""
    return unfinished_body(start, size=size) + b"\0"


def unfinished_chunks(start: bytes, *, size: int) -> bytes:
    """Return a request of so many bytes in chunks, without the last chunk."""
    chunk = b"%x\r\n" % CHUNK_BYTES + bytes(CHUNK_BYTES) + b"\r\n"
    return start + b"transfer-encoding: chunked\r\n\r\n" + chunk * (size // CHUNK_BYTES)


@asynccontextmanager
async def connected(crowd: Crowd, *, address: str) -> AsyncIterator[None]:
    """Have a crowd send what it sends, and keep its connections open meanwhile."""
    connecting = asyncio.Semaphore(CONNECTING)
    clients = [
        asyncio.create_task(_send(crowd.sent, address=address, connecting=connecting))
        for _ in range(crowd.clients)
    ]
    await asyncio.wait(clients, timeout=SENDING_SECONDS)
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        for result in await asyncio.gather(*clients, return_exceptions=True):
            if isinstance(result, asyncio.StreamWriter):
                result.transport.abort()


async def _send(
    data: bytes, *, address: str, connecting: asyncio.Semaphore
) -> asyncio.StreamWriter | None:
    """Connect and send; return the connection, which stays open, or None where there is none."""
    host, _, port = address.rpartition(":")
    try:
        async with connecting:
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return None
    try:
        with suppress(ConnectionError):
            for piece in _pieces(data):
                writer.write(piece)
                await writer.drain()
    except asyncio.CancelledError:
        writer.transport.abort()
        raise
    return writer


def _pieces(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]
