"""Hosts that mirror the store's objects, in one process and in virtual time."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from functools import partial

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.mirror import CopyPeers, Mirrors
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.ports import Listing, StoreChange, StoredObject
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake, StoreModel

KIND = "things"
"""The kind that is mirrored."""


class StalledStore(StoreFake):
    """A store client whose watches can stall: deliver no changes without being disconnected.

    Attributes:
        stalled: Whether open and new watches deliver no changes.
        calls: Listings and watches that were begun, including failed ones.
    """

    stalled = False
    calls = 0

    async def list(self, *, kind: str) -> Listing:
        """Return all objects of a kind."""
        self.calls += 1
        return await super().list(kind=kind)

    async def watch(
        self, *, kind: str, version: int, timeout: float
    ) -> AsyncGenerator[StoreChange, None]:
        """Yield the changes, unless the watch has been stalled at any time."""
        self.calls += 1
        stalled = self.stalled
        async for change in super().watch(kind=kind, version=version, timeout=timeout):
            stalled = stalled or self.stalled
            if not stalled:
                yield change


class MirrorHosts:
    """Hosts with a mirror and a store client each, all of one store.

    Args:
        count: Number of hosts.
        places: Number of failure domains, to which hosts are assigned in rotation.
    """

    def __init__(self, *, count: int, places: int = 1) -> None:
        self.model = StoreModel()
        self.network = PeersNetworkFake()
        self.stores = [StalledStore(model=self.model) for _ in range(count)]
        self.seen: list[dict[str, int]] = [{} for _ in range(count)]
        self._members = tuple(_member(index, places=places) for index in range(count))
        self._copies = [self._peers(member) for member in self._members]
        self._mirrors = [
            Mirrors(peers=self._copies[index]).add(
                store=self.stores[index],
                kind=KIND,
                publish=partial(self._publish, index),
                seed=index,
            )
            for index in range(count)
        ]

    def _peers(self, member: Member) -> CopyPeers:
        return CopyPeers(
            host=member.incarnation.host,
            address=member.address,
            peers=self.network.peers(address=member.address),
            members=lambda: self._members,
        )

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run the mirrors while a scenario runs."""
        tasks = [asyncio.create_task(mirror.run()) for mirror in self._mirrors]
        try:
            await scenario()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def write(self, name: str, *, size: int = 0) -> None:
        """Write an object of some bytes by a separate client."""
        value = (b"a route, " * size)[:size]
        await StoreFake(model=self.model).create(kind=KIND, name=name, value=value)

    def rank(self, index: int) -> int:
        """Return the rank of a host among those that check the store."""
        return self._copies[index].rank(KIND)

    @property
    def calls(self) -> int:
        """Number of calls of all hosts to the store."""
        return sum(store.calls for store in self.stores)

    def sent(self, kind: type) -> tuple[int, int]:
        """Return the number of messages of a kind that all hosts have sent, and their bytes."""
        hosts = (self.network.host(address=member.address) for member in self._members)
        traffic = [
            item
            for host in hosts
            if host is not None
            for item in host.traffic
            if item.kind == kind.__name__
        ]
        return sum(t.sent_messages for t in traffic), sum(t.sent_bytes for t in traffic)

    def _publish(self, index: int, objects: tuple[StoredObject, ...]) -> None:
        self.seen[index] = {found.name: found.version for found in objects}


def _member(index: int, *, places: int) -> Member:
    return Member(
        incarnation=Incarnation(host=HostName(f"h{index}"), started=1),
        place=PlaceName(f"p{index % places}"),
        address=f"{index}",
        status=MemberStatus.ALIVE,
    )
