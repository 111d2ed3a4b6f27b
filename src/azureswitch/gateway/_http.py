"""The HTTP/1.1 server towards callers: httptools parses, asyncio carries the bytes.

blacksheep serves the product's own interface.  Here each answer passes on a target's head and must
be able to end without looking complete, and a connection's limits change while it is open, for all
of which a server library's application interface has no place.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from azureswitch.client import Headers
from azureswitch.exceptions import (
    AzureswitchError,
    BodyTooLargeError,
    CallerTooSlowError,
    HeadersTooLargeError,
    MalformedRequestError,
)
from azureswitch.gateway._model import CallerLimits, HttpRequest

LINE_BYTES = 4
"""Bytes that a header takes beside its name and its value: a colon, a space and the line's end."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

NO_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
"""Statuses whose answers have no body."""


class Handler(Protocol):
    """Takes requests once they have been read whole."""

    @property
    def limits(self) -> CallerLimits:
        """What a caller's connection may ask now."""

    @property
    def closing(self) -> bool:
        """Whether callers are told to use another connection for their next request."""

    def handle(self, exchange: "Exchange") -> None:
        """Take a request; its answer is given through the exchange."""

    def refuse(self, exchange: "Exchange", error: AzureswitchError) -> None:
        """Answer what is no acceptable request; the connection closes after it."""


class Exchange:
    """One request and the answer to it.

    Args:
        request: The request.
        connection: The connection that it came on.
        keep_alive: Whether the caller may send a further request on it.
    """

    def __init__(
        self, *, request: HttpRequest, connection: "ServerConnection", keep_alive: bool
    ) -> None:
        self._request = request
        self._connection = connection
        self._keep_alive = keep_alive
        self._started = False
        self._chunked = False
        self._over = False
        self._left: Callable[[], None] | None = None

    @property
    def request(self) -> HttpRequest:
        """The request."""
        return self._request

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._started

    @property
    def over(self) -> bool:
        """Whether nothing more can be sent."""
        return self._over

    def on_left(self, callback: Callable[[], None]) -> None:
        """Call back if the caller closes the connection before the answer is whole."""
        self._left = callback

    def respond(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        if self._over or self._started:
            return
        has_body = status not in NO_BODY and status >= HTTPStatus.OK
        length: Headers = (("content-length", str(len(body))),) if has_body else ()
        head = self._head(status=status, headers=(*headers, *length))
        bare = self._request.method == "HEAD" or not has_body
        self._connection.write(head if bare else head + body)
        self._end()

    def begin(self, *, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        if self._over or self._started:
            return
        self._chunked = True
        framing: Headers = (("transfer-encoding", "chunked"),)
        self._connection.write(self._head(status=status, headers=(*headers, *framing)))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._over and data:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """End an answer that was begun."""
        if not self._over:
            self._connection.write(b"0\r\n\r\n")
            self._end()

    def abort(self) -> None:
        """Close the connection so that what was sent does not look complete."""
        if not self._over:
            self._over = True
            self._connection.abort()

    async def drain(self) -> None:
        """Wait until the caller has read enough for more to be sent."""
        await self._connection.drain()

    def leave(self) -> None:
        """Note that the caller is gone."""
        if self._over:
            return
        self._over = True
        if self._left is not None:
            self._left()

    def _head(self, *, status: int, headers: Headers) -> bytes:
        self._started = True
        if self._connection.closing:
            self._keep_alive = False
        lines = [f"HTTP/1.1 {status} {_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if not self._keep_alive:
            lines.append("connection: close")
        return "\r\n".join((*lines, "", "")).encode("latin-1")

    def _end(self) -> None:
        self._over = True
        self._connection.answered(keep_alive=self._keep_alive)


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class ServerConnection(asyncio.Protocol):
    """One connection of a caller, whose requests are answered one after the other.

    Args:
        handler: Takes the requests.
        connections: The open connections, which this one adds itself to.
    """

    def __init__(self, *, handler: Handler, connections: set["ServerConnection"]) -> None:
        self._handler = handler
        self._connections = connections
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

    def abort(self) -> None:
        """Close the connection at once."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all that was written has been sent."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    def answered(self, *, keep_alive: bool) -> None:
        """Go on with the next request, or close."""
        self._current = None
        if not keep_alive or self._refused:
            self.close()
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
        for exchange in (self._current, *self._waiting):
            if exchange is not None:
                exchange.leave()
        self._waiting.clear()

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
        self.close()

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpServer:
    """Listens for callers.

    Args:
        handler: Takes their requests.
    """

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, *, address: str, backlog: int = 512) -> None:
        """Listen on ``IP:PORT``.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(handler=self._handler, connections=self._connections),
            host,
            int(port),
            backlog=backlog,
        )

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.abort()
