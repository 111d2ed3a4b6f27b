"""Error responses in the format of standard client libraries."""

from math import ceil

from blacksheep import Content, Response
from msgspec import Struct
from msgspec.json import encode

from azureswitch.core import CallId
from azureswitch.exceptions import (
    AzureswitchError,
    Ran,
    RefusedError,
    RequestError,
    ServingError,
)

_FAMILIES = (RequestError, RefusedError, ServingError, AzureswitchError)


class ErrorDetail(Struct, kw_only=True):
    """The fields of an error.

    Attributes:
        message: A short sentence for people.
        type: The family of the error.
        code: Its stable name.
        ran: Whether the request ran: ``not_run``, ``ran`` or ``unknown``.
        param: Always null; client libraries expect it.
    """

    message: str
    type: str
    code: str
    ran: str
    param: None = None


class ErrorBody(Struct, kw_only=True):
    """The body of an error response."""

    error: ErrorDetail


def error_body(error: AzureswitchError) -> bytes:
    """Return an error as JSON."""
    family = next(family for family in _FAMILIES if isinstance(error, family))
    detail = ErrorDetail(
        message=error.message, type=family.code, code=error.code, ran=error.ran.value
    )
    return encode(ErrorBody(error=detail))


def error_event(error: AzureswitchError) -> bytes:
    """Return an error as the last server-sent event of an incomplete stream."""
    return b"data: " + error_body(error) + b"\n\n"


def error_response(error: AzureswitchError, *, call: CallId) -> Response:
    """Return an error response.

    Args:
        error: The error.
        call: The request's id.

    Returns:
        The response, with ``Retry-After`` if a retry may succeed.
    """
    headers = [(b"x-request-id", call.encode())]
    if error.retry_after is not None:
        headers.append((b"retry-after", str(max(1, ceil(error.retry_after))).encode()))
    elif error.ran is not Ran.NOT_RUN:
        # Client libraries retry most 5xx on their own, but this request may have run.
        headers.append((b"x-should-retry", b"false"))
    return Response(int(error.status), headers, Content(b"application/json", error_body(error)))
