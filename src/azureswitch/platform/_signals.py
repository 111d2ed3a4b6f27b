"""Records the time at which the process was requested to stop."""

import asyncio
from collections.abc import Callable

from azureswitch.clock import elapsed, until_step

TICK_SECONDS = 0.1
"""Seconds between ticks of the event loop check; 10 a second take under 0.1% of a core."""

MAX_TICK_DELAY_SECONDS = 0.05
"""Seconds by which a tick may be late; on a mostly idle host, ticks are within 2 ms."""


class StopRequest:
    """A request to stop, and the time from which the grace period counts.

    The platform counts the grace period from when it sends the signal, but the signal is not
    delivered while the event loop is blocked or the process is frozen.  If the loop could not
    handle the signal at once, the grace period counts from the last time at which it could have.

    Args:
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, clock: Callable[[], float] = elapsed) -> None:
        self._clock = clock
        self._last_tick = self._last_timely_tick = clock()
        self._requested_at: float | None = None
        self._event = asyncio.Event()

    async def wait(self) -> float:
        """Wait for the request, and return the start of the grace period on the clock."""
        await self._event.wait()
        assert self._requested_at is not None
        return self._requested_at

    async def watch(self) -> None:
        """Record ticks of the event loop until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(until_step(TICK_SECONDS))

    def tick(self) -> None:
        """Record that the event loop is running now."""
        now = self._clock()
        if not self._is_late(now):
            self._last_timely_tick = now
        self._last_tick = now

    def request_stop(self, *, at: float | None = None) -> None:
        """Request a stop; further requests have no effect.

        Args:
            at: When the signal arrived, if that was recorded, as while the program was loading.
                Counting from the start of the process instead, which on a busy machine is up to 2 s
                before the signal, made a stop cut off a response with 1.8 s left.
        """
        if self._requested_at is not None:
            return
        if at is not None:
            self._requested_at = at
            self._event.set()
            return
        now = self._clock()
        # After being blocked, the loop may run one tick before it delivers the signal.
        blocked = self._is_late(now) or self._last_timely_tick < self._last_tick
        self._requested_at = self._last_timely_tick if blocked else now
        self._event.set()

    def _is_late(self, now: float) -> bool:
        return now - self._last_tick > TICK_SECONDS + MAX_TICK_DELAY_SECONDS
