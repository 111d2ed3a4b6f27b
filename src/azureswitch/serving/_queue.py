"""Queue of admitted calls that wait for a target, fair among customers."""

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
        level: Length class of their prompts.
    """

    service: ServiceName
    model: str
    level: Level


class _QueuedCall(Struct, frozen=True, kw_only=True):
    lane: Lane
    customer: CustomerName
    seconds: float


class WaitingQueue:
    """One FIFO queue per lane and customer."""

    def __init__(self) -> None:
        self._lanes: dict[Lane, dict[CustomerName, deque[CallId]]] = {}
        self._calls: dict[CallId, _QueuedCall] = {}
        self._blocked: dict[Lane, float] = {}
        self._seconds: dict[tuple[Lane, CustomerName], float] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call: CallId) -> bool:
        return call in self._calls

    @property
    def lanes(self) -> tuple[Lane, ...]:
        """The lanes with waiting calls, shortest prompts first."""
        return tuple(sorted(self._lanes, key=lambda lane: lane.level))

    def has_ready(self, lane: Lane, *, now: float) -> bool:
        """Return whether a lane has waiting calls and is not blocked."""
        return lane in self._lanes and now >= self._blocked.get(lane, 0.0)

    def block(self, lane: Lane, *, until: float) -> None:
        """Skip a lane until a given time."""
        self._blocked[lane] = until

    def customers(self, lane: Lane) -> Iterator[CustomerName]:
        """Yield the customers that have calls in a lane."""
        yield from self._lanes.get(lane, {})

    def unblock(self) -> None:
        """Clear the blocks of all lanes."""
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
            lane: The lane that it waits in.
            customer: The customer that sent it.
            call: The call.
            seconds: Its engine seconds.
            first: Whether it goes ahead of the customer's other calls, as it was sent before.
        """
        calls = self._lanes.setdefault(lane, {}).setdefault(customer, deque())
        if first:
            calls.appendleft(call)
        else:
            calls.append(call)
        self._calls[call] = _QueuedCall(lane=lane, customer=customer, seconds=seconds)
        self._seconds[lane, customer] = self.seconds(lane, customer) + seconds

    def heads(self, lane: Lane, served: Callable[[CustomerName], float]) -> list[CallId]:
        """Return the next call of each customer, that of the least served customer first."""
        customers = self._lanes.get(lane, {})
        return [customers[name][0] for name in sorted(customers, key=lambda n: (served(n), n))]

    def remove(self, call: CallId) -> bool:
        """Remove a call and return whether it was queued."""
        queued = self._calls.pop(call, None)
        if queued is None:
            return False
        customers = self._lanes[queued.lane]
        customers[queued.customer].remove(call)
        self._seconds[queued.lane, queued.customer] -= queued.seconds
        if not customers[queued.customer]:
            del customers[queued.customer]
            del self._seconds[queued.lane, queued.customer]
        if not customers:
            del self._lanes[queued.lane]
            self._blocked.pop(queued.lane, None)
        return True
