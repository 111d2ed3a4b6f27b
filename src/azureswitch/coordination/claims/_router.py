"""The choice of the host that commits a claim, and calls to it."""

from asyncio import get_running_loop
from collections.abc import Callable

from absl import logging

from azureswitch.coordination.claims._claimer import LOCAL_RANK
from azureswitch.coordination.claims._limits import AVOID_SECONDS, OWNER_TIMEOUT, SETTLE_TIMEOUT
from azureswitch.coordination.claims._messages import ClaimAsk, ClaimReply, Request
from azureswitch.coordination.claims._owners import owners
from azureswitch.coordination.membership import Member
from azureswitch.core import HostName, Incarnation
from azureswitch.exceptions import PeerError
from azureswitch.ports import Peers


class Router:
    """Chooses and calls owners, and for a while avoids those that have not answered.

    Args:
        myself: This process.
        peers: Sends messages to other hosts.
        members: Returns the current members.
    """

    def __init__(
        self, *, myself: Incarnation, peers: Peers, members: Callable[[], tuple[Member, ...]]
    ) -> None:
        self._myself = myself
        self._peers = peers
        self._members = members
        self._avoided: dict[HostName, float] = {}

    def route(self, shard: int, *, rank: int) -> Member | None:
        """Return the first owner to call from a rank on, or None if this process must commit."""
        order = owners(shard=shard, members=self._members())[:LOCAL_RANK]
        now = get_running_loop().time()
        for member in order[rank:]:
            if member.incarnation == self._myself:
                return None
            if self._avoided.get(member.incarnation.host, 0.0) <= now:
                return member
        return None

    async def call(self, owner: Member, request: Request) -> ClaimReply:
        """Return an owner's reply.

        Raises:
            PeerError: It did not answer.
        """
        timeout = OWNER_TIMEOUT if isinstance(request, ClaimAsk) else SETTLE_TIMEOUT
        try:
            reply: ClaimReply = await self._peers.call(
                address=owner.address, request=request, reply=ClaimReply, timeout=timeout
            )
        except PeerError:
            self._avoided[owner.incarnation.host] = get_running_loop().time() + AVOID_SECONDS
            logging.info("claims: Host %s did not answer.", owner.incarnation.host)
            raise
        return reply
