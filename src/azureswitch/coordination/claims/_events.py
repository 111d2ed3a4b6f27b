"""Events and effects of the owner side and of the claimer side."""

from collections.abc import Container

from azureswitch.coordination.claims._messages import ClaimAsk, Request, Verdict
from azureswitch.coordination.claims._model import Answer, Head, Record, SegmentRef
from azureswitch.core import CallId, Effect, Event, Incarnation
from azureswitch.serving import ClaimOutcome

# --- Owner side: shards of the store --------------------------------------------------------------


class OwnerEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the owner side.

    Attributes:
        wall: The wall clock in seconds; only retention uses it.
    """

    wall: float


class RequestReceived(OwnerEvent, frozen=True, kw_only=True):
    """A request of a claimer arrived, from this or another host.

    Attributes:
        number: Identifies the request in this process.
        request: The request.
    """

    number: int
    request: Request


class MembersChanged(OwnerEvent, frozen=True, kw_only=True):
    """The set of processes that are assumed to be alive changed."""

    alive: Container[Incarnation]


class HeadRead(OwnerEvent, frozen=True, kw_only=True):
    """A shard's head was read; the version is zero if it does not exist."""

    shard: int
    version: int
    head: Head


class SegmentsRead(OwnerEvent, frozen=True, kw_only=True):
    """Segments were read, in the order of the references; None for one that does not exist."""

    shard: int
    refs: tuple[SegmentRef, ...]
    contents: tuple[tuple[Record, ...] | None, ...]


class ReadFailed(OwnerEvent, frozen=True, kw_only=True):
    """A head or segments could not be read."""

    shard: int


class HeadWritten(OwnerEvent, frozen=True, kw_only=True):
    """The head was written and has this version."""

    shard: int
    version: int


class HeadConflicted(OwnerEvent, frozen=True, kw_only=True):
    """Another owner wrote the head first; nothing was written."""

    shard: int


class HeadWriteFailed(OwnerEvent, frozen=True, kw_only=True):
    """The store refused the write; nothing was written."""

    shard: int


class HeadWriteUnknown(OwnerEvent, frozen=True, kw_only=True):
    """The outcome of the write is unknown; it may have taken effect or may yet do so."""

    shard: int


class SegmentStored(OwnerEvent, frozen=True, kw_only=True):
    """A segment is in the store, written now or before."""

    shard: int
    ref: SegmentRef


class SegmentStoreFailed(OwnerEvent, frozen=True, kw_only=True):
    """A segment could not be stored, or the outcome is unknown."""

    shard: int


class SegmentsDeleted(OwnerEvent, frozen=True, kw_only=True):
    """Obsolete segments were deleted, except those whose deletion failed."""

    shard: int
    refs: tuple[SegmentRef, ...]


class OwnerTicked(OwnerEvent, frozen=True, kw_only=True):
    """Time passed."""


class ReadHead(Effect, frozen=True, kw_only=True):
    """Read a head; `HeadRead` or `ReadFailed` follows."""

    shard: int


class ReadSegments(Effect, frozen=True, kw_only=True):
    """Read segments; `SegmentsRead` or `ReadFailed` follows."""

    shard: int
    refs: tuple[SegmentRef, ...]


class WriteHead(Effect, frozen=True, kw_only=True):
    """Update a head on condition that its version is ``version``; create it if that is zero."""

    shard: int
    version: int
    head: Head


class StoreSegment(Effect, frozen=True, kw_only=True):
    """Create a segment; one that exists already has the same content."""

    shard: int
    ref: SegmentRef
    records: tuple[Record, ...]


class DeleteSegments(Effect, frozen=True, kw_only=True):
    """Delete segments; `SegmentsDeleted` follows."""

    shard: int
    refs: tuple[SegmentRef, ...]


class SendReply(Effect, frozen=True, kw_only=True):
    """Reply to a request; each request has one reply."""

    number: int
    verdict: Verdict
    answer: Answer | None = None


class QueryHolder(Effect, frozen=True, kw_only=True):
    """Ask a claimer whether it holds a claim, and settle the claim as not run if it does not."""

    record: Record


# --- Claimer side: calls of this host -------------------------------------------------------------


class ClaimRequested(Event, frozen=True, kw_only=True):
    """A call of this host requests its claim until ``until``, on the monotonic clock."""

    request: ClaimAsk
    until: float


class ClaimCancelled(Event, frozen=True, kw_only=True):
    """A call that has not been sent no longer needs its claim."""

    call: CallId


class OutcomeReported(Event, frozen=True, kw_only=True):
    """A claimed call ended."""

    call: CallId
    outcome: ClaimOutcome
    answer: Answer | None = None


class ReplyReceived(Event, frozen=True, kw_only=True):
    """An owner replied to the request numbered ``attempt`` of a call."""

    call: CallId
    attempt: int
    verdict: Verdict
    answer: Answer | None = None


class RequestFailed(Event, frozen=True, kw_only=True):
    """The host that received the request did not reply."""

    call: CallId
    attempt: int


class ClaimerTicked(Event, frozen=True, kw_only=True):
    """Time passed."""


class SendRequest(Effect, frozen=True, kw_only=True):
    """Send a request; `ReplyReceived` or `RequestFailed` follows.

    Attributes:
        request: The request.
        attempt: Identifies the request among those of its call.
        rank: 0 for the owner, 1 for the next in order, and from 2 on this process itself.
    """

    request: Request
    attempt: int
    rank: int


class ResolveClaim(Effect, frozen=True, kw_only=True):
    """Return the verdict to a call that waits for its claim."""

    call: CallId
    verdict: Verdict
    answer: Answer | None = None
