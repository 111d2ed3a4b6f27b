"""The owner side: commits asks in batches, each batch by one conditional update of a head.

Any process may act as the owner of any shard at any time.  A batch is computed from one version of
the head and written on condition of that version, so whoever has an old view writes nothing.  A
verdict that writes nothing is given only from a view that was read after the ask came.
"""

from collections.abc import Container, Iterable
from functools import singledispatch

from absl import logging

from azureswitch.coordination.claims._events import (
    AskArrived,
    DeleteSegments,
    HeadConflicted,
    HeadRead,
    HeadWriteFailed,
    HeadWriteLost,
    HeadWritten,
    InquireHolder,
    MembersSeen,
    OwnerEvent,
    OwnerTicked,
    ReadFailed,
    ReadHead,
    ReadSegments,
    ReplyToAsk,
    SegmentsDeleted,
    SegmentsRead,
    SegmentStored,
    SegmentStoreFailed,
    StoreSegment,
    WriteHead,
)
from azureswitch.coordination.claims._layout import (
    SEALED_LIMIT,
    merge,
    mergeable,
    merged_ref,
    next_head,
    sealed_ref,
)
from azureswitch.coordination.claims._messages import ClaimAsk, Verdict
from azureswitch.coordination.claims._model import SHARDS, Record, SegmentRef
from azureswitch.coordination.claims._presence import Presumed
from azureswitch.coordination.claims._rules import Ruling, rule
from azureswitch.coordination.claims._shard import Pending, Phase, Ruled, Shard
from azureswitch.core import NO_EFFECTS, Effect, Effects, Incarnation
from azureswitch.serving import ClaimOutcome

WRITE_BUDGET = 64.0
"""Writes of heads a second by the whole fleet at most, while each shard has one owner."""

FLUSH_BOUND = 2.0
"""Seconds for which an outcome waits for a claim to ride along with."""

STORE_RETRY = 0.5
"""Seconds for which asks are refused at once after the store failed."""

PENDING_LIMIT = 2_000
"""Asks that wait at one shard at most."""

BATCH_LIMIT = 256
"""Asks of one batch at most."""

BATCH_BYTES = 131_072
"""Bytes of recorded answers in one batch, from which on it takes no more."""

OPEN_MOST = 131_072
"""Bytes of the open segment from which a shard takes no new claims.

It grows past `OPEN_LIMIT` only while the frozen one cannot be stored.  With a batch on top, and a
frozen segment as large, the head stays under the megabyte that the store takes.
"""

INDEX_CHUNK = 8
"""Segments that are read at once when a shard is taken over."""

RECALL_PAUSE = 0.05
"""Seconds between reads of sealed segments for repeats, so that repeats cannot flood the store."""

LOG_EVERY = 10
"""Seconds between log lines on a failing store."""

IDLE = 120.0
"""Seconds after which the view of an unused shard is dropped."""


class OwnerState:
    """The shards that this process commits for.

    Args:
        retention: Seconds for which a key is remembered.
        budget: Writes of heads a second by the whole fleet.
    """

    def __init__(self, *, retention: float, budget: float = WRITE_BUDGET) -> None:
        self._retention = retention
        self._interval = SHARDS / budget
        self._alive: Container[Incarnation] = Presumed(known=())
        self._shards: dict[int, Shard] = {}

    @property
    def retention(self) -> float:
        """Seconds for which a key is remembered; it may be changed at any time."""
        return self._retention

    @retention.setter
    def retention(self, seconds: float) -> None:
        self._retention = seconds

    @property
    def waiting(self) -> int:
        """How many asks wait for a verdict."""
        return sum(len(shard.pending) + len(shard.batch) for shard in self._shards.values())

    @property
    def indexed_keys(self) -> int:
        """How many keys of sealed segments are known here."""
        return sum(shard.indexed_keys for shard in self._shards.values())

    def _shard(self, number: int) -> Shard:
        if number not in self._shards:
            self._shards[number] = Shard(number=number)
        return self._shards[number]


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
        return _read_head(shard)
    return _flush(shard, event, state)


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
            effects.extend(_read_head(shard))
        effects.extend(_flush(shard, event, state))
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


# --- Batches --------------------------------------------------------------------------------------


def _flush(shard: Shard, event: OwnerEvent, state: OwnerState) -> Effects:
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
        return _replies(batch)
    if now < shard.next_read:
        return NO_EFFECTS
    return _read_head(shard)


def _take(shard: Shard, batch: list[Ruled]) -> None:
    taken = {item.pending.number for item in batch}
    shard.pending = [item for item in shard.pending if item.number not in taken]


def _replies(batch: Iterable[Ruled]) -> Effects:
    effects: list[Effect] = []
    for item in batch:
        effects.append(
            ReplyToAsk(number=item.pending.number, verdict=item.verdict, answer=item.answer)
        )
        if item.holder is not None:
            effects.append(InquireHolder(record=item.holder))
    return effects


def _read_head(shard: Shard) -> Effects:
    shard.issue(Phase.READING)
    return (ReadHead(shard=shard.number),)


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
    return (*_maintain(shard), *_flush(shard, event, state))


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
        return _store_merged(shard, event.refs, contents)
    shard.recalling = False
    shard.cache(ref=event.refs[0], records=contents[0])
    return _flush(shard, event, state)


def _on_segment_gone(shard: Shard, now: float) -> Effects:
    """Read the head again: only a head that is no longer in the store names a deleted segment."""
    shard.recalling = False
    if shard.phase is Phase.INDEXING:
        return _store_failed(shard, now)
    if shard.phase is Phase.READY:
        return _read_head(shard)
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
    return (*_replies(batch), *_index_or_go_on(shard, event, state))


@reduce.register
def _on_conflict(event: HeadConflicted, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    _requeue(shard)
    return _read_head(shard)


@reduce.register
def _on_write_lost(event: HeadWriteLost, state: OwnerState) -> Effects:
    shard = state._shard(event.shard)
    for item in shard.batch:
        item.pending.exposed = shard.version
    _requeue(shard)
    return _read_head(shard)


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


def _maintain(shard: Shard) -> Effects:
    """Move records out of the head in the background, one step at a time."""
    doomed = tuple(ref for ref in shard.head.doomed if ref not in shard.deleted)
    effects: list[Effect] = []
    if doomed and not shard.deleting:
        shard.deleting = True
        effects.append(DeleteSegments(shard=shard.number, refs=doomed))
    if shard.storing or shard.merging:
        return effects
    frozen = shard.head.frozen
    if frozen is not None and sealed_ref(frozen) not in shard.stored:
        return (*effects, *_store(shard, sealed_ref(frozen), frozen.records))
    run = mergeable(shard.head.sealed)
    if run and not any(ref.first == run[0].first for ref in shard.stored):
        shard.merging = run
        effects.append(ReadSegments(shard=shard.number, refs=run))
    return effects


def _store(shard: Shard, ref: SegmentRef, records: tuple[Record, ...]) -> Effects:
    shard.storing = True
    shard.index(ref=ref, records=records)
    return (StoreSegment(shard=shard.number, ref=ref, records=records),)


def _store_merged(
    shard: Shard, refs: tuple[SegmentRef, ...], contents: tuple[tuple[Record, ...], ...]
) -> Effects:
    if shard.storing or not set(refs) <= set(shard.head.sealed):
        return NO_EFFECTS
    records = merge(contents)
    return _store(shard, merged_ref(refs, records), records)


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
