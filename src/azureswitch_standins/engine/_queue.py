"""A queue ordered by priority, then by arrival."""

from bisect import insort
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class Queued(Protocol):
    """An item of the queue.

    Attributes:
        priority: Smaller comes first.
        order: The number of its arrival, which no other item has.
    """

    priority: int
    order: int


_T = TypeVar("_T", bound=Queued)


class PriorityQueue(Generic[_T]):
    """Items by priority, and by arrival within a priority."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, _T]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[_T]:
        return (item for _, _, item in self._entries)

    @property
    def first(self) -> _T:
        """The item that comes first."""
        return self._entries[0][2]

    def add(self, item: _T) -> None:
        """Insert an item."""
        insort(self._entries, (item.priority, item.order, item))

    def remove(self, item: _T) -> None:
        """Remove an item."""
        self._entries.remove((item.priority, item.order, item))

    def prioritize(self, item: _T, priority: int) -> None:
        """Change the priority of an item."""
        self.remove(item)
        item.priority = priority
        self.add(item)
