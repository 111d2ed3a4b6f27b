"""Who passes messages on to the other hosts of its failure domain.

What crosses between failure domains is paid for, so that a message to all crosses once.
"""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, PlaceName

RELAY_HOSTS = 8
"""Hosts of another failure domain from which on one of them passes a message on to the rest.

With fewer little is saved, and one that has just died takes too large a part with it.
"""


class Receivers(Struct, frozen=True, kw_only=True):
    """The hosts that a message is for.

    Attributes:
        direct: Those that get it from its sender.
        groups: The others by failure domain; one of each passes it on.
    """

    direct: tuple[Member, ...]
    groups: tuple[tuple[Member, ...], ...]


def place_of(host: HostName, *, members: Iterable[Member]) -> PlaceName | None:
    """Return the failure domain of a host, or None where it is no member yet."""
    return next((m.place for m in members if m.incarnation.host == host), None)


def receivers(others: Iterable[Member], *, own: PlaceName | None) -> Receivers:
    """Return how a message goes to some hosts.

    Args:
        others: The hosts.
        own: The sender's failure domain, or None where it does not know itself yet.
    """
    by_place: dict[PlaceName, list[Member]] = {}
    for member in others:
        by_place.setdefault(member.place, []).append(member)
    direct: list[Member] = []
    groups: list[tuple[Member, ...]] = []
    for place, members in by_place.items():
        if own is None or place == own or len(members) < RELAY_HOSTS:
            direct += members
        else:
            groups.append(tuple(members))
    return Receivers(direct=tuple(direct), groups=tuple(groups))


def choose_relay(members: tuple[Member, ...], *, random: Random) -> Member:
    """Choose who passes a message on; the next one goes another way, should that one be dead."""
    alive = [member for member in members if member.status is MemberStatus.ALIVE]
    return random.choice(alive or members)
