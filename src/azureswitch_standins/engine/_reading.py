"""Decoding of requests to the stand-in engine."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar
from urllib.parse import unquote

from blacksheep import Request
from blacksheep.contents import ASGIContent
from msgspec import MsgspecError
from msgspec.json import decode

from azureswitch.client import HttpClient
from azureswitch.core import CallId
from azureswitch.exceptions import AzureswitchError
from azureswitch.ports import Surface
from azureswitch_standins._web import route_value
from azureswitch_standins.engine._errors import HoldingError, MalformedError, RequestMissingError
from azureswitch_standins.engine._kv import Span
from azureswitch_standins.engine._prompt import BodyError, Question, read_question
from azureswitch_standins.engine._work import Key

FETCH_TIMEOUT = 5.0
"""Timeout in seconds of reading an export's address."""

Body = TypeVar("Body")


def header(request: Request, name: str) -> str:
    """Return a header, or an empty string."""
    value = request.get_first_header(name.encode())
    return "" if value is None else value.decode("latin-1")


def query_number(request: Request, name: str) -> int:
    """Return a number of the query; zero where it is missing.

    Raises:
        MalformedError: It is no number.
    """
    values = request.query.get(name) or ["0"]
    try:
        return int(values[0])
    except ValueError as error:
        raise MalformedError(detail=f"{name} is no number") from error


def attempt_key(request: Request) -> Key:
    """Return the call and attempt that a path names.

    Raises:
        RequestMissingError: It names none.
    """
    try:
        call = unquote(route_value(request=request, name="call"))
        return CallId(call), int(route_value(request=request, name="attempt"))
    except ValueError as error:
        raise RequestMissingError() from error


async def read_request(request: Request, surface: Surface) -> Question:
    """Read a completion request.

    Raises:
        MalformedError: It is not what the interface asks for.
    """
    return read_body(surface, await request.read() or b"", header(request, "x-cache-scope"))


def read_body(surface: Surface, body: bytes, cache_scope: str) -> Question:
    """Read a completion body.

    Raises:
        MalformedError: It is not what the interface asks for.
    """
    try:
        return read_question(surface=surface, body=body, cache_scope=cache_scope)
    except BodyError as error:
        raise MalformedError(detail=str(error)) from error


async def read_json(request: Request, type_: type[Body]) -> Body:
    """Read a JSON body.

    Raises:
        MalformedError: It is not of the type.
    """
    try:
        return decode(await request.read() or b"", type=type_)
    except MsgspecError as error:
        raise MalformedError(detail=str(error)) from error


async def exported_span(source: str) -> Span:
    """Return the span at an export's address.

    Raises:
        HoldingError: It cannot be read.
    """
    address, _, path = source.partition("/")
    try:
        client = HttpClient(address=address)
        answer = await client.request(method="GET", path=f"/{path}", timeout=FETCH_TIMEOUT)
        client.close()
        return decode(answer.body, type=Span)
    except (AzureswitchError, MsgspecError, ValueError) as error:
        raise HoldingError(detail="the export cannot be read") from error


async def wait_disconnected(request: Request) -> None:
    """Wait until the caller has disconnected."""
    if not isinstance(request.content, ASGIContent):
        return
    message = await request.content.receive()
    while message.get("type") != "http.disconnect":
        # If the handler has not read the body, its messages come first.
        message = await request.content.receive()


async def wait_first(waiting: Awaitable[object], other: asyncio.Future[None]) -> None:
    """Wait until one of two has ended."""
    task = asyncio.ensure_future(waiting)
    await asyncio.wait((task, other), return_when=asyncio.FIRST_COMPLETED)
    task.cancel()
