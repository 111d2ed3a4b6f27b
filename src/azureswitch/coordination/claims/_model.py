"""What the store holds of claims.

The stored types are `msgspec.Struct` instead of data classes: encoded as arrays they take half the
bytes, and bytes written are what claims cost.
"""

from enum import IntEnum
from hashlib import blake2b

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

from azureswitch.core import CallId, CustomerName, HostName, Incarnation

SHARDS = 16
"""Shards over which keys are spread; the same on every host and for good."""

KEY_BYTES = 16
"""Bytes of a key's digest."""

MARK_BYTES = 8
"""Bytes of a fingerprint's digest."""

ANSWER_LIMIT = 4_096
"""Bytes of a recorded answer's headers and body at most."""

HEAD_KIND = "claim-head"
SEGMENT_KIND = "claim-segment"


class RecordState(IntEnum):
    """What is known of the latest claim of a key."""

    CLAIMED = 1
    NOT_RUN = 2
    DONE = 3
    UNKNOWN = 4


class Answer(Struct, frozen=True, kw_only=True, array_like=True):
    """The recorded answer of a target.

    Attributes:
        status: The HTTP status.
        headers: Names and values.
        body: The body; empty where ``whole`` is false.
        whole: Whether headers and body fitted into `ANSWER_LIMIT`.
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
        """Return this answer, without headers and body where they are too large to record."""
        if self.size <= ANSWER_LIMIT:
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
        state: What is known of the claim.
        at: When the record was made, in seconds of the wall clock; only retention looks at it.
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
        """The process that made the claim and alone may send the call."""
        return Incarnation(host=HostName(self.host), started=self.started)

    def belongs_to(self, *, holder: Incarnation, call: CallId) -> bool:
        """Whether this is the claim of that process for that call."""
        return self.call == call and self.holder == holder


class SegmentRef(Struct, frozen=True, kw_only=True, array_like=True):
    """Where older records of a shard lie.

    Attributes:
        first: Sequence number of the first open segment that went into it.
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
        """How many open segments went into it."""
        return self.last - self.first + 1


class Frozen(Struct, frozen=True, kw_only=True, array_like=True):
    """An open segment that is full and waits until it stands as an object of its own."""

    sequence: int
    records: tuple[Record, ...]


class Head(Struct, frozen=True, kw_only=True, array_like=True):
    """The one object of a shard by whose version every claim is decided.

    Attributes:
        sequence: The number of the open segment.
        open: The newest records, one a key.
        frozen: The open segment before, until it is stored.
        sealed: References to stored segments, oldest first.
        doomed: References to segments that are to be deleted.
    """

    sequence: int = 1
    open: tuple[Record, ...] = ()
    frozen: Frozen | None = None
    sealed: tuple[SegmentRef, ...] = ()
    doomed: tuple[SegmentRef, ...] = ()


_ENCODER = Encoder()
_HEADS = Decoder(Head)
_SEGMENTS = Decoder(tuple[Record, ...])


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return _ENCODER.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head of its stored form."""
    return _HEADS.decode(value)


def encode_segment(records: tuple[Record, ...]) -> bytes:
    """Return the stored form of a segment; equal records give equal bytes."""
    return _ENCODER.encode(records)


def decode_segment(value: bytes) -> tuple[Record, ...]:
    """Return the records of a segment's stored form."""
    return _SEGMENTS.decode(value)


def head_name(shard: int) -> str:
    """Return the name of a shard's head."""
    return f"{shard:04d}"


def segment_name(shard: int, ref: SegmentRef) -> str:
    """Return the name of a segment, which stands for one content for good."""
    return f"{shard:04d}.{ref.first}-{ref.last}"


def key_digest(*, customer: CustomerName, key: str) -> bytes:
    """Return the digest under which a key is kept.

    It is a cryptographic one, over the customer too: no customer can choose a key that meets
    another customer's.
    """
    owner = customer.encode()
    return blake2b(
        len(owner).to_bytes(4, "big") + owner + key.encode(), digest_size=KEY_BYTES
    ).digest()


def fingerprint_mark(fingerprint: str) -> bytes:
    """Return the digest by which another request with the same key is told apart."""
    return blake2b(fingerprint.encode(), digest_size=MARK_BYTES).digest()


def shard_of(key: bytes) -> int:
    """Return the shard of a key's digest."""
    return xxh3_64_intdigest(key) % SHARDS
