"""Choice of the hosts that relay messages within their failure domain.

Traffic between failure domains is billed, so a message to all hosts is sent to each large failure
domain only once and relayed there.
"""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, PlaceName

MIN_RELAY_HOSTS = 8
"""Minimum number of hosts of another failure domain for which a message is relayed.

With fewer hosts little is saved, and a relay that has just died loses the message for a large part
of them.
"""


class Receivers(Struct, frozen=True, kw_only=True):
    """The receivers of a message.

    Attributes:
        direct: The hosts to which the sender sends it.
        groups: The other hosts by failure domain; one of each group relays it.
    """

    direct: tuple[Member, ...]
    groups: tuple[tuple[Member, ...], ...]


def place_of(host: HostName, *, members: Iterable[Member]) -> PlaceName | None:
    """Return the failure domain of a host, or None if it is not a member yet."""
    return next((m.place for m in members if m.incarnation.host == host), None)


def receivers(others: Iterable[Member], *, own: PlaceName | None) -> Receivers:
    """Divide the receivers of a message into direct and relayed ones.

    Args:
        others: The hosts.
        own: The sender's failure domain, or None if it is not a member yet.
    """
    by_place: dict[PlaceName, list[Member]] = {}
    for member in others:
        by_place.setdefault(member.place, []).append(member)
    direct: list[Member] = []
    groups: list[tuple[Member, ...]] = []
    for place, members in by_place.items():
        if own is None or place == own or len(members) < MIN_RELAY_HOSTS:
            direct += members
        else:
            groups.append(tuple(members))
    return Receivers(direct=tuple(direct), groups=tuple(groups))


def choose_relay(members: tuple[Member, ...], *, random: Random) -> Member:
    """Choose a random relay, so that a dead one does not receive all messages."""
    alive = [member for member in members if member.status is MemberStatus.ALIVE]
    return random.choice(alive or members)
