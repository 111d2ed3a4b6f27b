"""What a gateway process is told at its start."""

from math import inf

from msgspec import Struct

from azureswitch.core import HostName, PlaceName
from azureswitch.inventory import Place


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """What a gateway process is told at its start.

    Attributes:
        host: The name of its host.
        place: Its failure domain.
        places: All failure domains.
        callers: ``IP:PORT`` on which callers are served.
        readiness: ``IP:PORT`` on which it says whether it takes new connections.
        metrics: ``IP:PORT`` on which its metrics and its status are read.
        grace: Seconds that it has for a graceful stop.
        retry_share: Retries permitted per admitted request.
        retry_burst: Retries permitted beside that over all hosts.
        hosts: Hosts that the burst is shared among before others are known of.
        full_hosts: Hosts up to which all hear at once of each other's sends.
    """

    host: HostName
    place: PlaceName
    places: tuple[Place, ...]
    callers: str
    readiness: str
    metrics: str
    grace: float
    retry_share: float
    retry_burst: float
    hosts: int
    full_hosts: float = inf
