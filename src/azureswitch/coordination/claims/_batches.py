"""Batches of requests: each is decided on one version of a head and written conditionally."""

from collections.abc import Iterable

from azureswitch.coordination.claims._events import (
    OwnerEvent,
    QueryHolder,
    ReadHead,
    ReadSegments,
    SendReply,
    WriteHead,
)
from azureswitch.coordination.claims._layout import MAX_SEALED_SEGMENTS, next_head
from azureswitch.coordination.claims._messages import ClaimAsk, Verdict
from azureswitch.coordination.claims._model import Record, SegmentRef
from azureswitch.coordination.claims._rules import Decision, decide
from azureswitch.coordination.claims._shard import DecidedRequest, Phase, Shard
from azureswitch.coordination.claims._state import OwnerState
from azureswitch.core import NO_EFFECTS, Effect, Effects
from azureswitch.serving import ClaimOutcome

MAX_OUTCOME_DELAY_SECONDS = 2.0
"""Longest time in seconds for which an outcome waits to be written together with a claim."""

MAX_BATCH_REQUESTS = 256
"""Upper bound of the requests in one batch."""

MAX_BATCH_ANSWER_BYTES = 131_072
"""Bytes of recorded answers from which a batch takes no further requests."""

MAX_OPEN_BYTES = 131_072
"""Bytes of the open segment from which a shard accepts no new claims.

It exceeds `FREEZE_BYTES` only while the frozen segment cannot be stored.  With a further batch and
a frozen segment of the same size, the head stays below the store's limit of a megabyte.
"""

MIN_SEGMENT_READ_SECONDS = 0.05
"""Minimum time in seconds between two reads of a shard's sealed segments for repeated keys.

It bounds the load that repeats put on the store.
"""


def flush(shard: Shard, event: OwnerEvent, state: OwnerState) -> Effects:
    """Decide the pending requests as a batch, and write the head if records change."""
    too_early = event.now < shard.next_write or not _is_due(shard, event.now)
    if too_early or shard.phase is not Phase.READY:
        return NO_EFFECTS
    changes: dict[bytes, Record] = {}
    batch, effects = _decide_batch(shard, event, state, changes)
    if not batch:
        return effects
    if changes:
        return (*effects, *_write(shard, event, state, batch, changes))
    return (*effects, *_reply_or_reread(shard, batch, event.now))


def _is_due(shard: Shard, now: float) -> bool:
    return any(
        isinstance(item.request, ClaimAsk)
        or item.request.outcome is ClaimOutcome.NOT_RUN
        or now >= item.arrived + MAX_OUTCOME_DELAY_SECONDS
        for item in shard.pending
    )


def _decide_batch(
    shard: Shard, event: OwnerEvent, state: OwnerState, changes: dict[bytes, Record]
) -> tuple[list[DecidedRequest], list[Effect]]:
    batch: list[DecidedRequest] = []
    effects: list[Effect] = []
    full = len(shard.head.sealed) >= MAX_SEALED_SEGMENTS or shard.open_bytes >= MAX_OPEN_BYTES
    size = 0
    for pending in shard.pending:
        if len(batch) >= MAX_BATCH_REQUESTS or size >= MAX_BATCH_ANSWER_BYTES:
            break
        request = pending.request
        record = _find_record(shard, request.key, changes, event.wall - state.retention)
        if isinstance(record, SegmentRef):
            effects.extend(_load_segment(shard, record, event.now))
            continue
        decision = decide(record=record, request=request, at=int(event.wall), alive=state.alive)
        if full and decision.verdict is Verdict.GRANTED and decision.record is not None:
            decision = Decision(verdict=Verdict.UNAVAILABLE)
        if decision.record is not None:
            changes[request.key] = decision.record
            size += 0 if decision.record.answer is None else decision.record.answer.size
        batch.append(
            DecidedRequest(
                pending=pending,
                verdict=decision.verdict,
                answer=decision.answer,
                holder=record if decision.verdict is Verdict.IN_PROGRESS else None,
            )
        )
    return batch, effects


def _find_record(
    shard: Shard, key: bytes, changes: dict[bytes, Record], expired_before: float
) -> Record | SegmentRef | None:
    record: Record | SegmentRef | None = changes.get(key) or shard.open_record(key)
    if record is None:
        record = shard.sealed_record(key)
    if isinstance(record, Record) and record.at < expired_before:
        return None
    return record


def _load_segment(shard: Shard, ref: SegmentRef, now: float) -> Effects:
    if shard.loading_segment or now < shard.next_segment_read:
        return NO_EFFECTS
    shard.loading_segment = True
    shard.next_segment_read = now + MIN_SEGMENT_READ_SECONDS
    return (ReadSegments(shard=shard.number, refs=(ref,)),)


def _write(
    shard: Shard,
    event: OwnerEvent,
    state: OwnerState,
    batch: list[DecidedRequest],
    changes: dict[bytes, Record],
) -> Effects:
    _remove_pending(shard, batch)
    shard.batch = batch
    shard.issue(Phase.WRITING)
    shard.next_write = event.now + state.write_interval
    rearranging = shard.storing or shard.merging
    shard.written = next_head(
        head=shard.head,
        changes=changes,
        stored=shard.stored,
        deleted=shard.deleted,
        expired_before=0.0 if rearranging else event.wall - state.retention,
    )
    return (WriteHead(shard=shard.number, version=shard.version, head=shard.written),)


def _reply_or_reread(shard: Shard, batch: list[DecidedRequest], now: float) -> Effects:
    if all(shard.confirms(item.pending) for item in batch):
        _remove_pending(shard, batch)
        return replies(batch)
    if now < shard.next_read:
        return NO_EFFECTS
    return read_head(shard)


def _remove_pending(shard: Shard, batch: list[DecidedRequest]) -> None:
    removed = {item.pending.number for item in batch}
    shard.pending = [item for item in shard.pending if item.number not in removed]


def replies(batch: Iterable[DecidedRequest]) -> Effects:
    """Return the replies to a batch, and queries to the holders of claims in progress."""
    effects: list[Effect] = []
    for item in batch:
        effects.append(
            SendReply(number=item.pending.number, verdict=item.verdict, answer=item.answer)
        )
        if item.holder is not None:
            effects.append(QueryHolder(record=item.holder))
    return effects


def read_head(shard: Shard) -> Effects:
    """Read the head of a shard."""
    shard.issue(Phase.READING)
    return (ReadHead(shard=shard.number),)
