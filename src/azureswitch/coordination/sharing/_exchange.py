"""Exchanges digests of serving between hosts.

Small fleets send each digest to everyone, by way of one host where many of another failure domain
are to have it, or to the failure domains that it concerns.  Large ones of which nothing is said of
that keep to their part of the budget of `azureswitch.coordination.sharing`: each digest that the
budget has room for goes to the host that has waited longest, without the outstanding work.
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

START_DEBT = 10_000.0
"""Bytes by which hosts that start together are apart in their budgets at most."""

SPREAD_HOSTS = 32
"""Hosts from which on a regular digest goes to a part of them alone."""

SPREAD_TURNS = 4
"""Regular digests after which each host has got one."""

CALL_TIMEOUT = 1.0
"""Seconds for a digest that does not fit into a datagram."""


class RelayedDigest(Struct, frozen=True, kw_only=True):
    """A digest that its receiver passes on to the others of its failure domain."""

    digest: PackedDigest


class DigestNoted(Struct, frozen=True, kw_only=True):
    """The reply to a digest that came as a call."""


Told = PackedDigest | RelayedDigest | GatheredDigest | DigestBundle | PackedTotals
"""What hosts tell each other here."""


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
        self._gathering = Gathering()
        peers.handle(PackedDigest, self._receive)
        peers.handle(RelayedDigest, self._pass_on)
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
        """Send a digest to other hosts, as many as the budget permits; it may be lost.

        Args:
            digest: The digest.
            regular: Whether it tells nothing new; above `SPREAD_HOSTS` hosts each such digest goes
                to a part of them, in turn.
            places: The failure domains whose hosts it concerns, or None for all.
            may_wait: Whether it says only that sends have ended; above `SPREAD_HOSTS` hosts such
                digests are gathered.
        """
        others = self._others()
        if places is not None or len(others) < self._full_hosts:
            concerned = [m for m in others if places is None or m.place in places]
            if may_wait and not regular and len(concerned) > SPREAD_HOSTS:
                self._tell_gatherers(concerned, pack_digest(digest))
            else:
                self._tell_all(concerned, pack_digest(digest), regular=regular)
        elif self._meter.room(now=self._clock()) >= self._size:
            # Between two digests of a host minutes pass, after which its loads would mislead; what
            # engines report of all hosts' work is younger.
            packed = pack_digest(replace(digest, loads=()))
            size = len(encode(packed)) + MESSAGE_OVERHEAD
            self._size = min(size, BURST_BYTES)
            addresses = [member.address for member in others]
            self._send(self._affordable(addresses, size=size), packed)

    def publish_totals(self, totals: DomainTotals) -> None:
        """Tell one host of another failure domain, drawn at random; it may be lost.

        Each host of a fleet tells another one, so that every host hears as often as it tells.
        """
        elsewhere = [member for member in self._others() if member.place != totals.place]
        if elsewhere:
            self._send([self._random.choice(elsewhere).address], pack_totals(totals))

    async def stop(self, *, timeout: float | None = None) -> None:
        """End the background work, or wait for it for some seconds."""
        await self._tasks.stop(timeout=timeout)

    def _others(self) -> list[Member]:
        return [
            member
            for member in self._members()
            if member.incarnation.host != self._myself.host
            and member.status is not MemberStatus.DEAD
        ]

    def _tell_all(self, others: list[Member], packed: PackedDigest, *, regular: bool) -> None:
        """Send a digest to all, or a regular one to a part of them, another part each time."""
        own = place_of(self._myself.host, members=self._members())
        receiving = receivers(others, own=own)
        direct, relayed = receiving.direct, receiving.groups
        if regular and len(others) > SPREAD_HOSTS:
            self._turn += 1
            parts = max(SPREAD_TURNS, len(relayed) + 1)
            turn = self._turn % parts
            direct = direct[turn::parts]
            relayed = relayed[turn : turn + 1]
        self._send([member.address for member in direct], packed)
        relays = [choose_relay(members, random=self._random).address for members in relayed]
        self._send(relays, RelayedDigest(digest=packed))

    def _tell_gatherers(self, others: list[Member], packed: PackedDigest) -> None:
        """Send a digest to those who tell the rest; of the own domain that may be this host."""
        # Others choose among all hosts of this failure domain, this one among them.
        chosen = gatherers(m for m in self._members() if m.status is not MemberStatus.DEAD)
        places = {member.place for member in others}
        addresses = [
            member.address
            for member in chosen
            if member.place in places and member.incarnation.host != self._myself.host
        ]
        self._send(addresses, GatheredDigest(digest=packed))
        if any(member.incarnation.host == self._myself.host for member in chosen):
            self._hold(packed)

    def _hold(self, packed: PackedDigest) -> None:
        """Tell the others of the own failure domain of a digest soon."""
        if self._gathering.add(packed):
            self._tasks.spawn(self._tell_gathered(), name="gathered digests")

    async def _tell_gathered(self) -> None:
        await sleep(GATHER_SECONDS)
        mates = self._mates()
        for bundle in self._gathering.take():
            self._send(mates, bundle)

    def _mates(self) -> list[str]:
        """Return the addresses of the other hosts of the own failure domain."""
        own = place_of(self._myself.host, members=self._members())
        return [member.address for member in self._others() if member.place == own]

    def _send(self, addresses: list[str], message: Told) -> None:
        try:
            self._peers.cast_all(addresses=addresses, message=message)
        except PeerMessageTooLargeError:
            for address in addresses:
                self._tasks.spawn(self._call(address, message), name="digest")

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

    async def _call(self, address: str, message: Told) -> None:
        try:
            await self._peers.call(
                address=address, request=message, reply=DigestNoted, timeout=CALL_TIMEOUT
            )
        except PeerError:
            # The next digest says everything again.
            return

    def _receive(self, packed: PackedDigest) -> DigestNoted:
        digest = unpack_digest(packed)
        self._dispatch(DigestReceived(now=self._clock(), digest=digest))
        return DigestNoted()

    def _gather(self, gathered: GatheredDigest) -> DigestNoted:
        self._hold(gathered.digest)
        return self._receive(gathered.digest)

    def _receive_bundle(self, bundle: DigestBundle) -> DigestNoted:
        for packed in bundle.digests:
            if packed.host != self._myself.host:
                self._receive(packed)
        return DigestNoted()

    def _receive_totals(self, packed: PackedTotals) -> DigestNoted:
        self._dispatch(TotalsReceived(now=self._clock(), totals=unpack_totals(packed)))
        return DigestNoted()

    def _pass_on(self, relayed: RelayedDigest) -> DigestNoted:
        self._send(self._mates(), relayed.digest)
        return self._receive(relayed.digest)
