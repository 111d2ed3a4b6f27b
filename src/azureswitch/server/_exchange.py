"""One request and the answer to it."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from azureswitch.buffers import BufferLease
from azureswitch.client import Headers
from azureswitch.exceptions import AzureswitchError
from azureswitch.server._model import CallerLimits, CloseReason, HttpRequest

NO_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
"""Statuses whose answers have no body."""

JOINED_BYTES = 65_536
"""Bytes of a body up to which it is written together with its head, in one call."""


class Channel(Protocol):
    """The connection that an exchange writes to."""

    @property
    def closing(self) -> bool:
        """Whether the caller is told to use another connection for its next request."""

    def promise(self) -> int:
        """Return the whole seconds that the connection stays once idle, or zero for untold."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    async def drain(self) -> None:
        """Wait until the caller has read enough."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once."""

    def answered(self, *, keep_alive: bool) -> None:
        """Go on with the next request, or close."""


class Exchange:
    """One request and the answer to it.

    Args:
        request: The request.
        connection: The connection that it came on.
        keep_alive: Whether the caller may send a further request on it.
        lease: What the request holds of the budget; released once nothing more can be sent, unless
            the handler holds the request for longer.
    """

    def __init__(
        self,
        *,
        request: HttpRequest,
        connection: Channel,
        keep_alive: bool,
        lease: BufferLease | None = None,
    ) -> None:
        self._request = request
        self._connection = connection
        self._keep_alive = keep_alive
        self._lease = lease
        self._started = False
        self._bare = False
        self._over = False
        self._held = False
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
        length: Headers = (("content-length", str(len(body))),) if _has_body(status) else ()
        head = self._head(status=status, headers=(*headers, *length))
        if self._is_bare(status):
            body = b""
        if len(body) <= JOINED_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(body)
        self._end()

    def begin(self, *, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        if self._over or self._started:
            return
        framing: Headers = (("transfer-encoding", "chunked"),) if _has_body(status) else ()
        self._connection.write(self._head(status=status, headers=(*headers, *framing)))
        self._bare = self._is_bare(status)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._over and not self._bare and data:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """End an answer that was begun."""
        if not self._over:
            if not self._bare:
                self._connection.write(b"0\r\n\r\n")
            self._end()

    def abort(self, reason: CloseReason = CloseReason.BROKEN_OFF) -> None:
        """Close the connection so that what was sent does not look complete."""
        if not self._over:
            self._set_over()
            self._connection.abort(reason)

    async def drain(self) -> None:
        """Wait until the caller has read enough for more to be sent."""
        await self._connection.drain()

    def leave(self) -> None:
        """Note that the caller is gone."""
        if self._over:
            return
        self._set_over()
        if self._left is not None:
            self._left()

    def hold_memory(self) -> None:
        """Keep counting the request as held until `free_memory`, also once its caller is gone."""
        self._held = True

    def free_memory(self) -> None:
        """Count the request as held no more."""
        if self._lease is not None:
            self._lease.release()

    def release(self) -> None:
        """Have the handler let go of a request whose end it does not know of."""
        if self._left is not None:
            self._left()

    def _is_bare(self, status: int) -> bool:
        """Return whether only the head of an answer is sent."""
        return self._request.method == "HEAD" or not _has_body(status)

    def _head(self, *, status: int, headers: Headers) -> bytes:
        if self._connection.closing:
            self._keep_alive = False
        lines = [f"HTTP/1.1 {status} {_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if not self._keep_alive:
            lines.append("connection: close")
        elif seconds := self._connection.promise():
            lines.append(f"keep-alive: timeout={seconds}")
        head = "\r\n".join((*lines, "", "")).encode("latin-1")
        # Only now: another answer may be sent in place of one whose head cannot be encoded.
        self._started = True
        return head

    def _set_over(self) -> None:
        self._over = True
        if not self._held:
            self.free_memory()

    def _end(self) -> None:
        self._set_over()
        self._connection.answered(keep_alive=self._keep_alive)


def _has_body(status: int) -> bool:
    return status not in NO_BODY and status >= HTTPStatus.OK


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class Handler(Protocol):
    """Takes requests once they have been read whole."""

    @property
    def limits(self) -> CallerLimits:
        """What a caller's connection may ask now."""

    @property
    def closing(self) -> bool:
        """Whether callers are told to use another connection for their next request."""

    def handle(self, exchange: Exchange) -> None:
        """Take a request; its answer is given through the exchange."""

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer what is no acceptable request; the connection closes after it."""
