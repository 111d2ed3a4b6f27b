"""The key that signs job ids: made once, kept in the store, passed on by hosts."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from random import Random
from secrets import token_bytes

from azureswitch.coordination.journal._jobs import KEY_BYTES
from azureswitch.coordination.journal._model import JournalKeyQuery, JournalKeyReply
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Incarnation
from azureswitch.exceptions import (
    PeerError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
)
from azureswitch.ports import Peers, Store

SECRET_KIND = "secret"
"""The kind of the store's objects that no page or log shows."""

KEY_NAME = "journal"
"""The name of the object that holds the key."""

_PEERS_ASKED = 3
"""Hosts that are asked for the key where the store does not answer."""

_TIMEOUT = 0.5
"""Seconds that a host has to answer in."""

_RETRY = 2.0
"""Seconds between two rounds in search of the key."""


class KeySource:
    """Finds the key, first in the store and then at other hosts.

    Only the store can make a key: two hosts that made one each would refuse each other's job ids.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        store: Store,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        seed: int,
    ) -> None:
        self._myself = myself
        self._store = store
        self._peers = peers
        self._members = members
        self._random = Random(seed)
        self._key: bytes | None = None
        self._next_try = float("-inf")
        peers.handle(JournalKeyQuery, self._answer)

    async def key(self) -> bytes | None:
        """Return the key, or None while neither the store nor a host gives it."""
        now = get_running_loop().time()
        if self._key is None and now >= self._next_try:
            self._next_try = now + _RETRY
            self._key = await self._from_store() or await self._from_peers()
        return self._key

    async def _from_store(self) -> bytes | None:
        try:
            return (await self._store.get(kind=SECRET_KIND, name=KEY_NAME)).value
        except StoreNotFoundError:
            return await self._create()
        except StoreError:
            return None

    async def _create(self) -> bytes | None:
        key = token_bytes(KEY_BYTES)
        try:
            return (await self._store.create(kind=SECRET_KIND, name=KEY_NAME, value=key)).value
        except StoreConflictError:
            return (await self._store.get(kind=SECRET_KIND, name=KEY_NAME)).value
        except StoreError:
            # Where the answer was lost, the next round reads what was written.
            return None

    async def _from_peers(self) -> bytes | None:
        others = [
            member
            for member in self._members()
            if member.incarnation != self._myself and member.status is not MemberStatus.DEAD
        ]
        for member in self._random.sample(others, min(_PEERS_ASKED, len(others))):
            key = await self._ask(member.address)
            if key:
                return key
        return None

    async def _ask(self, address: str) -> bytes:
        try:
            reply = await self._peers.call(
                address=address,
                request=JournalKeyQuery(),
                reply=JournalKeyReply,
                timeout=_TIMEOUT,
            )
        except PeerError:
            return b""
        return reply.key

    async def _answer(self, query: JournalKeyQuery) -> JournalKeyReply:
        return JournalKeyReply(key=self._key or b"")
