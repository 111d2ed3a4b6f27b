"""A request as it was read, and what a connection may ask."""

from enum import Enum

from msgspec import Struct

from azureswitch.buffers import BufferLease
from azureswitch.client import Headers


class CallerLimits(Struct, frozen=True, kw_only=True):
    """What a caller's connection may ask.

    Attributes:
        header_bytes: Bytes of a request's head.
        body_bytes: Bytes of its body.
        header_seconds: Seconds that its head may take.
        idle_seconds: Seconds that a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class HttpRequest(Struct, frozen=True, kw_only=True):
    """A whole request of a caller.

    Attributes:
        method: The method.
        target: Path and query.
        headers: The headers in order, names in lower case.
        body: The body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header of a lower-case name, or None."""
        return next((value for key, value in self.headers if key == name), None)


class ReadRequest(Struct, frozen=True, kw_only=True):
    """A whole request as it is handed on.

    Attributes:
        request: The request.
        keep_alive: Whether its caller may send a further one.
        lease: What it holds of the budget, until its answer is over.
    """

    request: HttpRequest
    keep_alive: bool
    lease: BufferLease


class CloseReason(Enum):
    """Why a connection of a caller ended."""

    IDLE = "idle"
    STOP = "stop"
    CALLER = "caller"
    ANSWERED = "answered"
    UNREAD = "unread"
    BROKEN_OFF = "broken_off"
    REFUSED = "refused"
    CROWDED = "crowded"
    FAULT = "fault"


class ConnectionClosed(Struct, frozen=True, kw_only=True):
    """A connection of a caller has ended.

    Attributes:
        reason: Why.
        unserved: Requests that were read and never handed over, so that they did not run.
        unanswered: The request that was handed over and has no whole answer, or None.
    """

    reason: CloseReason
    unserved: tuple[HttpRequest, ...] = ()
    unanswered: HttpRequest | None = None
