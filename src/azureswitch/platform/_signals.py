"""Since when the process is told to stop."""

import asyncio
from collections.abc import Callable

from azureswitch.clock import elapsed, until_step

LOOK_SECONDS = 0.1
"""Seconds between two looks; 10 a second take under 0.1% of a core."""

LATE_SECONDS = 0.05
"""Seconds by which a look may be late; on a host with little to do they are within 2 ms."""


class StopRequest:
    """The one order to stop, and the moment from which the time of grace counts.

    A signal waits while the loop is held up and while the process is frozen, and the platform
    counts from when it sent it.  So where the loop could not take a signal at once, the order
    counts from the last moment at which it could.

    Args:
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, clock: Callable[[], float] = elapsed) -> None:
        self._clock = clock
        self._looked = self._in_time = clock()
        self._told: float | None = None
        self._event = asyncio.Event()

    async def wait(self) -> float:
        """Wait for the order, and return since when it counts, in seconds of the clock."""
        await self._event.wait()
        assert self._told is not None
        return self._told

    async def watch(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(until_step(LOOK_SECONDS))

    def look(self) -> None:
        """Note that the loop runs now."""
        now = self._clock()
        if not self._is_late(now):
            self._in_time = now
        self._looked = now

    def tell(self, *, at: float | None = None) -> None:
        """Take the order; a second one changes nothing.

        Args:
            at: When it was given, where that was noted, as while the program was loaded.  Counted
                from the start of the process, which was up to 2 s before the signal on a busy
                machine, a stop broke off an answer that had 1.8 s left.
        """
        if self._told is not None:
            return
        if at is not None:
            self._told = at
            self._event.set()
            return
        now = self._clock()
        # After a hold-up the loop may look once before it hands the signal over.
        held_up = self._is_late(now) or self._in_time < self._looked
        self._told = self._in_time if held_up else now
        self._event.set()

    def _is_late(self, now: float) -> bool:
        return now - self._looked > LOOK_SECONDS + LATE_SECONDS
