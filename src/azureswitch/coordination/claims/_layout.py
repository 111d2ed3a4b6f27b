"""The layout of a shard: records move from the open segment to sealed ones until they expire."""

from collections.abc import Collection, Iterable, Mapping
from itertools import takewhile

from azureswitch.coordination.claims._model import (
    Frozen,
    Head,
    Record,
    SegmentRef,
    encode_segment,
)

FREEZE_BYTES = 8_192
"""Bytes from which the open segment is frozen; each write contains the whole open segment."""

MAX_SEGMENT_BYTES = 786_432
"""Upper bound of the bytes of a merged segment; the store accepts a megabyte."""

MERGE_WIDTH = 8
"""Number of adjacent segments of the same width that are merged into one."""

MAX_SEALED_SEGMENTS = 1_024
"""Number of sealed segments from which a shard accepts no new claims."""

MAX_OBSOLETE_SEGMENTS = 64
"""Upper bound of the segments that wait for deletion."""


def sealed_ref(frozen: Frozen) -> SegmentRef:
    """Return the reference to a frozen segment once it is sealed."""
    return SegmentRef(
        first=frozen.sequence,
        last=frozen.sequence,
        size=len(encode_segment(frozen.records)),
        until=max(record.at for record in frozen.records),
    )


def merge(contents: Iterable[tuple[Record, ...]]) -> tuple[Record, ...]:
    """Return the newest record of every key; the result is deterministic."""
    newest: dict[bytes, Record] = {}
    for records in contents:
        newest.update((record.key, record) for record in records)
    return tuple(newest.values())


def merged_ref(refs: tuple[SegmentRef, ...], records: tuple[Record, ...]) -> SegmentRef:
    """Return the reference to a merged segment."""
    return SegmentRef(
        first=refs[0].first,
        last=refs[-1].last,
        size=len(encode_segment(records)),
        until=max(ref.until for ref in refs),
    )


def find_mergeable(sealed: tuple[SegmentRef, ...]) -> tuple[SegmentRef, ...]:
    """Return the oldest run of adjacent segments that should be merged, or an empty one."""
    for start in range(len(sealed) - MERGE_WIDTH + 1):
        run = sealed[start : start + MERGE_WIDTH]
        same_width = all(ref.width == run[0].width for ref in run)
        if same_width and sum(ref.size for ref in run) <= MAX_SEGMENT_BYTES:
            return run
    return ()


def next_head(
    *,
    head: Head,
    changes: Mapping[bytes, Record],
    stored: Collection[SegmentRef],
    deleted: Collection[SegmentRef],
    expired_before: float,
) -> Head:
    """Return the next head of a shard.

    Args:
        head: The head in the store.
        changes: New records by key.
        stored: Segments known to be in the store.
        deleted: Obsolete segments known to be deleted.
        expired_before: The wall clock before which records have exceeded their retention.
    """
    head = _replace_merged(_seal(head, stored), stored)
    kept = {record.key: record for record in head.open if record.at >= expired_before}
    for key, record in changes.items():
        kept.pop(key, None)
        kept[key] = record
    expired = _expired(head, expired_before)
    obsolete = [ref for ref in (*head.obsolete, *_with_orphan(head, expired)) if ref not in deleted]
    sealed = tuple(ref for ref in head.sealed if ref not in expired)
    return _freeze(
        Head(
            sequence=head.sequence,
            open=tuple(kept.values()),
            frozen=head.frozen,
            sealed=sealed,
            obsolete=tuple(obsolete),
        )
    )


def _seal(head: Head, stored: Collection[SegmentRef]) -> Head:
    if head.frozen is None or sealed_ref(head.frozen) not in stored:
        return head
    return Head(
        sequence=head.sequence,
        open=head.open,
        sealed=(*head.sealed, sealed_ref(head.frozen)),
        obsolete=head.obsolete,
    )


def _replace_merged(head: Head, stored: Collection[SegmentRef]) -> Head:
    for ref in stored:
        inside = tuple(old for old in head.sealed if ref.first <= old.first <= ref.last)
        if len(inside) < MERGE_WIDTH or (inside[0].first, inside[-1].last) != (ref.first, ref.last):
            continue
        sealed = list(head.sealed)
        at = sealed.index(inside[0])
        sealed[at : at + len(inside)] = [ref]
        head = Head(
            sequence=head.sequence,
            open=head.open,
            frozen=head.frozen,
            sealed=tuple(sealed),
            obsolete=(*head.obsolete, *inside),
        )
    return head


def _expired(head: Head, before: float) -> tuple[SegmentRef, ...]:
    room = max(0, MAX_OBSOLETE_SEGMENTS - len(head.obsolete))
    # Segments expire oldest first: a newer one must not be deleted before an older one that it
    # supersedes.
    return tuple(takewhile(lambda ref: ref.until < before, head.sealed))[:room]


def _with_orphan(head: Head, expired: tuple[SegmentRef, ...]) -> tuple[SegmentRef, ...]:
    """Return expired segments, and the merged one that an owner may have stored before a crash."""
    run = find_mergeable(head.sealed)
    if not set(run) & set(expired):
        return expired
    merged = SegmentRef(first=run[0].first, last=run[-1].last, size=0, until=run[-1].until)
    return (*expired, merged)


def _freeze(head: Head) -> Head:
    if head.frozen is not None or len(encode_segment(head.open)) < FREEZE_BYTES:
        return head
    return Head(
        sequence=head.sequence + 1,
        frozen=Frozen(sequence=head.sequence, records=head.open),
        sealed=head.sealed,
        obsolete=head.obsolete,
    )
