"""Routes to targets, and the hosts that offer tunnels."""

from enum import Enum

from msgspec import Struct

from azureswitch.core import HostName, PlaceName


class Route(Struct, frozen=True, kw_only=True):
    """A way to a target.

    Attributes:
        peer: The host through whose tunnel it leads, or None for a direct connection.
    """

    peer: HostName | None = None


DIRECT = Route()


class PeerHost(Struct, frozen=True, kw_only=True):
    """Another host, as a place to open tunnels at.

    Attributes:
        host: Its name.
        place: Its failure domain.
        address: ``IP:PORT`` of its tunnel server.
        usable: Whether it may be asked for a tunnel: it is neither leaving nor dead.
        suspect: Whether it did not answer a probe lately.
    """

    host: HostName
    place: PlaceName
    address: str
    usable: bool = True
    suspect: bool = False


class Verdict(Enum):
    """What a check of a failed connection's path found."""

    SOUND = "the same route leads to the target"
    LOST = "only another route leads to the target, or this host reaches no target at all"
    UNREACHABLE = "no route leads to the target, while this host reaches others"
