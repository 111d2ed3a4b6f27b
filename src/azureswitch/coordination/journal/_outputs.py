"""Outputs of long requests: read from engines, kept in the store, and returned to callers."""

from asyncio import sleep
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from time import time

from absl import logging
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from azureswitch.coordination.journal._model import (
    OUTPUT_KIND,
    OUTPUT_RETENTION_SECONDS,
    JobRecord,
    KeptOutput,
)
from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    LongWorkLostError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreValueTooLargeError,
    TargetBrokenError,
    TargetRefusedError,
)
from azureswitch.ports import Chunk, Engine, Store

_MAX_ATTACH_ATTEMPTS = 3
"""Upper bound of attempts to attach to a stream before the request counts as lost."""

_ATTACH_RETRY_SECONDS = 0.5
"""Seconds between two attempts to attach."""

_STORE_RETRY_SECONDS = 10.0
"""Seconds between two attempts to store an output."""

_EVENT_END = b"\n\n"


class Outputs:
    """Reads and keeps outputs.

    Args:
        store: The platform's store.
        engines: Returns the engines of the configuration in force.
    """

    def __init__(self, *, store: Store, engines: Callable[[], Mapping[TargetName, Engine]]) -> None:
        self._store = store
        self._engines = engines

    async def keep(self, record: JobRecord) -> float | None:
        """Read a request's output to its end and store it.

        Returns:
            Until when it is kept, in seconds since the epoch, or None if the engine has lost it.
        """
        chunks = await self._drain(record)
        if chunks is None:
            logging.warning("journal: The output of %s is lost.", record.call)
            return None
        return await self.store(record, chunks)

    async def store(self, record: JobRecord, chunks: Iterable[Chunk]) -> float | None:
        """Store a request's whole output.

        Returns:
            Until when it is kept, in seconds since the epoch, or None if it is too large.
        """
        value = encode(KeptOutput(customer=record.customer, chunks=tuple(chunks)))
        try:
            while not await self._put(record.call, value):
                await sleep(_STORE_RETRY_SECONDS)
        except StoreValueTooLargeError as error:
            logging.warning("journal: %s", error)
            return None
        return time() + OUTPUT_RETENTION_SECONDS

    async def read(self, *, record: JobRecord, offset: int) -> AsyncIterator[Chunk]:
        """Yield a request's output after a token offset, from its engine or else the store."""
        for _ in range(0 if record.done else _MAX_ATTACH_ATTEMPTS):
            try:
                async for chunk in self._attach(record, offset):
                    offset += chunk.tokens
                    yield chunk
                return
            except TargetBrokenError:
                await sleep(_ATTACH_RETRY_SECONDS)
            except AzureswitchError as error:
                logging.info("journal: %s", error)
                break
        for chunk in await self._read_kept(record):
            rest = _skip_tokens(chunk, offset)
            offset -= min(offset, chunk.tokens)
            if rest is not None:
                yield rest

    async def delete(self, call: CallId) -> None:
        """Delete a kept output."""
        try:
            item = await self._store.get(kind=OUTPUT_KIND, name=call)
            await self._store.delete(kind=OUTPUT_KIND, name=call, version=item.version)
        except StoreError as error:
            logging.warning("journal: %s", error)

    async def _drain(self, record: JobRecord) -> list[Chunk] | None:
        chunks: list[Chunk] = []
        for _ in range(_MAX_ATTACH_ATTEMPTS):
            try:
                async for chunk in self._attach(record, sum(c.tokens for c in chunks)):
                    chunks.append(chunk)
                    if chunk.last:
                        return chunks
            except TargetRefusedError:
                return None
            except TargetBrokenError:
                await sleep(_ATTACH_RETRY_SECONDS)
            except AzureswitchError:
                return None
        return None

    def _attach(self, record: JobRecord, offset: int) -> AsyncIterator[Chunk]:
        engine = self._engines().get(record.target)
        if engine is None:
            raise TargetRefusedError(target=record.target)
        return engine.attach(call=record.call, attempt=record.attempt, offset=offset)

    async def _put(self, call: CallId, value: bytes) -> bool:
        try:
            await self._store.create(kind=OUTPUT_KIND, name=call, value=value)
        except StoreConflictError:
            # Another host has taken the request over too, or the outcome of a write was unknown.
            return True
        except StoreValueTooLargeError:
            raise
        except StoreError as error:
            logging.warning("journal: %s", error)
            return False
        return True

    async def _read_kept(self, record: JobRecord) -> tuple[Chunk, ...]:
        try:
            item = await self._store.get(kind=OUTPUT_KIND, name=record.call)
            kept = decode(item.value, type=KeptOutput)
        except (StoreNotFoundError, MsgspecError) as error:
            raise LongWorkLostError() from error
        if kept.customer != record.customer:
            raise LongWorkLostError()
        return kept.chunks


def _skip_tokens(chunk: Chunk, offset: int) -> Chunk | None:
    """Return the part of a chunk after its first ``offset`` tokens, or None if that is empty."""
    if offset <= 0:
        return chunk
    if offset >= chunk.tokens and not chunk.last:
        return None
    # In a chunk, the events with tokens precede those that end the stream.
    skipped = min(offset, chunk.tokens)
    events = chunk.data.split(_EVENT_END)[skipped:]
    return Chunk(data=_EVENT_END.join(events), tokens=chunk.tokens - skipped, last=chunk.last)
