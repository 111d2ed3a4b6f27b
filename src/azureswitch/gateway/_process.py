"""Watches the process itself: its event loop, suspensions of its host, and its memory."""

import asyncio
from collections.abc import Callable
from resource import RUSAGE_SELF, getrusage

from azureswitch.clock import suspended, until_step
from azureswitch.gateway._host_log import HostSuspended, LoopHeld, MemoryShort
from azureswitch.logs import Log
from azureswitch.metrics import Metrics

MIN_SUSPENSION_SECONDS = 0.05
"""Shortest suspension that is logged, in seconds; the two clocks are not read simultaneously."""

MIN_HOLD_SECONDS = 0.5
"""Shortest turn of the event loop that is logged, in seconds; readiness checks come each second."""

MEMORY_SHARES = (0.7, 0.8, 0.9)
"""Shares of the memory limit at which the process logs once that its memory is short."""

MEMORY_TICKS = 5
"""Ticks between two looks at the memory, each of which is a system call."""

KIBIBYTE = 1_024
"""Bytes of the unit in which the kernel counts a process's memory."""


def peak_memory() -> int:
    """Return the most memory that this process has used so far, in bytes."""
    return getrusage(RUSAGE_SELF).ru_maxrss * KIBIBYTE


class ProcessWatch:
    """Ticks periodically, and logs when the process stood still or runs short of memory.

    Args:
        tick: Is called at each tick.
        seconds: Seconds between two ticks.
        memory: The memory limit of the process, in bytes; zero where there is none.
        open_requests: Returns the number of open requests, for the log.
        metrics: Counts suspensions.
        log: Receives the log entries.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        tick: Callable[[], None],
        seconds: float,
        memory: int,
        open_requests: Callable[[], int],
        metrics: Metrics,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        self._tick = tick
        self._seconds = seconds
        self._memory = memory
        self._open_requests = open_requests
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._lag = 0.0
        self._shares = list(MEMORY_SHARES)
        self._ticks = 0

    @property
    def lag(self) -> float:
        """Seconds by which the last tick was late."""
        return self._lag

    async def run(self) -> None:
        """Tick until cancelled."""
        before = suspended()
        while True:
            pause = until_step(self._seconds)
            due = self._clock() + pause
            await asyncio.sleep(pause)
            after = suspended()
            self._lag = max(0.0, self._clock() - due)
            self._report_stall(after - before)
            before = after
            self._ticks += 1
            if not self._ticks % MEMORY_TICKS:
                self._report_memory()
            self._tick()

    def _report_stall(self, seconds: float) -> None:
        """Log a suspension of some seconds, or else a turn of the loop that was too long."""
        if seconds >= MIN_SUSPENSION_SECONDS:
            self._log.write(
                HostSuspended(seconds=round(seconds, 3), open_requests=self._open_requests())
            )
            self._metrics.count(
                name="suspensions", help="Times that the host was found to have been suspended."
            )
        elif self._lag >= MIN_HOLD_SECONDS:
            self._log.write(
                LoopHeld(seconds=round(self._lag, 3), open_requests=self._open_requests())
            )

    def _report_memory(self) -> None:
        """Log the shares of the memory limit that were reached for the first time."""
        if not self._memory or not self._shares:
            return
        peak = peak_memory()
        while self._shares and peak >= self._shares[0] * self._memory:
            share = self._shares.pop(0)
            self._log.write(
                MemoryShort(
                    bytes=peak,
                    limit=self._memory,
                    share=share,
                    open_requests=self._open_requests(),
                )
            )
