"""How long a silent target is waited for."""

import asyncio
from math import isinf
from types import TracebackType

STALL_SECONDS = 0.1
"""Seconds by which a timer is late where this process stood still; a busy loop is 10 ms late."""

STALL_GRACE = 0.5
"""Seconds for which a target is waited for again after that.

What arrived meanwhile is read within a few milliseconds, and a target writes each 50 ms.
"""


class Patience:
    """Ends a block with TimeoutError where a target stays silent for too long.

    Time in which this process itself stood still says nothing of the target.  A host that was
    frozen for twice its patience gave its stream up as it went on, with the events in its socket
    unread, and ran the request a second time; with this it goes on with the first run.

    Args:
        seconds: For how long, or infinity.
    """

    def __init__(self, *, seconds: float) -> None:
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._seconds = seconds

    async def __aenter__(self) -> "Patience":
        await self._timeout.__aenter__()
        self.begin(self._seconds)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._cancel()
        await self._timeout.__aexit__(kind, error, trace)

    def begin(self, seconds: float) -> None:
        """Wait for so long from now on."""
        self.suspend()
        if not isinf(seconds):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._due, loop.time() + seconds)

    def suspend(self) -> None:
        """Do not wait for the target until `begin`."""
        self._timeout.reschedule(None)
        self._cancel()

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _due(self, end: float) -> None:
        now = asyncio.get_running_loop().time()
        if now - end > STALL_SECONDS:
            self.begin(STALL_GRACE)
        else:
            # It comes in the loop's next turn, after what has been read in this one.
            self._timeout.reschedule(now)
