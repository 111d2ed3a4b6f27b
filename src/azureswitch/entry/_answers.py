"""Answers to callers: a bounded relay, a recording, or the answer of a plain target.

An answer accepts output from one attempt at a time, and only at its current offset, so a late,
crossed or repeated attempt can cause neither a gap nor a repetition.
"""

from abc import ABC, abstractmethod
from asyncio import Future, get_running_loop
from bisect import bisect_right
from collections.abc import Awaitable, Callable

from msgspec import Struct

from azureswitch.clock import elapsed
from azureswitch.entry._events import skip_tokens
from azureswitch.exceptions import AnswerTooLargeError, AzureswitchError
from azureswitch.ports import Chunk, PlainAnswer

Write = Callable[[bytes], Awaitable[None]]
"""Writes bytes once the caller has read earlier ones; if cancelled before, it writes nothing."""


class Signal:
    """Wakes all waiters at a change."""

    def __init__(self) -> None:
        self._waiters: list[Future[None]] = []

    def notify(self) -> None:
        """Wake all waiters."""
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        waiter = get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter


class Part(Struct, frozen=True, kw_only=True):
    """A part of recorded output.

    Attributes:
        data: Whole server-sent events.
        tokens: Output tokens in them.
        complete: Whether it extends to the end of the recorded output.
    """

    data: bytes
    tokens: int
    complete: bool


class Answer(ABC):
    """The answer to one request, which may be incomplete."""

    def __init__(self) -> None:
        self._tokens = 0
        self._writer: int | None = None
        self._complete = False
        self._ended = False
        self._error: AzureswitchError | None = None
        self._changed = Signal()

    @property
    def tokens(self) -> int:
        """Number of output tokens accepted so far."""
        return self._tokens

    @property
    def complete(self) -> bool:
        """Whether the whole output has been accepted."""
        return self._complete

    @property
    def ended(self) -> bool:
        """Whether no more output will be accepted."""
        return self._ended

    @property
    def error(self) -> AzureswitchError | None:
        """Why it is not complete, or None."""
        return self._error

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether there is anything for the caller."""

    def accepts(self, *, attempt: int, offset: int) -> bool:
        """Return whether output of an attempt at a token offset is accepted now."""
        if self._ended or self._complete or offset != self._tokens:
            return False
        return self._writer is None or self._writer == attempt

    def release(self, *, attempt: int) -> None:
        """Let another attempt continue where this one ended."""
        if self._writer == attempt:
            self._writer = None

    def finish(self, error: AzureswitchError | None) -> None:
        """End the answer; an error after the whole output is ignored."""
        if self._ended:
            return
        self._ended = True
        self._error = None if self._complete else error
        self._changed.notify()

    async def wait_started(self) -> None:
        """Wait until there is something for the caller or the answer has ended."""
        while not self.started and not self._ended:
            await self._changed.wait()

    async def wait_changed(self) -> None:
        """Wait until more output is accepted or the answer has ended."""
        await self._changed.wait()

    async def wait_ended(self) -> None:
        """Wait until the answer has ended."""
        while not self._ended:
            await self._changed.wait()

    def _accept(self, *, attempt: int, tokens: int, last: bool) -> None:
        self._writer = attempt
        self._tokens += tokens
        self._complete = last
        self._changed.notify()


class StreamAnswer(Answer):
    """An answer that consists of server-sent events."""

    @abstractmethod
    async def put(self, *, attempt: int, offset: int, chunk: Chunk) -> bool:
        """Add output of an attempt and wait until the caller has read enough of it.

        Args:
            attempt: The attempt.
            offset: Output tokens of the whole request before the chunk.
            chunk: The output.

        Returns:
            Whether it was accepted.

        Raises:
            AnswerTooLargeError: The answer exceeds the limit of a recording.
        """


class Relay(StreamAnswer):
    """A streamed answer, which does not keep what was written; a slow caller slows the engine.

    Args:
        limit: Bytes buffered before `serve` begins; above them `put` waits.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, limit: int, clock: Callable[[], float] = elapsed) -> None:
        super().__init__()
        self._limit = limit
        self._clock = clock
        self._chunks: list[bytes] = []
        self._size = 0
        self._room = Signal()
        self._write: Write | None = None
        self._writing_since: float | None = None

    @property
    def started(self) -> bool:
        """Whether there is anything for the caller."""
        return bool(self._chunks)

    def stalled(self, *, seconds: float) -> bool:
        """Return whether the caller has left output unread for more than ``seconds``."""
        return self._writing_since is not None and self._clock() - self._writing_since > seconds

    async def put(self, *, attempt: int, offset: int, chunk: Chunk) -> bool:
        """Add output of an attempt and wait until the caller has read enough of it."""
        if not self.accepts(attempt=attempt, offset=offset):
            return False
        if self._write is not None:
            # There are no waiters for changes other than the end, so none are notified.  Output
            # that is cancelled while it waits was not written and is left to the next attempt.
            self._writer = attempt
            await self._written(self._write, chunk.data)
            self._tokens += chunk.tokens
            self._complete = chunk.last
            return True
        self._chunks.append(chunk.data)
        self._size += len(chunk.data)
        self._accept(attempt=attempt, tokens=chunk.tokens, last=chunk.last)
        while self._size > self._limit and not self._ended:
            await self._room.wait()
        return True

    def finish(self, error: AzureswitchError | None) -> None:
        """End the answer."""
        super().finish(error)
        self._room.notify()

    async def serve(self, write: Write) -> None:
        """Write the output to the caller until the answer has ended.

        Buffered output is written here; later output is written by the attempt that delivers it.

        Args:
            write: Writes bytes and waits until the caller has read enough of them.
        """
        while self._chunks:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._size = 0
            self._room.notify()
            await self._written(write, data)
        self._write = write
        await self.wait_ended()
        while self._writing_since is not None:
            await self._changed.wait()

    async def _written(self, write: Write, data: bytes) -> None:
        self._writing_since = self._clock()
        try:
            await write(data)
        finally:
            self._writing_since = None
            if self._ended:
                self._changed.notify()


class Recording(StreamAnswer):
    """An answer that is kept and can be read by any number of readers from any offset.

    Args:
        limit: Upper bound of its bytes.
    """

    def __init__(self, *, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self._size = 0
        self._chunks: list[Chunk] = []
        self._starts: list[int] = []

    @property
    def started(self) -> bool:
        """Whether there is anything for the caller."""
        return bool(self._chunks)

    @property
    def chunks(self) -> tuple[Chunk, ...]:
        """All output so far, in chunks."""
        return tuple(self._chunks)

    @property
    def data(self) -> bytes:
        """All output so far."""
        return b"".join(chunk.data for chunk in self._chunks)

    async def put(self, *, attempt: int, offset: int, chunk: Chunk) -> bool:
        """Add output of an attempt."""
        if not self.accepts(attempt=attempt, offset=offset):
            return False
        self._size += len(chunk.data)
        if self._size > self._limit:
            raise AnswerTooLargeError(limit=self._limit)
        self._chunks.append(chunk)
        self._starts.append(self._tokens)
        self._accept(attempt=attempt, tokens=chunk.tokens, last=chunk.last)
        return True

    def part(self, *, offset: int, limit: int) -> Part:
        """Return output from a token offset on.

        Args:
            offset: Number of tokens that the reader has.
            limit: Bytes after which no further chunk is included.
        """
        first = max(0, bisect_right(self._starts, offset) - 1)
        pieces: list[bytes] = []
        tokens = size = 0
        for index in range(first, len(self._chunks)):
            if size >= limit:
                return Part(data=b"".join(pieces), tokens=tokens, complete=False)
            chunk = self._chunks[index]
            skipped = min(chunk.tokens, max(0, offset - self._starts[index]))
            if skipped and skipped == chunk.tokens and not chunk.last:
                continue
            pieces.append(skip_tokens(chunk.data, skipped))
            tokens += chunk.tokens - skipped
            size += len(pieces[-1])
        return Part(data=b"".join(pieces), tokens=tokens, complete=True)


class PlainSlot(Answer):
    """The answer of a plain target; the first one is kept."""

    def __init__(self) -> None:
        super().__init__()
        self._answer: PlainAnswer | None = None

    @property
    def started(self) -> bool:
        """Whether there is anything for the caller."""
        return self._answer is not None

    @property
    def answer(self) -> PlainAnswer | None:
        """The answer, or None if there is none yet."""
        return self._answer

    def put(self, *, attempt: int, answer: PlainAnswer) -> bool:
        """Set the answer unless there is one; return whether it was set.

        It is set even after the caller has left, as it is recorded with the claim.
        """
        if self._answer is not None:
            return False
        self._answer = answer
        self._accept(attempt=attempt, tokens=0, last=True)
        return True
