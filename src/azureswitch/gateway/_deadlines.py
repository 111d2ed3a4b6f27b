"""Timers of the deadlines of requests."""

import asyncio
from collections.abc import Callable

from azureswitch.core import CallId

TIMER_SLACK_SECONDS = 0.001
"""Seconds added to a deadline timer, so that it does not fire just before the deadline."""


class Deadlines:
    """Calls back once at the deadline of each open request.

    Args:
        reached: The callback.
    """

    def __init__(self, *, reached: Callable[[CallId], None]) -> None:
        self._reached = reached
        self._timers: dict[CallId, asyncio.TimerHandle] = {}

    def set(self, call: CallId, *, seconds: float) -> None:
        """Call back for a request after some seconds."""
        due = max(0.0, seconds) + TIMER_SLACK_SECONDS
        self._timers[call] = asyncio.get_running_loop().call_later(due, self._due, call)

    def discard(self, call: CallId) -> None:
        """Do not call back for a request."""
        timer = self._timers.pop(call, None)
        if timer is not None:
            timer.cancel()

    def _due(self, call: CallId) -> None:
        del self._timers[call]
        self._reached(call)
