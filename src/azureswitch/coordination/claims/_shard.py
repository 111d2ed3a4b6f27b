"""An owner's view of one shard."""

from array import array
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from azureswitch.coordination.claims._messages import Request, Verdict
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
"""Number of decoded segments that a shard caches for repeats of older keys."""


class Phase(Enum):
    """The phase of a shard: without a view, or waiting for a call to the store, or ready."""

    COLD = "cold"
    READING = "reading"
    INDEXING = "indexing"
    READY = "ready"
    WRITING = "writing"


class PendingRequest(Struct, kw_only=True):
    """A request that waits for its verdict.

    Attributes:
        number: Identifies the request in this process.
        request: The request.
        arrived: When it arrived, on the monotonic clock.
        sequence: Its sequence number among the requests and calls for the head of the shard.
        uncertain_version: The version on which a write with the effect of this request may yet
            take effect, or None.
    """

    number: int
    request: Request
    arrived: float
    sequence: int
    uncertain_version: int | None = None


class DecidedRequest(Struct, frozen=True, kw_only=True):
    """A request with its verdict, which is valid once the batch is committed.

    Attributes:
        pending: The request.
        verdict: The verdict.
        answer: The recorded answer of a replay.
        holder: The record of the running claim that prevents this one, or None.
    """

    pending: PendingRequest
    verdict: Verdict
    answer: Answer | None
    holder: Record | None = None


class Shard:
    """The view and the pending requests of one shard.

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
        self.pending: list[PendingRequest] = []
        self.batch: list[DecidedRequest] = []
        self.sequence = 0
        self.issued = 0
        self.confirmed = 0
        self.next_read = 0.0
        self.next_write = 0.0
        self.next_segment_read = 0.0
        self.retry_at = 0.0
        self.used_at = 0.0
        self.loading_segment = False
        self.storing = False
        self.deleting = False
        self.merging: tuple[SegmentRef, ...] = ()
        self.stored: set[SegmentRef] = set()
        self.deleted: set[SegmentRef] = set()
        self._open: dict[bytes, Record] = {}
        self._indexes: dict[str, array[int]] = {}
        self._cache: OrderedDict[str, dict[bytes, Record]] = OrderedDict()

    @property
    def unindexed(self) -> tuple[SegmentRef, ...]:
        """Sealed segments whose keys are not indexed yet."""
        return tuple(ref for ref in self.head.sealed if self.name(ref) not in self._indexes)

    @property
    def indexed_keys(self) -> int:
        """Number of indexed keys of sealed segments."""
        return sum(len(index) for index in self._indexes.values())

    def enqueue(self, *, number: int, request: Request, arrived: float) -> None:
        """Add a pending request."""
        self.sequence += 1
        self.pending.append(
            PendingRequest(number=number, request=request, arrived=arrived, sequence=self.sequence)
        )

    def issue(self, phase: Phase) -> None:
        """Record that a call to the store for the head begins."""
        self.sequence += 1
        self.issued = self.sequence
        self.phase = phase

    def confirms(self, pending: PendingRequest) -> bool:
        """Return whether the view is from a store call that began after the request arrived."""
        return pending.sequence < self.confirmed

    def name(self, ref: SegmentRef) -> str:
        """Return the name of a segment of this shard."""
        return segment_name(self.number, ref)

    def adopt(self, *, head: Head, version: int) -> None:
        """Adopt a head that was read from or written to the store."""
        self.head = head
        self.version = version
        self.open_bytes = len(encode_segment(head.open))
        self.confirmed = self.issued
        self._open = {record.key: record for record in _newest(head)}
        self.stored.difference_update(head.sealed)
        self.deleted.intersection_update(head.obsolete)
        names = {self.name(ref) for ref in (*head.sealed, *self.stored)}
        self._indexes = {name: at for name, at in self._indexes.items() if name in names}
        for pending in self.pending:
            if pending.uncertain_version != version:
                pending.uncertain_version = None

    def index(self, *, ref: SegmentRef, records: Iterable[Record]) -> None:
        """Index the keys of a sealed segment."""
        self._indexes[self.name(ref)] = array("Q", sorted(_prefix(item.key) for item in records))

    def cache(self, *, ref: SegmentRef, records: Iterable[Record]) -> None:
        """Cache a decoded segment."""
        self._cache[self.name(ref)] = {record.key: record for record in records}
        while len(self._cache) > CACHED_SEGMENTS:
            self._cache.popitem(last=False)

    def open_record(self, key: bytes) -> Record | None:
        """Return a key's record in the head, or None."""
        return self._open.get(key)

    def sealed_record(self, key: bytes) -> Record | SegmentRef | None:
        """Return a key's newest sealed record, or the segment that must be read to find it."""
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
