"""One target of a plain service over HTTP."""

from azureswitch.client import SAFE_METHODS, Headers, HttpClient
from azureswitch.core import TargetName
from azureswitch.engines._failures import says_not_run
from azureswitch.exceptions import (
    HttpBrokenError,
    HttpNotSentError,
    TargetBrokenError,
    TargetRefusedError,
)
from azureswitch.ports import PlainAnswer, PlainRequest

CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that belong to one connection and are not passed on."""

OWN_HEADERS = frozenset(("authorization", "expect", "idempotency-key", "x-request-id"))
"""Headers of a request that are for azureswitch or that it sets itself."""


class HttpPlainTarget:
    """The `azureswitch.ports.PlainTarget` port over HTTP.

    A status is an answer that is passed on, but for 429 and 503 that say they did not run the call.
    """

    def __init__(self, *, target: TargetName, address: str) -> None:
        self._target = target
        self._client = HttpClient(address=address)

    async def send(self, *, request: PlainRequest) -> PlainAnswer:
        """Send a call once and return its whole answer.

        A call that may not repeat gets a connection of its own.
        """
        try:
            answer = await self._client.request(
                method=request.method,
                path="/" + request.path.lstrip("/"),
                headers=_headers(request),
                body=request.body,
                timeout=request.timeout,
                fresh=request.method not in SAFE_METHODS,
            )
        except HttpNotSentError as error:
            raise TargetRefusedError(target=self._target) from error
        except HttpBrokenError as error:
            raise TargetBrokenError(target=self._target) from error
        if says_not_run(head=answer.head, body=answer.body):
            raise TargetRefusedError(target=self._target, seconds=answer.head.retry_after)
        return PlainAnswer(
            status=answer.head.status,
            headers=_without(answer.head.headers, CONNECTION_HEADERS),
            body=answer.body,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def _headers(request: PlainRequest) -> Headers:
    passed = _without(request.headers, CONNECTION_HEADERS | OWN_HEADERS)
    headers = (*passed, ("x-request-id", request.call))
    if request.idempotency_key is None:
        return headers
    return (*headers, ("idempotency-key", request.idempotency_key))


def _without(headers: Headers, names: frozenset[str]) -> Headers:
    return tuple((name, value) for name, value in headers if name.lower() not in names)
