"""The current members and those that left the member list recently."""

from collections.abc import Callable, Iterable

from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Incarnation

DEPARTED_RETENTION_SECONDS = 300.0
"""Seconds for which a process that left the member list is still returned, as dead."""


class Roster:
    """Remembers the incarnations and addresses of members that left the member list.

    The member list forgets dead processes.  A cleanup after them needs their incarnations, and
    their addresses to check once more that they are dead.

    Args:
        members: Returns the current members.
    """

    def __init__(self, *, members: Callable[[], Iterable[Member]]) -> None:
        self._members = members
        self._known: dict[Incarnation, Member] = {}
        self._departed: dict[Incarnation, float] = {}

    def members(self, *, now: float) -> tuple[Member, ...]:
        """Return the departed members as dead, followed by the current members.

        A process that was succeeded by another one on its host counts as departed.

        Args:
            now: The time on the host's monotonic clock, in seconds.
        """
        present = {member.incarnation: member for member in self._members()}
        for incarnation in self._known.keys() - present.keys():
            self._departed.setdefault(incarnation, now)
        for incarnation in list(self._departed):
            if (
                incarnation in present
                or now > self._departed[incarnation] + DEPARTED_RETENTION_SECONDS
            ):
                del self._departed[incarnation]
        departed = {
            incarnation: replace(self._known[incarnation], status=MemberStatus.DEAD)
            for incarnation in sorted(self._departed)
        }
        self._known = departed | present
        return tuple(self._known.values())
