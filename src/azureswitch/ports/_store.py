"""The platform's object store as azureswitch sees it."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import Protocol

from msgspec import Struct


class StoredObject(Struct, frozen=True, kw_only=True):
    """One object.

    Attributes:
        kind: The kind of object, such as ``configuration``; one kind is one collection.
        name: Its name, unique within the kind.
        version: Its version, which grows with every write to the store, also over a restoration of
            the store from an older copy: see `azureswitch.ports.version_of`.
        value: Its content, at most one megabyte.
    """

    kind: str
    name: str
    version: int
    value: bytes


class ChangeKind(Enum):
    """What a watch reports."""

    PUT = "put"
    DELETED = "deleted"
    BOOKMARK = "bookmark"


class StoreChange(Struct, frozen=True, kw_only=True):
    """One change that a watch reports.

    Attributes:
        kind: Whether the object was written or deleted, or only the version moved on.
        item: The object after the change; its value is empty for deletions and bookmarks.
    """

    kind: ChangeKind
    item: StoredObject


class Listing(Struct, frozen=True, kw_only=True):
    """All objects of a kind, and the version to watch from."""

    items: tuple[StoredObject, ...]
    version: int


class Store(Protocol):
    """Versions, conditional updates and watches.

    All methods raise `StoreUnavailableError` where nothing was written, and every write raises
    `StoreOutcomeUnknownError` where it may have taken effect and the answer was lost.
    """

    async def get(self, *, kind: str, name: str) -> StoredObject:
        """Return an object.

        Raises:
            StoreNotFoundError: It does not exist.
        """

    async def list(self, *, kind: str) -> Listing:
        """Return all objects of a kind."""

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object.

        Raises:
            StoreConflictError: It exists already.
            StoreValueTooLargeError: The value is over one megabyte.
        """

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object whose version is still ``version``.

        Raises:
            StoreConflictError: Its version is another one.
            StoreNotFoundError: It does not exist.
            StoreValueTooLargeError: The value is over one megabyte.
        """

    async def delete(self, *, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``.

        Raises:
            StoreConflictError: Its version is another one.
            StoreNotFoundError: It does not exist.
        """

    def watch(self, *, kind: str, version: int, timeout: float) -> AsyncIterator[StoreChange]:
        """Yield the changes to a kind after ``version`` for at most ``timeout`` seconds.

        Raises:
            StoreVersionGoneError: ``version`` is too old.
        """
