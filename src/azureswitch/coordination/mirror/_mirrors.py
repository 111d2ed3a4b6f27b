"""All mirrors of a host, which answer for it to its peers."""

from collections.abc import Callable, Iterable

from azureswitch.coordination.membership import Member
from azureswitch.coordination.mirror._driver import Listener, Mirror
from azureswitch.coordination.mirror._messages import CopyReply, CopyRequest, StoreSeen
from azureswitch.coordination.mirror._peers import CopyPeers
from azureswitch.core import HostName
from azureswitch.ports import Peers, Store


class Mirrors:
    """The copies of one host, which share a way to its peers.

    Args:
        host: This host.
        address: ``IP:PORT`` on which peers reach it.
        peers: Messages to other hosts; the handlers are registered here.
        members: Returns the members known now.
        expected: Returns the hosts that will soon be members.
    """

    def __init__(
        self,
        *,
        host: HostName,
        address: str,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        expected: Callable[[], Iterable[HostName]] = tuple,
    ) -> None:
        self._peers = CopyPeers(
            host=host, address=address, peers=peers, members=members, expected=expected
        )
        self._mirrors: dict[str, Mirror] = {}
        peers.handle(StoreSeen, self._heard)
        peers.handle(CopyRequest, self._copy)

    def add(
        self,
        *,
        store: Store,
        kind: str,
        publish: Listener,
        return_grace: float = 0.0,
        seed: int,
    ) -> Mirror:
        """Return a new copy of the objects of one kind; arguments as for `Mirror`."""
        mirror = Mirror(
            store=store,
            kind=kind,
            publish=publish,
            peers=self._peers,
            return_grace=return_grace,
            seed=seed,
        )
        self._mirrors[kind] = mirror
        return mirror

    async def _heard(self, seen: StoreSeen) -> None:
        mirror = self._mirrors.get(seen.kind)
        if mirror is not None:
            mirror.hear(seen)

    async def _copy(self, request: CopyRequest) -> CopyReply:
        mirror = self._mirrors.get(request.kind)
        if mirror is None or mirror.version <= request.version:
            return CopyReply(version=0)
        return CopyReply(version=mirror.version, packed=mirror.packed())
