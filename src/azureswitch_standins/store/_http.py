"""The store over HTTP and JSON, in the form that the platform publishes."""

import asyncio
import math
from collections.abc import Awaitable
from contextlib import aclosing
from http import HTTPStatus
from typing import cast

import msgspec
from blacksheep import Application, Content, Request, Response
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
    OBJECTS_PATH,
    WireChange,
    WireChanges,
    WireListing,
    WireObject,
    from_wire,
    to_wire,
)
from azureswitch.ports import ChangeKind, StoreChange, StoredObject
from azureswitch_standins._web import WebServer, application, route_value
from azureswitch_standins.store._fake import StoreFake, StoreFaults
from azureswitch_standins.store._model import StoreCopy, StoreCounters, StoreModel

DEFAULT_WATCH = 60.0
"""Seconds that a watch waits where the caller names no time."""

PAGE = 500
"""Objects on a page of a listing, as the platform's store gives."""

REVISION = b"REVISION"
"""Stands in a planted entry for its version."""

STATUSES: dict[type[StoreError], HTTPStatus] = {
    StoreNotFoundError: HTTPStatus.NOT_FOUND,
    StoreConflictError: HTTPStatus.CONFLICT,
    StoreVersionGoneError: HTTPStatus.GONE,
    StoreValueTooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    StoreUnavailableError: HTTPStatus.TOO_MANY_REQUESTS,
}


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a failure."""

    error: str = msgspec.field(name="Error")


class StoreStandin:
    """The store as an HTTP server.

    A store that is down refuses connections and breaks those that it has; a lost answer breaks its
    connection.

    Args:
        model: The objects; none at first where left out.
        host: IP address to listen on.
        port: Port to listen on, or zero for any.
        page: Objects on a page of a listing.

    Attributes:
        era: What it tells as its era, or None for the truth.
    """

    def __init__(
        self,
        *,
        model: StoreModel | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        page: int = PAGE,
    ) -> None:
        self._fake = StoreFake(model=model)
        self._page = page
        self.era: str | None = None
        self._planted: dict[tuple[str, str], tuple[int, bytes]] = {}
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

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy, with all watches broken."""
        self._fake.model.restore(copy)
        self._fake.drop_watches()

    def drop_watches(self) -> None:
        """Break every waiting watch."""
        self._fake.drop_watches()

    def plant(self, *, kind: str, name: str, entry: bytes) -> None:
        """Write an object as another program might have left it.

        Args:
            kind: The kind.
            name: The name under which the store itself knows it.
            entry: The bytes that stand for the whole object in listings and watches, whatever they
                are; `REVISION` in them becomes its version.
        """
        model = self._fake.model
        try:
            version = model.get(kind=kind, name=name).version
        except StoreNotFoundError:
            item = model.create(kind=kind, name=name, value=b"")
        else:
            item = model.update(kind=kind, name=name, value=b"", version=version)
        self._planted[kind, name] = (item.version, entry)

    def _routes(self) -> Application:
        collection = f"{OBJECTS_PATH}/:kind"
        return application(
            routes={
                ("GET", collection): self._collection,
                ("POST", collection): self._create,
                ("GET", f"{collection}/:name"): self._get,
                ("PUT", f"{collection}/:name"): self._update,
                ("DELETE", f"{collection}/:name"): self._delete,
                ("GET", "/standin/counters"): self._counters,
                ("POST", "/standin/faults"): self._set_faults,
                ("POST", "/standin/entries/:kind/:name"): self._plant_entry,
            }
        )

    async def _get(self, request: Request) -> Response:
        kind, name = _names(request)
        return await self._answer(request, self._get_object(kind, name))

    async def _collection(self, request: Request) -> Response:
        kind = route_value(request=request, name="kind")
        if _query(request, "Watch"):
            return await self._answer(request, self._watch(request, kind))
        after = _query(request, "AfterRev")
        return await self._answer(request, self._list_objects(kind, after=after))

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
        version = int(_query(request, "Revision") or "0")
        return await self._answer(request, self._delete_object(kind, name, version))

    async def _get_object(self, kind: str, name: str) -> WireObject:
        return self._wire(await self._fake.get(kind=kind, name=name))

    async def _list_objects(self, kind: str, *, after: str) -> WireListing:
        listing = await self._fake.list(kind=kind)
        left = [item for item in listing.items if item.name > after]
        items = tuple(self._wire(item) for item in left[: self._page])
        return WireListing(items=items, more=len(left) > self._page, version=listing.version)

    def _wire(self, item: StoredObject) -> WireObject:
        """Return the JSON shape of an object, or what was planted in its place."""
        version, entry = self._planted.get((item.kind, item.name), (0, b""))
        if version != item.version:
            return to_wire(item=item)
        raw = msgspec.Raw(entry.replace(REVISION, str(version).encode()))
        # Raw bytes are encoded as they are, wherever they stand.
        return cast(WireObject, raw)

    async def _create_object(self, kind: str, body: bytes) -> WireObject:
        item = from_wire(kind=kind, item=msgspec.json.decode(body, type=WireObject))
        made = await self._fake.create(kind=kind, name=item.name, value=item.value)
        return to_wire(item=made)

    async def _update_object(self, kind: str, name: str, body: bytes) -> WireObject:
        item = from_wire(kind=kind, item=msgspec.json.decode(body, type=WireObject))
        made = await self._fake.update(kind=kind, name=name, value=item.value, version=item.version)
        return to_wire(item=made)

    async def _delete_object(self, kind: str, name: str, version: int) -> WireObject:
        item = await self._fake.get(kind=kind, name=name)
        await self._fake.delete(kind=kind, name=name, version=version)
        return to_wire(item=item)

    async def _watch(self, request: Request, kind: str) -> WireChanges:
        """Wait until there is a change, or the caller's time is over."""
        version = int(_query(request, "Watch"))
        seconds = float(_query(request, "WaitMs") or DEFAULT_WATCH * 1_000.0) / 1_000.0
        watch = self._fake.watch(kind=kind, version=version, timeout=seconds)
        waiting = asyncio.timeout(None)
        gone = asyncio.create_task(_end_when_gone(request, waiting))
        try:
            async with waiting, aclosing(watch):
                async for change in watch:
                    version = change.item.version
                    if change.kind is not ChangeKind.BOOKMARK:
                        return self._changes(change)
        except TimeoutError:
            # Nobody reads any more, so that the watch no longer counts as waiting.
            return WireChanges(version=version)
        finally:
            gone.cancel()
        return WireChanges(version=version)

    def _changes(self, change: StoreChange) -> WireChanges:
        removed = change.kind is ChangeKind.DELETED
        wire = WireChange(item=self._wire(change.item), removed=removed)
        return WireChanges(changes=(wire,), version=change.item.version)

    async def _plant_entry(self, request: Request) -> Response:
        kind, name = _names(request)
        self.plant(kind=kind, name=name, entry=await request.read() or b"")
        return _json(HTTPStatus.OK, self.counters)

    async def _counters(self, request: Request) -> Response:
        return _json(HTTPStatus.OK, self.counters)

    async def _set_faults(self, request: Request) -> Response:
        body = await request.read() or b"{}"
        await self.set_faults(faults=msgspec.json.decode(body, type=StoreFaults))
        return _json(HTTPStatus.OK, self.faults)

    async def _answer(self, request: Request, call: Awaitable[object]) -> Response:
        response = await self._respond(request, call)
        era = str(self._fake.model.era) if self.era is None else self.era
        response.add_header(b"store-era", era.encode())
        return response

    async def _respond(self, request: Request, call: Awaitable[object]) -> Response:
        try:
            return _json(HTTPStatus.OK, await call)
        except StoreOutcomeUnknownError:
            self._server.abort(request=request)
            return _refused(HTTPStatus.GATEWAY_TIMEOUT)
        except StoreError as error:
            return _refused(STATUSES[type(error)], seconds=error.retry_after)
        except ValueError:
            return _refused(HTTPStatus.BAD_REQUEST)


async def _end_when_gone(request: Request, waiting: asyncio.Timeout) -> None:
    receive = cast(ASGIContent, request.content).receive
    while (await receive())["type"] != "http.disconnect":
        pass
    waiting.reschedule(asyncio.get_running_loop().time())


def _names(request: Request) -> tuple[str, str]:
    return route_value(request=request, name="kind"), route_value(request=request, name="name")


def _query(request: Request, name: str) -> str:
    return (request.query.get(name) or [""])[0]


def _refused(status: HTTPStatus, *, seconds: float | None = None) -> Response:
    return _json(status, Refusal(error=status.phrase), seconds=seconds)


def _json(status: HTTPStatus, body: object, *, seconds: float | None = None) -> Response:
    headers = []
    if seconds is not None:
        headers.append((b"retry-after", str(math.ceil(seconds)).encode()))
    return Response(status, headers, Content(b"application/json", msgspec.json.encode(body)))
