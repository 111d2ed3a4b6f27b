"""The engine's model in real time, with its streams."""

import asyncio
from collections import Counter
from math import isfinite

from azureswitch_standins.engine._errors import HoldingError
from azureswitch_standins.engine._model import EngineModel
from azureswitch_standins.engine._outputs import (
    Failed,
    Finished,
    Output,
    RunRequest,
    SpanFailed,
    SpanReady,
)
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._streams import EngineCounters, EngineFaults, LiveStream
from azureswitch_standins.engine._wire import EventEncoder
from azureswitch_standins.engine._work import Key

_MIN_UPDATE_SECONDS = 0.002
"""Shortest time between two scheduled updates of the model, in seconds."""


class LiveEngine:
    """Runs the model by the event loop's clock and delivers its outputs.

    Args:
        settings: The settings of the engine.
        speed: Seconds of the model's clock per second of the event loop's.
        grace: Seconds for which an attempt runs without a reader, and an ended one is kept.
        started: The engine's start, in milliseconds of its wall clock.

    Attributes:
        faults: What goes wrong now.
    """

    def __init__(
        self, *, settings: EngineSettings, speed: float, grace: float, started: int
    ) -> None:
        self._model = EngineModel(settings=settings, started=started)
        self._speed = speed
        self._grace = grace
        self._started = started
        self._streams: dict[Key, LiveStream] = {}
        self._fills: dict[str, list[asyncio.Future[SpanReady | SpanFailed]]] = {}
        self._runs: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._timer: asyncio.TimerHandle | None = None
        self._start_time = 0.0
        self.faults = EngineFaults()

    @property
    def model(self) -> EngineModel:
        """The model; `update` must be called after each change."""
        return self._model

    @property
    def now(self) -> float:
        """The time on the model's clock."""
        return (asyncio.get_running_loop().time() - self._start_time) * self._speed

    @property
    def speed(self) -> float:
        """Seconds of the model's clock per second of the event loop's."""
        return self._speed

    @property
    def streams(self) -> dict[Key, LiveStream]:
        """The streams in progress and those that ended within the grace period."""
        return self._streams

    @property
    def counts(self) -> Counter[str]:
        """The counts since the start, by name."""
        return self._counts

    @property
    def counters(self) -> EngineCounters:
        """The counters since the start."""
        return EngineCounters(
            runs=dict(self._runs),
            finished=self._counts["finished"],
            failed=self._counts["failed"],
            refused=self._counts["refused"],
            tokens=self._counts["tokens"],
            running=len(self._model.attempts),
            memory_used=self._model.memory_used,
            memory_total=self._model.settings.memory,
            holdings=len(self._model.holdings),
        )

    def start(self) -> None:
        """Start the model's clock."""
        self._start_time = asyncio.get_running_loop().time()

    def stop(self) -> None:
        """Drop all work and schedule no more updates."""
        self.lose()
        if self._timer is not None:
            self._timer.cancel()

    def lose(self) -> None:
        """Drop all work and memory."""
        self._model.die(now=self.now)
        self.update()
        self._streams.clear()

    def restart(self) -> None:
        """Restart with empty memory, as a new process."""
        self._started += 1
        self._model.restart(now=self.now, started=self._started)

    def stall(self, seconds: float) -> None:
        """Stop progress for a number of seconds of the event loop's clock."""
        self._model.stall(now=self.now, seconds=seconds * self._speed)
        self.update()

    def submit(self, run: RunRequest, encoder: EventEncoder) -> LiveStream:
        """Submit an attempt and return its stream.

        Raises:
            EngineError: It is refused.
        """
        self._model.submit(now=self.now, request=run)
        self._runs[run.call] += 1
        stream = LiveStream(request=run, encoder=encoder)
        self._streams[run.call, run.attempt] = stream
        self.update()
        return stream

    def cancel(self, key: Key) -> None:
        """Cancel an attempt, if it runs."""
        self._model.cancel(now=self.now, call=key[0], attempt=key[1])
        self.update()

    async def wait_filled(self, holding: str) -> None:
        """Wait until a holding has its tokens.

        Raises:
            HoldingError: The work was stopped.
        """
        waiter: asyncio.Future[SpanReady | SpanFailed]
        waiter = asyncio.get_running_loop().create_future()
        self._fills.setdefault(holding, []).append(waiter)
        self.update()
        if isinstance(await waiter, SpanFailed):
            raise HoldingError(detail="the work was stopped")

    def update(self) -> None:
        """Advance the model to now, deliver its outputs and schedule the next update."""
        now = self.now
        for output in self._model.advance(now):
            self._deliver(output)
        for key in self._model.attempts:
            stream = self._streams.get(key)
            if stream is not None and stream.readers:
                stream.grow(self._model.produced(now=now, call=key[0], attempt=key[1]))
        if self._timer is not None:
            self._timer.cancel()
        due = min(self._model.next_event_time(), self._model.next_step_time(now))
        if isfinite(due):
            delay = max(_MIN_UPDATE_SECONDS, (due - now) / self._speed)
            self._timer = asyncio.get_running_loop().call_later(delay, self.update)

    def expire(self, stream: LiveStream) -> None:
        """Start the grace period of a stream without readers, after which it is cancelled."""
        if stream.readers:
            return
        if stream.expiry is not None:
            stream.expiry.cancel()
        loop = asyncio.get_running_loop()
        stream.expiry = loop.call_later(self._grace, self._expired, stream)

    def _expired(self, stream: LiveStream) -> None:
        key = (stream.request.call, stream.request.attempt)
        if stream.readers or self._streams.get(key) is not stream:
            return
        if stream.end is None:
            self.cancel(key)
        if stream.expiry is not None:
            stream.expiry.cancel()
        del self._streams[key]

    def _deliver(self, output: Output) -> None:
        if isinstance(output, Finished | Failed):
            self._counts["finished" if isinstance(output, Finished) else "failed"] += 1
            stream = self._streams.get((output.call, output.attempt))
            if stream is not None:
                stream.finish(output)
                self.expire(stream)
        elif isinstance(output, SpanReady | SpanFailed):
            for waiter in self._fills.pop(output.holding, []):
                if not waiter.done():
                    waiter.set_result(output)
