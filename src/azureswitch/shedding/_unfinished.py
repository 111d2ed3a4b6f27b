"""The requests of which a part has arrived, and which of them ends where there is no room."""

from collections.abc import Callable
from itertools import islice
from typing import Protocol

from msgspec import Struct

from azureswitch.buffers import BufferBudget, BufferLease
from azureswitch.exceptions import RequestShedError

UNFINISHED_SHARE = 0.5
"""Share of the budget that unfinished requests may hold; the rest is for whole ones and answers."""

SLOW_SECONDS = 1.0
"""Seconds without progress after which a request may be shed.

A packet that is dropped is sent again after 0.2 s.
"""

PROGRESS_BYTES = 16_384
"""Bytes that count as progress, so that a byte now and then keeps no request."""

MAX_SHED = 128
"""Requests that are shed for one other, so that no turn of the event loop is long."""

MAX_LOOKS = 128
"""Requests that are looked at to find one to shed, each with a system call."""


class Sheddable(Protocol):
    """The connection of an unfinished request."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""

    def shed(self, error: RequestShedError) -> None:
        """Answer the unfinished request with an error and hold nothing for it any more."""


class _Unfinished(Struct, kw_only=True):
    """What is known of an unfinished request.

    Attributes:
        progressed_at: When `PROGRESS_BYTES` had last arrived, or the first of its bytes.
        size: Bytes that it holds.
        received: Bytes that arrived since `progressed_at`.
    """

    progressed_at: float
    size: int = 0
    received: int = 0


class UnfinishedRequests:
    """The unfinished requests of a process, in the order of their last progress.

    Args:
        budget: Counts the memory of requests and answers.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, budget: BufferBudget, clock: Callable[[], float]) -> None:
        self._budget = budget
        self._clock = clock
        self._requests: dict[Sheddable, _Unfinished] = {}
        self._held = 0

    @property
    def budget(self) -> BufferBudget:
        """Counts the memory of requests and answers."""
        return self._budget

    @property
    def count(self) -> int:
        """Number of unfinished requests."""
        return len(self._requests)

    @property
    def held(self) -> int:
        """Bytes that they hold together."""
        return self._held

    @property
    def slowest_seconds(self) -> float:
        """Seconds since the last progress of the slowest request, or zero where there is none."""
        slowest = next(iter(self._requests.values()), None)
        return 0.0 if slowest is None else self._clock() - slowest.progressed_at

    def try_grow(self, lease: BufferLease, size: int, *, share: float, holder: Sheddable) -> bool:
        """Have a lease hold so many more bytes, and shed slow requests where there is no room.

        Args:
            lease: The lease.
            size: The bytes.
            share: Share of the budget up to which there is room.
            holder: The connection that needs them, whose own request is not shed.

        Returns:
            Whether there was room.
        """
        if lease.try_grow(size, share=share):
            return True
        self._make_room(
            lambda: self._budget.used + size - int(share * self._budget.limit), holder=holder
        )
        return lease.try_grow(size, share=share)

    def keep(self, holder: Sheddable, *, size: int, received: int) -> bool:
        """Note that a request is unfinished, and shed slow ones where there is no room for it.

        Args:
            holder: Its connection.
            size: Bytes that it holds.
            received: Bytes that have arrived since the last note.

        Returns:
            Whether there was room; if not, the request must be refused.
        """
        request = self._requests.get(holder)
        if request is None:
            request = _Unfinished(progressed_at=self._clock())
            self._requests[holder] = request
        self._held += size - request.size
        request.size = size
        self._note_progress(holder, request, received=received)
        self._make_room(self._excess, holder=holder)
        if self._excess() <= 0:
            return True
        self.discard(holder)
        return False

    def discard(self, holder: Sheddable) -> None:
        """Note that a connection has no unfinished request any more."""
        request = self._requests.pop(holder, None)
        if request is not None:
            self._held -= request.size

    def shed_slowest(self) -> bool:
        """Shed the request with the least progress, and return whether one was slow."""
        return self._shed_slowest(holder=None)

    def _note_progress(self, holder: Sheddable, request: _Unfinished, *, received: int) -> None:
        request.received += received
        if request.received >= PROGRESS_BYTES:
            self._mark_progress(holder, request)

    def _mark_progress(self, holder: Sheddable, request: _Unfinished) -> None:
        request.received = 0
        request.progressed_at = self._clock()
        # The last one in the order.
        self._requests[holder] = self._requests.pop(holder)

    def _excess(self) -> int:
        """Return by how many bytes they exceed their share, which one alone never does."""
        if self.count == 1:
            return 0
        return self._held - int(UNFINISHED_SHARE * self._budget.limit)

    def _make_room(self, missing: Callable[[], int], *, holder: Sheddable) -> None:
        """Shed slow requests until nothing is missing, or none where all would not suffice."""
        if missing() > self._held:
            return
        for _ in range(MAX_SHED):
            if missing() <= 0 or not self._shed_slowest(holder=holder):
                return

    def _shed_slowest(self, *, holder: Sheddable | None) -> bool:
        slowest = self._slowest(holder=holder)
        if slowest is None:
            return False
        request = self._requests[slowest]
        self.discard(slowest)
        stalled = self._clock() - request.progressed_at
        slowest.shed(RequestShedError(held=request.size, stalled=stalled))
        return True

    def _slowest(self, *, holder: Sheddable | None) -> Sheddable | None:
        """Return the connection of the slowest request, or None where none is found.

        After the process stood still, requests look slow whose bytes wait to be read.  These count
        as progress, so that such requests are not looked at again and again.
        """
        latest = self._clock() - SLOW_SECONDS
        for connection, request in tuple(islice(self._requests.items(), MAX_LOOKS)):
            if request.progressed_at > latest:
                return None
            if connection is holder:
                continue
            if not connection.has_unread:
                return connection
            self._mark_progress(connection, request)
        return None
