"""The processes that are assumed to be alive, also shortly after a start."""

from collections.abc import Container
from dataclasses import dataclass

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class PresumedAlive(Container[Incarnation]):
    """All processes except those known to have ended, for a process that has just started.

    Attributes:
        known: The members known so far.
    """

    known: tuple[Member, ...]

    def __contains__(self, item: object) -> bool:
        """Return whether a process may be running."""
        if not isinstance(item, Incarnation):
            return False
        for member in self.known:
            process = member.incarnation
            if process == item:
                return member.status is not MemberStatus.DEAD
            if process.host == item.host and process.started > item.started:
                return False
        return True


def live_incarnations(members: tuple[Member, ...]) -> frozenset[Incarnation]:
    """Return the processes of the members that are not dead."""
    return frozenset(
        member.incarnation for member in members if member.status is not MemberStatus.DEAD
    )
