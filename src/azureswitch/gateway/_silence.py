"""Detects targets that are silent for too long."""

import asyncio
from collections.abc import Callable
from math import isinf
from types import TracebackType

STALL_SECONDS = 0.1
"""Timer lateness in seconds that counts as a stall of this process; a busy loop is 10 ms late."""

STALL_GRACE_SECONDS = 0.5
"""Seconds of renewed waiting for a target after a stall of this process.

Data that arrived during the stall is read within milliseconds; a target writes every 50 ms.
"""


class SilenceTimer:
    """Context manager that calls back whenever a target is silent for too long.

    Stalls of this process do not count as silence.  Without this rule, a host that was frozen for
    twice the timeout abandoned its stream on resuming, with events unread in the socket, and ran
    the request a second time.

    Args:
        seconds: The timeout, or infinity.
        silent: The callback.  The timer restarts before each call, until the block is left.
        resumed: Is called when a silent target sends output again, with the seconds of silence.
    """

    def __init__(
        self,
        *,
        seconds: float,
        silent: Callable[[], None],
        resumed: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self._seconds = seconds
        self._silent = silent
        self._resumed = resumed
        self._timer: asyncio.Handle | None = None
        self._begun = 0.0
        self._is_silent = False

    def __enter__(self) -> "SilenceTimer":
        self.begin(self._seconds)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop()

    def begin(self, seconds: float) -> None:
        """Restart the timer with a new timeout in seconds."""
        self._stop()
        self._seconds = seconds
        self._begun = asyncio.get_running_loop().time()
        self._wait(seconds)

    def suspend(self) -> None:
        """Stop the timer, as the target has sent output, until `begin` is called."""
        self._stop()
        if self._is_silent:
            self._is_silent = False
            loop = asyncio.get_running_loop()
            # From the loop, like the other callback: what it raises must not end the block.
            loop.call_soon(self._resumed, loop.time() - self._begun)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self, seconds: float) -> None:
        if not isinf(seconds):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._expired, loop.time() + seconds)

    def _expired(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - end > STALL_SECONDS:
            self._wait(STALL_GRACE_SECONDS)
        else:
            # Deferred to the next loop iteration, so that data read in this one is handled first.
            self._timer = loop.call_soon(self._notify)

    def _notify(self) -> None:
        self._wait(self._seconds)
        self._is_silent = True
        self._silent()
