"""Storing, merging and deletion of a shard's segments in the background."""

from azureswitch.coordination.claims._events import DeleteSegments, ReadSegments, StoreSegment
from azureswitch.coordination.claims._layout import find_mergeable, merge, merged_ref, sealed_ref
from azureswitch.coordination.claims._model import Record, SegmentRef
from azureswitch.coordination.claims._shard import Shard
from azureswitch.core import NO_EFFECTS, Effect, Effects


def maintain_segments(shard: Shard) -> Effects:
    """Begin the next step of storing, merging or deleting segments of a shard."""
    obsolete = tuple(ref for ref in shard.head.obsolete if ref not in shard.deleted)
    effects: list[Effect] = []
    if obsolete and not shard.deleting:
        shard.deleting = True
        effects.append(DeleteSegments(shard=shard.number, refs=obsolete))
    if shard.storing or shard.merging:
        return effects
    frozen = shard.head.frozen
    if frozen is not None and sealed_ref(frozen) not in shard.stored:
        return (*effects, *_store_segment(shard, sealed_ref(frozen), frozen.records))
    run = find_mergeable(shard.head.sealed)
    if run and not any(ref.first == run[0].first for ref in shard.stored):
        shard.merging = run
        effects.append(ReadSegments(shard=shard.number, refs=run))
    return effects


def _store_segment(shard: Shard, ref: SegmentRef, records: tuple[Record, ...]) -> Effects:
    shard.storing = True
    shard.index(ref=ref, records=records)
    return (StoreSegment(shard=shard.number, ref=ref, records=records),)


def store_merged(
    shard: Shard, refs: tuple[SegmentRef, ...], contents: tuple[tuple[Record, ...], ...]
) -> Effects:
    """Merge segments that were read and store the result, if the head still refers to them."""
    if shard.storing or not set(refs) <= set(shard.head.sealed):
        return NO_EFFECTS
    records = merge(contents)
    return _store_segment(shard, merged_ref(refs, records), records)
