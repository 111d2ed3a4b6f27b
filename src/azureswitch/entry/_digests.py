"""Exchanges digests of serving between hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Incarnation
from azureswitch.entry._tasks import Tasks
from azureswitch.exceptions import PeerError, PeerMessageTooLargeError
from azureswitch.ports import Peers
from azureswitch.serving import Digest, DigestReceived, ServingEvent

FAN_OUT = 16
"""Hosts that each digest is sent to at most, drawn anew each time in larger fleets."""

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
        seed: Seeds the choice of receivers.
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
    ) -> None:
        self._myself = myself
        self._peers = peers
        self._members = members
        self._dispatch = dispatch
        self._clock = clock
        self._random = Random(seed)
        self._tasks = Tasks(prefix="entry")
        peers.handle(Digest, self._receive)

    def publish(self, digest: Digest) -> None:
        """Send a digest to the other hosts; it may be lost."""
        others = [
            member.address
            for member in self._members()
            if member.incarnation != self._myself and member.status is not MemberStatus.DEAD
        ]
        if len(others) > FAN_OUT:
            others = self._random.sample(others, FAN_OUT)
        for address in others:
            self._send(address, digest)

    async def stop(self) -> None:
        """End the background work."""
        await self._tasks.stop()

    def _send(self, address: str, digest: Digest) -> None:
        try:
            self._peers.cast(address=address, message=digest)
        except PeerMessageTooLargeError:
            self._tasks.spawn(self._call(address, digest), name="digest")

    async def _call(self, address: str, digest: Digest) -> None:
        try:
            await self._peers.call(
                address=address, request=digest, reply=DigestNoted, timeout=CALL_TIMEOUT
            )
        except PeerError:
            # The next digest says everything again.
            return

    async def _receive(self, digest: Digest) -> DigestNoted:
        self._dispatch(DigestReceived(now=self._clock(), digest=digest))
        return DigestNoted()
