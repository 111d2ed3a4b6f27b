"""One timer at a time."""

import asyncio
from collections.abc import Callable


class Timer:
    """Calls back once, unless it is set anew or stopped before.

    Args:
        loop: The event loop.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    def set(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds, and not as was set before."""
        self.stop()
        self._handle = self._loop.call_later(seconds, callback)

    def stop(self) -> None:
        """Do not call back."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
