"""When refused callers are told to come back, so that each of them finds capacity."""

from azureswitch.core import ServiceName

MIN_RETURN_SECONDS = 0.25
"""Shortest time after which a caller comes back: capacity that is free sooner serves new calls.

A digest reaches all hosts within this time, and it is about the objective of a short question.
"""


class Bookings:
    """Spreads returning callers over the capacity that this host expects to have.

    Each caller gets the next free time, so that at the times told the callers come one by one.
    """

    def __init__(self) -> None:
        self._next: dict[ServiceName, float] = {}

    def book(self, service: ServiceName, *, interval: float, jitter: float, now: float) -> float:
        """Return the seconds after which a refused caller finds capacity.

        Args:
            service: The service.
            interval: Seconds between two callers whom this host can serve when they return.
            jitter: A random number from 0 to 1, by which hosts come apart.
            now: The time.
        """
        due = max(self._next.get(service, 0.0), now + MIN_RETURN_SECONDS)
        self._next[service] = due + interval
        return due + jitter * interval - now
