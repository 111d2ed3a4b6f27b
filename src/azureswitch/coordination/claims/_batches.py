"""Batches of asks: each is decided on one version of a head and written conditionally."""

from collections.abc import Iterable

from azureswitch.coordination.claims._events import (
    InquireHolder,
    OwnerEvent,
    ReadHead,
    ReadSegments,
    ReplyToAsk,
    WriteHead,
)
from azureswitch.coordination.claims._layout import SEALED_LIMIT, next_head
from azureswitch.coordination.claims._messages import ClaimAsk, Verdict
from azureswitch.coordination.claims._model import Record, SegmentRef
from azureswitch.coordination.claims._rules import Ruling, rule
from azureswitch.coordination.claims._shard import Phase, Ruled, Shard
from azureswitch.coordination.claims._state import OwnerState
from azureswitch.core import NO_EFFECTS, Effect, Effects
from azureswitch.serving import ClaimOutcome

FLUSH_BOUND = 2.0
"""Seconds for which an outcome waits for a claim to ride along with."""

BATCH_LIMIT = 256
"""Asks of one batch at most."""

BATCH_BYTES = 131_072
"""Bytes of recorded answers in one batch, from which on it takes no more."""

OPEN_MOST = 131_072
"""Bytes of the open segment from which a shard takes no new claims.

It grows past `OPEN_LIMIT` only while the frozen one cannot be stored.  With a batch on top, and a
frozen segment as large, the head stays under the megabyte that the store takes.
"""

RECALL_PAUSE = 0.05
"""Seconds between reads of sealed segments for repeats, so that repeats cannot flood the store."""


def flush(shard: Shard, event: OwnerEvent, state: OwnerState) -> Effects:
    """Rule on what waits, and write it where anything changes."""
    waits = event.now < shard.next_write or not _is_due(shard, event.now)
    if waits or shard.phase is not Phase.READY:
        return NO_EFFECTS
    changes: dict[bytes, Record] = {}
    batch, effects = _rule_batch(shard, event, state, changes)
    if not batch:
        return effects
    if changes:
        return (*effects, *_write(shard, event, state, batch, changes))
    return (*effects, *_answer_or_reread(shard, batch, event.now))


def _is_due(shard: Shard, now: float) -> bool:
    return any(
        isinstance(item.ask, ClaimAsk)
        or item.ask.outcome is ClaimOutcome.NOT_RUN
        or now >= item.arrived + FLUSH_BOUND
        for item in shard.pending
    )


def _rule_batch(
    shard: Shard, event: OwnerEvent, state: OwnerState, changes: dict[bytes, Record]
) -> tuple[list[Ruled], list[Effect]]:
    batch: list[Ruled] = []
    effects: list[Effect] = []
    full = len(shard.head.sealed) >= SEALED_LIMIT or shard.open_bytes >= OPEN_MOST
    size = 0
    for pending in shard.pending:
        if len(batch) >= BATCH_LIMIT or size >= BATCH_BYTES:
            break
        ask = pending.ask
        record = _find(shard, ask.key, changes, event.wall - state._retention)
        if isinstance(record, SegmentRef):
            effects.extend(_recall(shard, record, event.now))
            continue
        ruling = rule(record=record, ask=ask, at=int(event.wall), alive=state._alive)
        if full and ruling.verdict is Verdict.GRANTED and ruling.record is not None:
            ruling = Ruling(verdict=Verdict.UNAVAILABLE)
        if ruling.record is not None:
            changes[ask.key] = ruling.record
            size += 0 if ruling.record.answer is None else ruling.record.answer.size
        batch.append(
            Ruled(
                pending=pending,
                verdict=ruling.verdict,
                answer=ruling.answer,
                holder=record if ruling.verdict is Verdict.IN_PROGRESS else None,
            )
        )
    return batch, effects


def _find(
    shard: Shard, key: bytes, changes: dict[bytes, Record], expired_before: float
) -> Record | SegmentRef | None:
    record: Record | SegmentRef | None = changes.get(key) or shard.open_record(key)
    if record is None:
        record = shard.sealed_record(key)
    if isinstance(record, Record) and record.at < expired_before:
        return None
    return record


def _recall(shard: Shard, ref: SegmentRef, now: float) -> Effects:
    if shard.recalling or now < shard.next_recall:
        return NO_EFFECTS
    shard.recalling = True
    shard.next_recall = now + RECALL_PAUSE
    return (ReadSegments(shard=shard.number, refs=(ref,)),)


def _write(
    shard: Shard,
    event: OwnerEvent,
    state: OwnerState,
    batch: list[Ruled],
    changes: dict[bytes, Record],
) -> Effects:
    _take(shard, batch)
    shard.batch = batch
    shard.issue(Phase.WRITING)
    shard.next_write = event.now + state._interval
    moving = shard.storing or shard.merging
    shard.written = next_head(
        head=shard.head,
        changes=changes,
        stored=shard.stored,
        deleted=shard.deleted,
        expired_before=0.0 if moving else event.wall - state._retention,
    )
    return (WriteHead(shard=shard.number, version=shard.version, head=shard.written),)


def _answer_or_reread(shard: Shard, batch: list[Ruled], now: float) -> Effects:
    if all(shard.confirms(item.pending) for item in batch):
        _take(shard, batch)
        return replies(batch)
    if now < shard.next_read:
        return NO_EFFECTS
    return read_head(shard)


def _take(shard: Shard, batch: list[Ruled]) -> None:
    taken = {item.pending.number for item in batch}
    shard.pending = [item for item in shard.pending if item.number not in taken]


def replies(batch: Iterable[Ruled]) -> Effects:
    effects: list[Effect] = []
    for item in batch:
        effects.append(
            ReplyToAsk(number=item.pending.number, verdict=item.verdict, answer=item.answer)
        )
        if item.holder is not None:
            effects.append(InquireHolder(record=item.holder))
    return effects


def read_head(shard: Shard) -> Effects:
    shard.issue(Phase.READING)
    return (ReadHead(shard=shard.number),)
