"""What the owner side and the claimer side are told, and what they ask their shell to do."""

from collections.abc import Container

from azureswitch.coordination.claims._messages import Ask, ClaimAsk, Verdict
from azureswitch.coordination.claims._model import Answer, Head, Record, SegmentRef
from azureswitch.core import CallId, Effect, Event, Incarnation
from azureswitch.serving import ClaimOutcome

# --- Owner side: shards of the store --------------------------------------------------------------


class OwnerEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the owner side.

    Attributes:
        wall: The wall clock in seconds; only retention looks at it.
    """

    wall: float


class AskArrived(OwnerEvent, frozen=True, kw_only=True):
    """A claimer, here or on another host, asks for something.

    Attributes:
        number: Names the ask in this process.
        ask: What is asked.
    """

    number: int
    ask: Ask


class MembersSeen(OwnerEvent, frozen=True, kw_only=True):
    """The set of processes taken to be alive changed."""

    alive: Container[Incarnation]


class HeadRead(OwnerEvent, frozen=True, kw_only=True):
    """A shard's head was read; version zero where it does not exist."""

    shard: int
    version: int
    head: Head


class SegmentsRead(OwnerEvent, frozen=True, kw_only=True):
    """Segments were read, in the order of the refs; None where one does not exist."""

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


class HeadWriteLost(OwnerEvent, frozen=True, kw_only=True):
    """The answer to the write was lost; it may have taken effect or may yet."""

    shard: int


class SegmentStored(OwnerEvent, frozen=True, kw_only=True):
    """A segment stands as an object, written now or before."""

    shard: int
    ref: SegmentRef


class SegmentStoreFailed(OwnerEvent, frozen=True, kw_only=True):
    """A segment could not be stored, or it is not known whether it was."""

    shard: int


class SegmentsDeleted(OwnerEvent, frozen=True, kw_only=True):
    """Doomed segments are gone; those that could not be deleted are left out."""

    shard: int
    refs: tuple[SegmentRef, ...]


class OwnerTicked(OwnerEvent, frozen=True, kw_only=True):
    """Time passed."""


class ReadHead(Effect, frozen=True, kw_only=True):
    """Read a head; answer by HeadRead or ReadFailed."""

    shard: int


class ReadSegments(Effect, frozen=True, kw_only=True):
    """Read segments; answer by SegmentsRead or ReadFailed."""

    shard: int
    refs: tuple[SegmentRef, ...]


class WriteHead(Effect, frozen=True, kw_only=True):
    """Write a head whose version is still ``version``, or create it where that is zero."""

    shard: int
    version: int
    head: Head


class StoreSegment(Effect, frozen=True, kw_only=True):
    """Create a segment; one that exists already has the same content."""

    shard: int
    ref: SegmentRef
    records: tuple[Record, ...]


class DeleteSegments(Effect, frozen=True, kw_only=True):
    """Delete segments; answer by SegmentsDeleted."""

    shard: int
    refs: tuple[SegmentRef, ...]


class ReplyToAsk(Effect, frozen=True, kw_only=True):
    """Reply to an ask, once."""

    number: int
    verdict: Verdict
    answer: Answer | None = None


class InquireHolder(Effect, frozen=True, kw_only=True):
    """Ask a claimer whether it holds a claim; settle it as not run where it does not."""

    record: Record


# --- Claimer side: calls of this host -------------------------------------------------------------


class ClaimCalled(Event, frozen=True, kw_only=True):
    """A call of this host wants its claim until ``until``, on the monotonic clock."""

    ask: ClaimAsk
    until: float


class ClaimDropped(Event, frozen=True, kw_only=True):
    """The call no longer wants its claim and has not been sent."""

    call: CallId


class OutcomeKnown(Event, frozen=True, kw_only=True):
    """A claimed call ended."""

    call: CallId
    outcome: ClaimOutcome
    answer: Answer | None = None


class AskReplied(Event, frozen=True, kw_only=True):
    """An owner replied to the ask numbered ``attempt`` of a call."""

    call: CallId
    attempt: int
    verdict: Verdict
    answer: Answer | None = None


class AskFailed(Event, frozen=True, kw_only=True):
    """No reply came from the host that was asked."""

    call: CallId
    attempt: int


class ClaimerTicked(Event, frozen=True, kw_only=True):
    """Time passed."""


class SendAsk(Effect, frozen=True, kw_only=True):
    """Send an ask; answer by AskReplied or AskFailed.

    Attributes:
        ask: What to ask.
        attempt: Names the ask among those of its call.
        rank: Zero for the owner, one for the next in order, and from two on this process itself.
    """

    ask: Ask
    attempt: int
    rank: int


class ResolveClaim(Effect, frozen=True, kw_only=True):
    """End the wait of a call for its claim."""

    call: CallId
    verdict: Verdict
    answer: Answer | None = None
