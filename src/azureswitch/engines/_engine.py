"""One engine over HTTP; ``docs/library/engine-interface.md`` describes the wire."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

import msgspec

from azureswitch.client import Headers, HttpClient
from azureswitch.core import CallId, TargetName
from azureswitch.engines._events import EventReader
from azureswitch.engines._failures import engine_failure
from azureswitch.exceptions import (
    HttpBrokenError,
    HttpNotSentError,
    TargetAnswerError,
    TargetBrokenError,
    TargetRefusedError,
)
from azureswitch.ports import (
    CacheEvents,
    Chunk,
    EngineRequest,
    EngineState,
    Holding,
    LoadReport,
    Order,
)

Body = TypeVar("Body")

DEFAULT_TIMEOUT = 2.0
"""Seconds that a call may take that does no engine work."""

FETCH_TIMEOUT = 60.0
"""Seconds that importing KV from another engine may take."""

ATTACH_TIMEOUT = 3_600.0
"""Seconds that an attached stream may take; the engine ends it earlier by itself."""

JSON_HEADERS: Headers = (("content-type", "application/json"),)


class _Empty(msgspec.Struct, frozen=True):
    """An answer that says nothing."""


class _HoldingBody(msgspec.Struct, frozen=True, kw_only=True):
    """A holding to reserve or export."""

    holding: Holding


class _PrefillBody(msgspec.Struct, frozen=True, kw_only=True):
    """A span of a prompt to prefill."""

    holding: Holding
    request: EngineRequest
    start: int


class _FetchBody(msgspec.Struct, frozen=True, kw_only=True):
    """KV to import."""

    holding: Holding
    source: str


class _ReleaseBody(msgspec.Struct, frozen=True, kw_only=True):
    """A holding to free, by its id."""

    holding: str


class _OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """An order to carry out."""

    order: Order


class _PriorityBody(msgspec.Struct, frozen=True, kw_only=True):
    """A priority to set."""

    priority: int


class _Address(msgspec.Struct, frozen=True):
    """Where exported KV can be read."""

    address: str


class _Holdings(msgspec.Struct, frozen=True):
    """All holdings of an engine."""

    holdings: tuple[Holding, ...]


class HttpEngine:
    """The `azureswitch.ports.Engine` port over HTTP."""

    def __init__(
        self, *, target: TargetName, address: str, timeout: float = DEFAULT_TIMEOUT
    ) -> None:
        self._target = target
        self._client = HttpClient(address=address)
        self._timeout = timeout

    def stream(self, *, request: EngineRequest) -> AsyncIterator[Chunk]:
        """Run a request and yield its output as server-sent events."""
        return self._chunks(
            method="POST",
            path=request.surface.value,
            headers=_stream_headers(request),
            body=request.body,
            timeout=request.timeout,
            reader=self._reader(call=request.call, offset=request.resume_from),
        )

    def attach(self, *, call: CallId, attempt: int, offset: int) -> AsyncIterator[Chunk]:
        """Yield the output of a request that runs already, from a token offset on.

        The stream ends by itself: the engine knows the time that the attempt has left.
        """
        return self._chunks(
            method="GET",
            path=f"{_attempt_path(call, attempt)}/stream?offset={offset}",
            headers=(),
            body=b"",
            timeout=ATTACH_TIMEOUT,
            reader=self._reader(call=call, offset=offset),
        )

    async def cancel(self, *, call: CallId, attempt: int) -> None:
        """Stop an attempt and free its memory; harmless when it is not there."""
        await self._post(path=f"{_attempt_path(call, attempt)}/cancel", body=_Empty(), kind=_Empty)

    async def prioritize(self, *, call: CallId, attempt: int, priority: int) -> None:
        """Change the priority of an attempt; harmless when it is not there."""
        await self._post(
            path=f"{_attempt_path(call, attempt)}/priority",
            body=_PriorityBody(priority=priority),
            kind=_Empty,
        )

    async def load(self) -> LoadReport:
        """Return the load report."""
        return await self._call(method="GET", path="/engine/load", kind=LoadReport)

    async def cache(self, *, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        return await self._call(method="GET", path=f"/engine/cache?after={after}", kind=CacheEvents)

    async def reserve(self, *, holding: Holding) -> None:
        """Hold memory all or nothing; repeating the same holding changes nothing."""
        await self._post(path="/engine/kv/reserve", body=_HoldingBody(holding=holding), kind=_Empty)

    async def prefill(self, *, holding: Holding, request: EngineRequest, start: int) -> None:
        """Prefill the span of a prompt that starts at a token into reserved memory."""
        await self._post(
            path="/engine/kv/prefill",
            body=_PrefillBody(holding=holding, request=request, start=start),
            kind=_Empty,
            timeout=request.timeout,
        )

    async def export(self, *, holding: Holding) -> str:
        """Make the KV of a holding readable for other engines and return its address."""
        found = await self._post(
            path="/engine/kv/export", body=_HoldingBody(holding=holding), kind=_Address
        )
        return found.address

    async def fetch(self, *, holding: Holding, source: str) -> None:
        """Import exported KV from an address into reserved memory."""
        await self._post(
            path="/engine/kv/fetch",
            body=_FetchBody(holding=holding, source=source),
            kind=_Empty,
            timeout=FETCH_TIMEOUT,
        )

    async def release(self, *, holding: str) -> None:
        """Free a holding; harmless when it is not there."""
        await self._post(path="/engine/kv/release", body=_ReleaseBody(holding=holding), kind=_Empty)

    async def holdings(self) -> tuple[Holding, ...]:
        """Return all holdings, those of running requests excluded."""
        found = await self._call(method="GET", path="/engine/kv", kind=_Holdings)
        return found.holdings

    async def order(self, *, order: Order) -> EngineState:
        """Carry out an order."""
        return await self._post(
            path="/engine/orders", body=_OrderBody(order=order), kind=EngineState
        )

    async def state(self) -> EngineState:
        """Read back what the engine holds."""
        return await self._call(method="GET", path="/engine/state", kind=EngineState)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _reader(self, *, call: CallId, offset: int) -> EventReader:
        return EventReader(target=self._target, call=call, offset=offset)

    async def _chunks(
        self,
        *,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout: float,
        reader: EventReader,
    ) -> AsyncIterator[Chunk]:
        exchange = self._client.stream(
            method=method, path=path, headers=headers, body=body, timeout=timeout
        )
        try:
            async with exchange as answer:
                if answer.head.status != HTTPStatus.OK:
                    raise engine_failure(
                        target=self._target, head=answer.head, body=await answer.body()
                    )
                while data := await answer.read():
                    chunk = reader.feed(data=data)
                    if chunk is not None:
                        yield chunk
        except HttpNotSentError as error:
            raise TargetRefusedError(target=self._target) from error
        except HttpBrokenError as error:
            raise TargetBrokenError(target=self._target, tokens=reader.tokens) from error
        if not reader.ended:
            raise TargetBrokenError(target=self._target, tokens=reader.tokens)

    async def _post(
        self, *, path: str, body: object, kind: type[Body], timeout: float | None = None
    ) -> Body:
        return await self._call(
            method="POST",
            path=path,
            kind=kind,
            body=msgspec.json.encode(body),
            timeout=timeout,
        )

    async def _call(
        self,
        *,
        method: str,
        path: str,
        kind: type[Body],
        body: bytes = b"",
        timeout: float | None = None,
    ) -> Body:
        try:
            answer = await self._client.request(
                method=method,
                path=path,
                headers=JSON_HEADERS,
                body=body,
                timeout=self._timeout if timeout is None else timeout,
            )
        except HttpNotSentError as error:
            raise TargetRefusedError(target=self._target) from error
        except HttpBrokenError as error:
            raise TargetBrokenError(target=self._target) from error
        if answer.head.status != HTTPStatus.OK:
            raise engine_failure(target=self._target, head=answer.head, body=answer.body)
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except ValueError as error:
            raise TargetAnswerError(target=self._target) from error


def _stream_headers(request: EngineRequest) -> Headers:
    return (
        *JSON_HEADERS,
        ("x-request-id", request.call),
        ("x-attempt", str(request.attempt)),
        ("x-owner", str(request.owner)),
        ("x-priority", str(request.priority)),
        ("x-cache-scope", request.cache_scope),
        ("x-timeout", f"{request.timeout:.3f}"),
        ("x-resume-from", str(request.resume_from)),
        ("x-stream", "sse"),
    )


def _attempt_path(call: CallId, attempt: int) -> str:
    return f"/engine/requests/{quote(call, safe='')}/{attempt}"
