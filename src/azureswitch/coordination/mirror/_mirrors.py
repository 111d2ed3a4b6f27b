"""All mirrors of a host, which answer for it to its peers."""

from azureswitch.coordination.mirror._driver import Listener, Mirror
from azureswitch.coordination.mirror._messages import (
    CopyReply,
    CopyRequest,
    RelayedSeen,
    StoreSeen,
)
from azureswitch.coordination.mirror._peers import CopyPeers
from azureswitch.ports import Store


class Mirrors:
    """The copies of one host, which share a way to its peers.

    Args:
        peers: That way; the handlers are registered there.
    """

    def __init__(self, *, peers: CopyPeers) -> None:
        self._peers = peers
        self._mirrors: dict[str, Mirror] = {}
        peers.answer(heard=self._heard, relayed=self._relayed, copy=self._copy)

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

    def _heard(self, seen: StoreSeen) -> None:
        mirror = self._mirrors.get(seen.kind)
        if mirror is not None:
            mirror.hear(seen)

    def _relayed(self, relayed: RelayedSeen) -> None:
        self._peers.pass_on(relayed.seen)
        self._heard(relayed.seen)

    async def _copy(self, request: CopyRequest) -> CopyReply:
        mirror = self._mirrors.get(request.kind)
        if mirror is None or mirror.version <= request.version:
            return CopyReply(version=0)
        return CopyReply(version=mirror.version, packed=mirror.packed())
