"""Connections to recently called hosts, bounded and closed when idle."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager

from grpclib.client import Channel
from msgspec import Struct


class _Connection(Struct, kw_only=True):
    channel: Channel
    calls: int = 0
    used: float = 0.0
    dropped: bool = False


def split(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``; an IPv6 address stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class ChannelPool:
    """Channels by address.

    A channel in use is never closed, so the pool may hold more than its limit while more calls than
    that run at once to different hosts.
    """

    def __init__(self, *, limit: int, idle: float) -> None:
        self._limit = limit
        self._idle = idle
        self._connections: OrderedDict[str, _Connection] = OrderedDict()

    @property
    def size(self) -> int:
        """How many channels are open."""
        return len(self._connections)

    @contextmanager
    def use(self, *, address: str, now: float) -> Iterator[Channel]:
        """Lend a channel for one call.

        Args:
            address: ``IP:PORT`` of the host.
            now: The time on the host's monotonic clock.
        """
        connection = self._connection(address)
        connection.calls += 1
        connection.used = now
        try:
            yield connection.channel
        finally:
            connection.calls -= 1
            if connection.dropped and not connection.calls:
                connection.channel.close()
            self._shrink()

    def drop(self, *, address: str) -> None:
        """Let the next call to a host open a new connection."""
        connection = self._connections.pop(address, None)
        if connection is None:
            return
        connection.dropped = True
        if not connection.calls:
            connection.channel.close()

    def sweep(self, *, now: float) -> None:
        """Close what has carried no call for long."""
        for address, connection in tuple(self._connections.items()):
            if not connection.calls and connection.used <= now - self._idle:
                self.drop(address=address)

    def close(self) -> None:
        """Close every channel."""
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    def _connection(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            host, port = split(address)
            connection = _Connection(channel=Channel(host, port))
            self._connections[address] = connection
        self._connections.move_to_end(address)
        return connection

    def _shrink(self) -> None:
        surplus = len(self._connections) - self._limit
        if surplus <= 0:
            return
        unused = [key for key, value in self._connections.items() if not value.calls]
        for address in unused[:surplus]:
            self.drop(address=address)
