"""Reads the common parts of requests: headers, body and the state of the connection."""

import asyncio
from collections.abc import Awaitable, Callable
from math import isfinite
from re import compile
from typing import Any, cast

from blacksheep import Request

from azureswitch.entry._writer import ResponseWriter
from azureswitch.exceptions import (
    BodyTooLargeError,
    CallerLeftError,
    CallerTooSlowError,
    InvalidHeaderError,
)

MAX_TIMEOUT_SECONDS = 86_400.0
"""Upper bound of the timeout that a request may state, in seconds."""

MAX_KEY_CHARACTERS = 255
"""Upper bound of the characters of an Idempotency-Key."""

_KEY = compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARACTERS}}}")
_NUMBER = compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_COUNT = compile(r"[0-9]{1,12}")

Receive = Callable[[], Awaitable[dict[str, Any]]]


def receiver(request: Request) -> Receive:
    """Return the ASGI callable that receives messages of the connection."""
    content = request.content
    assert content is not None
    return cast(Receive, cast(Any, content).receive)


def aborter(request: Request) -> Callable[[], None] | None:
    """Return the callable that aborts the connection, or None."""
    scope = cast(dict[str, Any], request.scope)
    abort: Callable[[], None] | None = scope.get("state", {}).get("abort")
    return abort


def response_writer(request: Request) -> ResponseWriter:
    """Return the writer by which a handler can send its answer directly."""
    scope = cast(dict[str, Any], request.scope)
    return cast(ResponseWriter, scope["state"]["writer"])


def header(request: Request, name: bytes) -> str | None:
    """Return the first header of a name, or None."""
    value = request.get_first_header(name)
    return None if value is None else value.decode("latin-1").strip()


def request_timeout(request: Request) -> float | None:
    """Return the timeout that a caller states in seconds, or None.

    Raises:
        InvalidHeaderError: The header is not a number of seconds in range.
    """
    text = header(request, b"x-request-timeout")
    if text is None:
        return None
    seconds = float(text) if _NUMBER.fullmatch(text) else 0.0
    if not isfinite(seconds) or not 0.0 < seconds <= MAX_TIMEOUT_SECONDS:
        expected = f"seconds over 0 and at most {MAX_TIMEOUT_SECONDS:g}"
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
        expected = f"from 1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
        raise InvalidHeaderError(name="Idempotency-Key", expected=expected)
    return text


def stream_offset(request: Request) -> int:
    """Return the token offset from which a caller reads a stream; zero by default.

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
        limit: Upper bound of its bytes.
        timeout: Seconds for which the caller may pause.

    Returns:
        The body.

    Raises:
        BodyTooLargeError: The body exceeds the limit.
        CallerTooSlowError: The caller paused for too long.
        CallerLeftError: The caller disconnected.
    """
    declared = header(request, b"content-length")
    if declared is not None and int(declared) > limit:
        raise BodyTooLargeError(limit=limit)
    receive = receiver(request)
    body = bytearray()
    more = True
    while more:
        more = await _receive_part(receive, body, timeout=timeout)
        if len(body) > limit:
            raise BodyTooLargeError(limit=limit)
    return bytes(body)


async def _receive_part(receive: Receive, body: bytearray, *, timeout: float) -> bool:
    """Add the next part to a body, and return whether more follows.

    No part is kept beside the body while the next one is awaited.
    """
    try:
        async with asyncio.timeout(timeout):
            message = await receive()
    except TimeoutError as error:
        raise CallerTooSlowError(limit=timeout) from error
    if message["type"] == "http.disconnect":
        raise CallerLeftError()
    body += message.get("body", b"")
    return bool(message.get("more_body", False))


async def wait_disconnected(receive: Receive) -> None:
    """Wait until the connection is closed or its answer has ended."""
    while (await receive())["type"] != "http.disconnect":
        pass
