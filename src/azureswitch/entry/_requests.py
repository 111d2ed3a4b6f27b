"""Reads what every request has: its headers, its body, and whether its caller is still there."""

import asyncio
from collections.abc import Awaitable, Callable
from math import isfinite
from re import compile
from typing import Any, cast

from blacksheep import Request

from azureswitch.entry._outlet import Outlet
from azureswitch.exceptions import (
    BodyTooLargeError,
    CallerLeftError,
    CallerTooSlowError,
    InvalidHeaderError,
)

LONGEST_TIMEOUT = 86_400.0
"""Seconds that a request may ask for."""

LONGEST_KEY = 255
"""Characters of an Idempotency-Key."""

_KEY = compile(rf"[\x21-\x7e]{{1,{LONGEST_KEY}}}")
_NUMBER = compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_COUNT = compile(r"[0-9]{1,12}")

Receive = Callable[[], Awaitable[dict[str, Any]]]


def receiver(request: Request) -> Receive:
    """Return the callable that yields what the connection brings."""
    content = request.content
    assert content is not None
    return cast(Receive, cast(Any, content).receive)


def aborter(request: Request) -> Callable[[], None] | None:
    """Return the callable that closes the connection at once, where there is one."""
    scope = cast(dict[str, Any], request.scope)
    abort: Callable[[], None] | None = scope.get("state", {}).get("abort")
    return abort


def answer_outlet(request: Request) -> Outlet:
    """Return the outlet through which a handler can write its answer itself."""
    scope = cast(dict[str, Any], request.scope)
    return cast(Outlet, scope["state"]["outlet"])


def header(request: Request, name: bytes) -> str | None:
    """Return the first header of a name, or None."""
    value = request.get_first_header(name)
    return None if value is None else value.decode("latin-1").strip()


def request_timeout(request: Request) -> float | None:
    """Return the seconds that a caller gives its request, or None where it does not say.

    Raises:
        InvalidHeaderError: The header is not a number of seconds in range.
    """
    text = header(request, b"x-request-timeout")
    if text is None:
        return None
    seconds = float(text) if _NUMBER.fullmatch(text) else 0.0
    if not isfinite(seconds) or not 0.0 < seconds <= LONGEST_TIMEOUT:
        expected = f"seconds over 0 and at most {LONGEST_TIMEOUT:g}"
        raise InvalidHeaderError(name="X-Request-Timeout", expected=expected)
    return seconds


def idempotency_key(request: Request) -> str | None:
    """Return a caller's Idempotency-Key, or None.

    Raises:
        InvalidHeaderError: The key is empty, too long or holds other than visible ASCII.
    """
    text = header(request, b"idempotency-key")
    if text is None:
        return None
    if not _KEY.fullmatch(text):
        expected = f"from 1 to {LONGEST_KEY} visible ASCII characters"
        raise InvalidHeaderError(name="Idempotency-Key", expected=expected)
    return text


def stream_offset(request: Request) -> int:
    """Return the token offset that a caller wants to read a stream from; zero by default.

    Raises:
        InvalidHeaderError: The parameter is not a count.
    """
    values = request.query.get("offset") or ["0"]
    if not _COUNT.fullmatch(values[0]):
        raise InvalidHeaderError(name="offset", expected="a count of output tokens")
    return int(values[0])


async def read_body(request: Request, *, limit: int, timeout: float) -> bytes:
    """Read a whole body.

    Args:
        request: The request.
        limit: Bytes at most.
        timeout: Seconds that the caller may pause.

    Returns:
        The body.

    Raises:
        BodyTooLargeError: The body is over the limit.
        CallerTooSlowError: The caller paused too long.
        CallerLeftError: The caller left.
    """
    declared = header(request, b"content-length")
    if declared is not None and int(declared) > limit:
        raise BodyTooLargeError(limit=limit)
    receive = receiver(request)
    body = bytearray()
    more = True
    while more:
        message = await _receive(receive, timeout)
        if message["type"] == "http.disconnect":
            raise CallerLeftError()
        body += message.get("body", b"")
        more = message.get("more_body", False)
        if len(body) > limit:
            raise BodyTooLargeError(limit=limit)
    return bytes(body)


async def _receive(receive: Receive, timeout: float) -> dict[str, Any]:
    try:
        async with asyncio.timeout(timeout):
            return await receive()
    except TimeoutError as error:
        raise CallerTooSlowError(limit=timeout) from error


async def wait_gone(receive: Receive) -> None:
    """Wait until the connection is closed or its answer has ended."""
    while (await receive())["type"] != "http.disconnect":
        pass
