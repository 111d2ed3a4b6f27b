"""The HTTP server: uvicorn with limits on the resources of a connection."""

import asyncio
import logging as standard_logging
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any

from uvicorn import Config, Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from azureswitch.entry._errors import error_body
from azureswitch.entry._settings import Limits
from azureswitch.entry._writer import Asgi, ResponseWriterApp
from azureswitch.exceptions import (
    CallerTooSlowError,
    HeadersTooLargeError,
    MalformedRequestError,
    RequestError,
)
from azureswitch.settings import Address

KEEP_ALIVE_SECONDS = 75
"""Seconds for which an idle connection is kept, which exceeds the time of load balancers."""

MAX_FRAMING_RATIO = 8
"""Upper bound of framing bytes per byte of a body; chunks of one byte must pass."""

START_POLL_SECONDS = 0.005
"""Seconds between two checks whether the server listens."""


class _RefusedError(Exception):
    """Ends the parsing of a refused request."""


class LimitingProtocol(HttpToolsProtocol):
    """Limits the size of headers and the time to receive them, and rejects with typed errors."""

    limits = Limits()

    _header_bytes = 0
    _overhead_bytes = 0
    _in_headers = True
    _header_timer: asyncio.TimerHandle | None = None
    _refusal: RequestError | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the headers of the first request."""
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of headers, or of framing around a body."""
        if self._in_headers:
            self._header_bytes += len(data)
            if self._header_timer is None:
                self._start_header_timer()
        else:
            self._overhead_bytes += len(data)
        super().data_received(data)
        size = self._header_bytes if self._in_headers else self._overhead_bytes
        if size > self.limits.header_bytes:
            self._refuse(HeadersTooLargeError(limit=self.limits.header_bytes))

    def on_message_begin(self) -> None:
        """Give the application a means to abort the connection."""
        super().on_message_begin()
        state: dict[str, Any] = self.scope["state"]
        state["abort"] = self.transport.abort

    def on_headers_complete(self) -> None:
        """Start the request, unless its headers are too large."""
        self._cancel_header_timer()
        self._in_headers = False
        size = len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)
        self._overhead_bytes = max(0, self._header_bytes - size)
        if size > self.limits.header_bytes:
            self._refusal = HeadersTooLargeError(limit=self.limits.header_bytes)
            raise _RefusedError()
        super().on_headers_complete()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored."""
        if self._in_headers:
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Add part of a body."""
        self._overhead_bytes = max(0, self._overhead_bytes - MAX_FRAMING_RATIO * len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Prepare for the headers of the next request."""
        self._in_headers = True
        self._header_bytes = self._overhead_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Reject what is not HTTP, or what `on_headers_complete` has rejected."""
        self._refuse(self._refusal or MalformedRequestError())

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(self.limits.read_timeout, self._header_timeout)

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _header_timeout(self) -> None:
        if self._header_bytes:
            self._refuse(CallerTooSlowError(limit=self.limits.read_timeout))
        else:
            self.transport.close()

    def _refuse(self, error: RequestError) -> None:
        self._cancel_header_timer()
        if self.transport.is_closing():
            return
        body = error_body(error)
        status = HTTPStatus(error.status)
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()


class _EmbeddedServer(Server):
    """A server that does not handle signals."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing."""
        yield


class HttpServer:
    """Serves one application at one address.

    Args:
        app: The ASGI application.
        address: Where it listens; port 0 selects a free one.
        limits: The limits for a connection.
    """

    def __init__(self, *, app: Asgi, address: Address, limits: Limits) -> None:
        protocol = type("LimitedProtocol", (LimitingProtocol,), {"limits": limits})
        grace = int(limits.read_timeout + limits.write_timeout) + 1
        config = Config(
            ResponseWriterApp(app=app),
            http=protocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            timeout_graceful_shutdown=grace,
        )
        for name in ("uvicorn.error", "blacksheep.server"):
            standard_logging.getLogger(name).setLevel(standard_logging.ERROR)
        self._server = _EmbeddedServer(config)
        self._address = address
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._address

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: The address cannot be used.
        """
        family = socket.AF_INET6 if ":" in self._address.ip else socket.AF_INET
        # asyncio disables Nagle's algorithm only if the protocol is specified.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._address.ip, self._address.port))
        self._address = Address(ip=self._address.ip, port=listener.getsockname()[1])
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(START_POLL_SECONDS)

    async def stop(self, *, graceful: bool) -> None:
        """Stop listening; a graceful stop waits for the answers in progress."""
        if self._task is None:
            return
        if not graceful:
            self._server.force_exit = True
            for connection in list(self._server.server_state.connections):
                connection.transport.abort()
        self._server.should_exit = True
        await self._task
