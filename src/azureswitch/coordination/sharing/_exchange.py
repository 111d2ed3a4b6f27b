"""Exchanges digests of serving between hosts.

Small fleets send each digest to everyone.  Large ones keep to their part of the budget of
`azureswitch.coordination.sharing`: each digest that the budget has room for goes to the host that
has waited longest, without the outstanding work.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

from msgspec.msgpack import encode

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.sharing._digest import PackedDigest, pack_digest, unpack_digest
from azureswitch.coordination.sharing._limits import (
    BURST_BYTES,
    DIGEST_BYTES,
    FULL_HOSTS,
    MESSAGE_OVERHEAD,
)
from azureswitch.coordination.sharing._meter import Meter
from azureswitch.core import Incarnation
from azureswitch.exceptions import PeerError, PeerMessageTooLargeError
from azureswitch.ports import Peers
from azureswitch.serving import Digest, DigestReceived, ServingEvent
from azureswitch.tasks import Tasks

START_DEBT = 10_000.0
"""Bytes by which hosts that start together are apart in their budgets at most."""

SPREAD_HOSTS = 32
"""Hosts from which on a regular digest goes to a part of them alone."""

SPREAD_TURNS = 4
"""Regular digests after which each host has got one."""

CALL_TIMEOUT = 1.0
"""Seconds for a digest that does not fit into a datagram."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DigestNoted:
    """The reply to a digest that came as a call."""


class Digests:
    """Sends this host's digests and hands those of others to the reducer.

    Args:
        myself: This process.
        peers: Messages to other hosts.
        members: Returns the members known now.
        dispatch: Hands an event to the reducer.
        clock: Returns seconds of the monotonic clock.
        seed: Seeds the order of receivers.
        full_hosts: Hosts up to which each digest goes to everyone.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
        seed: int,
        full_hosts: int = FULL_HOSTS,
    ) -> None:
        self._full_hosts = full_hosts
        self._turn = 0
        self._myself = myself
        self._peers = peers
        self._members = members
        self._dispatch = dispatch
        self._clock = clock
        self._random = Random(seed)
        self._tasks = Tasks(prefix="sharing")
        debt = self._random.uniform(0.0, START_DEBT)
        self._meter = Meter(rate=DIGEST_BYTES, level=BURST_BYTES - debt)
        self._size = 0.0
        self._visited: dict[str, float] = {}
        peers.handle(PackedDigest, self._receive)

    def publish(self, digest: Digest, *, regular: bool = True) -> None:
        """Send a digest to other hosts, as many as the budget permits; it may be lost.

        Args:
            digest: The digest.
            regular: Whether it tells nothing new; above `SPREAD_HOSTS` hosts each such digest goes
                to a part of them, in turn.
        """
        others = [
            member.address
            for member in self._members()
            if member.incarnation.host != self._myself.host
            and member.status is not MemberStatus.DEAD
        ]
        if len(others) < self._full_hosts:
            packed = pack_digest(digest)
            if regular and len(others) > SPREAD_HOSTS:
                self._turn = (self._turn + 1) % SPREAD_TURNS
                others = others[self._turn :: SPREAD_TURNS]
        elif self._meter.room(now=self._clock()) < self._size:
            return
        else:
            # Between two digests of a host minutes pass, after which its loads would mislead; what
            # engines report of all hosts' work is younger.
            packed = pack_digest(replace(digest, loads=()))
            size = len(encode(packed)) + MESSAGE_OVERHEAD
            self._size = min(size, BURST_BYTES)
            others = self._affordable(others, size=size)
        try:
            self._peers.cast_all(addresses=others, message=packed)
        except PeerMessageTooLargeError:
            for address in others:
                self._tasks.spawn(self._call(address, packed), name="digest")

    async def stop(self) -> None:
        """End the background work."""
        await self._tasks.stop()

    def _affordable(self, others: list[str], *, size: int) -> list[str]:
        """Return the hosts that may be sent a digest now, those that waited longest first."""
        self._visited = {
            address: self._visited.get(address, -self._random.random()) for address in others
        }
        now = self._clock()
        chosen = []
        for address in sorted(others, key=lambda address: self._visited[address]):
            if not self._meter.take(size, now=now):
                break
            self._visited[address] = now
            chosen.append(address)
        return chosen

    async def _call(self, address: str, packed: PackedDigest) -> None:
        try:
            await self._peers.call(
                address=address, request=packed, reply=DigestNoted, timeout=CALL_TIMEOUT
            )
        except PeerError:
            # The next digest says everything again.
            return

    async def _receive(self, packed: PackedDigest) -> DigestNoted:
        digest = unpack_digest(packed)
        self._dispatch(DigestReceived(now=self._clock(), digest=digest))
        return DigestNoted()
