"""The startup settings of a gateway process."""

from math import inf
from sys import maxsize

from msgspec import Struct

from azureswitch.core import HostName, PlaceName
from azureswitch.inventory import Place
from azureswitch.shedding import DescriptorShares


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """The startup settings of a gateway process.

    Attributes:
        host: The name of its host.
        place: Its failure domain.
        places: All failure domains.
        callers: ``IP:PORT`` on which callers are served.
        readiness: ``IP:PORT`` of the readiness endpoint.
        metrics: ``IP:PORT`` of the metrics and status pages.
        grace: Grace period of a stop, in seconds.
        retry_share: Retries permitted per admitted request.
        retry_burst: Additional retries permitted across all hosts.
        hosts: Number of hosts that share the burst before others are known.
        full_hosts: Fleet size up to which each host is informed immediately of every send.
        tunnels: ``IP:PORT`` on which other hosts open tunnels to targets, with a port that is the
            same on all hosts; empty for none, and then this host opens none either.
        evacuations: Whether evacuations are read, so that a host waits for the first reading.
        memory: The memory limit of the process, in bytes; zero where there is none.
        descriptors: The connections that each listener may have.
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
    tunnels: str = ""
    evacuations: bool = False
    memory: int = 0
    descriptors: DescriptorShares = DescriptorShares(sockets=maxsize)
