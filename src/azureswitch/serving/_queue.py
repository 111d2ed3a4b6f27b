"""Admitted calls that wait for a target, fair by customer."""

from collections import deque
from collections.abc import Callable, Iterator

from msgspec import Struct

from azureswitch.core import CallId, CustomerName, ServiceName
from azureswitch.serving._length import Level


class Lane(Struct, frozen=True, kw_only=True):
    """Calls that compete for the same targets.

    Attributes:
        service: The service.
        model: The model; empty for plain services.
        level: How long their prompts are.
    """

    service: ServiceName
    model: str
    level: Level


class _Waiting(Struct, frozen=True, kw_only=True):
    lane: Lane
    customer: CustomerName
    seconds: float


class WaitingQueue:
    """Per lane one first-in first-out queue per customer."""

    def __init__(self) -> None:
        self._lanes: dict[Lane, dict[CustomerName, deque[CallId]]] = {}
        self._places: dict[CallId, _Waiting] = {}
        self._blocked: dict[Lane, float] = {}
        self._seconds: dict[tuple[Lane, CustomerName], float] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, call: CallId) -> bool:
        return call in self._places

    @property
    def lanes(self) -> tuple[Lane, ...]:
        """The lanes in which calls wait, those with the shortest prompts first."""
        return tuple(sorted(self._lanes, key=lambda lane: lane.level))

    def has_ready(self, lane: Lane, *, now: float) -> bool:
        """Return whether calls wait in a lane that is not blocked."""
        return lane in self._lanes and now >= self._blocked.get(lane, 0.0)

    def block(self, lane: Lane, *, until: float) -> None:
        """Do not look at a lane for a while."""
        self._blocked[lane] = until

    def customers(self, lane: Lane) -> Iterator[CustomerName]:
        """Yield the customers that have calls in a lane."""
        yield from self._lanes.get(lane, {})

    def unblock(self) -> None:
        """Look at all lanes again."""
        self._blocked.clear()

    def count(self, lane: Lane, customer: CustomerName) -> int:
        """Return how many calls of a customer wait in a lane."""
        return len(self._lanes.get(lane, {}).get(customer, ()))

    def seconds(self, lane: Lane, customer: CustomerName) -> float:
        """Return the engine seconds of a customer's calls in a lane."""
        return self._seconds.get((lane, customer), 0.0)

    def push(
        self, *, lane: Lane, customer: CustomerName, call: CallId, seconds: float, first: bool
    ) -> None:
        """Add a call.

        Args:
            lane: Where it waits.
            customer: Whose call it is.
            call: The call.
            seconds: Its engine seconds.
            first: Whether it goes before the customer's others, as it was sent once already.
        """
        calls = self._lanes.setdefault(lane, {}).setdefault(customer, deque())
        if first:
            calls.appendleft(call)
        else:
            calls.append(call)
        self._places[call] = _Waiting(lane=lane, customer=customer, seconds=seconds)
        self._seconds[lane, customer] = self.seconds(lane, customer) + seconds

    def heads(self, lane: Lane, served: Callable[[CustomerName], float]) -> list[CallId]:
        """Return the next call of each customer, that of the least served first."""
        customers = self._lanes.get(lane, {})
        return [customers[name][0] for name in sorted(customers, key=lambda n: (served(n), n))]

    def remove(self, call: CallId) -> bool:
        """Take a call out and return whether it waited."""
        place = self._places.pop(call, None)
        if place is None:
            return False
        customers = self._lanes[place.lane]
        customers[place.customer].remove(call)
        self._seconds[place.lane, place.customer] -= place.seconds
        if not customers[place.customer]:
            del customers[place.customer]
            del self._seconds[place.lane, place.customer]
        if not customers:
            del self._lanes[place.lane]
            self._blocked.pop(place.lane, None)
        return True
