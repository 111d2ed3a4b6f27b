"""The state of the sweep on one host."""

from random import Random

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory._model import SweepCounts
from azureswitch.core import HostName, Incarnation, TargetName
from azureswitch.ports import Holding


class SweepState:
    """The engines that a host sweeps, their holdings and the owners of those."""

    def __init__(self, *, myself: Incarnation, seed: int) -> None:
        self._myself = myself
        self._random = Random(seed)
        self._members: dict[HostName, Member] = {}
        self._reading: set[TargetName] = set()
        self._held: dict[TargetName, dict[str, Holding]] = {}
        self._seen_since: dict[tuple[TargetName, str], float] = {}
        self._presumed_dead_since: dict[Incarnation, float] = {}
        self._superseded: set[Incarnation] = set()
        self._queried_at: dict[Incarnation, float] = {}
        self._reads = 0
        self._query_count = 0
        self._released = 0
        self._spared_count = 0

    @property
    def counts(self) -> SweepCounts:
        """The counters since the start."""
        return SweepCounts(
            reads=self._reads,
            questions=self._query_count,
            released=self._released,
            kept=self._spared_count,
        )

    def is_superseded(self, owner: Incarnation) -> bool:
        """Return whether a newer process runs on the owner's host."""
        if owner in self._superseded:
            return True
        member = self._members.get(owner.host)
        return member is not None and member.incarnation.started > owner.started

    def is_known(self, owner: Incarnation) -> bool:
        """Return whether the member list contains this process."""
        member = self._members.get(owner.host)
        return member is not None and member.incarnation == owner

    def is_presumed_alive(self, owner: Incarnation) -> bool:
        """Return whether the owner is in the member list and not dead, or is this process."""
        if owner == self._myself:
            return True
        if self.is_superseded(owner) or not self.is_known(owner):
            return False
        return self._members[owner.host].status is not MemberStatus.DEAD
