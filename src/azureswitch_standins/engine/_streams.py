"""The responses that a stand-in engine is streaming."""

import asyncio

from msgspec import Struct

from azureswitch_standins.engine._outputs import Failed, Finished, RunRequest
from azureswitch_standins.engine._wire import EventEncoder


class EngineFaults(Struct, kw_only=True):
    """The injected faults of a stand-in engine.

    Attributes:
        refuse: New work is refused.
        delay: Seconds by which every answer begins late.
        cut_after: Streams break after this many tokens of one connection; zero for never.
        cross: Streams carry another request's id and tokens.
        stall: Seconds without progress from now on.
        dead: The process is gone: connections break, memory is lost; false brings it back empty.
    """

    refuse: bool = False
    delay: float = 0.0
    cut_after: int = 0
    cross: bool = False
    stall: float = 0.0
    dead: bool = False


class EngineCounters(Struct, frozen=True, kw_only=True):
    """Counters of a stand-in engine.

    Attributes:
        runs: Accepted attempts, by call.
        finished: Attempts that completed their answer.
        failed: Attempts that were cancelled or lost.
        refused: Attempts that were refused.
        tokens: Output tokens sent.
        running: Attempts that wait or run now.
        memory_used: KV tokens in use now.
        memory_total: KV tokens in all.
        holdings: Holdings now.
    """

    runs: dict[str, int]
    finished: int
    failed: int
    refused: int
    tokens: int
    running: int
    memory_used: int
    memory_total: int
    holdings: int


class LiveStream:
    """An answer that is in progress or has recently ended."""

    def __init__(self, *, request: RunRequest, encoder: EventEncoder) -> None:
        self._request = request
        self._encoder = encoder
        self._produced = request.resume_from
        self._end: Finished | Failed | None = None
        self._changed = asyncio.Event()
        self.readers = 0
        self.expiry: asyncio.TimerHandle | None = None

    @property
    def request(self) -> RunRequest:
        """The request."""
        return self._request

    @property
    def encoder(self) -> EventEncoder:
        """The encoder of the answer."""
        return self._encoder

    @property
    def produced(self) -> int:
        """Number of output tokens produced so far."""
        return self._produced

    @property
    def end(self) -> Finished | Failed | None:
        """The end, or None while it runs."""
        return self._end

    def grow(self, produced: int) -> None:
        """Record the number of tokens produced so far."""
        if produced > self._produced:
            self._produced = produced
            self._notify()

    def finish(self, end: Finished | Failed) -> None:
        """Record the end."""
        self._end = end
        if isinstance(end, Finished):
            self._produced = self._request.max_tokens
        self._notify()

    @property
    def changed(self) -> asyncio.Event:
        """Set by the next change; each change has an event of its own."""
        return self._changed

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
