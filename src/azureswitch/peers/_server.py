"""The server for calls of other hosts, with a bound on its connections."""

from asyncio import BaseTransport, Protocol, Transport
from collections.abc import Callable
from typing import cast

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from azureswitch.server import is_readable
from azureswitch.shedding import ConnectionLimit


class LimitedServer(Server):
    """A gRPC server that bounds its connections.

    Attributes:
        limit: The bound.
    """

    limit: ConnectionLimit

    def _protocol_factory(self) -> Protocol:  # type: ignore[override]
        # Only an admitted connection gets grpclib's protocol, which the server keeps a handler for.
        return _Connection(limit=self.limit, accept=super()._protocol_factory)


class _Connection(Protocol):
    """Passes the events of an admitted connection on to grpclib's protocol."""

    def __init__(self, *, limit: ConnectionLimit, accept: Callable[[], H2Protocol]) -> None:
        self._limit = limit
        self._accept = accept
        self._transport: Transport | None = None
        self._protocol: H2Protocol | None = None

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""
        return self._transport is not None and is_readable(self._transport.get_extra_info("socket"))

    def drop(self) -> None:
        """Close the connection at once, as others need its descriptor."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: BaseTransport) -> None:
        """Take the transport, or close it where there are too many."""
        self._transport = cast(Transport, transport)
        if not self._limit.admit(self):
            self.drop()
            return
        self._protocol = self._accept()
        self._protocol.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self._limit.heard(self)
        if self._protocol is not None:
            self._protocol.data_received(data)

    def pause_writing(self) -> None:
        """Pass on that the other host does not read."""
        if self._protocol is not None:
            self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the other host reads."""
        if self._protocol is not None:
            self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection has ended."""
        self._limit.discard(self)
        if self._protocol is not None:
            self._protocol.connection_lost(exc)
