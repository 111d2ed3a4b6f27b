"""The rules of the object store, without I/O and without a clock of its own."""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from enum import Enum

from msgspec import Struct

from azureswitch.exceptions import (
    StoreConflictError,
    StoreNotFoundError,
    StoreUnavailableError,
    StoreValueTooLargeError,
    StoreVersionGoneError,
)
from azureswitch.ports import ChangeKind, Listing, StoreChange, StoredObject

VALUE_LIMIT = 1_000_000
"""Bytes that a value may have at most."""


class CallKind(Enum):
    """The kinds of call that the store counts."""

    GET = "get"
    LIST = "list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


WRITES = frozenset((CallKind.CREATE, CallKind.UPDATE, CallKind.DELETE))


class StoreLimits(Struct, frozen=True, kw_only=True):
    """What the store enforces.

    Attributes:
        reads: Reads a second; opening a watch is one.
        writes: Writes a second.
        burst: Seconds of its rate that may be used at once.
        history: Changes that watches can start from.
        value: Bytes that a value may have.
    """

    reads: float = 2_000.0
    writes: float = 400.0
    burst: float = 1.0
    history: int = 2_000
    value: int = VALUE_LIMIT


class StoreCounters(Struct, frozen=True, kw_only=True):
    """What the store has counted.

    Attributes:
        gets: Calls of get.
        lists: Calls of list.
        watches: Watches opened; each counts as one call however long it waits.
        creates: Calls of create.
        updates: Calls of update.
        deletes: Calls of delete.
        refused: Calls over the enforced rates, which are counted by kind as well.
        conflicts: Writes that met another version.
        waiting: Watches that wait now.
        most_waiting: The most watches that waited at one time.
    """

    gets: int = 0
    lists: int = 0
    watches: int = 0
    creates: int = 0
    updates: int = 0
    deletes: int = 0
    refused: int = 0
    conflicts: int = 0
    waiting: int = 0
    most_waiting: int = 0

    @property
    def reads(self) -> int:
        """Calls that read, watches included."""
        return self.gets + self.lists + self.watches

    @property
    def writes(self) -> int:
        """Calls that write, whether they took effect or not."""
        return self.creates + self.updates + self.deletes

    @property
    def calls(self) -> int:
        """All calls."""
        return self.reads + self.writes


class _Bucket:
    """A token bucket."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._size = max(1.0, rate * burst)
        self._tokens = self._size
        self._filled: float | None = None

    def take(self, *, now: float) -> float:
        """Take one token; return zero, or the seconds until there is one."""
        if self._filled is not None:
            gained = max(0.0, now - self._filled) * self._rate
            self._tokens = min(self._size, self._tokens + gained)
        self._filled = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0


class StoreCopy(Struct, frozen=True, kw_only=True):
    """What the store held at some moment.

    Attributes:
        objects: The objects, by kind and name.
        version: The version of the last write.
    """

    objects: Mapping[tuple[str, str], StoredObject]
    version: int


class StoreModel:
    """Objects with versions that grow over the whole store, and a bounded history of changes."""

    def __init__(self, *, limits: StoreLimits | None = None) -> None:
        self._limits = limits or StoreLimits()
        self._reads = _Bucket(rate=self._limits.reads, burst=self._limits.burst)
        self._writes = _Bucket(rate=self._limits.writes, burst=self._limits.burst)
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self._era = 0
        self._oldest = 0
        self._history: deque[StoreChange] = deque()
        self._counts: Counter[CallKind] = Counter()
        self._refused = 0
        self._conflicts = 0
        self._waiting = 0
        self._most_waiting = 0
        self._listeners: set[Callable[[], None]] = set()

    @property
    def version(self) -> int:
        """The version of the last write."""
        return self._version

    @property
    def era(self) -> int:
        """How often it has come back from a copy."""
        return self._era

    def copy(self) -> StoreCopy:
        """Return a copy of what it holds now."""
        return StoreCopy(objects=dict(self._objects), version=self._version)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and versions are given again."""
        self._objects = dict(copy.objects)
        self._version = copy.version
        self._era += 1
        self.compact()

    @property
    def counters(self) -> StoreCounters:
        """What has been counted since the start."""
        return StoreCounters(
            gets=self._counts[CallKind.GET],
            lists=self._counts[CallKind.LIST],
            watches=self._counts[CallKind.WATCH],
            creates=self._counts[CallKind.CREATE],
            updates=self._counts[CallKind.UPDATE],
            deletes=self._counts[CallKind.DELETE],
            refused=self._refused,
            conflicts=self._conflicts,
            waiting=self._waiting,
            most_waiting=self._most_waiting,
        )

    def count(self, *, call: CallKind, key: str, now: float) -> None:
        """Count a call and hold it against the enforced rates.

        Raises:
            StoreUnavailableError: The rate is used up; nothing was done.
        """
        self._counts[call] += 1
        bucket = self._writes if call in WRITES else self._reads
        wait = bucket.take(now=now)
        if wait > 0.0:
            self._refused += 1
            raise StoreUnavailableError(key=key, seconds=wait)

    def get(self, *, kind: str, name: str) -> StoredObject:
        """Return an object.

        Raises:
            StoreNotFoundError: It does not exist.
        """
        found = self._objects.get((kind, name))
        if found is None:
            raise StoreNotFoundError(key=f"{kind}/{name}")
        return found

    def list(self, *, kind: str) -> Listing:
        """Return all objects of a kind, ordered by name."""
        items = sorted(
            (item for item in self._objects.values() if item.kind == kind),
            key=lambda item: item.name,
        )
        return Listing(items=tuple(items), version=self._version)

    def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object.

        Raises:
            StoreConflictError: It exists already.
            StoreValueTooLargeError: The value is over the limit.
        """
        self._check_size(kind=kind, name=name, value=value)
        if (kind, name) in self._objects:
            self._conflict(kind=kind, name=name)
        return self._put(kind=kind, name=name, value=value)

    def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Replace an object whose version is still ``version``.

        Raises:
            StoreConflictError: Its version is another one.
            StoreNotFoundError: It does not exist.
            StoreValueTooLargeError: The value is over the limit.
        """
        self._check_size(kind=kind, name=name, value=value)
        self._check_version(kind=kind, name=name, version=version)
        return self._put(kind=kind, name=name, value=value)

    def delete(self, *, kind: str, name: str, version: int) -> None:
        """Delete an object whose version is still ``version``.

        Raises:
            StoreConflictError: Its version is another one.
            StoreNotFoundError: It does not exist.
        """
        self._check_version(kind=kind, name=name, version=version)
        del self._objects[kind, name]
        self._version += 1
        gone = StoredObject(kind=kind, name=name, version=self._version, value=b"")
        self._record(StoreChange(kind=ChangeKind.DELETED, item=gone))

    def changes(self, *, kind: str, after: int) -> tuple[StoreChange, ...]:
        """Return the changes to a kind after a version, oldest first.

        Raises:
            StoreVersionGoneError: Changes after that version are not kept any more, or it was never
                given in the history that there is.
        """
        if not self._oldest <= after <= self._version:
            raise StoreVersionGoneError(key=kind)
        newer: deque[StoreChange] = deque()
        for change in reversed(self._history):
            if change.item.version <= after:
                break
            if change.item.kind == kind:
                newer.appendleft(change)
        return tuple(newer)

    def compact(self) -> None:
        """Forget all history, so that every older version is gone for watches."""
        self._history.clear()
        self._oldest = self._version

    def listen(self, *, listener: Callable[[], None]) -> None:
        """Call a listener after every change, and count it as a waiting watch."""
        self._listeners.add(listener)
        self._waiting += 1
        self._most_waiting = max(self._most_waiting, self._waiting)

    def unlisten(self, *, listener: Callable[[], None]) -> None:
        """Stop calling a listener."""
        self._listeners.remove(listener)
        self._waiting -= 1

    def _check_size(self, *, kind: str, name: str, value: bytes) -> None:
        if len(value) > self._limits.value:
            raise StoreValueTooLargeError(key=f"{kind}/{name}", limit=self._limits.value)

    def _check_version(self, *, kind: str, name: str, version: int) -> None:
        found = self._objects.get((kind, name))
        if found is None:
            raise StoreNotFoundError(key=f"{kind}/{name}")
        if found.version != version:
            self._conflict(kind=kind, name=name)

    def _conflict(self, *, kind: str, name: str) -> None:
        self._conflicts += 1
        raise StoreConflictError(key=f"{kind}/{name}")

    def _put(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        self._version += 1
        item = StoredObject(kind=kind, name=name, version=self._version, value=value)
        self._objects[kind, name] = item
        self._record(StoreChange(kind=ChangeKind.PUT, item=item))
        return item

    def _record(self, change: StoreChange) -> None:
        self._history.append(change)
        if len(self._history) > self._limits.history:
            self._oldest = self._history.popleft().item.version
        for listener in tuple(self._listeners):
            listener()
