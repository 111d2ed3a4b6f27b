"""What an engine does at a certain time."""

from heapq import heappop, heappush
from math import inf

from msgspec import Struct

from azureswitch_standins.engine._work import AttemptWork, SpanWork


class AttemptTimeout(Struct, frozen=True, kw_only=True):
    """The time of an attempt is over."""

    attempt: AttemptWork


class ModelLoaded(Struct, frozen=True, kw_only=True):
    """Loading a model ends."""

    model: str


class SpanCopied(Struct, frozen=True, kw_only=True):
    """Copying a span from another engine ends."""

    work: SpanWork


Timer = AttemptTimeout | ModelLoaded | SpanCopied


class Timers:
    """Timers by time; of those that are due together, the oldest comes first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0

    @property
    def next_time(self) -> float:
        """When the next one is due; infinite where there is none."""
        return self._heap[0][0] if self._heap else inf

    def add(self, at: float, timer: Timer) -> None:
        """Add a timer."""
        self._count += 1
        heappush(self._heap, (at, self._count, timer))

    def pop(self) -> Timer:
        """Remove and return the next one."""
        return heappop(self._heap)[2]
