"""One target of a plain service over HTTP."""

from collections.abc import Set

from azureswitch.client import HOP_BY_HOP, SAFE_METHODS, Headers, HttpClient, HttpExchange
from azureswitch.core import TargetName
from azureswitch.engines._failures import says_not_run
from azureswitch.exceptions import (
    AnswerTooLargeError,
    HttpBrokenError,
    HttpNotSentError,
    TargetBrokenError,
    TargetRefusedError,
)
from azureswitch.ports import PlainAnswer, PlainRequest

CONNECTION_HEADERS = HOP_BY_HOP | {"host"}
"""Headers that are not passed on; the client names the host itself."""

OWN_HEADERS = frozenset(("authorization", "idempotency-key", "x-request-id"))
"""Headers of a request that are for azureswitch or that it sets itself."""


ANSWER_LIMIT = 16_777_216
"""Bytes of an answer that is passed on at most, since it is held whole."""


class HttpPlainTarget:
    """The `azureswitch.ports.PlainTarget` port over HTTP.

    A status is an answer that is passed on, but for 429 and 503 that say they did not run the call.
    """

    def __init__(self, *, target: TargetName, address: str) -> None:
        self._target = target
        self._client = HttpClient(address=address)

    async def send(self, *, request: PlainRequest) -> PlainAnswer:
        """Send a call once and return its whole answer.

        A call with a key gets a new connection, whatever its method: on a kept one the client may
        send a safe method again by itself.
        """
        exchange = self._client.stream(
            method=request.method,
            path="/" + request.path.lstrip("/"),
            headers=_headers(request),
            body=request.body,
            timeout=request.timeout,
            fresh=request.idempotency_key is not None or request.method not in SAFE_METHODS,
        )
        try:
            async with exchange as answer:
                body = await _body(answer)
        except HttpNotSentError as error:
            raise TargetRefusedError(target=self._target) from error
        except HttpBrokenError as error:
            raise TargetBrokenError(target=self._target) from error
        if says_not_run(head=answer.head, body=body):
            raise TargetRefusedError(target=self._target, seconds=answer.head.retry_after)
        return PlainAnswer(
            status=answer.head.status,
            headers=end_to_end(answer.head.headers),
            body=body,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


async def _body(answer: HttpExchange) -> bytes:
    parts = []
    size = 0
    while part := await answer.read():
        parts.append(part)
        size += len(part)
        if size > ANSWER_LIMIT:
            raise AnswerTooLargeError(limit=ANSWER_LIMIT)
    return b"".join(parts)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection.

    A ``Connection`` header may name others that concern its connection alone.
    """
    named = (value.split(",") for name, value in headers if name.lower() == "connection")
    tokens = {token.strip().lower() for tokens in named for token in tokens}
    return _without(headers, CONNECTION_HEADERS | tokens)


def _headers(request: PlainRequest) -> Headers:
    passed = _without(end_to_end(request.headers), OWN_HEADERS)
    headers = (*passed, ("x-request-id", request.call))
    if request.idempotency_key is None:
        return headers
    return (*headers, ("idempotency-key", request.idempotency_key))


def _without(headers: Headers, names: Set[str]) -> Headers:
    return tuple((name, value) for name, value in headers if name.lower() not in names)
