"""What a caller gets: a bounded relay, a recording, or the answer of a plain target.

An answer takes output from one attempt at a time and only at the offset that it stands at, so a
late, crossed or repeated attempt can neither leave a gap nor repeat anything.
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
"""Writes bytes to a caller once it is not behind; called off before that, it wrote nothing."""


class Signal:
    """Wakes everyone who waits for a change."""

    def __init__(self) -> None:
        self._waiters: list[Future[None]] = []

    def notify(self) -> None:
        """Wake everyone."""
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
    """A run of recorded output.

    Attributes:
        data: Whole server-sent events.
        tokens: Output tokens in them.
        complete: Whether there is no more yet.
    """

    data: bytes
    tokens: int
    complete: bool


class Answer(ABC):
    """The answer to one request, as far as it has come."""

    def __init__(self) -> None:
        self._tokens = 0
        self._writer: int | None = None
        self._whole = False
        self._over = False
        self._error: AzureswitchError | None = None
        self._changed = Signal()

    @property
    def tokens(self) -> int:
        """Output tokens taken so far."""
        return self._tokens

    @property
    def whole(self) -> bool:
        """Whether all of the output has been taken."""
        return self._whole

    @property
    def over(self) -> bool:
        """Whether nothing more will be taken."""
        return self._over

    @property
    def error(self) -> AzureswitchError | None:
        """Why it did not become whole, or None."""
        return self._error

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether there is anything for the caller."""

    def takes(self, *, attempt: int, offset: int) -> bool:
        """Whether output of an attempt at a token offset may be taken now."""
        if self._over or self._whole or offset != self._tokens:
            return False
        return self._writer is None or self._writer == attempt

    def release(self, *, attempt: int) -> None:
        """Let another attempt go on where this one ended."""
        if self._writer == attempt:
            self._writer = None

    def finish(self, error: AzureswitchError | None) -> None:
        """End the answer; an error after the whole output changes nothing."""
        if self._over:
            return
        self._over = True
        self._error = None if self._whole else error
        self._changed.notify()

    async def wait_started(self) -> None:
        """Wait until there is something for the caller or the answer is over."""
        while not self.started and not self._over:
            await self._changed.wait()

    async def wait_changed(self) -> None:
        """Wait until more output is taken or the answer is over."""
        await self._changed.wait()

    async def wait_over(self) -> None:
        """Wait until the answer is over."""
        while not self._over:
            await self._changed.wait()

    def _take(self, *, attempt: int, tokens: int, last: bool) -> None:
        self._writer = attempt
        self._tokens += tokens
        self._whole = last
        self._changed.notify()


class StreamAnswer(Answer):
    """An answer made of runs of server-sent events."""

    @abstractmethod
    async def put(self, *, attempt: int, offset: int, chunk: Chunk) -> bool:
        """Take output of an attempt and wait while the caller is behind.

        Args:
            attempt: The attempt.
            offset: Output tokens of the whole request before the chunk.
            chunk: The output.

        Returns:
            Whether it was taken.

        Raises:
            AnswerTooLargeError: The answer is over what a host keeps.
        """


class Relay(StreamAnswer):
    """A streamed answer: what was written is gone, and a slow caller slows the engine.

    Args:
        limit: Bytes kept before there is a caller's connection to write to; then `put` waits.
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
        """Whether the caller has left output unread for some seconds."""
        return self._writing_since is not None and self._clock() - self._writing_since > seconds

    async def put(self, *, attempt: int, offset: int, chunk: Chunk) -> bool:
        """Take output of an attempt and wait while the caller is behind."""
        if not self.takes(attempt=attempt, offset=offset):
            return False
        if self._write is not None:
            # Nobody waits for a change but the end, so none is announced.  What is called off while
            # the caller is behind was not written, and is left to the next attempt.
            self._writer = attempt
            await self._written(self._write, chunk.data)
            self._tokens += chunk.tokens
            self._whole = chunk.last
            return True
        self._chunks.append(chunk.data)
        self._size += len(chunk.data)
        self._take(attempt=attempt, tokens=chunk.tokens, last=chunk.last)
        while self._size > self._limit and not self._over:
            await self._room.wait()
        return True

    def finish(self, error: AzureswitchError | None) -> None:
        """End the answer."""
        super().finish(error)
        self._room.notify()

    async def serve(self, write: Write) -> None:
        """Write the output to the caller until the answer is over.

        What waits is written here; what comes after it is written by the attempt that brings it.

        Args:
            write: Writes bytes and waits while the caller is behind.
        """
        while self._chunks:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._size = 0
            self._room.notify()
            await self._written(write, data)
        self._write = write
        await self.wait_over()
        while self._writing_since is not None:
            await self._changed.wait()

    async def _written(self, write: Write, data: bytes) -> None:
        self._writing_since = self._clock()
        try:
            await write(data)
        finally:
            self._writing_since = None
            if self._over:
                self._changed.notify()


class Recording(StreamAnswer):
    """An answer that is kept, to be read whole or by any number of readers from any offset.

    Args:
        limit: Bytes kept at most.
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
        """All output so far, as it came."""
        return tuple(self._chunks)

    @property
    def data(self) -> bytes:
        """All output so far."""
        return b"".join(chunk.data for chunk in self._chunks)

    async def put(self, *, attempt: int, offset: int, chunk: Chunk) -> bool:
        """Take output of an attempt."""
        if not self.takes(attempt=attempt, offset=offset):
            return False
        self._size += len(chunk.data)
        if self._size > self._limit:
            raise AnswerTooLargeError(limit=self._limit)
        self._chunks.append(chunk)
        self._starts.append(self._tokens)
        self._take(attempt=attempt, tokens=chunk.tokens, last=chunk.last)
        return True

    def part(self, *, offset: int, limit: int) -> Part:
        """Return output from a token offset on.

        Args:
            offset: Tokens that the reader has.
            limit: Bytes at which to stop; one chunk may go over it.
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
    """The answer of a plain target; the first one taken stays."""

    def __init__(self) -> None:
        super().__init__()
        self._answer: PlainAnswer | None = None

    @property
    def started(self) -> bool:
        """Whether there is anything for the caller."""
        return self._answer is not None

    @property
    def answer(self) -> PlainAnswer | None:
        """The answer, or None before there is one."""
        return self._answer

    def put(self, *, attempt: int, answer: PlainAnswer) -> bool:
        """Take an answer and return whether it was taken.

        It is taken after the caller has left as well: the claim's record needs it.
        """
        if self._answer is not None:
            return False
        self._answer = answer
        self._take(attempt=attempt, tokens=0, last=True)
        return True
