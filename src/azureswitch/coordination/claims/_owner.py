"""The owner side: commits requests in batches, each by one conditional update of a head.

Any process may act as the owner of any shard at any time.  A batch is computed from one version of
the head and written on condition of that version, so an owner with an outdated view writes nothing.
A verdict that writes nothing is returned only from a view that was read after the request arrived.
"""

from collections.abc import Iterable
from functools import singledispatch

from absl import logging

from azureswitch.coordination.claims._batches import flush, read_head, replies
from azureswitch.coordination.claims._events import (
    HeadConflicted,
    HeadRead,
    HeadWriteFailed,
    HeadWriteUnknown,
    HeadWritten,
    MembersChanged,
    OwnerEvent,
    OwnerTicked,
    ReadFailed,
    ReadSegments,
    RequestReceived,
    SegmentsDeleted,
    SegmentsRead,
    SegmentStored,
    SegmentStoreFailed,
    SendReply,
)
from azureswitch.coordination.claims._messages import ClaimAsk, Verdict
from azureswitch.coordination.claims._segments import maintain_segments, store_merged
from azureswitch.coordination.claims._shard import PendingRequest, Phase, Shard
from azureswitch.coordination.claims._state import OwnerState
from azureswitch.core import NO_EFFECTS, Effect, Effects

STORE_RETRY_SECONDS = 0.5
"""Seconds after a failure of the store for which requests are refused at once."""

MAX_PENDING_REQUESTS = 2_000
"""Upper bound of the pending requests of one shard."""

SEGMENTS_PER_READ = 8
"""Number of segments that are read together when a process takes over a shard."""

LOG_INTERVAL_SECONDS = 10
"""Minimum time in seconds between two log lines on a failing store."""

IDLE_SECONDS = 120.0
"""Seconds without a request after which the view of a shard is dropped."""


@singledispatch
def reduce(event: OwnerEvent, state: OwnerState) -> Effects:
    """Apply one event.

    Args:
        event: What happened; its type selects the handler.
        state: The owner's state, which is updated in place.

    Returns:
        The effects that the shell must execute, in order.
    """
    raise NotImplementedError(type(event).__name__)


# --- Requests -------------------------------------------------------------------------------------


@reduce.register
def _on_request(event: RequestReceived, state: OwnerState) -> Effects:
    shard = state.shard(event.request.shard)
    shard.used_at = event.now
    refused = shard.phase is Phase.COLD and event.now < shard.retry_at
    if refused or len(shard.pending) >= MAX_PENDING_REQUESTS:
        return (SendReply(number=event.number, verdict=Verdict.UNAVAILABLE),)
    shard.enqueue(number=event.number, request=event.request, arrived=event.now)
    if shard.phase is Phase.COLD:
        return read_head(shard)
    return flush(shard, event, state)


@reduce.register
def _on_members(event: MembersChanged, state: OwnerState) -> Effects:
    state.alive = event.alive
    return NO_EFFECTS


@reduce.register
def _on_tick(event: OwnerTicked, state: OwnerState) -> Effects:
    effects: list[Effect] = []
    for shard in tuple(state.shards.values()):
        effects.extend(_reject_expired(shard, event.now))
        if shard.phase is Phase.COLD and shard.pending and event.now >= shard.retry_at:
            effects.extend(read_head(shard))
        effects.extend(flush(shard, event, state))
        idle = not shard.pending and shard.phase in (Phase.READY, Phase.COLD)
        if idle and event.now - shard.used_at > IDLE_SECONDS:
            del state.shards[shard.number]
    return effects


def _reject_expired(shard: Shard, now: float) -> Effects:
    expired = [item for item in shard.pending if _is_expired(item, now)]
    if not expired:
        return NO_EFFECTS
    shard.pending = [item for item in shard.pending if not _is_expired(item, now)]
    return _reject(expired)


def _is_expired(pending: PendingRequest, now: float) -> bool:
    return isinstance(pending.request, ClaimAsk) and now > pending.arrived + pending.request.wait


def _reject(items: Iterable[PendingRequest]) -> Effects:
    return tuple(
        SendReply(
            number=item.number,
            verdict=Verdict.UNAVAILABLE if item.uncertain_version is None else Verdict.UNCERTAIN,
        )
        for item in items
    )


# --- Results of store calls -----------------------------------------------------------------------


@reduce.register
def _on_head(event: HeadRead, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    if shard.phase is not Phase.READING:
        return NO_EFFECTS
    shard.next_read = event.now + state.write_interval
    if event.version != shard.version or shard.version == 0:
        logging.debug("claims: Shard %d is at version %d.", event.shard, event.version)
    shard.adopt(head=event.head, version=event.version)
    return _continue_indexing(shard, event, state)


def _continue_indexing(shard: Shard, event: OwnerEvent, state: OwnerState) -> Effects:
    unindexed = shard.unindexed
    if unindexed:
        shard.phase = Phase.INDEXING
        return (ReadSegments(shard=shard.number, refs=unindexed[:SEGMENTS_PER_READ]),)
    shard.phase = Phase.READY
    return (*maintain_segments(shard), *flush(shard, event, state))


@reduce.register
def _on_segments(event: SegmentsRead, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    contents = tuple(content for content in event.contents if content is not None)
    merging = event.refs == shard.merging
    if merging:
        shard.merging = ()
    if len(contents) < len(event.refs):
        return _on_segment_missing(shard, event.now)
    for ref, records in zip(event.refs, contents, strict=True):
        if ref in shard.unindexed:
            shard.index(ref=ref, records=records)
    if shard.phase is Phase.INDEXING and not merging:
        return _continue_indexing(shard, event, state)
    if merging:
        return store_merged(shard, event.refs, contents)
    shard.loading_segment = False
    shard.cache(ref=event.refs[0], records=contents[0])
    return flush(shard, event, state)


def _on_segment_missing(shard: Shard, now: float) -> Effects:
    """Read the head again, as only an outdated head refers to a deleted segment."""
    shard.loading_segment = False
    if shard.phase is Phase.INDEXING:
        return _back_off(shard, now)
    if shard.phase is Phase.READY:
        return read_head(shard)
    return NO_EFFECTS


@reduce.register
def _on_read_failed(event: ReadFailed, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    shard.loading_segment = False
    shard.merging = ()
    if shard.phase is Phase.WRITING:
        return NO_EFFECTS
    return _back_off(shard, event.now)


@reduce.register
def _on_written(event: HeadWritten, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    batch, shard.batch = shard.batch, []
    shard.adopt(head=shard.written, version=event.version)
    return (*replies(batch), *_continue_indexing(shard, event, state))


@reduce.register
def _on_conflict(event: HeadConflicted, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    _requeue(shard)
    return read_head(shard)


@reduce.register
def _on_write_unknown(event: HeadWriteUnknown, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    for item in shard.batch:
        item.pending.uncertain_version = shard.version
    _requeue(shard)
    return read_head(shard)


@reduce.register
def _on_write_failed(event: HeadWriteFailed, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    _requeue(shard)
    return _back_off(shard, event.now)


def _requeue(shard: Shard) -> None:
    shard.pending = [item.pending for item in shard.batch] + shard.pending
    shard.batch = []


def _back_off(shard: Shard, now: float) -> Effects:
    """Refuse the pending requests, and further ones until the store is tried again."""
    logging.log_every_n_seconds(
        logging.WARNING,
        "claims: The store failed for shard %d.",
        LOG_INTERVAL_SECONDS,
        shard.number,
    )
    pending, shard.pending = shard.pending, []
    shard.phase = Phase.COLD
    shard.retry_at = now + STORE_RETRY_SECONDS
    return _reject(pending)


# --- Segments -------------------------------------------------------------------------------------


@reduce.register
def _on_segment_stored(event: SegmentStored, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    shard.storing = False
    shard.stored.add(event.ref)
    return NO_EFFECTS


@reduce.register
def _on_segment_store_failed(event: SegmentStoreFailed, state: OwnerState) -> Effects:
    state.shard(event.shard).storing = False
    return NO_EFFECTS


@reduce.register
def _on_segments_deleted(event: SegmentsDeleted, state: OwnerState) -> Effects:
    shard = state.shard(event.shard)
    shard.deleting = False
    shard.deleted.update(event.refs)
    return NO_EFFECTS
