"""The owner side: commits asks in batches, each batch by one conditional update of a head.

Any process may act as the owner of any shard at any time.  A batch is computed from one version of
the head and written on condition of that version, so whoever has an old view writes nothing.  A
verdict that writes nothing is given only from a view that was read after the ask came.
"""

from collections.abc import Iterable
from functools import singledispatch

from absl import logging

from azureswitch.coordination.claims._batches import flush, read_head, replies
from azureswitch.coordination.claims._events import (
    AskArrived,
    HeadConflicted,
    HeadRead,
    HeadWriteFailed,
    HeadWriteLost,
    HeadWritten,
    MembersSeen,
    OwnerEvent,
    OwnerTicked,
    ReadFailed,
    ReadSegments,
    ReplyToAsk,
    SegmentsDeleted,
    SegmentsRead,
    SegmentStored,
    SegmentStoreFailed,
)
from azureswitch.coordination.claims._messages import ClaimAsk, Verdict
from azureswitch.coordination.claims._segments import maintain, store_merged
from azureswitch.coordination.claims._shard import Pending, Phase, Shard
from azureswitch.coordination.claims._state import OwnerState
from azureswitch.core import NO_EFFECTS, Effect, Effects

STORE_RETRY = 0.5
"""Seconds for which asks are refused at once after the store failed."""

PENDING_LIMIT = 2_000
"""Asks that wait at one shard at most."""

INDEX_CHUNK = 8
"""Segments that are read at once when a shard is taken over."""

LOG_EVERY = 10
"""Seconds between log lines on a failing store."""

IDLE = 120.0
"""Seconds after which the view of an unused shard is dropped."""


@singledispatch
def reduce(event: OwnerEvent, state: OwnerState) -> Effects:
    """Apply one event.

    Args:
        event: What happened; the handler is picked by its type.
        state: The owner's state, updated in place.

    Returns:
        What the shell must do.
    """
    raise NotImplementedError(type(event).__name__)


# --- Asks -----------------------------------------------------------------------------------------


@reduce.register
def _on_ask(event: AskArrived, state: OwnerState) -> Effects:
    shard = state._shard(event.ask.shard)
    shard.used_at = event.now
    refused = shard.phase is Phase.COLD and event.now < shard.retry_at
    if refused or len(shard.pending) >= PENDING_LIMIT:
        return (ReplyToAsk(number=event.number, verdict=Verdict.UNAVAILABLE),)
    shard.enqueue(number=event.number, ask=event.ask, arrived=event.now)
    if shard.phase is Phase.COLD:
        return read_head(shard)
    return flush(shard, event, state)


@reduce.register
def _on_members(event: MembersSeen, state: OwnerState) -> Effects:
    state._alive = event.alive
    return NO_EFFECTS


@reduce.register
def _on_tick(event: OwnerTicked, state: OwnerState) -> Effects:
    effects: list[Effect] = []
    for shard in tuple(state._shards.values()):
        effects.extend(_drop_late(shard, event.now))
        if shard.phase is Phase.COLD and shard.pending and event.now >= shard.retry_at:
            effects.extend(read_head(shard))
        effects.extend(flush(shard, event, state))
        idle = not shard.pending and shard.phase in (Phase.READY, Phase.COLD)
        if idle and event.now - shard.used_at > IDLE:
            del state._shards[shard.number]
    return effects


def _drop_late(shard: Shard, now: float) -> Effects:
    late = [item for item in shard.pending if _is_late(item, now)]
    if not late:
        return NO_EFFECTS
    shard.pending = [item for item in shard.pending if not _is_late(item, now)]
    return _refuse(late)


def _is_late(pending: Pending, now: float) -> bool:
    return isinstance(pending.ask, ClaimAsk) and now > pending.arrived + pending.ask.wait


def _refuse(items: Iterable[Pending]) -> Effects:
    return tuple(
        ReplyToAsk(
            number=item.number,
            verdict=Verdict.UNAVAILABLE if item.exposed is None else Verdict.UNCERTAIN,
        )
        for item in items
    )


# --- What the store says --------------------------------------------------------------------------


@reduce.register
def _on_head(event: HeadRead, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    if shard.phase is not Phase.READING:
        return NO_EFFECTS
    shard.next_read = event.now + state._interval
    if event.version != shard.version or shard.version == 0:
        logging.debug("claims: Shard %d is at version %d.", event.shard, event.version)
    shard.adopt(head=event.head, version=event.version)
    return _index_or_go_on(shard, event, state)


def _index_or_go_on(shard: Shard, event: OwnerEvent, state: OwnerState) -> Effects:
    missing = shard.missing
    if missing:
        shard.phase = Phase.INDEXING
        return (ReadSegments(shard=shard.number, refs=missing[:INDEX_CHUNK]),)
    shard.phase = Phase.READY
    return (*maintain(shard), *flush(shard, event, state))


@reduce.register
def _on_segments(event: SegmentsRead, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    contents = tuple(content for content in event.contents if content is not None)
    merging = event.refs == shard.merging
    if merging:
        shard.merging = ()
    if len(contents) < len(event.refs):
        return _on_segment_gone(shard, event.now)
    for ref, records in zip(event.refs, contents, strict=True):
        if ref in shard.missing:
            shard.index(ref=ref, records=records)
    if shard.phase is Phase.INDEXING and not merging:
        return _index_or_go_on(shard, event, state)
    if merging:
        return store_merged(shard, event.refs, contents)
    shard.recalling = False
    shard.cache(ref=event.refs[0], records=contents[0])
    return flush(shard, event, state)


def _on_segment_gone(shard: Shard, now: float) -> Effects:
    """Read the head again: only a head that is no longer in the store names a deleted segment."""
    shard.recalling = False
    if shard.phase is Phase.INDEXING:
        return _store_failed(shard, now)
    if shard.phase is Phase.READY:
        return read_head(shard)
    return NO_EFFECTS


@reduce.register
def _on_read_failed(event: ReadFailed, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    shard.recalling = False
    shard.merging = ()
    if shard.phase is Phase.WRITING:
        return NO_EFFECTS
    return _store_failed(shard, event.now)


@reduce.register
def _on_written(event: HeadWritten, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    batch, shard.batch = shard.batch, []
    shard.adopt(head=shard.written, version=event.version)
    return (*replies(batch), *_index_or_go_on(shard, event, state))


@reduce.register
def _on_conflict(event: HeadConflicted, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    _requeue(shard)
    return read_head(shard)


@reduce.register
def _on_write_lost(event: HeadWriteLost, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    for item in shard.batch:
        item.pending.exposed = shard.version
    _requeue(shard)
    return read_head(shard)


@reduce.register
def _on_write_failed(event: HeadWriteFailed, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    _requeue(shard)
    return _store_failed(shard, event.now)


def _requeue(shard: Shard) -> None:
    shard.pending = [item.pending for item in shard.batch] + shard.pending
    shard.batch = []


def _store_failed(shard: Shard, now: float) -> Effects:
    """Refuse what waits at once, and all that comes until the store is tried again."""
    logging.log_every_n_seconds(
        logging.WARNING, "claims: The store failed for shard %d.", LOG_EVERY, shard.number
    )
    pending, shard.pending = shard.pending, []
    shard.phase = Phase.COLD
    shard.retry_at = now + STORE_RETRY
    return _refuse(pending)


# --- Segments -------------------------------------------------------------------------------------


@reduce.register
def _on_stored(event: SegmentStored, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    shard.storing = False
    shard.stored.add(event.ref)
    return NO_EFFECTS


@reduce.register
def _on_store_failed(event: SegmentStoreFailed, state: OwnerState) -> Effects:
    state._shard(event.shard).storing = False
    return NO_EFFECTS


@reduce.register
def _on_deleted(event: SegmentsDeleted, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    shard.deleting = False
    shard.deleted.update(event.refs)
    return NO_EFFECTS
