"""The members together with those that left the member list lately."""

from collections.abc import Callable, Iterable

from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Incarnation

DEPARTED_KEPT = 300.0
"""Seconds for which a process that left the member list is still shown, as dead."""


class Roster:
    """Remembers who the dead were and where they were reached.

    A member list forgets the dead.  Who cleans up after them needs their incarnation, and asks at
    their address once more before it believes that they are gone.

    Args:
        members: Returns the members of the present.
    """

    def __init__(self, *, members: Callable[[], Iterable[Member]]) -> None:
        self._members = members
        self._known: dict[Incarnation, Member] = {}
        self._departed: dict[Incarnation, float] = {}

    def members(self, *, now: float) -> tuple[Member, ...]:
        """Return the departed as dead, and after them the members of the present.

        A process that was succeeded by another one of its host counts as departed.

        Args:
            now: The time on the host's monotonic clock, in seconds.
        """
        present = {member.incarnation: member for member in self._members()}
        for incarnation in self._known.keys() - present.keys():
            self._departed.setdefault(incarnation, now)
        for incarnation in list(self._departed):
            if incarnation in present or now > self._departed[incarnation] + DEPARTED_KEPT:
                del self._departed[incarnation]
        departed = {
            incarnation: replace(self._known[incarnation], status=MemberStatus.DEAD)
            for incarnation in sorted(self._departed)
        }
        self._known = departed | present
        return tuple(self._known.values())
