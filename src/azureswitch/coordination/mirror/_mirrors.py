"""All mirrors of a host, and the handlers of messages to them."""

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
    """The mirrors of one host by kind.

    Args:
        peers: Exchanges messages with peers; the handlers are registered there.
    """

    def __init__(self, *, peers: CopyPeers) -> None:
        self._peers = peers
        self._mirrors: dict[str, Mirror] = {}
        peers.register_handlers(
            seen=self._receive, relayed=self._receive_relayed, copy=self._answer_copy_request
        )

    def add(
        self,
        *,
        store: Store,
        kind: str,
        publish: Listener,
        return_grace: float = 0.0,
        seed: int,
    ) -> Mirror:
        """Add and return a mirror of one kind; arguments as for `Mirror`."""
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

    def _receive(self, seen: StoreSeen) -> None:
        mirror = self._mirrors.get(seen.kind)
        if mirror is not None:
            mirror.receive(seen)

    def _receive_relayed(self, relayed: RelayedSeen) -> None:
        self._peers.relay(relayed.seen)
        self._receive(relayed.seen)

    async def _answer_copy_request(self, request: CopyRequest) -> CopyReply:
        mirror = self._mirrors.get(request.kind)
        if mirror is None or mirror.version <= request.version:
            return CopyReply(version=0)
        return CopyReply(version=mirror.version, packed=mirror.packed())
