"""A plain service's target as azureswitch sees it."""

from typing import Protocol

from msgspec import Struct

from azureswitch.core import CallId


class PlainRequest(Struct, frozen=True, kw_only=True):
    """One call to a plain target.

    Attributes:
        call: The request's id, sent as ``X-Request-Id``.
        method: The HTTP method.
        path: Path and query below the target's root.
        headers: Headers to pass on.
        body: The body.
        idempotency_key: The caller's key, or None.
        timeout: Seconds that the call has left.
    """

    call: CallId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str | None
    timeout: float


class PlainAnswer(Struct, frozen=True, kw_only=True):
    """The whole answer of a plain target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainTarget(Protocol):
    """One target of a plain service."""

    async def send(self, *, request: PlainRequest) -> PlainAnswer:
        """Send a call once and return its whole answer.

        Raises:
            TargetRefusedError: The target was not reached; the call did not run.
            TargetBrokenError: The call may have run.
        """
