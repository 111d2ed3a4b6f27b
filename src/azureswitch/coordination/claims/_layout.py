"""How a shard's records move from the open segment into sealed ones, and out after retention."""

from collections.abc import Collection, Iterable, Mapping
from itertools import takewhile

from azureswitch.coordination.claims._model import (
    Frozen,
    Head,
    Record,
    SegmentRef,
    encode_segment,
)

OPEN_LIMIT = 8_192
"""Bytes from which the open segment is frozen; each write carries the open segment whole."""

SEGMENT_LIMIT = 786_432
"""Bytes of a merged segment at most; the store takes a megabyte."""

MERGED = 8
"""Neighbouring segments of one width that are merged into one."""

SEALED_LIMIT = 1_024
"""Sealed segments of a shard from which it takes no new claims."""

DOOMED_LIMIT = 64
"""Segments that wait for deletion at most."""


def sealed_ref(frozen: Frozen) -> SegmentRef:
    """Return the reference that a frozen segment will have."""
    return SegmentRef(
        first=frozen.sequence,
        last=frozen.sequence,
        size=len(encode_segment(frozen.records)),
        until=max(record.at for record in frozen.records),
    )


def merge(contents: Iterable[tuple[Record, ...]]) -> tuple[Record, ...]:
    """Return the newest record of every key; equal inputs give equal results."""
    newest: dict[bytes, Record] = {}
    for records in contents:
        newest.update((record.key, record) for record in records)
    return tuple(newest.values())


def merged_ref(refs: tuple[SegmentRef, ...], records: tuple[Record, ...]) -> SegmentRef:
    """Return the reference that a merged segment will have."""
    return SegmentRef(
        first=refs[0].first,
        last=refs[-1].last,
        size=len(encode_segment(records)),
        until=max(ref.until for ref in refs),
    )


def mergeable(sealed: tuple[SegmentRef, ...]) -> tuple[SegmentRef, ...]:
    """Return the oldest run of neighbours that should become one segment, or nothing."""
    for start in range(len(sealed) - MERGED + 1):
        run = sealed[start : start + MERGED]
        alike = all(ref.width == run[0].width for ref in run)
        if alike and sum(ref.size for ref in run) <= SEGMENT_LIMIT:
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
    """Return the head that follows.

    Args:
        head: The head in the store.
        changes: New records by key.
        stored: Segments known to stand in the store.
        deleted: Doomed segments known to be gone.
        expired_before: The wall clock before which records are past their retention.
    """
    head = _replace_merged(_seal(head, stored), stored)
    kept = {record.key: record for record in head.open if record.at >= expired_before}
    for key, record in changes.items():
        kept.pop(key, None)
        kept[key] = record
    expired = _expired(head, expired_before)
    doomed = [ref for ref in (*head.doomed, *_leftover(head, expired)) if ref not in deleted]
    sealed = tuple(ref for ref in head.sealed if ref not in expired)
    return _freeze(
        Head(
            sequence=head.sequence,
            open=tuple(kept.values()),
            frozen=head.frozen,
            sealed=sealed,
            doomed=tuple(doomed),
        )
    )


def _seal(head: Head, stored: Collection[SegmentRef]) -> Head:
    if head.frozen is None or sealed_ref(head.frozen) not in stored:
        return head
    return Head(
        sequence=head.sequence,
        open=head.open,
        sealed=(*head.sealed, sealed_ref(head.frozen)),
        doomed=head.doomed,
    )


def _replace_merged(head: Head, stored: Collection[SegmentRef]) -> Head:
    for ref in stored:
        inside = tuple(old for old in head.sealed if ref.first <= old.first <= ref.last)
        if len(inside) < MERGED or (inside[0].first, inside[-1].last) != (ref.first, ref.last):
            continue
        sealed = list(head.sealed)
        at = sealed.index(inside[0])
        sealed[at : at + len(inside)] = [ref]
        head = Head(
            sequence=head.sequence,
            open=head.open,
            frozen=head.frozen,
            sealed=tuple(sealed),
            doomed=(*head.doomed, *inside),
        )
    return head


def _expired(head: Head, before: float) -> tuple[SegmentRef, ...]:
    room = max(0, DOOMED_LIMIT - len(head.doomed))
    # Oldest first only: a newer segment must never go before an older one that it supersedes.
    return tuple(takewhile(lambda ref: ref.until < before, head.sealed))[:room]


def _leftover(head: Head, expired: tuple[SegmentRef, ...]) -> tuple[SegmentRef, ...]:
    """Return expired segments, and the merged one that an owner may have stored before it died."""
    run = mergeable(head.sealed)
    if not set(run) & set(expired):
        return expired
    merged = SegmentRef(first=run[0].first, last=run[-1].last, size=0, until=run[-1].until)
    return (*expired, merged)


def _freeze(head: Head) -> Head:
    if head.frozen is not None or len(encode_segment(head.open)) < OPEN_LIMIT:
        return head
    return Head(
        sequence=head.sequence + 1,
        frozen=Frozen(sequence=head.sequence, records=head.open),
        sealed=head.sealed,
        doomed=head.doomed,
    )
