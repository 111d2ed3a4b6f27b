"""The end of a tunnel at the host that carries it to the target."""

import asyncio
from collections.abc import Callable
from math import inf
from typing import Protocol, cast

from absl import logging
from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from azureswitch.client import Abortable
from azureswitch.clock import elapsed
from azureswitch.exceptions import TunnelRefusal
from azureswitch.paths._keepalive import set_keepalive
from azureswitch.paths._messages import (
    LAST_CHUNK,
    NEW_WORK_HEADER,
    OPENED,
    REQUEST_HEADER,
    SECONDS_HEADER,
    TUNNEL_PATH,
    TunnelRequest,
    chunk,
    decode_seconds,
    encode_refusal,
)

HEAD_SECONDS = 1.0
"""Seconds in which a connection must have asked for a tunnel."""

MAX_HEAD_BYTES = 4_096
"""Most bytes of the head of a request."""


class Opener(Protocol):
    """Decides on tunnels and opens the connections to targets."""

    def asked(self, session: "TunnelSession", request: TunnelRequest) -> None:
        """Take a request for a tunnel; `TunnelSession.open` or `refuse` answers it."""

    def ended(self, session: "TunnelSession") -> None:
        """Note that a connection has ended."""


class TunnelEnd(Abortable):
    """One of the two connections that a tunnel joins."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None

    @property
    def closing(self) -> bool:
        """Whether the connection is closing."""
        return self._transport is None or self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Read nothing, as the other connection takes nothing."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._transport is not None:
            self._transport.resume_reading()

    # asyncio calls this.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)


class TunnelSession(TunnelEnd):
    """One connection on which another host asks for a tunnel.

    Args:
        opener: Decides on the request.

    Attributes:
        sent: Bytes that were passed on to the target.
        received: Bytes that came from it.
        whole: Whether the target has closed its connection.
        broken_off: Whether the connection to the target broke.
    """

    def __init__(self, *, opener: Opener) -> None:
        super().__init__()
        self._opener = opener
        self._parser = HttpRequestParser(self)
        self._target: TargetEnd | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ends_at = inf
        self._url = b""
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self.sent = 0
        self.received = 0
        self.whole = False
        self.broken_off = False

    @property
    def origin(self) -> str:
        """The IP address of the other host."""
        assert self._transport is not None
        peer = self._transport.get_extra_info("peername")
        return "" if peer is None else str(peer[0])

    @property
    def is_open(self) -> bool:
        """Whether the tunnel leads to a target."""
        return self._target is not None

    def open(self, target: "TargetEnd") -> None:
        """Answer that the tunnel is open, and carry bytes from now on."""
        assert self._transport is not None
        self._target = target
        self._transport.write(OPENED)
        target.join(self)

    def refuse(self, refusal: TunnelRefusal) -> None:
        """Answer that there is no tunnel."""
        if self._transport is not None:
            self._transport.write(encode_refusal(refusal))
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Pass on bytes of the target."""
        assert self._transport is not None
        self.received += len(data)
        self._transport.write(chunk(data))

    def finish(self) -> None:
        """Pass on that the target has closed its connection."""
        assert self._transport is not None
        self.whole = True
        self._transport.write(LAST_CHUNK)
        self._transport.close()

    def break_off(self) -> None:
        """Pass on that the connection to the target broke."""
        self.broken_off = True
        self.abort()

    # asyncio calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request."""
        super().connection_made(transport)
        set_keepalive(transport)
        self._set_timer(HEAD_SECONDS)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._target is None and not self._may_take(len(data)):
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserCallbackError:
            # A fault of ours, which the parser wraps as if the request were malformed.
            logging.exception("paths: Reading from another host failed.")
            self.abort()
        except (HttpParserError, HttpParserUpgrade):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the target, which ends the request there."""
        if self._timer is not None:
            self._timer.cancel()
        if self._target is not None:
            self._target.abort()
        self._opener.ended(self)

    def pause_writing(self) -> None:
        """Hold the target back, as the other host reads nothing."""
        if self._target is not None:
            self._target.pause_reading()

    def resume_writing(self) -> None:
        """Read on from the target."""
        if self._target is not None:
            self._target.resume_reading()

    # The parser calls these.

    def on_url(self, url: bytes) -> None:
        """Keep the path."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Have the request decided."""
        path = self._url.decode("latin-1")
        if not path.startswith(TUNNEL_PATH):
            self.abort()
            return
        request = TunnelRequest(
            address=path.removeprefix(TUNNEL_PATH),
            request=self._headers.get(REQUEST_HEADER, ""),
            new_work=self._headers.get(NEW_WORK_HEADER) != "0",
            seconds=decode_seconds(self._headers.get(SECONDS_HEADER, "")),
        )
        self._set_timer(request.seconds)
        self._opener.asked(self, request)

    def on_body(self, data: bytes) -> None:
        """Pass on bytes to the target."""
        if self._target is None:
            # The other host must wait for the answer.
            self.abort()
            return
        if elapsed() >= self._ends_at:
            # After a freeze of this host, bytes are read before the timer has run.
            self.abort()
            return
        self.sent += len(data)
        self._target.write(data)

    def _set_timer(self, seconds: float) -> None:
        """Break the connection off after some seconds."""
        self._ends_at = elapsed() + seconds
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.abort)

    def _may_take(self, size: int) -> bool:
        """Count bytes of the head, and return whether it may have so many."""
        self._head_bytes += size
        return self._head_bytes <= MAX_HEAD_BYTES


class TargetEnd(TunnelEnd):
    """The connection to the target of a tunnel."""

    def __init__(self) -> None:
        super().__init__()
        self._session: TunnelSession | None = None
        self._early: list[bytes] = []
        self._lost: Callable[[], None] | None = None

    def join(self, session: TunnelSession) -> None:
        """Pass everything on to a session, also what came before."""
        self._session = session
        for data in self._early:
            session.write(data)
        self._early.clear()
        if self._lost is not None:
            self._lost()

    def write(self, data: bytes) -> None:
        """Send bytes to the target."""
        if self._transport is not None and not self.closing:
            self._transport.write(data)

    # asyncio calls these.

    def data_received(self, data: bytes) -> None:
        """Pass on bytes to the other host."""
        if self._session is None:
            self._early.append(data)
        else:
            self._session.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on how the connection ended."""
        ended = self._finish if exc is None else self._break_off
        if self._session is None:
            self._lost = ended
        else:
            ended()

    def pause_writing(self) -> None:
        """Hold the other host back, as the target reads nothing."""
        if self._session is not None:
            self._session.pause_reading()

    def resume_writing(self) -> None:
        """Read on from the other host."""
        if self._session is not None:
            self._session.resume_reading()

    def _finish(self) -> None:
        if self._session is not None and not self._session.closing:
            self._session.finish()

    def _break_off(self) -> None:
        if self._session is not None and not self._session.closing:
            self._session.break_off()
