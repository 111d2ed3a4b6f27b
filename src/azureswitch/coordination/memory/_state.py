"""The state behind the sweep of one host."""

from random import Random

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory._model import SweepCounts
from azureswitch.core import HostName, Incarnation, TargetName
from azureswitch.ports import Holding


class SweepState:
    """What a host knows of the engines that it sweeps and of the owners of what is held there."""

    def __init__(self, *, myself: Incarnation, seed: int) -> None:
        self._myself = myself
        self._random = Random(seed)
        self._members: dict[HostName, Member] = {}
        self._reading: set[TargetName] = set()
        self._held: dict[TargetName, dict[str, Holding]] = {}
        self._since: dict[tuple[TargetName, str], float] = {}
        self._doubted: dict[Incarnation, float] = {}
        self._succeeded: set[Incarnation] = set()
        self._asked: dict[Incarnation, float] = {}
        self._reads = 0
        self._questions = 0
        self._released = 0
        self._kept = 0

    @property
    def counts(self) -> SweepCounts:
        """What has been done so far."""
        return SweepCounts(
            reads=self._reads,
            questions=self._questions,
            released=self._released,
            kept=self._kept,
        )

    def is_superseded(self, owner: Incarnation) -> bool:
        """Whether a newer process runs on the owner's host."""
        if owner in self._succeeded:
            return True
        member = self._members.get(owner.host)
        return member is not None and member.incarnation.started > owner.started

    def is_known(self, owner: Incarnation) -> bool:
        """Whether the member list shows this very process."""
        member = self._members.get(owner.host)
        return member is not None and member.incarnation == owner

    def is_living(self, owner: Incarnation) -> bool:
        """Whether this host believes that the owner runs."""
        if owner == self._myself:
            return True
        if self.is_superseded(owner) or not self.is_known(owner):
            return False
        return self._members[owner.host].status is not MemberStatus.DEAD
