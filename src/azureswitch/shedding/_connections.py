"""The connections of a listener, and which of them ends where there are too many."""

from collections.abc import Callable
from itertools import islice
from typing import Protocol

SILENT_SECONDS = 1.0
"""Seconds after which a connection that has sent nothing may be dropped for a new one.

A packet that is dropped is sent again after 0.2 s.
"""

CROWDED_SHARE = 0.75
"""Share of the limit from which on callers are told to use another connection."""

MAX_LOOKS = 128
"""Connections that are looked at to find one to drop, each with a system call."""


class Droppable(Protocol):
    """A connection that can be closed for another one."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that the event loop has not read yet."""

    def drop(self) -> None:
        """Close the connection at once, as others need its descriptor."""


class ConnectionLimit:
    """Bounds the open connections of a listener.

    A new connection takes the place of one that has sent nothing for a while.  Where there is none,
    it must be closed, and the slowest unfinished request ends for those that come next.  A
    connection that was used is never dropped: its caller was told how long it may be used.

    Args:
        limit: Connections that may be open.
        clock: Returns seconds of the monotonic clock.
        shed_slowest: Ends an unfinished request that makes no progress, and returns whether there
            was one.
    """

    def __init__(
        self,
        *,
        limit: int,
        clock: Callable[[], float],
        shed_slowest: Callable[[], bool] = lambda: False,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._shed_slowest = shed_slowest
        self._silent: dict[Droppable, float] = {}
        self._open: set[Droppable] = set()

    @property
    def open(self) -> int:
        """Connections that are open."""
        return len(self._open)

    @property
    def crowded(self) -> bool:
        """Whether so many are open that callers should not keep theirs."""
        return len(self._open) > CROWDED_SHARE * self._limit

    def admit(self, connection: Droppable) -> bool:
        """Count a new connection and return True, or False where it must be closed at once."""
        if len(self._open) >= self._limit and not self._make_room():
            return False
        self._open.add(connection)
        self._silent[connection] = self._clock()
        return True

    def heard(self, connection: Droppable) -> None:
        """Note that a connection has sent something."""
        self._silent.pop(connection, None)

    def discard(self, connection: Droppable) -> None:
        """Note that a connection is closed."""
        self._open.discard(connection)
        self._silent.pop(connection, None)

    def _make_room(self) -> bool:
        """Drop the connection that has been silent for longest, or shed a request for the next one.

        The connection of a shed request closes once its caller had time to read the refusal.
        """
        silent = self._longest_silent()
        if silent is None:
            self._shed_slowest()
            return False
        self.discard(silent)
        silent.drop()
        return True

    def _longest_silent(self) -> Droppable | None:
        """Return the connection that has been silent for longest, or None where none is found.

        After the process stood still, connections look silent whose bytes wait to be read.  These
        go to the end of the order, so that they are not looked at again and again.
        """
        now = self._clock()
        for connection, since in tuple(islice(self._silent.items(), MAX_LOOKS)):
            if now - since < SILENT_SECONDS:
                return None
            if not connection.has_unread:
                return connection
            del self._silent[connection]
            self._silent[connection] = now
        return None
