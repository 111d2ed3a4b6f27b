"""Results of claims."""

from msgspec import Struct

from azureswitch.coordination.claims._events import ResolveClaim
from azureswitch.coordination.claims._limits import RETRY_AFTER_SECONDS
from azureswitch.coordination.claims._messages import Verdict
from azureswitch.exceptions import (
    AzureswitchError,
    ClaimUnavailableError,
    IdempotencyInProgressError,
    IdempotencyMismatchError,
    OutcomeLostError,
)


class Granted(Struct, frozen=True, kw_only=True):
    """Only this host may send the call, once."""


class Replayed(Struct, frozen=True, kw_only=True):
    """The recorded answer of a call that ran before.

    Attributes:
        status: The HTTP status.
        headers: Names and values.
        body: The body.
        whole: Whether headers and body were small enough to be recorded; otherwise they are empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool = True


def result(resolved: ResolveClaim) -> Granted | Replayed:
    """Return the result of a decided claim.

    Raises:
        ClaimUnavailableError: It could not be claimed.
        IdempotencyInProgressError: The first call with the key has not ended.
        IdempotencyMismatchError: The key was used for another request.
        OutcomeLostError: The first call with the key may have run.
    """
    if resolved.verdict is Verdict.GRANTED:
        return Granted()
    if resolved.verdict is Verdict.REPLAYED and resolved.answer is not None:
        answer = resolved.answer
        return Replayed(
            status=answer.status, headers=answer.headers, body=answer.body, whole=answer.whole
        )
    raise _error(resolved.verdict)


def _error(verdict: Verdict) -> AzureswitchError:
    if verdict is Verdict.IN_PROGRESS:
        return IdempotencyInProgressError(seconds=RETRY_AFTER_SECONDS)
    if verdict is Verdict.MISMATCH:
        return IdempotencyMismatchError()
    if verdict in (Verdict.LOST, Verdict.REPLAYED):
        return OutcomeLostError()
    return ClaimUnavailableError(seconds=RETRY_AFTER_SECONDS)
