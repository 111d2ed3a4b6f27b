"""The other hosts, as places to open tunnels at."""

from collections.abc import Iterable

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName
from azureswitch.paths import PeerHost

_USABLE = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


def peer_hosts(members: Iterable[Member], *, host: HostName, tunnel_address: str) -> list[PeerHost]:
    """Return the other hosts.

    Args:
        members: All known hosts.
        host: The host that is left out.
        tunnel_address: ``IP:PORT`` of its tunnel server, whose port is the same on all hosts; empty
            where it has none, and then there are no peers.
    """
    if not tunnel_address:
        return []
    port = tunnel_address.rpartition(":")[2]
    return [
        PeerHost(
            host=member.incarnation.host,
            place=member.place,
            address=f"{member.address.rpartition(':')[0]}:{port}",
            usable=member.status in _USABLE,
            suspect=member.status is MemberStatus.SUSPECT,
        )
        for member in members
        if member.incarnation.host != host
    ]
