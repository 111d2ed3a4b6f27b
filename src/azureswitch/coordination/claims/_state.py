"""The state of the owner side: the shards that a process commits for."""

from collections.abc import Container

from azureswitch.coordination.claims._model import SHARDS
from azureswitch.coordination.claims._presence import PresumedAlive
from azureswitch.coordination.claims._shard import Shard
from azureswitch.core import Incarnation

MAX_WRITES_PER_SECOND = 64.0
"""Upper bound of the writes of heads per second by the whole fleet, with one owner per shard."""


class OwnerState:
    """The shards whose requests this process commits.

    Args:
        retention: Seconds for which a key is remembered.
        budget: Upper bound of the writes of heads per second by the whole fleet.
    """

    def __init__(self, *, retention: float, budget: float = MAX_WRITES_PER_SECOND) -> None:
        self._retention = retention
        self.write_interval = SHARDS / budget
        self.alive: Container[Incarnation] = PresumedAlive(known=())
        self.shards: dict[int, Shard] = {}

    @property
    def retention(self) -> float:
        """Seconds for which a key is remembered; it may be changed at any time."""
        return self._retention

    @retention.setter
    def retention(self, seconds: float) -> None:
        self._retention = seconds

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a verdict."""
        return sum(len(shard.pending) + len(shard.batch) for shard in self.shards.values())

    @property
    def indexed_keys(self) -> int:
        """Number of indexed keys of sealed segments."""
        return sum(shard.indexed_keys for shard in self.shards.values())

    def shard(self, number: int) -> Shard:
        """Return the view of a shard, a new one if there is none."""
        if number not in self.shards:
            self.shards[number] = Shard(number=number)
        return self.shards[number]
