"""The HTTP server: uvicorn with limits on the resources of its connections."""

import asyncio
import logging as standard_logging
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from uvicorn import Config, Server

from azureswitch.clock import elapsed
from azureswitch.entry._protocol import Intake, LimitingProtocol
from azureswitch.entry._settings import Limits
from azureswitch.entry._writer import Asgi, ResponseWriterApp
from azureswitch.settings import Address
from azureswitch.shedding import ConnectionLimit

KEEP_ALIVE_SECONDS = 75
"""Seconds for which an idle connection is kept, which exceeds the time of load balancers."""

START_POLL_SECONDS = 0.005
"""Seconds between two checks whether the server listens."""


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
        intake: What its connections share with all others of the process.
        max_connections: Connections that may be open.
    """

    def __init__(
        self, *, app: Asgi, address: Address, limits: Limits, intake: Intake, max_connections: int
    ) -> None:
        admission = ConnectionLimit(
            limit=max_connections, clock=elapsed, shed_slowest=intake.unfinished.shed_slowest
        )
        shared = {"limits": limits, "intake": intake, "admission": admission}
        protocol = type("LimitedProtocol", (LimitingProtocol,), shared)
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
