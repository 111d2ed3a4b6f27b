"""Members and their status."""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct

from azureswitch.core import HostName, Incarnation, PlaceName


class MemberStatus(Enum):
    """The status of a member in a host's view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(Struct, frozen=True, kw_only=True):
    """A process of the system.

    Attributes:
        incarnation: The process.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        status: Its status in this host's view.
        revision: The last known revision of the configuration in force on it; zero for none.
    """

    incarnation: Incarnation
    place: PlaceName
    address: str
    status: MemberStatus
    revision: int = 0


def live_hosts(members: Iterable[Member]) -> tuple[HostName, ...]:
    """Return the hosts that take new work, as far as is known."""
    live = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
    return tuple(member.incarnation.host for member in members if member.status in live)
