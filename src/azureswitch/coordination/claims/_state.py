"""The state of the owner side: the shards that a process commits for."""

from collections.abc import Container

from azureswitch.coordination.claims._model import SHARDS
from azureswitch.coordination.claims._presence import Presumed
from azureswitch.coordination.claims._shard import Shard
from azureswitch.core import Incarnation

WRITE_BUDGET = 64.0
"""Writes of heads a second by the whole fleet at most, while each shard has one owner."""


class OwnerState:
    """The shards that this process commits for.

    Args:
        retention: Seconds for which a key is remembered.
        budget: Writes of heads a second by the whole fleet.
    """

    def __init__(self, *, retention: float, budget: float = WRITE_BUDGET) -> None:
        self._retention = retention
        self._interval = SHARDS / budget
        self._alive: Container[Incarnation] = Presumed(known=())
        self._shards: dict[int, Shard] = {}

    @property
    def retention(self) -> float:
        """Seconds for which a key is remembered; it may be changed at any time."""
        return self._retention

    @retention.setter
    def retention(self, seconds: float) -> None:
        self._retention = seconds

    @property
    def waiting(self) -> int:
        """How many asks wait for a verdict."""
        return sum(len(shard.pending) + len(shard.batch) for shard in self._shards.values())

    @property
    def indexed_keys(self) -> int:
        """How many keys of sealed segments are known here."""
        return sum(shard.indexed_keys for shard in self._shards.values())

    def _shard(self, number: int) -> Shard:
        if number not in self._shards:
            self._shards[number] = Shard(number=number)
        return self._shards[number]
