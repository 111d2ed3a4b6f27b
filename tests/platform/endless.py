"""Targets and callers that send bytes without end."""

import asyncio
from contextlib import suppress
from enum import Enum

from msgspec import Struct

PIECE_BYTES = 65_536

HEAD = "HTTP/1.1 200 OK\r\nx-azureswitch-attempt-id: {id}\r\nx-azureswitch-response-seal: seal\r\n"
"""The head of a sealed answer, without the blank line."""


class EndlessAnswer(Struct, frozen=True, kw_only=True):
    """An answer without end.

    Attributes:
        begin: How it begins; ``{id}`` stands for the request's id.
        piece: What follows again and again.
    """

    begin: str
    piece: bytes


def _repeated(piece: bytes) -> bytes:
    return piece * (PIECE_BYTES // len(piece))


CHUNK = b"1000\r\n" + b"a" * 0x1000 + b"\r\n"


class Endless(Enum):
    """What of an answer has no end."""

    HEADERS = EndlessAnswer(begin="HTTP/1.1 200 OK\r\n", piece=_repeated(b"x-a: aaaaaaaaaa\r\n"))
    ONE_HEADER = EndlessAnswer(begin="HTTP/1.1 200 OK\r\nx-a: ", piece=_repeated(b"a"))
    STATUS_LINE = EndlessAnswer(begin="HTTP/1.1 200 ", piece=_repeated(b"a"))
    INFORMATIONAL = EndlessAnswer(begin="", piece=_repeated(b"HTTP/1.1 102 Processing\r\n\r\n"))
    BODY = EndlessAnswer(begin=f"{HEAD}\r\n", piece=_repeated(b"a"))
    CHUNKS = EndlessAnswer(
        begin=f"{HEAD}transfer-encoding: chunked\r\n\r\n", piece=_repeated(CHUNK)
    )
    TRAILERS = EndlessAnswer(
        begin=f"{HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        piece=_repeated(b"x-a: aaaaaaaaaa\r\n"),
    )
    CHUNK_EXTENSION = EndlessAnswer(
        begin=f"{HEAD}transfer-encoding: chunked\r\n\r\n1;a=", piece=_repeated(b"a")
    )


class EndlessTarget:
    """A target that runs each request and never ends its answer.

    Args:
        answer: What it answers.
    """

    def __init__(self, *, answer: EndlessAnswer) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self.runs = 0

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            id = head.partition("x-azureswitch-attempt-id: ")[2].partition("\r\n")[0]
            self.runs += 1
            writer.write(self._answer.begin.replace("{id}", id).encode())
            while True:
                writer.write(self._answer.piece)
                await writer.drain()
        writer.transport.abort()


class EndlessRequest(Enum):
    """What of a caller's request has no end."""

    HEADERS = EndlessAnswer(
        begin="POST /book/1 HTTP/1.1\r\nhost: a.example\r\n",
        piece=_repeated(b"x-a: aaaaaaaaaa\r\n"),
    )
    ONE_HEADER = EndlessAnswer(
        begin="POST /book/1 HTTP/1.1\r\nhost: a.example\r\nx-a: ", piece=_repeated(b"a")
    )
    PATH = EndlessAnswer(begin="POST /book/", piece=_repeated(b"a"))
    BODY_OF_BYTES = EndlessAnswer(
        begin="POST /book/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n",
        piece=_repeated(b"1\r\na\r\n"),
    )
    CHUNK_EXTENSION = EndlessAnswer(
        begin="POST /book/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n1;a=",
        piece=_repeated(b"a"),
    )
    TRAILERS = EndlessAnswer(
        begin="POST /book/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        piece=_repeated(b"x-a: aaaaaaaaaa\r\n"),
    )


async def send_endlessly(address: str, request: EndlessAnswer, *, most: int) -> int:
    """Send a request without end until the host closes, and return how many bytes it took.

    Args:
        address: ``IP:PORT`` of the host.
        request: The request.
        most: Bytes after which the caller gives up.
    """
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    sent = 0
    try:
        writer.write(request.begin.encode())
        while sent < most:
            writer.write(request.piece)
            await writer.drain()
            sent += len(request.piece)
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
    return sent
