"""Implements the object store over HTTP and JSON."""

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
    Breakage,
    HttpBrokenError,
    HttpNotSentError,
    StoreAnswerTooLargeError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    StoreValueTooLargeError,
    StoreVersionGoneError,
)
from azureswitch.platform._entries import (
    EntryLimit,
    no_limit,
    read_changes,
    read_entry,
    read_listing,
)
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
from azureswitch.slices import Steps, run_in_slices

Page = TypeVar("Page")

Called = Callable[[str, str, str], None]

Unnamed = Callable[[str, tuple[str, ...], bool], None]

Restored = Callable[[int], None]

DEFAULT_TIMEOUT_SECONDS = 2.0
"""Timeout of a call, in seconds."""

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value, in bytes."""

MAX_WATCH_SECONDS = 30.0
"""Longest time for which the store lets a call wait for changes, in seconds."""

MIN_WATCH_SECONDS = 0.03
"""Remaining seconds of a watch below which no further call is made, as every call has a cost."""

RELIST_PAUSE_SECONDS = 0.4
"""Seconds before a listing that replaces too large an answer to a watch, as both may recur."""

LOG_INTERVAL_SECONDS = 60.0
"""Minimum seconds between log lines on the same recurring fault of the store."""

JSON_HEADERS: Headers = (("content-type", "application/json"),)


def _ignore(method: str, kind: str, result: str) -> None:
    """Ignore a call; the default of ``called``."""


def _log_restored(era: int) -> None:
    """Log that the store was restored from a backup."""
    logging.warning("store: The store came back from an older copy; its era is %d.", era)


def _log_unnamed(kind: str, details: tuple[str, ...], whole: bool) -> None:
    """Log the number of unnamed entries, at a limited rate."""
    if details:
        logging.log_every_n_seconds(
            logging.WARNING,
            "store: %d entries of %s have no name that can be read.",
            LOG_INTERVAL_SECONDS,
            len(details),
            kind,
        )


class HttpStore:
    """Implements the `azureswitch.ports.Store` port over HTTP.

    Args:
        address: ``IP:PORT`` of the store.
        timeout: Timeout of a call in seconds, not counting the time that a watch waits for changes.
        called: Called after each call with its method, kind of object and result.
        pause: Seconds between calls of a watch that return changes, so that a series of changes
            takes fewer calls.
        unnamed: Called with the faults of entries whose name or version cannot be read: their kind,
            the fault of each, and whether these are all such entries of the kind.
        restored: Called with the store's new era each time that it was restored from a backup.
        limit: Returns the bytes that an entry may have by kind and name; the value of a larger one
            is replaced by one that decodes as no kind.
    """

    def __init__(
        self,
        *,
        address: str,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        pause: float = 0.0,
        called: Called = _ignore,
        unnamed: Unnamed = _log_unnamed,
        restored: Restored = _log_restored,
        limit: EntryLimit = no_limit,
    ) -> None:
        self._client = HttpClient(address=address)
        self._timeout = timeout
        self._pause = pause
        self._called = called
        self._unnamed = unnamed
        self._restored = restored
        self._limit = limit
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Number of times that the store was restored from a backup, as far as known."""
        return self._era or 0

    def set_address(self, *, address: str) -> None:
        """Use another ``IP:PORT`` for subsequent calls."""
        if address != self._client.address:
            self._client.close()
            self._client = HttpClient(address=address)

    async def get(self, *, kind: str, name: str, strict: bool = True) -> StoredObject:
        """Return an object.

        Args:
            kind: Its kind.
            name: Its name.
            strict: Whether an object that this system cannot have written raises an error.
        """
        key = f"{kind}/{name}"
        answer = await self._call(method="GET", path=_path(kind, name), key=key)
        if not strict:
            found = await _read(read_entry(answer.body, kind=kind, limit=self._limit), kind=kind)
            if isinstance(found, str):
                raise StoreUnavailableError(key=key)
            return self._with_era(found)
        return self._with_era(
            _object(kind=kind, key=key, answer=answer, lost=StoreUnavailableError)
        )

    async def list(self, *, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind.

        Pages are read sequentially.  The version to watch from is that of the first page, so that a
        change made while reading may be seen twice, but none is missed.

        Args:
            kind: The kind.
            stale: Whether the result may be seconds old; it costs a tenth of another read.
        """
        items: list[StoredObject] = []
        unnamed: list[str] = []
        version: int | None = None
        era: int | None = None
        query = {"Serializable": "1"} if stale else {}
        while True:
            path = f"{_path(kind)}?{urlencode(query)}" if query else _path(kind)
            answer = await self._call(method="GET", path=path, key=kind)
            page = await _read(read_listing(answer.body, kind=kind, limit=self._limit), kind=kind)
            version = page.version if version is None else version
            era = self.era if era is None else era
            if era != self.era:
                # The earlier pages are from before the restore.
                raise StoreUnavailableError(key=kind)
            items.extend(map(self._with_era, page.items))
            unnamed.extend(page.unnamed)
            if not page.more:
                self._unnamed(kind, tuple(unnamed), True)
                return Listing(items=tuple(items), version=version_of(era=era, revision=version))
            if not page.items:
                # The next page is requested by name; objects on it must not count as removed.
                raise StoreUnavailableError(key=kind)
            # Despite its name, this parameter holds the name after which the next page starts.
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
        while (left := end - loop.time()) > MIN_WATCH_SECONDS:
            wait = min(left, MAX_WATCH_SECONDS)
            if self._is_stale(version):
                raise StoreVersionGoneError(key=kind)
            query = {"Watch": revision_of(version), "WaitMs": int(wait * 1_000)}
            try:
                answer = await self._call(
                    method="GET",
                    path=f"{_path(kind)}?{urlencode(query)}",
                    key=kind,
                    timeout=wait + self._timeout,
                )
            except StoreAnswerTooLargeError as error:
                await sleep(RELIST_PAUSE_SECONDS)
                # A listing comes in pages, each within the bound.
                raise StoreVersionGoneError(key=kind) from error
            if self._is_stale(version):
                # After the restore, this revision belongs to another change.
                raise StoreVersionGoneError(key=kind)
            page = await _read(read_changes(answer.body, kind=kind, limit=self._limit), kind=kind)
            if page.unnamed:
                self._unnamed(kind, page.unnamed, False)
            for change in page.changes:
                item = self._with_era(change.item)
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

    def _with_era(self, item: StoredObject) -> StoredObject:
        """Return an object of the last response, with the era added to its version."""
        if not self.era:
            return item
        return replace(item, version=version_of(era=self.era, revision=item.version))

    def _is_stale(self, version: int) -> bool:
        """Return whether the store was restored from a backup since it assigned a version."""
        return self._era is not None and bool(version) and era_of(version) != self._era

    def _check_condition(self, version: int, *, key: str) -> None:
        """Refuse a version from before a restore, which may since have been assigned again."""
        if self._is_stale(version):
            raise StoreConflictError(key=key)

    def _note_era(self, head: HttpHead, *, lost: StoreError) -> None:
        """Record the era of a response.

        Raises:
            StoreError: The response is from an older era; ``lost`` is raised.
        """
        text = head.header(name=STORE_ERA)
        if text is None:
            return
        era = int(text) if text.isdecimal() else ERA_MOST + 1
        if era > ERA_MOST:
            logging.log_every_n_seconds(
                logging.WARNING, "store: The era %.64r is invalid.", LOG_INTERVAL_SECONDS, text
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
        if len(value) > MAX_VALUE_BYTES:
            raise StoreValueTooLargeError(key=key, limit=MAX_VALUE_BYTES)
        self._check_condition(version, key=key)
        metadata = WireMetadata(name=name, version=revision_of(version))
        body = msgspec.json.encode(WireObject(metadata=metadata, content=pack_value(value)))
        answer = await self._call(method=method, path=path, key=key, body=body)
        return self._with_era(
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
            too_large = error.breakage is Breakage.BODY_TOO_LARGE
            self._called(method, kind, "too_large" if too_large else "broken")
            if too_large and method == "GET":
                raise StoreAnswerTooLargeError(key=key) from error
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


async def _read(work: Steps[Page], *, kind: str) -> Page:
    """Read a response in slices, so that none holds the event loop.

    Raises:
        StoreUnavailableError: It cannot be read.
    """
    try:
        return await run_in_slices(work)
    except UNDECODED as error:
        raise StoreUnavailableError(key=kind) from error


def _object(*, kind: str, key: str, answer: HttpAnswer, lost: type[StoreError]) -> StoredObject:
    try:
        return from_wire(kind=kind, item=msgspec.json.decode(answer.body, type=WireObject))
    except UNDECODED as error:
        raise lost(key=key) from error


def _bookmark(*, kind: str, version: int) -> StoreChange:
    item = StoredObject(kind=kind, name="", version=version, value=b"")
    return StoreChange(kind=ChangeKind.BOOKMARK, item=item)


def _failure(*, status: int, key: str, seconds: float | None, lost: type[StoreError]) -> StoreError:
    """Return the error for a status: ``lost`` if the call may have taken effect."""
    match status:
        case HTTPStatus.NOT_FOUND:
            return StoreNotFoundError(key=key)
        case HTTPStatus.CONFLICT:
            return StoreConflictError(key=key)
        case HTTPStatus.GONE:
            return StoreVersionGoneError(key=key)
        case HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return StoreValueTooLargeError(key=key, limit=MAX_VALUE_BYTES)
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            return StoreUnavailableError(key=key, seconds=seconds)
        case _ if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return StoreUnavailableError(key=key)
        case _:
            return lost(key=key)
