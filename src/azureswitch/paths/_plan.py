"""Plans the order in which routes to a target are tried."""

from collections.abc import Iterable, Iterator
from random import Random

from msgspec import Struct

from azureswitch.core import HostName, PlaceName
from azureswitch.paths._model import PeerHost
from azureswitch.paths._reduce import PathsState

HEAD_START_SECONDS = 0.08
"""Seconds that a direct connection gets before a tunnel is tried beside it.

A connection takes 3 ms.  Callers who want a first event within 0.3 s still get it by the detour.
"""

TUNNEL_HEAD_START_SECONDS = 0.1
"""Seconds that a tunnel gets before one through another host is tried beside it."""

MAX_TUNNELS_TRIED = 8
"""Most hosts that are asked for a tunnel to open one connection; a refusal takes 2 ms."""


class Candidate(Struct, frozen=True, kw_only=True):
    """One route to try.

    Attributes:
        peer: The host to ask for a tunnel, or None for a direct connection.
        head_start: Seconds before the next route is tried beside this one.
    """

    peer: PeerHost | None
    head_start: float


def candidates(
    state: PathsState,
    address: str,
    *,
    peers: Iterator[PeerHost],
    repeatable: bool,
    now: float,
) -> Iterator[Candidate]:
    """Return the routes to try, in order.

    A known lost path is not tried, except in a trial beside a tunnel from time to time: it then
    carries the request if it is there again, and costs nobody any time if it is not.  Where direct
    connections open but are not answered, only a request that may be repeated makes the trial.

    Args:
        state: What is known of the paths.
        address: ``IP:PORT`` of the target.
        peers: The hosts to ask for a tunnel, best first; read only where one is needed.
        repeatable: Whether what is sent may be sent again.
        now: The time.
    """
    unanswered = state.unanswered(address, now=now)
    direct = False
    if not unanswered and not state.lost(address, now=now):
        direct = True
        yield Candidate(peer=None, head_start=HEAD_START_SECONDS)
    elif (repeatable or not unanswered) and state.take_trial(address, now=now):
        direct = True
        yield Candidate(peer=None, head_start=0.0)
    for peer in peers:
        yield Candidate(peer=peer, head_start=TUNNEL_HEAD_START_SECONDS)
    if unanswered and not direct:
        yield Candidate(peer=None, head_start=HEAD_START_SECONDS)


def choose_peers(
    state: PathsState,
    hosts: Iterable[PeerHost],
    *,
    open_tunnels: dict[HostName, int],
    places: tuple[PlaceName, ...],
    random: Random,
    now: float,
) -> list[PeerHost]:
    """Return the hosts to ask for a tunnel, best first.

    Hosts that have not refused the last tunnel and are not suspect go first, then those in a given
    place, so that the detour crosses no further failure domain, then those that carry the fewest
    tunnels of this host.

    Args:
        state: What is known of the paths.
        hosts: The other hosts.
        open_tunnels: The number of open tunnels through each host.
        places: The failure domains of this host and of the target.
        random: Decides between equals.
        now: The time.
    """
    available = [host for host in hosts if host.usable and state.available(host.host, now=now)]
    available.sort(
        key=lambda host: (
            state.refused_last(host.host),
            host.suspect,
            host.place not in places,
            open_tunnels.get(host.host, 0),
            random.random(),
        )
    )
    return available[:MAX_TUNNELS_TRIED]
