"""The object store over HTTP and JSON."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from azureswitch.client import Headers, HttpAnswer, HttpClient, HttpExchange
from azureswitch.exceptions import (
    HttpBrokenError,
    HttpNotSentError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    StoreValueTooLargeError,
    StoreVersionGoneError,
)
from azureswitch.platform._wire import (
    API_ROOT,
    CHANGE_KINDS,
    WireChange,
    WireDelete,
    WireList,
    WireMetadata,
    WireObject,
    WirePreconditions,
    WireStatus,
    from_wire,
)
from azureswitch.ports import Listing, StoreChange, StoredObject

Body = TypeVar("Body")

DEFAULT_TIMEOUT = 2.0
"""Seconds that a call may take."""

VALUE_LIMIT = 1_000_000
"""Bytes that a value may have."""

WATCH_GRACE = 2.0
"""Seconds that the end of a watch may be late."""

JSON_HEADERS: Headers = (("content-type", "application/json"),)


class HttpStore:
    """The `azureswitch.ports.Store` port over HTTP."""

    def __init__(self, *, address: str, timeout: float = DEFAULT_TIMEOUT) -> None:
        self._client = HttpClient(address=address)
        self._timeout = timeout

    async def get(self, *, kind: str, name: str) -> StoredObject:
        """Return an object."""
        key = f"{kind}/{name}"
        answer = await self._call(method="GET", path=_path(kind, name), key=key)
        return _object(kind=kind, key=key, answer=answer, lost=StoreUnavailableError)

    async def list(self, *, kind: str) -> Listing:
        """Return all objects of a kind."""
        answer = await self._call(method="GET", path=_path(kind), key=kind)
        try:
            found = msgspec.json.decode(answer.body, type=WireList)
            items = tuple(from_wire(kind=kind, item=item) for item in found.items)
            return Listing(items=items, version=int(found.metadata.resource_version))
        except ValueError as error:
            raise StoreUnavailableError(key=kind) from error

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object."""
        return await self._write(
            method="POST", path=_path(kind), kind=kind, name=name, value=value, version=""
        )

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object whose version is still ``version``."""
        return await self._write(
            method="PUT",
            path=_path(kind, name),
            kind=kind,
            name=name,
            value=value,
            version=str(version),
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``."""
        body = WireDelete(preconditions=WirePreconditions(resource_version=str(version)))
        await self._call(
            method="DELETE",
            path=_path(kind, name),
            key=f"{kind}/{name}",
            body=msgspec.json.encode(body),
        )

    async def watch(self, *, kind: str, version: int, timeout: float) -> AsyncIterator[StoreChange]:
        """Yield the changes to a kind after ``version`` for at most ``timeout`` seconds."""
        query = {
            "watch": "1",
            "allowWatchBookmarks": "true",
            "resourceVersion": version,
            "timeoutSeconds": f"{timeout:g}",
        }
        path = f"{_path(kind)}?{urlencode(query)}"
        try:
            exchange = self._client.stream(
                method="GET", path=path, timeout=timeout + self._timeout + WATCH_GRACE
            )
            async with exchange as answer:
                async for line in _lines(answer, key=kind):
                    yield _change(kind=kind, line=line)
        except (HttpNotSentError, HttpBrokenError) as error:
            raise StoreUnavailableError(key=kind) from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _write(
        self, *, method: str, path: str, kind: str, name: str, value: bytes, version: str
    ) -> StoredObject:
        key = f"{kind}/{name}"
        if len(value) > VALUE_LIMIT:
            raise StoreValueTooLargeError(key=key, limit=VALUE_LIMIT)
        metadata = WireMetadata(name=name, resource_version=version)
        body = msgspec.json.encode(WireObject(kind=kind, metadata=metadata, value=value))
        answer = await self._call(method=method, path=path, key=key, body=body)
        return _object(kind=kind, key=key, answer=answer, lost=StoreOutcomeUnknownError)

    async def _call(self, *, method: str, path: str, key: str, body: bytes = b"") -> HttpAnswer:
        lost = StoreUnavailableError if method == "GET" else StoreOutcomeUnknownError
        try:
            answer = await self._client.request(
                method=method, path=path, headers=JSON_HEADERS, body=body, timeout=self._timeout
            )
        except HttpNotSentError as error:
            raise StoreUnavailableError(key=key) from error
        except HttpBrokenError as error:
            raise lost(key=key) from error
        if answer.head.status < HTTPStatus.BAD_REQUEST:
            return answer
        raise _failure(
            status=answer.head.status, key=key, seconds=answer.head.retry_after, lost=lost
        )


def _path(kind: str, name: str | None = None) -> str:
    collection = f"{API_ROOT}/{quote(kind, safe='')}"
    return collection if name is None else f"{collection}/{quote(name, safe='')}"


def _object(*, kind: str, key: str, answer: HttpAnswer, lost: type[StoreError]) -> StoredObject:
    try:
        return from_wire(kind=kind, item=msgspec.json.decode(answer.body, type=WireObject))
    except ValueError as error:
        raise lost(key=key) from error


def _failure(*, status: int, key: str, seconds: float | None, lost: type[StoreError]) -> StoreError:
    """Return the failure of a status; what is not known to have done nothing is ``lost``."""
    match status:
        case HTTPStatus.NOT_FOUND:
            return StoreNotFoundError(key=key)
        case HTTPStatus.CONFLICT:
            return StoreConflictError(key=key)
        case HTTPStatus.GONE:
            return StoreVersionGoneError(key=key)
        case HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return StoreValueTooLargeError(key=key, limit=VALUE_LIMIT)
        case HTTPStatus.TOO_MANY_REQUESTS:
            return StoreUnavailableError(key=key, seconds=seconds)
        case _ if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return StoreUnavailableError(key=key)
        case _:
            return lost(key=key)


async def _lines(answer: HttpExchange, *, key: str) -> AsyncIterator[bytes]:
    if answer.head.status != HTTPStatus.OK:
        raise _failure(
            status=answer.head.status,
            key=key,
            seconds=answer.head.retry_after,
            lost=StoreUnavailableError,
        )
    rest = b""
    while data := await answer.read():
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            yield line


def _change(*, kind: str, line: bytes) -> StoreChange:
    try:
        change = msgspec.json.decode(line, type=WireChange)
        if change.type == "ERROR":
            status = msgspec.json.decode(change.object, type=WireStatus)
            raise _failure(status=status.code, key=kind, seconds=None, lost=StoreUnavailableError)
        item = msgspec.json.decode(change.object, type=WireObject)
        return StoreChange(kind=CHANGE_KINDS[change.type], item=from_wire(kind=kind, item=item))
    except ValueError as error:
        raise StoreUnavailableError(key=kind) from error
