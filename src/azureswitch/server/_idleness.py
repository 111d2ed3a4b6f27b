"""For how long a connection may be idle, and what its caller knows of that."""

from collections.abc import Callable

from azureswitch.server._model import CallerLimits

TOLD_SHARE = 0.8
"""Share of the limit that callers are told; the rest is for a request on its way."""

FRESH_SECONDS = 0.25
"""Seconds in which the first request of a new connection may come before a stop closes it.

A packet that is dropped is sent again after 0.2 s.
"""


class Idleness:
    """Measures how long a connection is idle.

    Args:
        limits: Returns the limits of the moment.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, limits: Callable[[], CallerLimits], clock: Callable[[], float]) -> None:
        self._limits = limits
        self._clock = clock
        self._since = clock()
        self._promised = 0.0

    @property
    def left(self) -> float:
        """Seconds until it may be closed, by the limit of this moment and by what was told."""
        limit = max(self._limits().idle_seconds, self._promised)
        return self._since + limit - self._clock()

    @property
    def fresh(self) -> bool:
        """Whether a new connection's first request may still be on its way."""
        return self._clock() < self._since + FRESH_SECONDS

    def begin(self) -> None:
        """Note that it is idle from now on."""
        self._since = self._clock()

    def promise(self) -> int:
        """Return the whole seconds that an answer tells its caller, or zero for none.

        What was told holds until something else is told.
        """
        limit = self._limits().idle_seconds
        told = int(limit * TOLD_SHARE)
        if told:
            self._promised = limit
        return told
