"""What hosts know of each other."""

from dataclasses import dataclass
from enum import Enum

from azureswitch.core import Incarnation, PlaceName


class MemberStatus(Enum):
    """What a host believes of another."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One process of the system.

    Attributes:
        incarnation: The process.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        status: What this host believes of it.
        revision: The configuration in force on it, as last heard; zero for none.
    """

    incarnation: Incarnation
    place: PlaceName
    address: str
    status: MemberStatus
    revision: int = 0
