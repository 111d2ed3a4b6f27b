"""Exchanges digests of serving between hosts.

In a small fleet, a digest is sent to all hosts; hosts of a large failure domain receive it through
one of them.  A digest that concerns only some failure domains is sent to those in the same way,
whatever the size of the fleet.  In a large fleet, other digests keep to the budget of
`azureswitch.coordination.sharing`: they are sent without the outstanding work, to the hosts with
the oldest last send first.
"""

from asyncio import sleep
from collections.abc import Callable, Collection, Iterable
from random import Random

from msgspec import Struct
from msgspec.msgpack import encode
from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.relays import choose_relay, place_of, receivers
from azureswitch.coordination.sharing._digest import (
    PackedDigest,
    PackedTotals,
    pack_digest,
    pack_totals,
    unpack_digest,
    unpack_totals,
)
from azureswitch.coordination.sharing._gathering import (
    GATHER_SECONDS,
    DigestBundle,
    GatheredDigest,
    Gathering,
    gatherers,
)
from azureswitch.coordination.sharing._limits import (
    BURST_BYTES,
    DIGEST_BYTES,
    FULL_HOSTS,
    MESSAGE_OVERHEAD,
)
from azureswitch.coordination.sharing._meter import Meter
from azureswitch.core import Incarnation, PlaceName
from azureswitch.exceptions import PeerError, PeerMessageTooLargeError
from azureswitch.ports import Peers
from azureswitch.serving import (
    Digest,
    DigestReceived,
    DomainTotals,
    ServingEvent,
    TotalsReceived,
)
from azureswitch.tasks import Tasks

MAX_START_DEBT_BYTES = 10_000.0
"""Upper bound of the initial debt in bytes, which differs between hosts that start together."""

SPREAD_HOSTS = 32
"""Number of hosts above which a regular digest is sent to only a part of them."""

SPREAD_ROUNDS = 4
"""Minimum number of regular digests by which each host has been sent one."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds of the call for a digest that does not fit into a datagram."""


class RelayedDigest(Struct, frozen=True, kw_only=True):
    """A digest that its receiver relays to the other hosts of its failure domain."""

    digest: PackedDigest


class DigestNoted(Struct, frozen=True, kw_only=True):
    """The reply to a digest that was sent as a call."""


SharingMessage = PackedDigest | RelayedDigest | GatheredDigest | DigestBundle | PackedTotals
"""The messages that hosts exchange here."""


class Digests:
    """Sends this host's digests and passes those of others to the reducer.

    Args:
        myself: This process.
        peers: Sends messages to other hosts.
        members: Returns the current members.
        dispatch: Passes an event to the reducer.
        clock: Returns seconds of the monotonic clock.
        seed: Seeds the order of receivers.
        full_hosts: Number of hosts up to which each digest is sent to all.
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
        self._round = 0
        self._myself = myself
        self._peers = peers
        self._members = members
        self._dispatch = dispatch
        self._clock = clock
        self._random = Random(seed)
        self._tasks = Tasks(prefix="sharing")
        debt = self._random.uniform(0.0, MAX_START_DEBT_BYTES)
        self._meter = Meter(rate=DIGEST_BYTES, level=BURST_BYTES - debt)
        self._last_size = 0.0
        self._sent_at: dict[str, float] = {}
        self._gathering = Gathering()
        peers.handle(PackedDigest, self._receive)
        peers.handle(RelayedDigest, self._relay)
        peers.handle(GatheredDigest, self._gather)
        peers.handle(DigestBundle, self._receive_bundle)
        peers.handle(PackedTotals, self._receive_totals)

    def publish(
        self,
        digest: Digest,
        *,
        regular: bool = True,
        places: Collection[PlaceName] | None = None,
        may_wait: bool = False,
    ) -> None:
        """Send a digest to as many other hosts as the budget permits; it may be lost.

        Args:
            digest: The digest.
            regular: Whether it contains nothing new; above `SPREAD_HOSTS` hosts, each such digest
                is sent to another part of them.
            places: The failure domains whose hosts it concerns, or None for all.
            may_wait: Whether its only news is that sends have ended; above `SPREAD_HOSTS` hosts,
                such digests are collected and forwarded together.
        """
        others = self._others()
        if places is not None or len(others) < self._full_hosts:
            concerned = [m for m in others if places is None or m.place in places]
            if may_wait and not regular and len(concerned) > SPREAD_HOSTS:
                self._send_to_gatherers(concerned, pack_digest(digest))
            else:
                self._send_to_all(concerned, pack_digest(digest), regular=regular)
        elif self._meter.room(now=self._clock()) >= self._last_size:
            # A receiver has a new digest of this host only after minutes, when the loads would be
            # wrong; the engines' own reports of all hosts' work are newer.
            packed = pack_digest(replace(digest, loads=()))
            size = len(encode(packed)) + MESSAGE_OVERHEAD
            self._last_size = min(size, BURST_BYTES)
            addresses = [member.address for member in others]
            self._send(self._affordable(addresses, size=size), packed)

    def publish_totals(self, totals: DomainTotals) -> None:
        """Send totals to one random host of another failure domain; they may be lost.

        As each host does so, every host receives as many on average as it sends.
        """
        elsewhere = [member for member in self._others() if member.place != totals.place]
        if elsewhere:
            self._send([self._random.choice(elsewhere).address], pack_totals(totals))

    async def stop(self, *, timeout: float | None = None) -> None:
        """Cancel the background tasks, or wait up to ``timeout`` seconds for them."""
        await self._tasks.stop(timeout=timeout)

    def _others(self) -> list[Member]:
        return [
            member
            for member in self._members()
            if member.incarnation.host != self._myself.host
            and member.status is not MemberStatus.DEAD
        ]

    def _send_to_all(self, others: list[Member], packed: PackedDigest, *, regular: bool) -> None:
        """Send a digest to all, or a regular one to a part of them that changes with each call."""
        own = place_of(self._myself.host, members=self._members())
        receiving = receivers(others, own=own)
        direct, relayed = receiving.direct, receiving.groups
        if regular and len(others) > SPREAD_HOSTS:
            self._round += 1
            parts = max(SPREAD_ROUNDS, len(relayed) + 1)
            part = self._round % parts
            direct = direct[part::parts]
            relayed = relayed[part : part + 1]
        self._send([member.address for member in direct], packed)
        relays = [choose_relay(members, random=self._random).address for members in relayed]
        self._send(relays, RelayedDigest(digest=packed))

    def _send_to_gatherers(self, others: list[Member], packed: PackedDigest) -> None:
        """Send a digest to the hosts that collect digests, of which this host may be one."""
        # All hosts must choose the same ones, so this host counts as well.
        chosen = gatherers(m for m in self._members() if m.status is not MemberStatus.DEAD)
        places = {member.place for member in others}
        addresses = [
            member.address
            for member in chosen
            if member.place in places and member.incarnation.host != self._myself.host
        ]
        self._send(addresses, GatheredDigest(digest=packed))
        if any(member.incarnation.host == self._myself.host for member in chosen):
            self._gather_later(packed)

    def _gather_later(self, packed: PackedDigest) -> None:
        """Collect a digest and forward it to the own failure domain after a short delay."""
        if self._gathering.add(packed):
            self._tasks.spawn(self._send_gathered(), name="gathered digests")

    async def _send_gathered(self) -> None:
        await sleep(GATHER_SECONDS)
        addresses = self._local_addresses()
        for bundle in self._gathering.take():
            self._send(addresses, bundle)

    def _local_addresses(self) -> list[str]:
        """Return the addresses of the other hosts of the own failure domain."""
        own = place_of(self._myself.host, members=self._members())
        return [member.address for member in self._others() if member.place == own]

    def _send(self, addresses: list[str], message: SharingMessage) -> None:
        try:
            self._peers.cast_all(addresses=addresses, message=message)
        except PeerMessageTooLargeError:
            for address in addresses:
                self._tasks.spawn(self._call(address, message), name="digest")

    def _affordable(self, others: list[str], *, size: int) -> list[str]:
        """Return the hosts that the budget permits now, those with the oldest last send first."""
        self._sent_at = {
            address: self._sent_at.get(address, -self._random.random()) for address in others
        }
        now = self._clock()
        chosen = []
        for address in sorted(others, key=lambda address: self._sent_at[address]):
            if not self._meter.take(size, now=now):
                break
            self._sent_at[address] = now
            chosen.append(address)
        return chosen

    async def _call(self, address: str, message: SharingMessage) -> None:
        try:
            await self._peers.call(
                address=address, request=message, reply=DigestNoted, timeout=CALL_TIMEOUT_SECONDS
            )
        except PeerError:
            # The next digest contains everything again.
            return

    def _receive(self, packed: PackedDigest) -> DigestNoted:
        digest = unpack_digest(packed)
        self._dispatch(DigestReceived(now=self._clock(), digest=digest))
        return DigestNoted()

    def _gather(self, gathered: GatheredDigest) -> DigestNoted:
        self._gather_later(gathered.digest)
        return self._receive(gathered.digest)

    def _receive_bundle(self, bundle: DigestBundle) -> DigestNoted:
        for packed in bundle.digests:
            if packed.host != self._myself.host:
                self._receive(packed)
        return DigestNoted()

    def _receive_totals(self, packed: PackedTotals) -> DigestNoted:
        self._dispatch(TotalsReceived(now=self._clock(), totals=unpack_totals(packed)))
        return DigestNoted()

    def _relay(self, relayed: RelayedDigest) -> DigestNoted:
        self._send(self._local_addresses(), relayed.digest)
        return self._receive(relayed.digest)
