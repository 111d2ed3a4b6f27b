"""The decision to admit or refuse a call while the targets have too little capacity."""

from enum import Enum

from msgspec import Struct

from azureswitch.serving._events import Rank
from azureswitch.serving.overload._arrivals import Demand
from azureswitch.serving.overload._capacity import Capacity, TargetRoom, lacks_room

IDLE_FACTOR = 2.0
"""Multiple of its time on idle targets within which a call counts as on time.

A prompt that cannot meet the objective of its kind on idle targets may wait for as long as it runs.
"""


class Reason(Enum):
    """Why a call is refused.

    Attributes:
        TOO_LATE: Its caller would have left before the first output.
        LATE: It would be late, while other calls of its rank can still be on time.
        PAUSES: Its prefill would make running streams pause for longer than they tolerate.
        RESERVED: The capacity that is left is expected to be needed by more urgent calls.
        SHARE: This host has used its proportional share, as it does not know the load of others.
    """

    TOO_LATE = "too_late"
    LATE = "late"
    PAUSES = "pauses"
    RESERVED = "reserved"
    SHARE = "share"


class Asked(Struct, frozen=True, kw_only=True):
    """What a call asks for.

    Attributes:
        rank: Its rank.
        above: Whether its customer has used more than its share.
        retry: Whether it is sent again, and comes after all calls of its rank.
        objective: Objective for its first output in seconds; zero for none.
        patience: Seconds until its caller leaves.
        first: Predicted seconds to its first output, or infinity if no target can take it.
        idle: The same if all targets were idle.
        rooms: The room at all targets after it is sent.
        pauses: Whether its prefill makes running streams pause for longer than they tolerate.
    """

    rank: Rank
    above: bool = False
    retry: bool = False
    objective: float
    patience: float
    first: float
    idle: float
    rooms: tuple[TargetRoom, ...]
    pauses: bool = False

    @property
    def limit(self) -> float:
        """Seconds to the first output up to which it counts as on time."""
        if not self.objective:
            return self.patience
        return min(self.patience, max(self.objective, IDLE_FACTOR * self.idle))


def decide(asked: Asked, capacity: Capacity, demands: tuple[Demand, ...]) -> Reason | None:
    """Return why a call is refused, or None if it is admitted.

    Args:
        asked: What the call asks for.
        capacity: What is left at the targets.
        demands: The demand of each rank, the most urgent first.
    """
    if capacity.idle:
        return None
    if asked.first > asked.patience:
        return Reason.TOO_LATE
    if asked.first > asked.limit:
        return Reason.LATE
    urgent = [
        demand
        for demand in demands
        if (demand.rank, demand.above) < (asked.rank, asked.above)
        or (asked.retry and demand.rank == asked.rank)
    ]
    if urgent and asked.pauses:
        return Reason.PAUSES
    if capacity.known < capacity.hosts and capacity.share < 1.0 + sum(d.calls for d in urgent):
        return Reason.SHARE
    return Reason.RESERVED if lacks_room(asked.rooms, urgent) else None
