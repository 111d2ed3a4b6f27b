"""Maps the failures that targets answer with to their types."""

from http import HTTPStatus

import msgspec

from azureswitch.client import HttpHead
from azureswitch.core import TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    OrderRefusedError,
    TargetBrokenError,
    TargetRefusedError,
    TargetRejectedError,
)

CAPACITY = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))
"""Statuses of a target that cannot take the request now."""

EXISTS = "attempt_exists"
FENCED = "order_fenced"
NOT_FOUND = "request_not_found"


class _Failure(msgspec.Struct, frozen=True):
    """What a target says of a failure."""

    type: str = ""
    message: str = ""
    not_run: bool = False
    fence: int | None = None
    newest: int | None = None


class _Body(msgspec.Struct, frozen=True):
    """The body of a failure."""

    error: _Failure = _Failure()


def engine_failure(*, target: TargetName, head: HttpHead, body: bytes) -> AzureswitchError:
    """Return the failure that an engine answered with.

    Only what the engine marks as not run is given as refused or rejected.
    """
    failure = _decode(body)
    if failure.type == FENCED:
        return OrderRefusedError(
            target=target, fence=failure.fence or 0, newest=failure.newest or 0
        )
    if failure.type == EXISTS or not failure.not_run:
        # An attempt that is there already may be running.
        return TargetBrokenError(target=target)
    if head.status in CAPACITY or failure.type == NOT_FOUND:
        return TargetRefusedError(target=target, seconds=head.retry_after)
    if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return TargetRejectedError(target_status=head.status, detail=failure.message)
    return TargetRefusedError(target=target)


def says_not_run(*, head: HttpHead, body: bytes) -> bool:
    """Tell whether a target without capacity says that it did not run a call."""
    return head.status in CAPACITY and _decode(body).not_run


def _decode(body: bytes) -> _Failure:
    try:
        return msgspec.json.decode(body, type=_Body).error
    except ValueError:
        return _Failure()
