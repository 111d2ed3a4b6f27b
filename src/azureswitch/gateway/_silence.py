"""How long a silent target is waited for."""

import asyncio
from collections.abc import Callable
from math import isinf
from types import TracebackType

STALL_SECONDS = 0.1
"""Seconds by which a timer is late where this process stood still; a busy loop is 10 ms late."""

STALL_GRACE = 0.5
"""Seconds for which a target is waited for again after that.

What arrived meanwhile is read within a few milliseconds, and a target writes each 50 ms.
"""


class Patience:
    """Calls back each time that a target has been silent for too long, while a block runs.

    Time in which this process itself stood still says nothing of the target.  A host that was
    frozen for twice its patience gave its stream up as it went on, with the events in its socket
    unread, and ran the request a second time; with this it goes on with the first run.

    Args:
        seconds: For how long, or infinity.
        silent: Called back.  The target is waited for as long again unless it ends the block.
    """

    def __init__(self, *, seconds: float, silent: Callable[[], None]) -> None:
        self._seconds = seconds
        self._silent = silent
        self._timer: asyncio.Handle | None = None

    def __enter__(self) -> "Patience":
        self.begin(self._seconds)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.suspend()

    def begin(self, seconds: float) -> None:
        """Wait for so long from now on."""
        self.suspend()
        self._seconds = seconds
        self._wait(seconds)

    def suspend(self) -> None:
        """Do not wait for the target until `begin`."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self, seconds: float) -> None:
        if not isinf(seconds):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._due, loop.time() + seconds)

    def _due(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - end > STALL_SECONDS:
            self._wait(STALL_GRACE)
        else:
            # It comes in the loop's next turn, after what has been read in this one.
            self._timer = loop.call_soon(self._tell)

    def _tell(self) -> None:
        self._wait(self._seconds)
        self._silent()
