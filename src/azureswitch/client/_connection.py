"""One HTTP/1.1 connection: httptools parses, asyncio carries the bytes."""

import asyncio
from typing import cast

from httptools import HttpParserError, HttpResponseParser

from azureswitch.client._answer import HttpHead
from azureswitch.client._connector import Abortable
from azureswitch.client._framing import FramingMeter, pieces
from azureswitch.exceptions import Breakage, HttpBrokenError

BUFFER_LIMIT = 262_144
"""Bytes of a body that wait for their reader before reading pauses."""

SEND_BYTES = 65_536
"""Bytes of a request that are handed to the transport at once, which copies what waits there."""

INFORMATIONAL = 200
"""Statuses below this one precede the real answer."""


class Connection(Abortable):
    """One connection, which carries one request at a time."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = HttpResponseParser(self)
        self._closed = False
        self._idle_since = 0.0
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._head_only = False
        self._unsent = memoryview(b"")
        self._paused = False
        self._meter = FramingMeter()
        self._breakage = Breakage.CLOSED
        self._headers: list[tuple[str, str]] = []
        self._head: HttpHead | None = None
        self._body = bytearray()
        self._framed = True
        self._complete = False
        self._stray = False
        self._keep_alive = True

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that it leads to."""
        return self._address

    @property
    def idle_since(self) -> float:
        """When the last answer ended, in seconds of the event loop."""
        return self._idle_since

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent."""
        read = self._complete and not self._body
        return read and self._keep_alive and not self._closed and not self._unsent

    def send(self, *, data: tuple[bytes, bytes], head_only: bool, deadline: float) -> None:
        """Send a request.

        Args:
            data: The bytes of its head and of its body.
            head_only: Whether the answer has no body whatever its headers say.
            deadline: When the whole answer must have arrived, in seconds of the event loop.
        """
        self._reset()
        self._head_only = head_only
        self._timer = self._loop.call_at(deadline, self.abort, Breakage.TIMED_OUT)
        assert self._transport is not None
        head, body = data
        # With the head, what fits is one packet.
        self._unsent = memoryview(body)[SEND_BYTES:]
        self._transport.write(head + body[:SEND_BYTES])
        self._send_on()

    async def head(self) -> HttpHead:
        """Wait for the head of the answer.

        Raises:
            HttpBrokenError: The connection broke or the time ran out.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Wait for more of the body; empty bytes are its end.

        Raises:
            HttpBrokenError: The connection broke or the time ran out.
        """
        while not self._body:
            if self._complete:
                return b""
            await self._wait()
        data = bytes(self._body)
        self._body.clear()
        if len(data) > BUFFER_LIMIT and self._transport is not None:
            self._transport.resume_reading()
        return data

    def finish(self) -> None:
        """Mark the end of the exchange."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._idle_since = self._loop.time()

    def abort(self, breakage: Breakage = Breakage.CLOSED) -> None:
        """Close the connection at once; an answer that is not whole is broken off."""
        self.finish()
        if not self._closed:
            self._breakage = breakage
        self._closed = True
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    # asyncio calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        for piece in pieces(data):
            if self._complete:
                self.abort()
            if self._closed:
                return
            self._parse(piece)
        if len(self._body) > BUFFER_LIMIT and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def pause_writing(self) -> None:
        """Hold back the rest of the request, as the server does not read."""
        self._paused = True

    def resume_writing(self) -> None:
        """Send on."""
        self._paused = False
        self._send_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """End an answer that ends with its connection, and break any other."""
        # A connection closed from this side, such as at the deadline, ends no answer.
        ended_by_server = exc is None and not self._closed
        self._closed = True
        if ended_by_server and self._head is not None and not self._framed:
            self._complete = True
        self._wake()

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start the headers afresh."""
        self._headers.clear()
        # What comes behind a whole answer belongs to no request.
        self._stray = self._complete
        self._keep_alive = self._keep_alive and not self._stray

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Publish the head."""
        if self._stray:
            return
        status = self._parser.get_status_code()
        if status < INFORMATIONAL:
            return
        names = {name for name, _ in self._headers}
        self._framed = bool(names & {"content-length", "transfer-encoding"})
        self._head = HttpHead(status=status, headers=tuple(self._headers))
        self._keep_alive = self._parser.should_keep_alive()
        if self._head_only:
            self._keep_alive = False
            self._complete = True

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if self._stray:
            return
        self._body += data
        self._meter.add_body(len(data))

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._head is not None:
            self._complete = True

    def _reset(self) -> None:
        self._meter.reset()
        self._headers.clear()
        self._head = None
        self._framed = True
        self._complete = False
        self._stray = False
        self._keep_alive = True

    def _parse(self, piece: bytes) -> None:
        self._meter.add(len(piece))
        try:
            self._parser.feed_data(piece)
        except HttpParserError:
            self.abort(Breakage.NOT_HTTP)
            return
        if self._meter.exceeded:
            self.abort(Breakage.FRAMING_TOO_LARGE)

    def _send_on(self) -> None:
        """Hand on as much of the request as the server reads."""
        while self._unsent and not self._paused and self._transport is not None:
            piece, self._unsent = self._unsent[:SEND_BYTES], self._unsent[SEND_BYTES:]
            self._transport.write(piece)

    async def _wait(self) -> None:
        if self._closed:
            raise HttpBrokenError(
                address=self._address,
                answered=self._head is not None,
                breakage=self._breakage,
            )
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
