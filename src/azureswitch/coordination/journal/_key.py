"""The key that signs job ids: created once in the store, and also distributed by hosts."""

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

_MAX_QUERIED_PEERS = 3
"""Upper bound of hosts that are asked for the key if the store does not answer."""

_QUERY_TIMEOUT_SECONDS = 0.5
"""Seconds after which a `JournalKeyQuery` times out."""

_RETRY_SECONDS = 2.0
"""Minimum time in seconds between two searches for the key."""


class KeySource:
    """Finds the key in the store, or else at other hosts.

    A key is created only in the store: hosts with different keys would reject each other's job ids.
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
        peers.handle(JournalKeyQuery, self._answer_query)

    async def key(self) -> bytes | None:
        """Return the key, or None while neither the store nor a host returns it."""
        now = get_running_loop().time()
        if self._key is None and now >= self._next_try:
            self._next_try = now + _RETRY_SECONDS
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
            # If the outcome is unknown, the next search reads the key that was written.
            return None

    async def _from_peers(self) -> bytes | None:
        others = [
            member
            for member in self._members()
            if member.incarnation != self._myself and member.status is not MemberStatus.DEAD
        ]
        for member in self._random.sample(others, min(_MAX_QUERIED_PEERS, len(others))):
            key = await self._query(member.address)
            if key:
                return key
        return None

    async def _query(self, address: str) -> bytes:
        try:
            reply = await self._peers.call(
                address=address,
                request=JournalKeyQuery(),
                reply=JournalKeyReply,
                timeout=_QUERY_TIMEOUT_SECONDS,
            )
        except PeerError:
            return b""
        return reply.key

    async def _answer_query(self, query: JournalKeyQuery) -> JournalKeyReply:
        return JournalKeyReply(key=self._key or b"")
