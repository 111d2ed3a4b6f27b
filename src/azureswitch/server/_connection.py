"""One connection of a caller: httptools parses, asyncio carries the bytes."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from azureswitch.exceptions import (
    AzureswitchError,
    BodyTooLargeError,
    CallerTooSlowError,
    HeadersTooLargeError,
    MalformedRequestError,
)
from azureswitch.server._exchange import Exchange, Handler
from azureswitch.server._model import CloseReason, ConnectionClosed, HttpRequest

LINE_BYTES = 4
"""Bytes that a header takes beside its name and its value: a colon, a space and the line's end."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(asyncio.Protocol):
    """One connection of a caller, whose requests are answered one after the other.

    Args:
        handler: Takes the requests.
        connections: The open connections, which this one adds itself to.
        closed: Is told once it has ended.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        connections: set["ServerConnection"],
        closed: Callable[[ConnectionClosed], None],
    ) -> None:
        self._handler = handler
        self._connections = connections
        self._closed = closed
        self._reason: CloseReason | None = None
        self._loop = asyncio.get_running_loop()
        self._parser = HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._current: Exchange | None = None
        self._waiting: deque[Exchange] = deque()
        self._writable = asyncio.Event()
        self._writable.set()
        self._refused = False
        self._reading = False
        self._url = b""
        self._headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def closing(self) -> bool:
        """Whether the caller is told to use another connection for its next request."""
        return self._handler.closing

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._current is None and not self._reading

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once."""
        self._reason = self._reason or reason
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def close(self, reason: CloseReason) -> None:
        """Close the connection once all that was written has been sent."""
        self._reason = self._reason or reason
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    def answered(self, *, keep_alive: bool) -> None:
        """Go on with the next request, or close."""
        self._current = None
        if not keep_alive or self._refused:
            self.close(CloseReason.REFUSED if self._refused else CloseReason.ANSWERED)
            return
        if self._waiting:
            self._start(self._waiting.popleft())
            return
        if self._transport is not None:
            self._transport.resume_reading()
        self._set_timer(self._handler.limits.idle_seconds, self._idled)

    # asyncio calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._set_timer(self._handler.limits.idle_seconds, self._idled)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._refused:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._refuse(MalformedRequestError())
        except HttpParserError:
            self._refuse(MalformedRequestError())
        except UnicodeDecodeError:
            self._refuse(MalformedRequestError())

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell what is being answered that the caller is gone."""
        self._stop_timer()
        self._connections.discard(self)
        self._writable.set()
        current, waiting = self._current, tuple(self._waiting)
        self._waiting.clear()
        self._closed(
            ConnectionClosed(
                reason=self._reason or CloseReason.CALLER,
                unserved=tuple(exchange.request for exchange in waiting),
                unanswered=None if current is None else current.request,
            )
        )
        for exchange in (current, *waiting):
            if exchange is not None:
                exchange.leave()

    def pause_writing(self) -> None:
        """Hold back what is sent, as the caller does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Send on."""
        self._writable.set()

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._reading = True
        limits = self._handler.limits
        self._set_timer(limits.header_seconds, self._timed_out)

    def on_url(self, url: bytes) -> None:
        """Keep path and query."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))
        self._count_head(len(name) + len(value) + LINE_BYTES)

    def on_headers_complete(self) -> None:
        """Wait for the body, whose parts may be apart as far as an idle connection's requests."""
        self._set_timer(self._handler.limits.idle_seconds, self._timed_out)
        if any(name == "expect" and "100" in value for name, value in self._headers):
            self.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if self._refused:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        limit = self._handler.limits.body_bytes
        if self._body_bytes > limit:
            self._refuse(BodyTooLargeError(limit=limit))
            return
        self._set_timer(self._handler.limits.idle_seconds, self._timed_out)

    def on_message_complete(self) -> None:
        """Hand over a whole request."""
        if self._refused:
            return
        self._reading = False
        self._stop_timer()
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._body),
        )
        self._body = []
        exchange = Exchange(
            request=request, connection=self, keep_alive=self._parser.should_keep_alive()
        )
        if self._current is not None:
            self._waiting.append(exchange)
            if self._transport is not None:
                self._transport.pause_reading()
            return
        self._start(exchange)

    def _start(self, exchange: Exchange) -> None:
        self._current = exchange
        self._handler.handle(exchange)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        limit = self._handler.limits.header_bytes
        if self._head_bytes > limit and not self._refused:
            self._refuse(HeadersTooLargeError(limit=limit))

    def _refuse(self, error: AzureswitchError) -> None:
        """Answer what is no acceptable request, after the answers that are still due."""
        if self._refused:
            return
        self._refused = True
        self._stop_timer()
        if self._current is not None:
            # The answer under way is the last one; the connection closes behind it.
            return
        request = HttpRequest(method="", target="", headers=(), body=b"")
        exchange = Exchange(request=request, connection=self, keep_alive=False)
        self._current = exchange
        self._handler.refuse(exchange, error)

    def _timed_out(self) -> None:
        limit = self._handler.limits.header_seconds
        self._refuse(CallerTooSlowError(limit=limit))

    def _idled(self) -> None:
        self.close(CloseReason.IDLE)

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
