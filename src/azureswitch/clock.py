"""The one source of elapsed time: it counts the time for which a host is suspended, too.

The steady clock that `time.monotonic` and event loops read stands still meanwhile, so that a
deadline, a lease or a time of grace would last longer here than for anybody else.
"""

from asyncio import SelectorEventLoop, get_running_loop
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

    def __init__(self) -> None:
        super().__init__()
        self._began = elapsed()

    @property
    def began(self) -> float:
        """When the loop was made, from which its steps count."""
        return self._began

    def time(self) -> float:
        """Return elapsed time, in seconds."""
        return elapsed()


def until_step(seconds: float) -> float:
    """Return the seconds until the next step of those that are so far apart.

    Parts that look at what is due each few hundredths of a second sleep for this long, so that all
    of a process wake together: each time that a process wakes costs it as much as such a look.  The
    steps of each process begin as it does, so that hosts do not step together.
    """
    loop = get_running_loop()
    began = loop.began if isinstance(loop, ElapsedEventLoop) else 0.0
    left = seconds - (loop.time() - began) % seconds
    # A timer may be a moment early, and the same step is not taken twice.
    return left if left > seconds / 10.0 else left + seconds
