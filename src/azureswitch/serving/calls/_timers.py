"""Timers of calls, ordered by their due time."""

from enum import Enum
from heapq import heappop, heappush

from msgspec import Struct

from azureswitch.core import CallId


class TimerKind(Enum):
    """The action that is due when a timer fires."""

    DEADLINE = "deadline"
    LATEST_START = "latest_start"
    RETRY = "retry"
    BESIDE = "beside"
    HEDGE = "hedge"
    AGE = "age"


class Timer(Struct, frozen=True, kw_only=True, order=True):
    """An action due for a call; it is ignored if the call has left the state that it was set for.

    Timers are ordered by due time, and then by ``sequence``, which is unique.
    """

    at: float
    sequence: int
    kind: TimerKind
    call: CallId
    attempt: int = 0


class Timers:
    """A queue of timers, earliest first."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._sequence = 0

    def set(self, *, at: float, kind: TimerKind, call: CallId, attempt: int = 0) -> None:
        """Add a timer."""
        self._sequence += 1
        timer = Timer(at=at, sequence=self._sequence, kind=kind, call=call, attempt=attempt)
        heappush(self._heap, timer)

    def due(self, now: float) -> list[Timer]:
        """Remove and return the timers that are due."""
        timers = []
        while self._heap and self._heap[0].at <= now:
            timers.append(heappop(self._heap))
        return timers
