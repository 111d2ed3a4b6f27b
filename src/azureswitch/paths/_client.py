"""The end of a tunnel at the host that asked for it."""

import asyncio
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Generic, TypeVar, cast

from absl import logging
from httptools import HttpParserCallbackError, HttpParserError, HttpResponseParser

from azureswitch.client import Abortable
from azureswitch.exceptions import TunnelRefusal, TunnelRefusedError
from azureswitch.paths._keepalive import set_keepalive
from azureswitch.paths._messages import (
    REFUSAL_HEADER,
    TunnelRequest,
    chunk,
    decode_refusal,
    encode_request,
)
from azureswitch.paths._model import PeerHost

P = TypeVar("P", bound=Abortable)


async def open_tunnel(
    *,
    peer: PeerHost,
    asked: TunnelRequest,
    protocol: Callable[[], P],
    local_ip: str,
    timeout: float,
    count: Callable[[int], None],
) -> P:
    """Open a connection to a target through another host, and return its protocol.

    Args:
        peer: The host.
        asked: What is asked for.
        protocol: Returns the protocol of the connection to the target.
        local_ip: The IP address of this host, by which the other one knows it.
        timeout: Seconds that it may take.
        count: Called with 1 as the tunnel opens, and with -1 as it ends.

    Raises:
        TunnelRefusedError: The host did not open it; nothing was sent to the target.
    """
    host, _, port = peer.address.rpartition(":")
    loop = asyncio.get_running_loop()
    client: TunnelClient[P] = TunnelClient(asked=asked, protocol=protocol, count=count)
    try:
        async with asyncio.timeout(timeout):
            await loop.create_connection(lambda: client, host, int(port), local_addr=(local_ip, 0))
            refusal = await client.answer()
    except TimeoutError:
        refusal = TunnelRefusal.NO_ANSWER
    except OSError:
        refusal = TunnelRefusal.NOT_LISTENING
    except BaseException:
        client.abort()
        raise
    if refusal is not None:
        client.abort()
        raise TunnelRefusedError(peer=peer.host, refusal=refusal)
    return client.inner


class TunnelClient(asyncio.Protocol, Generic[P]):
    """Carries the bytes of one connection to a target in the chunks of an HTTP exchange.

    Args:
        asked: What is asked for.
        protocol: Returns the protocol of the connection to the target.
        count: Called with 1 as the tunnel opens, and with -1 as it ends.
    """

    def __init__(
        self, *, asked: TunnelRequest, protocol: Callable[[], P], count: Callable[[int], None]
    ) -> None:
        self._asked = asked
        self._protocol = protocol
        self._count = count
        self._parser = HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[TunnelRefusal | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._refusal = TunnelRefusal.OTHER
        self._inner: P | None = None
        self._complete = False

    @property
    def inner(self) -> P:
        """The protocol of the connection to the target, once the tunnel is open."""
        assert self._inner is not None
        return self._inner

    async def answer(self) -> TunnelRefusal | None:
        """Wait for the answer: None once the tunnel is open, or why it is not."""
        return await self._answer

    def abort(self) -> None:
        """Close the tunnel at once."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the tunnel."""
        self._transport = cast(asyncio.Transport, transport)
        set_keepalive(transport)
        self._transport.write(encode_request(self._asked))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        try:
            self._parser.feed_data(data)
        except HttpParserCallbackError:
            # A fault of ours, which the parser wraps as if the answer were malformed.
            logging.exception("paths: Reading from a tunnel failed.")
            self.abort()
        except HttpParserError:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection to the target; without the last chunk it was broken off."""
        if not self._answer.done():
            self._answer.set_result(TunnelRefusal.NO_ANSWER)
        if self._inner is None:
            return
        if not self._complete:
            self._inner.connection_lost(exc or ConnectionResetError())
        self._count(-1)

    def pause_writing(self) -> None:
        """Hold back what is sent to the target."""
        if self._inner is not None:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Send on to the target."""
        if self._inner is not None:
            self._inner.resume_writing()

    # The parser calls these.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep why the tunnel is refused."""
        if name.decode("latin-1").lower() == REFUSAL_HEADER:
            self._refusal = decode_refusal(value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Begin with the connection to the target, or tell that the tunnel is refused."""
        if self._answer.done():
            return
        if self._parser.get_status_code() != HTTPStatus.OK:
            self._answer.set_result(self._refusal)
            return
        assert self._transport is not None
        self._inner = self._protocol()
        self._count(1)
        self._inner.connection_made(TunnelTransport(transport=self._transport))
        self._answer.set_result(None)

    def on_body(self, data: bytes) -> None:
        """Pass on bytes of the target."""
        if self._inner is not None:
            self._inner.data_received(data)

    def on_message_complete(self) -> None:
        """Pass on that the target has closed its connection."""
        if self._inner is None or self._complete:
            return
        self._complete = True
        self._inner.connection_lost(None)
        self.abort()


class TunnelTransport(asyncio.Transport):
    """The transport of a connection to a target that a tunnel carries.

    Args:
        transport: The transport of the tunnel.
    """

    def __init__(self, *, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection to the other host."""
        return self._transport.get_extra_info(name, default)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the target."""
        if data:
            self._transport.write(chunk(bytes(data)))

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        """Send bytes to the target as one chunk."""
        self.write(b"".join(list_of_data))

    def pause_reading(self) -> None:
        """Read nothing, so that the target is held back."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        self._transport.resume_reading()

    def is_closing(self) -> bool:
        """Return whether the tunnel is closing."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close the tunnel once all was sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close the tunnel at once, which ends the request at the target."""
        self._transport.abort()
