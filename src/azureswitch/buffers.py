"""One budget for the memory that a host holds for others: bodies, answers, what nobody reads yet.

What is held is counted before it is held.  New work is refused once a share of the budget is used,
so that there is room left for the answers of the work that was accepted.
"""

from sys import maxsize

BUDGET_SHARE = 0.5
"""Share of a process's memory limit that buffers may take; the rest is the program's own."""

LARGE_SHARE = 0.6
"""Share of the budget up to which large new requests are accepted."""

SMALL_SHARE = 0.8
"""Share of the budget up to which small new requests are accepted."""

ANSWER_SHARE = 0.9
"""Share of the budget up to which answers are kept whole before they are passed on."""

SMALL_BYTES = 65_536
"""Bytes up to which a request is small."""

REQUEST_BYTES = 16_384
"""Bytes that a request counts for beside its body."""

HEADER_BYTES = 256
"""Bytes that a header takes beside its name and its value, once both are objects."""


class BufferBudget:
    """The bytes that may be held.

    Args:
        limit: Bytes that may be held at most; without it, any number may be.
    """

    def __init__(self, *, limit: int = maxsize) -> None:
        self._limit = limit
        self._used = 0

    @property
    def limit(self) -> int:
        """Bytes that may be held at most."""
        return self._limit

    @property
    def used(self) -> int:
        """Bytes that are held."""
        return self._used

    def lease(self) -> "BufferLease":
        """Return a lease of no bytes."""
        return BufferLease(budget=self)

    def has_room(self, size: int, *, share: float) -> bool:
        """Return whether so many more bytes stay within a share of the budget."""
        return self._used + size <= share * self._limit

    def take(self, size: int) -> None:
        """Count bytes as held, or as no longer held where there are less than zero of them."""
        self._used += size


class BufferLease:
    """What one holder has of a budget.

    Args:
        budget: The budget.
    """

    def __init__(self, *, budget: BufferBudget) -> None:
        self._budget = budget
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes that it holds."""
        return self._size

    def try_grow(self, size: int, *, share: float) -> bool:
        """Hold so many more bytes and return True, or False where a share of the budget is used."""
        if not self._budget.has_room(size, share=share):
            return False
        self.resize(self._size + size)
        return True

    def resize(self, size: int) -> None:
        """Hold so many bytes, whether or not there is room for them."""
        self._budget.take(size - self._size)
        self._size = size

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)


def share_for(size: int) -> float:
    """Return the share of the budget up to which a new request of a size is accepted."""
    return SMALL_SHARE if size <= SMALL_BYTES else LARGE_SHARE


def budget_of(memory: int) -> BufferBudget:
    """Return the budget of a process with a memory limit in bytes; zero for no limit."""
    return BufferBudget(limit=int(memory * BUDGET_SHARE)) if memory else BufferBudget()
