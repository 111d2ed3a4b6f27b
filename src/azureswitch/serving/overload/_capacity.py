"""The capacity that is left at the targets of a service, for calls that must start in time."""

from collections.abc import Sequence

from msgspec import Struct

from azureswitch.serving._penalties import ON_TIME_SHARE
from azureswitch.serving.overload._arrivals import Demand


class TargetRoom(Struct, frozen=True, kw_only=True):
    """The room at one target.

    Attributes:
        slots: Requests that it runs at once.
        taken: Requests at it, those that wait for a slot included.
        wait: Predicted seconds until a new call begins there, if a slot is free.
        queued: Seconds of work that is queued there.
    """

    slots: int
    taken: int
    wait: float
    queued: float

    @property
    def free(self) -> int:
        """Free slots."""
        return max(0, self.slots - self.taken)

    def calls(self, demand: Demand) -> float:
        """Return how many calls of a demand could begin here so that they are on time."""
        left = ON_TIME_SHARE * demand.objective - self.wait
        if left < demand.work:
            return 0.0
        return float(self.free) if demand.work <= 0.0 else min(self.free, left / demand.work)


class Capacity(Struct, frozen=True, kw_only=True):
    """What a host knows of the usable targets of a service.

    Attributes:
        rooms: The room at each target.
        hosts: Hosts that share the targets.
        known: Hosts of these whose load is known, this one included.
        age: Seconds since the oldest report on which this rests.
    """

    rooms: tuple[TargetRoom, ...]
    hosts: int = 1
    known: int = 1
    age: float = 0.0

    @property
    def slots(self) -> int:
        """Slots of all targets."""
        return sum(room.slots for room in self.rooms)

    @property
    def taken(self) -> float:
        """Requests at all targets; unknown hosts are assumed to have as many as known ones."""
        return sum(room.taken for room in self.rooms) * self.hosts / max(1, self.known)

    @property
    def share(self) -> float:
        """Free slots for the hosts whose load is known: their proportional share."""
        return max(0.0, self.slots - self.taken) * self.known / max(1, self.hosts)

    @property
    def idle(self) -> bool:
        """Whether under half of the slots are taken and a new call would not wait."""
        free = 2 * sum(bool(room.free and not room.queued) for room in self.rooms) > len(self.rooms)
        crowded = any(room.taken > room.slots for room in self.rooms)
        return free and not crowded and 2.0 * self.taken < self.slots


def lacks_room(rooms: Sequence[TargetRoom], demands: Sequence[Demand]) -> bool:
    """Return whether some demands, most urgent first, would not find enough room."""
    needed = 0.0
    for demand in demands:
        needed += demand.calls + demand.calls**0.5
        if sum(room.calls(demand) for room in rooms) < needed:
            return True
    return False
