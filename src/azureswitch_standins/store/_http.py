"""The store over HTTP and JSON, in the conventions of the Kubernetes API."""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable
from contextlib import aclosing
from http import HTTPStatus
from typing import cast

import msgspec
from blacksheep import Application, Content, Request, Response, StreamedContent
from blacksheep.contents import ASGIContent

from azureswitch.exceptions import (
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    StoreValueTooLargeError,
    StoreVersionGoneError,
)
from azureswitch.platform import (
    API_ROOT,
    WatchType,
    WireChange,
    WireDelete,
    WireList,
    WireMetadata,
    WireObject,
    WireStatus,
    to_wire,
)
from azureswitch.ports import ChangeKind, StoreChange
from azureswitch_standins._web import WebServer, application, route_value
from azureswitch_standins.store._fake import StoreFake, StoreFaults
from azureswitch_standins.store._model import StoreCounters, StoreModel

DEFAULT_WATCH = 60.0
"""Seconds that a watch waits where the caller names no time."""

WATCH_TYPES: dict[ChangeKind, WatchType] = {
    ChangeKind.PUT: "MODIFIED",
    ChangeKind.DELETED: "DELETED",
    ChangeKind.BOOKMARK: "BOOKMARK",
}

STATUSES: dict[type[StoreError], tuple[HTTPStatus, str]] = {
    StoreNotFoundError: (HTTPStatus.NOT_FOUND, "NotFound"),
    StoreConflictError: (HTTPStatus.CONFLICT, "Conflict"),
    StoreVersionGoneError: (HTTPStatus.GONE, "Expired"),
    StoreValueTooLargeError: (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "RequestEntityTooLarge"),
    StoreUnavailableError: (HTTPStatus.TOO_MANY_REQUESTS, "TooManyRequests"),
}


class StoreStandin:
    """The store as an HTTP server.

    A store that is down refuses connections and breaks those that it has; a lost answer breaks its
    connection.
    """

    def __init__(
        self, *, model: StoreModel | None = None, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self._fake = StoreFake(model=model)
        self._server = WebServer(app=self._routes(), host=host, port=port)

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    @property
    def store(self) -> StoreFake:
        """The store behind, for calls without HTTP."""
        return self._fake

    @property
    def counters(self) -> StoreCounters:
        """What has been counted since the start."""
        return self._fake.counters

    @property
    def faults(self) -> StoreFaults:
        """What goes wrong now."""
        return self._fake.faults

    async def start(self) -> None:
        """Listen and serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop, breaking what still runs."""
        self._fake.drop_watches()
        await self._server.stop()

    async def set_faults(self, *, faults: StoreFaults) -> None:
        """Change what goes wrong."""
        was_down = self._fake.faults.down
        self._fake.faults = faults
        if faults.down and not was_down:
            self._server.pause()
        if was_down and not faults.down:
            await self._server.resume()

    def drop_watches(self) -> None:
        """Break every waiting watch."""
        self._fake.drop_watches()

    def _routes(self) -> Application:
        collection = f"{API_ROOT}/:kind"
        return application(
            routes={
                ("GET", collection): self._collection,
                ("POST", collection): self._create,
                ("GET", f"{collection}/:name"): self._get,
                ("PUT", f"{collection}/:name"): self._update,
                ("DELETE", f"{collection}/:name"): self._delete,
                ("GET", "/standin/counters"): self._counters,
                ("POST", "/standin/faults"): self._set_faults,
            }
        )

    async def _get(self, request: Request) -> Response:
        kind, name = _names(request)
        return await self._answer(request, self._get_object(kind, name))

    async def _collection(self, request: Request) -> Response:
        kind = route_value(request=request, name="kind")
        if _query(request, "watch"):
            return self._watch(request, kind)
        return await self._answer(request, self._list_objects(kind))

    async def _create(self, request: Request) -> Response:
        kind = route_value(request=request, name="kind")
        body = await request.read() or b""
        return await self._answer(request, self._create_object(kind, body))

    async def _update(self, request: Request) -> Response:
        kind, name = _names(request)
        body = await request.read() or b""
        return await self._answer(request, self._update_object(kind, name, body))

    async def _delete(self, request: Request) -> Response:
        kind, name = _names(request)
        body = await request.read() or b""
        return await self._answer(request, self._delete_object(kind, name, body))

    async def _get_object(self, kind: str, name: str) -> WireObject:
        return to_wire(item=await self._fake.get(kind=kind, name=name))

    async def _list_objects(self, kind: str) -> WireList:
        listing = await self._fake.list(kind=kind)
        return WireList(
            metadata=WireMetadata(resource_version=str(listing.version)),
            items=tuple(to_wire(item=item) for item in listing.items),
        )

    async def _create_object(self, kind: str, body: bytes) -> WireObject:
        item = msgspec.json.decode(body, type=WireObject)
        made = await self._fake.create(kind=kind, name=item.metadata.name, value=item.value)
        return to_wire(item=made)

    async def _update_object(self, kind: str, name: str, body: bytes) -> WireObject:
        item = msgspec.json.decode(body, type=WireObject)
        version = int(item.metadata.resource_version)
        made = await self._fake.update(kind=kind, name=name, value=item.value, version=version)
        return to_wire(item=made)

    async def _delete_object(self, kind: str, name: str, body: bytes) -> WireStatus:
        order = msgspec.json.decode(body, type=WireDelete)
        version = int(order.preconditions.resource_version)
        await self._fake.delete(kind=kind, name=name, version=version)
        return WireStatus(code=HTTPStatus.OK, reason="", status="Success")

    def _watch(self, request: Request, kind: str) -> Response:
        version = int(_query(request, "resourceVersion") or "0")
        timeout = float(_query(request, "timeoutSeconds") or DEFAULT_WATCH)
        watch = self._fake.watch(kind=kind, version=version, timeout=timeout)

        async def lines() -> AsyncIterator[bytes]:
            waiting = asyncio.timeout(None)
            gone = asyncio.create_task(_end_when_gone(request, waiting))
            try:
                async with waiting, aclosing(watch):
                    async for change in watch:
                        yield _line(change)
            except StoreError as error:
                yield _error_line(error)
            except TimeoutError:
                # Nobody reads any more, so that the watch no longer counts as waiting.
                return
            finally:
                gone.cancel()

        return Response(200, content=StreamedContent(b"application/json", lines))

    async def _counters(self, request: Request) -> Response:
        return _json(HTTPStatus.OK, self.counters)

    async def _set_faults(self, request: Request) -> Response:
        body = await request.read() or b"{}"
        await self.set_faults(faults=msgspec.json.decode(body, type=StoreFaults))
        return _json(HTTPStatus.OK, self.faults)

    async def _answer(self, request: Request, call: Awaitable[object]) -> Response:
        try:
            return _json(HTTPStatus.OK, await call)
        except StoreOutcomeUnknownError:
            self._server.abort(request=request)
            return _json(HTTPStatus.GATEWAY_TIMEOUT, _status(HTTPStatus.GATEWAY_TIMEOUT, "Timeout"))
        except StoreError as error:
            status, reason = STATUSES[type(error)]
            return _json(status, _status(status, reason), seconds=error.retry_after)
        except ValueError:
            return _json(HTTPStatus.BAD_REQUEST, _status(HTTPStatus.BAD_REQUEST, "BadRequest"))


async def _end_when_gone(request: Request, waiting: asyncio.Timeout) -> None:
    receive = cast(ASGIContent, request.content).receive
    while (await receive())["type"] != "http.disconnect":
        pass
    waiting.reschedule(asyncio.get_running_loop().time())


def _names(request: Request) -> tuple[str, str]:
    return route_value(request=request, name="kind"), route_value(request=request, name="name")


def _query(request: Request, name: str) -> str:
    return (request.query.get(name) or [""])[0]


def _status(status: HTTPStatus, reason: str) -> WireStatus:
    return WireStatus(code=status, reason=reason, message=status.phrase)


def _json(status: HTTPStatus, body: object, *, seconds: float | None = None) -> Response:
    headers = []
    if seconds is not None:
        # The conventions know whole seconds alone.
        headers.append((b"retry-after", str(math.ceil(seconds)).encode()))
    return Response(status, headers, Content(b"application/json", msgspec.json.encode(body)))


def _line(change: StoreChange) -> bytes:
    item = msgspec.json.encode(to_wire(item=change.item))
    wire = WireChange(type=WATCH_TYPES[change.kind], object=msgspec.Raw(item))
    return msgspec.json.encode(wire) + b"\n"


def _error_line(error: StoreError) -> bytes:
    status, reason = STATUSES[type(error)]
    item = msgspec.json.encode(_status(status, reason))
    return msgspec.json.encode(WireChange(type="ERROR", object=msgspec.Raw(item))) + b"\n"
