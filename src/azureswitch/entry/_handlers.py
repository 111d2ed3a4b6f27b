"""Handlers of routes, which assign request ids and return typed errors."""

from collections.abc import Awaitable, Callable
from uuid import uuid4

from absl import logging
from blacksheep import Request, Response

from azureswitch.core import CallId
from azureswitch.entry._errors import error_response
from azureswitch.exceptions import AzureswitchError

Handler = Callable[[Request], Awaitable[Response]]
Answerer = Callable[[Request, CallId], Awaitable[Response]]


def new_call_id(prefix: str) -> CallId:
    """Return a random request id, which cannot be guessed."""
    return CallId(f"{prefix}-{uuid4().hex}")


def typed(prefix: str, answer: Answerer) -> Handler:
    """Return a handler that turns exceptions into typed error responses.

    Args:
        prefix: The prefix of the request's id.
        answer: Answers a request with an id.
    """

    async def handle(request: Request) -> Response:
        call = new_call_id(prefix)
        try:
            return await answer(request, call)
        except AzureswitchError as error:
            response = error_response(error, call=call)
        except Exception:
            logging.exception("entry: Request %s failed.", call)
            response = error_response(AzureswitchError(), call=call)
        # The rest of the body is not read.
        response.add_header(b"connection", b"close")
        return response

    return handle


def untyped(answer: Handler) -> Handler:
    """Return a function that wraps a bound method, on which the router cannot set attributes."""

    async def handle(request: Request) -> Response:
        return await answer(request)

    return handle
