"""A bounded set of identifiers."""

from typing import Generic, TypeVar

_T = TypeVar("_T")


class RecentSet(Generic[_T]):
    """The identifiers added last; the oldest is dropped when the set is full.

    Args:
        limit: The largest number of identifiers that are kept.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._items: dict[_T, None] = {}

    def __contains__(self, item: _T) -> bool:
        return item in self._items

    def add(self, item: _T) -> None:
        """Add an identifier; one that is present keeps its age."""
        self._items[item] = None
        if len(self._items) > self._limit:
            del self._items[next(iter(self._items))]
