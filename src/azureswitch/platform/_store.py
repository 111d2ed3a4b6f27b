"""The object store over HTTP and JSON."""

from asyncio import get_running_loop, sleep
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from absl import logging
from msgspec.structs import replace

from azureswitch.client import Headers, HttpAnswer, HttpClient, HttpHead
from azureswitch.decoding import UNDECODED
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
from azureswitch.platform._entries import read_changes, read_entry, read_listing
from azureswitch.platform._headers import STORE_ERA
from azureswitch.platform._wire import (
    OBJECTS_PATH,
    WireMetadata,
    WireObject,
    from_wire,
    pack_value,
)
from azureswitch.ports import (
    ERA_MOST,
    ChangeKind,
    Listing,
    StoreChange,
    StoredObject,
    era_of,
    revision_of,
    version_of,
)

Page = TypeVar("Page")

Called = Callable[[str, str, str], None]

Unnamed = Callable[[str, tuple[str, ...], bool], None]

Restored = Callable[[int], None]

DEFAULT_TIMEOUT = 2.0
"""Seconds that a call may take."""

VALUE_LIMIT = 1_000_000
"""Bytes that a value may have."""

WATCH_LIMIT = 30.0
"""Seconds that one call may wait for changes, as the store permits."""

WATCH_LEAST = 0.03
"""Seconds that must be left of a watch for another call; each is paid for."""

LOG_SECONDS = 60.0
"""Seconds between two lines on the same thing that the store gives again and again."""

JSON_HEADERS: Headers = (("content-type", "application/json"),)


def _ignore(method: str, kind: str, result: str) -> None:
    """Count no calls."""


def _log_restored(era: int) -> None:
    """Log that the store has come back from an older copy."""
    logging.warning("store: The store came back from an older copy; its era is %d.", era)


def _log_unnamed(kind: str, details: tuple[str, ...], whole: bool) -> None:
    """Log that there are such entries, now and then."""
    if details:
        logging.log_every_n_seconds(
            logging.WARNING,
            "store: %d entries of %s have no name that can be read.",
            LOG_SECONDS,
            len(details),
            kind,
        )


class HttpStore:
    """The `azureswitch.ports.Store` port over HTTP.

    Args:
        address: ``IP:PORT`` of the store.
        timeout: Seconds that a call may take, a watch's waiting left out.
        called: Told of each call by method, kind of object and result.
        pause: Seconds between two calls of a watch that bring changes, so that changes which come
            in a series cost fewer calls.
        unnamed: Told of what is wrong with entries whose name or version cannot be read: their
            kind, what is wrong with each, and whether these are all of the kind.
        restored: Told the store's era each time that it has come back from an older copy.
    """

    def __init__(
        self,
        *,
        address: str,
        timeout: float = DEFAULT_TIMEOUT,
        pause: float = 0.0,
        called: Called = _ignore,
        unnamed: Unnamed = _log_unnamed,
        restored: Restored = _log_restored,
    ) -> None:
        self._client = HttpClient(address=address)
        self._timeout = timeout
        self._pause = pause
        self._called = called
        self._unnamed = unnamed
        self._restored = restored
        self._era: int | None = None

    @property
    def era(self) -> int:
        """How often the store has come back from a copy, so far as is known."""
        return self._era or 0

    def move(self, *, address: str) -> None:
        """Call the store at another ``IP:PORT`` from now on."""
        if address != self._client.address:
            self._client.close()
            self._client = HttpClient(address=address)

    async def get(self, *, kind: str, name: str, strict: bool = True) -> StoredObject:
        """Return an object.

        Args:
            kind: Its kind.
            name: Its name.
            strict: Whether an object that is not as ours are is taken for no answer.
        """
        key = f"{kind}/{name}"
        answer = await self._call(method="GET", path=_path(kind, name), key=key)
        if not strict:
            return self._dated(_foreign_object(kind=kind, key=key, answer=answer))
        return self._dated(_object(kind=kind, key=key, answer=answer, lost=StoreUnavailableError))

    async def list(self, *, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind.

        Pages are read one after the other.  The version to watch from is that of the first one, so
        that a change made in between is seen again, and none is missed.

        Args:
            kind: The kind.
            stale: Whether what was true seconds ago is enough; such a call costs a tenth.
        """
        items: list[StoredObject] = []
        unnamed: list[str] = []
        version: int | None = None
        era: int | None = None
        query = {"Serializable": "1"} if stale else {}
        while True:
            path = f"{_path(kind)}?{urlencode(query)}" if query else _path(kind)
            answer = await self._call(method="GET", path=path, key=kind)
            page = _read(answer, read_listing, kind=kind)
            version = page.version if version is None else version
            era = self.era if era is None else era
            if era != self.era:
                # The pages before it are of a history that is gone.
                raise StoreUnavailableError(key=kind)
            items.extend(map(self._dated, page.items))
            unnamed.extend(page.unnamed)
            if not page.more:
                self._unnamed(kind, tuple(unnamed), True)
                return Listing(items=tuple(items), version=version_of(era=era, revision=version))
            if not page.items:
                # Without a name there is no going on, and what follows must not count as gone.
                raise StoreUnavailableError(key=kind)
            # The platform names the object to go on after as if it were a version.
            query["AfterRev"] = page.items[-1].name

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object."""
        return await self._write(
            method="POST", path=_path(kind), kind=kind, name=name, value=value, version=0
        )

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object whose version is still ``version``."""
        return await self._write(
            method="PUT",
            path=_path(kind, name),
            kind=kind,
            name=name,
            value=value,
            version=version,
        )

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``."""
        key = f"{kind}/{name}"
        self._check_condition(version, key=key)
        path = f"{_path(kind, name)}?{urlencode({'Revision': revision_of(version)})}"
        await self._call(method="DELETE", path=path, key=key)

    async def watch(self, *, kind: str, version: int, timeout: float) -> AsyncIterator[StoreChange]:
        """Yield the changes to a kind after ``version`` for at most ``timeout`` seconds."""
        loop = get_running_loop()
        end = loop.time() + timeout
        while (left := end - loop.time()) > WATCH_LEAST:
            wait = min(left, WATCH_LIMIT)
            if self._is_over(version):
                raise StoreVersionGoneError(key=kind)
            query = {"Watch": revision_of(version), "WaitMs": int(wait * 1_000)}
            answer = await self._call(
                method="GET",
                path=f"{_path(kind)}?{urlencode(query)}",
                key=kind,
                timeout=wait + self._timeout,
            )
            if self._is_over(version):
                # It had this revision by another change.
                raise StoreVersionGoneError(key=kind)
            page = _read(answer, read_changes, kind=kind)
            if page.unnamed:
                self._unnamed(kind, page.unnamed, False)
            for change in page.changes:
                item = self._dated(change.item)
                version = max(version, item.version)
                yield replace(change, item=item)
            newest = version_of(era=self.era, revision=page.version)
            if newest > version:
                version = newest
                yield _bookmark(kind=kind, version=version)
            if (page.changes or page.unnamed) and self._pause:
                await sleep(self._pause)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _dated(self, item: StoredObject) -> StoredObject:
        """Return an object of the last answer with its version."""
        if not self.era:
            return item
        return replace(item, version=version_of(era=self.era, revision=item.version))

    def _is_over(self, version: int) -> bool:
        """Return whether the store has come back from a copy since it gave a version."""
        return self._era is not None and bool(version) and era_of(version) != self._era

    def _check_condition(self, version: int, *, key: str) -> None:
        """Refuse a condition that another object may meet by now under the same number."""
        if self._is_over(version):
            raise StoreConflictError(key=key)

    def _note_era(self, head: HttpHead, *, lost: StoreError) -> None:
        """Take over the era of an answer.

        Raises:
            StoreError: It is an answer of a history that is gone; ``lost`` is raised.
        """
        told = head.header(name=STORE_ERA)
        if told is None:
            return
        era = int(told) if told.isdecimal() else ERA_MOST + 1
        if era > ERA_MOST:
            logging.log_every_n_seconds(
                logging.WARNING, "store: Its era %.64r is none.", LOG_SECONDS, told
            )
            return
        known, self._era = self._era, max(era, self.era)
        if era < self._era:
            raise lost
        if known is not None and era > known:
            self._restored(era)

    async def _write(
        self, *, method: str, path: str, kind: str, name: str, value: bytes, version: int
    ) -> StoredObject:
        key = f"{kind}/{name}"
        if len(value) > VALUE_LIMIT:
            raise StoreValueTooLargeError(key=key, limit=VALUE_LIMIT)
        self._check_condition(version, key=key)
        metadata = WireMetadata(name=name, version=revision_of(version))
        body = msgspec.json.encode(WireObject(metadata=metadata, content=pack_value(value)))
        answer = await self._call(method=method, path=path, key=key, body=body)
        return self._dated(
            _object(kind=kind, key=key, answer=answer, lost=StoreOutcomeUnknownError)
        )

    async def _call(
        self, *, method: str, path: str, key: str, body: bytes = b"", timeout: float = 0.0
    ) -> HttpAnswer:
        lost = StoreUnavailableError if method == "GET" else StoreOutcomeUnknownError
        kind = key.partition("/")[0]
        try:
            answer = await self._client.request(
                method=method,
                path=path,
                headers=JSON_HEADERS,
                body=body,
                timeout=timeout or self._timeout,
            )
        except HttpNotSentError as error:
            self._called(method, kind, "not sent")
            raise StoreUnavailableError(key=key) from error
        except HttpBrokenError as error:
            self._called(method, kind, "broken")
            raise lost(key=key) from error
        self._called(method, kind, str(answer.head.status))
        self._note_era(answer.head, lost=lost(key=key))
        if answer.head.status < HTTPStatus.BAD_REQUEST:
            return answer
        raise _failure(
            status=answer.head.status, key=key, seconds=answer.head.retry_after, lost=lost
        )


def _path(kind: str, name: str | None = None) -> str:
    collection = f"{OBJECTS_PATH}/{quote(kind, safe='')}"
    return collection if name is None else f"{collection}/{quote(name, safe='')}"


def _read(answer: HttpAnswer, reader: Callable[..., Page], *, kind: str) -> Page:
    try:
        return reader(answer.body, kind=kind)
    except UNDECODED as error:
        raise StoreUnavailableError(key=kind) from error


def _object(*, kind: str, key: str, answer: HttpAnswer, lost: type[StoreError]) -> StoredObject:
    try:
        return from_wire(kind=kind, item=msgspec.json.decode(answer.body, type=WireObject))
    except UNDECODED as error:
        raise lost(key=key) from error


def _foreign_object(*, kind: str, key: str, answer: HttpAnswer) -> StoredObject:
    found = read_entry(answer.body, kind=kind)
    if isinstance(found, str):
        raise StoreUnavailableError(key=key)
    return found


def _bookmark(*, kind: str, version: int) -> StoreChange:
    item = StoredObject(kind=kind, name="", version=version, value=b"")
    return StoreChange(kind=ChangeKind.BOOKMARK, item=item)


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
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            return StoreUnavailableError(key=key, seconds=seconds)
        case _ if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return StoreUnavailableError(key=key)
        case _:
            return lost(key=key)
