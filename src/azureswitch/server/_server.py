"""Listens for callers."""

import asyncio
from collections.abc import Callable
from socket import socket
from sys import maxsize

from absl import logging

from azureswitch.buffers import BufferBudget
from azureswitch.clock import elapsed
from azureswitch.server._connection import ServerConnection
from azureswitch.server._exchange import Handler
from azureswitch.server._model import CloseReason, ConnectionClosed
from azureswitch.server._unread import is_readable
from azureswitch.shedding import ConnectionLimit, UnfinishedRequests

BACKLOG = 512
"""Connections that may wait to be taken."""

QUIET_TURNS = 4
"""Turns of the loop without a new connection: asyncio accepts in one, sets up in the next two."""

MOST_TURNS = 64
"""Turns for which the listening socket stays open though more come; each takes a whole backlog."""


class HttpServer:
    """Listens for callers.

    Args:
        handler: Takes their requests.
        closed: Is told of each connection that has ended; what is lost is logged otherwise.
        budget: Counts the memory that requests and answers take, or None for no bound.
        max_connections: Connections that may be open.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        closed: Callable[[ConnectionClosed], None] | None = None,
        budget: BufferBudget | None = None,
        max_connections: int = maxsize,
    ) -> None:
        self._handler = handler
        self._budget = budget or BufferBudget()
        self._unfinished = UnfinishedRequests(budget=self._budget, clock=elapsed)
        self._limit = ConnectionLimit(
            limit=max_connections, clock=elapsed, shed_slowest=self._unfinished.shed_slowest
        )
        self._closed = closed or _log_unserved
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    @property
    def unfinished(self) -> UnfinishedRequests:
        """The requests of which a part has arrived."""
        return self._unfinished

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, *, address: str) -> None:
        """Listen on ``IP:PORT``.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._connection, host, int(port), backlog=BACKLOG
        )

    async def take(self, *, listener: socket) -> None:
        """Go on with a socket that listens already, and with the connections that wait there."""
        self._server = await asyncio.get_running_loop().create_server(
            self._connection, sock=listener, backlog=BACKLOG
        )

    def _connection(self) -> ServerConnection:
        return ServerConnection(
            handler=self._handler,
            connections=self._connections,
            budget=self._budget,
            unfinished=self._unfinished,
            limit=self._limit,
            closed=self._closed,
        )

    def stop_listening(self) -> None:
        """Take no new connections, and none that wait."""
        if self._server is not None:
            self._server.close()

    async def finish_listening(self) -> None:
        """Take the connections that wait, and then no new ones.

        The kernel resets those that wait as the socket is closed, and asyncio drops those that it
        has accepted and not set up yet, with no log line in either case.
        """
        if self._server is None:
            return
        quiet = 0
        for _ in range(MOST_TURNS):
            waits = any(is_readable(listener) for listener in self._server.sockets)
            quiet = 0 if waits else quiet + 1
            if quiet == QUIET_TURNS:
                break
            await asyncio.sleep(0.0)
        self.stop_listening()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self._connections):
            connection.close_idle()

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.abort(CloseReason.STOP)


def _log_unserved(closed: ConnectionClosed) -> None:
    for request in closed.unserved:
        logging.warning(
            "server: Request to %s not served (%s).", request.target, closed.reason.value
        )
