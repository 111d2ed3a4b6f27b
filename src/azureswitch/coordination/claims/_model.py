"""Stored types of claims, and the names of their objects.

The types are encoded as arrays, which take half the bytes: claims cost the bytes written.
"""

from enum import IntEnum
from hashlib import blake2b

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

from azureswitch.core import CallId, CustomerName, HostName, Incarnation

SHARDS = 16
"""Number of shards of keys; it must be the same on every host and never change."""

KEY_BYTES = 16
"""Bytes of a key's digest."""

MARK_BYTES = 8
"""Bytes of a fingerprint's digest."""

MAX_ANSWER_BYTES = 4_096
"""Upper bound of the bytes of a recorded answer's headers and body."""

HEAD_KIND = "claim-head"
SEGMENT_KIND = "claim-segment"


class RecordState(IntEnum):
    """The state of the latest claim of a key."""

    CLAIMED = 1
    NOT_RUN = 2
    DONE = 3
    UNKNOWN = 4


class Answer(Struct, frozen=True, kw_only=True, array_like=True):
    """The recorded answer of a target.

    Attributes:
        status: The HTTP status.
        headers: Names and values.
        body: The body; empty if ``whole`` is false.
        whole: Whether headers and body fit into `MAX_ANSWER_BYTES`.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True

    @property
    def size(self) -> int:
        """Bytes of headers and body."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)

    def bounded(self) -> "Answer":
        """Return this answer, without headers and body if they are too large to record."""
        if self.size <= MAX_ANSWER_BYTES:
            return self
        return Answer(status=self.status, whole=False)


class Record(Struct, frozen=True, kw_only=True, array_like=True):
    """The latest claim of one key.

    Attributes:
        key: Digest of customer and key.
        host: The host of the claimer.
        started: The start of the claimer's incarnation.
        call: The claimer's call.
        mark: Digest of the request's fingerprint.
        state: The state of the claim.
        at: When the record was made, in seconds of the wall clock; only retention uses it.
        answer: The recorded answer of a claim that is DONE.
    """

    key: bytes
    host: str
    started: int
    call: str
    mark: bytes
    state: RecordState
    at: int
    answer: Answer | None = None

    @property
    def holder(self) -> Incarnation:
        """The process that made the claim, the only one that may send the call."""
        return Incarnation(host=HostName(self.host), started=self.started)

    def belongs_to(self, *, holder: Incarnation, call: CallId) -> bool:
        """Return whether this is the claim of a process for a call."""
        return self.call == call and self.holder == holder


class SegmentRef(Struct, frozen=True, kw_only=True, array_like=True):
    """A reference to a segment with older records of a shard.

    Attributes:
        first: Sequence number of the first open segment that it contains.
        last: Sequence number of the last one.
        size: Its size in bytes.
        until: The newest ``Record.at`` in it.
    """

    first: int
    last: int
    size: int
    until: int

    @property
    def width(self) -> int:
        """Number of open segments that it contains."""
        return self.last - self.first + 1


class Frozen(Struct, frozen=True, kw_only=True, array_like=True):
    """A full open segment, which waits to be stored as a separate object."""

    sequence: int
    records: tuple[Record, ...]


class Head(Struct, frozen=True, kw_only=True, array_like=True):
    """The object of a shard whose version every claim is conditional on.

    Attributes:
        sequence: The sequence number of the open segment.
        open: The newest records, one per key.
        frozen: The previous open segment, until it is stored.
        sealed: References to stored segments, oldest first.
        obsolete: References to segments that are to be deleted.
    """

    sequence: int = 1
    open: tuple[Record, ...] = ()
    frozen: Frozen | None = None
    sealed: tuple[SegmentRef, ...] = ()
    obsolete: tuple[SegmentRef, ...] = ()


_ENCODER = Encoder()
_HEAD_DECODER = Decoder(Head)
_SEGMENT_DECODER = Decoder(tuple[Record, ...])


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return _ENCODER.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head that a stored form encodes."""
    return _HEAD_DECODER.decode(value)


def encode_segment(records: tuple[Record, ...]) -> bytes:
    """Return the stored form of a segment; equal records give equal bytes."""
    return _ENCODER.encode(records)


def decode_segment(value: bytes) -> tuple[Record, ...]:
    """Return the records of a segment's stored form."""
    return _SEGMENT_DECODER.decode(value)


def head_name(shard: int) -> str:
    """Return the name of a shard's head."""
    return f"{shard:04d}"


def segment_name(shard: int, ref: SegmentRef) -> str:
    """Return the name of a segment; the content under a name never changes."""
    return f"{shard:04d}.{ref.first}-{ref.last}"


def key_digest(*, customer: CustomerName, key: str) -> bytes:
    """Return the digest under which a key is stored.

    It is cryptographic and includes the customer, so that no customer can choose a key that
    collides with another customer's.
    """
    owner = customer.encode()
    return blake2b(
        len(owner).to_bytes(4, "big") + owner + key.encode(), digest_size=KEY_BYTES
    ).digest()


def fingerprint_mark(fingerprint: str) -> bytes:
    """Return the digest that distinguishes different requests with the same key."""
    return blake2b(fingerprint.encode(), digest_size=MARK_BYTES).digest()


def shard_of(key: bytes) -> int:
    """Return the shard of a key's digest."""
    return xxh3_64_intdigest(key) % SHARDS
