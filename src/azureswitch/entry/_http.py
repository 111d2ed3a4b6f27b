"""The HTTP server: uvicorn with limits on what a connection may cost."""

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
from azureswitch.entry._outlet import Asgi, Edge
from azureswitch.entry._settings import Limits
from azureswitch.exceptions import (
    CallerTooSlowError,
    HeadersTooLargeError,
    MalformedRequestError,
    RequestError,
)
from azureswitch.settings import Address

KEEP_ALIVE = 75
"""Seconds that an idle connection is kept, longer than balancers keep theirs."""

OVERHEAD = 8
"""Bytes of framing that one byte of a body may take, so that the smallest chunks pass."""

START_POLL = 0.005
"""Seconds between two looks whether the server listens."""


class _RefusedError(Exception):
    """Ends the parsing of a refused request."""


class GuardedProtocol(HttpToolsProtocol):
    """Limits the size of headers and the time that they take, and types its refusals."""

    limits = Limits()

    _header_bytes = 0
    _overhead_bytes = 0
    _in_headers = True
    _header_timer: asyncio.TimerHandle | None = None
    _refusal: RequestError | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Expect the first request within the read timeout."""
        super().connection_made(transport)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count what arrives while headers are being read, or beside the bytes of a body."""
        if self._in_headers:
            self._header_bytes += len(data)
            if self._header_timer is None:
                self._arm()
        else:
            self._overhead_bytes += len(data)
        super().data_received(data)
        size = self._header_bytes if self._in_headers else self._overhead_bytes
        if size > self.limits.header_bytes:
            self._refuse(HeadersTooLargeError(limit=self.limits.header_bytes))

    def on_message_begin(self) -> None:
        """Let the application close the connection of a caller that does not read."""
        super().on_message_begin()
        state: dict[str, Any] = self.scope["state"]
        state["abort"] = self.transport.abort

    def on_headers_complete(self) -> None:
        """Start the request, unless its headers are too large."""
        self._disarm()
        self._in_headers = False
        size = len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)
        self._overhead_bytes = max(0, self._header_bytes - size)
        if size > self.limits.header_bytes:
            self._refusal = HeadersTooLargeError(limit=self.limits.header_bytes)
            raise _RefusedError()
        super().on_headers_complete()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, but none that comes behind the body."""
        if self._in_headers:
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Take part of a body."""
        self._overhead_bytes = max(0, self._overhead_bytes - OVERHEAD * len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the headers of a next request."""
        self._in_headers = True
        self._header_bytes = self._overhead_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not HTTP, or what `on_headers_complete` refused."""
        self._refuse(self._refusal or MalformedRequestError())

    def _arm(self) -> None:
        self._header_timer = self.loop.call_later(self.limits.read_timeout, self._header_timeout)

    def _disarm(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _header_timeout(self) -> None:
        if self._header_bytes:
            self._refuse(CallerTooSlowError(limit=self.limits.read_timeout))
        else:
            self.transport.close()

    def _refuse(self, error: RequestError) -> None:
        self._disarm()
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


class _QuietServer(Server):
    """Leaves signals to the program."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


class HttpServer:
    """Serves one application at one address.

    Args:
        app: The ASGI application.
        address: Where it listens; port 0 takes a free one.
        limits: What one connection may cost.
    """

    def __init__(self, *, app: Asgi, address: Address, limits: Limits) -> None:
        protocol = type("LimitedProtocol", (GuardedProtocol,), {"limits": limits})
        grace = int(limits.read_timeout + limits.write_timeout) + 1
        config = Config(
            Edge(app=app),
            http=protocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE,
            timeout_graceful_shutdown=grace,
        )
        for name in ("uvicorn.error", "blacksheep.server"):
            standard_logging.getLogger(name).setLevel(standard_logging.ERROR)
        self._server = _QuietServer(config)
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
        # asyncio turns Nagle's algorithm off only where the protocol is named.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._address.ip, self._address.port))
        self._address = Address(ip=self._address.ip, port=listener.getsockname()[1])
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(START_POLL)

    async def stop(self, *, graceful: bool) -> None:
        """Stop listening; a graceful stop lets the answers under way end."""
        if self._task is None:
            return
        if not graceful:
            self._server.force_exit = True
            for connection in list(self._server.server_state.connections):
                connection.transport.abort()
        self._server.should_exit = True
        await self._task
