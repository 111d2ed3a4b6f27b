"""A connection of a caller: uvicorn's, with limits on what it holds and how long it takes."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from math import ceil
from typing import Any

from msgspec import Struct
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from azureswitch.buffers import HEADER_BYTES, REQUEST_BYTES, BufferLease, share_for
from azureswitch.client import pieces
from azureswitch.entry._errors import error_body
from azureswitch.entry._settings import Limits
from azureswitch.exceptions import (
    AzureswitchError,
    CallerTooSlowError,
    HeadersTooLargeError,
    MalformedRequestError,
    MemoryShortError,
    RequestShedError,
)
from azureswitch.server import LINGER_SECONDS, is_readable
from azureswitch.shedding import ConnectionLimit, UnfinishedRequests

MAX_FRAMING_RATIO = 8
"""Upper bound of framing bytes per byte of a body; chunks of one byte must pass."""


class _RefusedError(Exception):
    """Ends the parsing of a refused request."""


class Intake(Struct, frozen=True, kw_only=True):
    """What all connections of a process share.

    Attributes:
        unfinished: The unfinished requests, and the budget that counts the memory of all.
        refused: Called with each refusal of a request that was not read whole.
    """

    unfinished: UnfinishedRequests
    refused: Callable[[AzureswitchError], None]


class LimitingProtocol(HttpToolsProtocol):
    """Limits size, time and memory of requests, and rejects with typed errors."""

    limits: Limits
    intake: Intake
    admission: ConnectionLimit

    _lease: BufferLease
    _held_bytes = 0
    _body_bytes = 0
    _declared_left = 0
    _header_bytes = 0
    _overhead_bytes = 0
    _in_headers = True
    _unfinished = False
    _reading: RequestResponseCycle | None = None
    _header_timer: asyncio.TimerHandle | None = None
    _refusal: AzureswitchError | None = None
    _deferred: AzureswitchError | None = None
    _refused = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the headers of the first request, unless there are too many."""
        self._lease = self.intake.unfinished.budget.lease()
        super().connection_made(transport)
        if self.admission.admit(self):
            self._start_header_timer()
        else:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout, and hold nothing any more."""
        self._cancel_header_timer()
        self.admission.discard(self)
        self.intake.unfinished.discard(self)
        self._lease.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read what arrived within the limits."""
        self.admission.heard(self)
        for piece in pieces(data):
            if self._refused or self._deferred is not None or self.transport.is_closing():
                return
            self._read(piece)
            self._hold()
        self._note_unfinished(received=len(data))

    def _read(self, piece: bytes) -> None:
        """Count the bytes of headers, or of framing around a body."""
        if self._in_headers:
            self._header_bytes += len(piece)
            if self._header_timer is None:
                self._start_header_timer()
        else:
            self._overhead_bytes += len(piece)
        super().data_received(piece)
        size = self._header_bytes if self._in_headers else self._overhead_bytes
        if size > self.limits.header_bytes:
            self._refuse(HeadersTooLargeError(limit=self.limits.header_bytes))

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Give the application a means to abort the connection."""
        if not self._is_answering:
            self._held_bytes = 0
        self._held_bytes += REQUEST_BYTES
        self._body_bytes = self._declared_left = 0
        self._unfinished = True
        self._reading = None
        super().on_message_begin()
        state: dict[str, Any] = self.scope["state"]
        state["abort"] = self.transport.abort

    def on_headers_complete(self) -> None:
        """Start the request, unless its headers are too large or its body has no room."""
        self._cancel_header_timer()
        self._in_headers = False
        size = len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)
        self._overhead_bytes = max(0, self._header_bytes - size)
        if size > self.limits.header_bytes:
            self._refusal = HeadersTooLargeError(limit=self.limits.header_bytes)
            raise _RefusedError()
        declared = next((int(v) for name, v in self.headers if name == b"content-length"), 0)
        if declared <= self.limits.body_bytes:
            # A longer body is refused by its declared length, before any of it is read.
            self._declared_left = self._body_bytes = declared
            self._held_bytes += declared
        if not self._has_room():
            self._refusal = MemoryShortError()
            raise _RefusedError()
        super().on_headers_complete()
        self._reading = self.cycle
        if self.admission.crowded:
            self.cycle.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after the body are ignored."""
        if self._in_headers:
            self._held_bytes += HEADER_BYTES + len(name) + len(value)
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Add part of a body."""
        self._overhead_bytes = max(0, self._overhead_bytes - MAX_FRAMING_RATIO * len(body))
        undeclared = max(0, len(body) - self._declared_left)
        self._declared_left -= len(body) - undeclared
        self._body_bytes += undeclared
        self._held_bytes += undeclared
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Prepare for the headers of the next request."""
        self._in_headers = True
        self._unfinished = False
        self._reading = None
        self._header_bytes = self._overhead_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Reject what is not HTTP, or what `on_headers_complete` has rejected."""
        self._refuse(self._refusal or MalformedRequestError())

    # The application's answers call this.

    def on_response_complete(self) -> None:
        """Hold nothing for a request that is answered, and go on with the next one."""
        waiting = bool(self.pipeline)
        super().on_response_complete()
        if waiting:
            return
        if self._deferred is not None:
            self._send_refusal(self._deferred)
        elif not self._unfinished:
            self._held_bytes = 0
            self._lease.release()

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""
        return is_readable(self.transport.get_extra_info("socket"))

    def drop(self) -> None:
        """Close the connection at once, as others need its descriptor."""
        self.transport.abort()

    def shed(self, error: RequestShedError) -> None:
        """Refuse the request that is not whole yet."""
        self._refuse(error)

    @property
    def _is_answering(self) -> bool:
        """Whether a request before the one that is being read has no whole answer yet."""
        if self._reading is not None:
            return bool(self.pipeline)
        return self.cycle is not None and not self.cycle.response_complete

    def _has_room(self) -> bool:
        """Count what the connection's requests hold, and return whether there was room for it."""
        more = self._held_bytes - self._lease.size
        return more <= 0 or self.intake.unfinished.try_grow(
            self._lease, more, share=share_for(self._body_bytes), holder=self
        )

    def _hold(self) -> None:
        """Count what the connection's requests hold, or refuse the one that is being read."""
        if self._refused or self._deferred is not None or self.transport.is_closing():
            return
        if not self._unfinished:
            # It runs by now, and its last piece is held whether or not there is room.
            self._lease.resize(max(self._held_bytes, self._lease.size))
        elif not self._has_room():
            self._refuse(MemoryShortError())

    def _note_unfinished(self, *, received: int) -> None:
        """Refuse what is not whole by now if unfinished requests have no room for it."""
        ended = self._refused or self._deferred is not None
        if not self._unfinished or ended or self._is_answering:
            # What waits for the answer to another request is late by our own doing.
            self.intake.unfinished.discard(self)
        elif not self.intake.unfinished.keep(self, size=self._lease.size, received=received):
            self._refuse(MemoryShortError())

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

    def _refuse(self, error: AzureswitchError) -> None:
        """Refuse the request that is being read, once those before it are answered."""
        self._cancel_header_timer()
        self.intake.unfinished.discard(self)
        if self._refused or self._deferred is not None or self.transport.is_closing():
            return
        if not self._is_answering:
            self._send_refusal(error)
            return
        if self._reading is not None:
            self.pipeline.popleft()
        self._forget_unfinished()
        self._deferred = error

    def _forget_unfinished(self) -> None:
        """Hold nothing of the request that is being read, and end its handler if one waits."""
        if self._unfinished:
            self.headers.clear()
        if self._reading is not None:
            self._reading.disconnected = True
            self._reading.body = bytearray()
            self._reading.message_event.set()

    def _send_refusal(self, error: AzureswitchError) -> None:
        if self._refused or self.transport.is_closing():
            return
        self._refused = True
        self.intake.refused(error)
        if self._reading is not None and self._reading.response_started:
            self.transport.abort()
            return
        self._forget_unfinished()
        self._lease.release()
        self.transport.write(_refusal(error))
        if self.transport.can_write_eof():
            # Closed with unread bytes, it would be reset, and the refusal might go with it.
            self.transport.write_eof()
            self.flow.resume_reading()
            self.loop.call_later(LINGER_SECONDS, self.transport.abort)
        else:
            self.transport.close()


def _refusal(error: AzureswitchError) -> bytes:
    """Return the answer to a request that was not read whole."""
    body = error_body(error)
    status = HTTPStatus(error.status)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "content-type: application/json",
        f"content-length: {len(body)}",
        "connection: close",
    ]
    if error.retry_after is not None:
        lines.append(f"retry-after: {max(1, ceil(error.retry_after))}")
    return "\r\n".join((*lines, "", "")).encode() + body
