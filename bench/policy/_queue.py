"""Virtual time: what happens when, in an order that depends on nothing else."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventQueue:
    """Things to do at times, earliest first and in the order of their adding."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0
        self._now = 0.0

    @property
    def now(self) -> float:
        """The time."""
        return self._now

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Do something at a time, or now where that has passed."""
        self._sequence += 1
        heappush(self._heap, (max(when, self._now), self._sequence, action, args))

    def after(self, seconds: float, action: Callable[..., None], *args: Any) -> None:
        """Do something after some seconds."""
        self.at(self._now + seconds, action, *args)

    def run(self, *, until: float, while_: Callable[[], bool]) -> None:
        """Do all things in order up to a time, for as long as a condition holds."""
        while self._heap and self._heap[0][0] <= until and while_():
            self._now, _, action, args = heappop(self._heap)
            action(*args)
