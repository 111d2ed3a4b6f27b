"""Store calls of owners for heads and segments, with their results as events."""

from asyncio import get_running_loop, timeout
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any, TypeAlias, TypeVar

from msgspec import MsgspecError

from azureswitch.coordination.claims._events import (
    DeleteSegments,
    HeadConflicted,
    HeadRead,
    HeadWriteFailed,
    HeadWriteUnknown,
    HeadWritten,
    OwnerEvent,
    ReadFailed,
    ReadHead,
    ReadSegments,
    SegmentsDeleted,
    SegmentsRead,
    SegmentStored,
    SegmentStoreFailed,
    StoreSegment,
    WriteHead,
)
from azureswitch.coordination.claims._limits import STORE_TIMEOUT
from azureswitch.coordination.claims._model import (
    HEAD_KIND,
    SEGMENT_KIND,
    Head,
    Record,
    SegmentRef,
    decode_head,
    decode_segment,
    encode_head,
    encode_segment,
    head_name,
    segment_name,
)
from azureswitch.core import Effect
from azureswitch.exceptions import (
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreOutcomeUnknownError,
)
from azureswitch.ports import Store

Result = TypeVar("Result")

StoreEffect: TypeAlias = ReadHead | WriteHead | ReadSegments | StoreSegment | DeleteSegments
"""The effects of an owner that are store calls."""


class ClaimStorage:
    """Executes the store calls of an owner.

    Args:
        store: The platform's store.
        wall: Returns the wall clock in seconds.
    """

    def __init__(self, *, store: Store, wall: Callable[[], float]) -> None:
        self._store = store
        self._wall = wall

    async def run(self, effect: StoreEffect) -> OwnerEvent:
        """Execute a store call and return its result; failures of the store are not raised."""
        return await self._run(effect)

    def _now(self) -> float:
        return get_running_loop().time()

    @singledispatchmethod
    async def _run(self, effect: Effect) -> OwnerEvent:
        raise NotImplementedError(type(effect).__name__)

    @_run.register
    async def _read_head(self, effect: ReadHead) -> OwnerEvent:
        version, head = 0, Head()
        try:
            found = await _with_timeout(
                self._store.get(kind=HEAD_KIND, name=head_name(effect.shard))
            )
            version, head = found.version, decode_head(found.value)
        except StoreNotFoundError:
            pass
        except (StoreError, MsgspecError, TimeoutError):
            return ReadFailed(now=self._now(), wall=self._wall(), shard=effect.shard)
        return HeadRead(
            now=self._now(), wall=self._wall(), shard=effect.shard, version=version, head=head
        )

    @_run.register
    async def _write_head(self, effect: WriteHead) -> OwnerEvent:
        try:
            version = await _with_timeout(self._put_head(effect))
        except (StoreConflictError, StoreNotFoundError):
            return HeadConflicted(now=self._now(), wall=self._wall(), shard=effect.shard)
        except (StoreOutcomeUnknownError, TimeoutError):
            return HeadWriteUnknown(now=self._now(), wall=self._wall(), shard=effect.shard)
        except StoreError:
            return HeadWriteFailed(now=self._now(), wall=self._wall(), shard=effect.shard)
        return HeadWritten(now=self._now(), wall=self._wall(), shard=effect.shard, version=version)

    async def _put_head(self, effect: WriteHead) -> int:
        name, value = head_name(effect.shard), encode_head(effect.head)
        if effect.version == 0:
            created = await self._store.create(kind=HEAD_KIND, name=name, value=value)
            return created.version
        updated = await self._store.update(
            kind=HEAD_KIND, name=name, value=value, version=effect.version
        )
        return updated.version

    @_run.register
    async def _read_segments(self, effect: ReadSegments) -> OwnerEvent:
        try:
            contents = [await self._segment(effect.shard, ref) for ref in effect.refs]
        except (StoreError, MsgspecError, TimeoutError):
            return ReadFailed(now=self._now(), wall=self._wall(), shard=effect.shard)
        return SegmentsRead(
            now=self._now(),
            wall=self._wall(),
            shard=effect.shard,
            refs=effect.refs,
            contents=tuple(contents),
        )

    async def _segment(self, shard: int, ref: SegmentRef) -> tuple[Record, ...] | None:
        name = segment_name(shard, ref)
        try:
            found = await _with_timeout(self._store.get(kind=SEGMENT_KIND, name=name))
        except StoreNotFoundError:
            return None
        return decode_segment(found.value)

    @_run.register
    async def _store_segment(self, effect: StoreSegment) -> OwnerEvent:
        name, value = segment_name(effect.shard, effect.ref), encode_segment(effect.records)
        try:
            await _with_timeout(self._store.create(kind=SEGMENT_KIND, name=name, value=value))
        except StoreConflictError:
            # An earlier attempt with an unknown outcome stored it; a name has only one content.
            pass
        except (StoreError, TimeoutError):
            return SegmentStoreFailed(now=self._now(), wall=self._wall(), shard=effect.shard)
        return SegmentStored(now=self._now(), wall=self._wall(), shard=effect.shard, ref=effect.ref)

    @_run.register
    async def _delete_segments(self, effect: DeleteSegments) -> OwnerEvent:
        deleted = [ref for ref in effect.refs if await self._delete(effect.shard, ref)]
        return SegmentsDeleted(
            now=self._now(), wall=self._wall(), shard=effect.shard, refs=tuple(deleted)
        )

    async def _delete(self, shard: int, ref: SegmentRef) -> bool:
        name = segment_name(shard, ref)
        try:
            found = await _with_timeout(self._store.get(kind=SEGMENT_KIND, name=name))
            await _with_timeout(
                self._store.delete(kind=SEGMENT_KIND, name=name, version=found.version)
            )
        except StoreNotFoundError:
            return True
        except (StoreError, TimeoutError):
            return False
        return True


async def _with_timeout(work: Coroutine[Any, Any, Result]) -> Result:
    async with timeout(STORE_TIMEOUT):
        return await work
