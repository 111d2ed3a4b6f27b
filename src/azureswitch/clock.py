"""The one source of elapsed time: it counts the time for which a host is suspended, too.

The steady clock that `time.monotonic` and event loops read stands still meanwhile, so that a
deadline, a lease or a time of grace would last longer here than for anybody else.
"""

from asyncio import SelectorEventLoop
from time import CLOCK_BOOTTIME, clock_gettime, monotonic


def elapsed() -> float:
    """Return seconds since the boot of the host; they never go back."""
    return clock_gettime(CLOCK_BOOTTIME)


def suspended() -> float:
    """Return for how many seconds the host has been suspended since its boot."""
    return elapsed() - monotonic()


class ElapsedEventLoop(SelectorEventLoop):
    """An event loop whose timers are due by elapsed time.

    While it waits for the next of them the kernel counts by the steady clock.  So after a
    suspension the others are late by no more than that one was away, which is the step of 50 ms in
    a program that looks after its deadlines.
    """

    def time(self) -> float:
        """Return elapsed time, in seconds."""
        return elapsed()
