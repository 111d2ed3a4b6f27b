"""What an owner knows of one shard."""

from array import array
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from azureswitch.coordination.claims._messages import Ask, Verdict
from azureswitch.coordination.claims._model import (
    Answer,
    Frozen,
    Head,
    Record,
    SegmentRef,
    encode_segment,
    segment_name,
)

CACHED_SEGMENTS = 2
"""Decoded segments that a shard keeps for repeats of older keys."""


class Phase(Enum):
    """What a shard waits for."""

    COLD = "cold"
    READING = "reading"
    INDEXING = "indexing"
    READY = "ready"
    WRITING = "writing"


class Pending(Struct, kw_only=True):
    """An ask that waits for its verdict.

    Attributes:
        number: Names the ask in this process.
        ask: What is asked.
        arrived: When it came, on the monotonic clock.
        order: Its place among the asks and store calls of the shard.
        exposed: The version on which a write that holds its effect may yet land, or None.
    """

    number: int
    ask: Ask
    arrived: float
    order: int
    exposed: int | None = None


class Ruled(Struct, frozen=True, kw_only=True):
    """An ask with the verdict that its batch's commit makes valid.

    Attributes:
        pending: The ask.
        verdict: The verdict.
        answer: The recorded answer of a replay.
        holder: The running claim that stands in the way, or None.
    """

    pending: Pending
    verdict: Verdict
    answer: Answer | None
    holder: Record | None = None


class Shard:
    """One shard as its owner sees it.

    Args:
        number: The shard.
    """

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.phase = Phase.COLD
        self.version = 0
        self.head = Head()
        self.written = Head()
        self.open_bytes = 0
        self.pending: list[Pending] = []
        self.batch: list[Ruled] = []
        self.order = 0
        self.issued = 0
        self.confirmed = 0
        self.next_read = 0.0
        self.next_write = 0.0
        self.next_recall = 0.0
        self.retry_at = 0.0
        self.used_at = 0.0
        self.recalling = False
        self.storing = False
        self.deleting = False
        self.merging: tuple[SegmentRef, ...] = ()
        self.stored: set[SegmentRef] = set()
        self.deleted: set[SegmentRef] = set()
        self._open: dict[bytes, Record] = {}
        self._indexes: dict[str, array[int]] = {}
        self._cache: OrderedDict[str, dict[bytes, Record]] = OrderedDict()

    @property
    def missing(self) -> tuple[SegmentRef, ...]:
        """Sealed segments whose keys are not known here yet."""
        return tuple(ref for ref in self.head.sealed if self.name(ref) not in self._indexes)

    @property
    def indexed_keys(self) -> int:
        """How many keys of sealed segments are known here."""
        return sum(len(index) for index in self._indexes.values())

    def enqueue(self, *, number: int, ask: Ask, arrived: float) -> None:
        """Let an ask wait for its verdict."""
        self.order += 1
        self.pending.append(Pending(number=number, ask=ask, arrived=arrived, order=self.order))

    def issue(self, phase: Phase) -> None:
        """Note that a call to the store for the head begins."""
        self.order += 1
        self.issued = self.order
        self.phase = phase

    def confirms(self, pending: Pending) -> bool:
        """Whether the view was read or written by a call that began after the ask came."""
        return pending.order < self.confirmed

    def name(self, ref: SegmentRef) -> str:
        """Return the name of a segment of this shard."""
        return segment_name(self.number, ref)

    def adopt(self, *, head: Head, version: int) -> None:
        """Take a head that is known to be the one in the store."""
        self.head = head
        self.version = version
        self.open_bytes = len(encode_segment(head.open))
        self.confirmed = self.issued
        self._open = {record.key: record for record in _newest(head)}
        self.stored.difference_update(head.sealed)
        self.deleted.intersection_update(head.doomed)
        names = {self.name(ref) for ref in (*head.sealed, *self.stored)}
        self._indexes = {name: at for name, at in self._indexes.items() if name in names}
        for pending in self.pending:
            if pending.exposed != version:
                pending.exposed = None

    def index(self, *, ref: SegmentRef, records: Iterable[Record]) -> None:
        """Learn the keys of a sealed segment."""
        self._indexes[self.name(ref)] = array("Q", sorted(_prefix(item.key) for item in records))

    def cache(self, *, ref: SegmentRef, records: Iterable[Record]) -> None:
        """Keep a decoded segment for a while."""
        self._cache[self.name(ref)] = {record.key: record for record in records}
        while len(self._cache) > CACHED_SEGMENTS:
            self._cache.popitem(last=False)

    def open_record(self, key: bytes) -> Record | None:
        """Return a key's record in the head, if it is there."""
        return self._open.get(key)

    def sealed_record(self, key: bytes) -> Record | SegmentRef | None:
        """Return a key's newest sealed record, or the segment that must be read to know it."""
        prefix = _prefix(key)
        for ref in reversed(self.head.sealed):
            if not _contains(self._indexes[self.name(ref)], prefix):
                continue
            records = self._cache.get(self.name(ref))
            if records is None:
                return ref
            if key in records:
                return records[key]
        return None


def _newest(head: Head) -> Iterable[Record]:
    frozen: Frozen | None = head.frozen
    if frozen is not None:
        yield from frozen.records
    yield from head.open


def _prefix(key: bytes) -> int:
    return int.from_bytes(key[:8], "big")


def _contains(index: "array[int]", prefix: int) -> bool:
    at = bisect_left(index, prefix)
    return at < len(index) and index[at] == prefix
