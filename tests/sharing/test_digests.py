"""Digests are sent to all hosts of a small fleet, and within the budget in a large one."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from statistics import median

import pytest

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.relays import MIN_RELAY_HOSTS
from azureswitch.coordination.sharing import BURST_BYTES, DIGEST_BYTES, FULL_HOSTS, Digests
from azureswitch.coordination.sharing._exchange import SPREAD_ROUNDS
from azureswitch.coordination.sharing._gathering import gatherers
from azureswitch.core import CustomerName, HostName, Incarnation, PlaceName, TargetName
from azureswitch.serving import (
    CustomerUse,
    Digest,
    DigestReceived,
    DomainTotals,
    Occupancy,
    ServingEvent,
    TargetLoad,
    TotalsReceived,
)
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersNetworkFake

SECONDS = 60.0
PERIOD = 0.2
LOAD = TargetLoad(target=TargetName("engine-1"), urgent=0.5, total=1.5, tokens=100)
USE = CustomerUse(customer=CustomerName("customer-1"), seconds=7.25)


class TestDigests:
    """`Digests`."""

    @pytest.mark.parametrize(
        ("hosts", "customers", "loads"),
        [(9, 1, (LOAD,)), (FULL_HOSTS + 1, 1, ()), (40, 200, ())],
        ids=["small", "large", "larger than a datagram"],
    )
    def test_publish(self, hosts: int, customers: int, loads: tuple[TargetLoad, ...]) -> None:
        """Digests arrive unchanged, and a large fleet does not exceed its budget."""
        heard: list[ServingEvent] = []
        network = PeersNetworkFake()
        digest = Digest(
            host=HostName("entry-0"), sequence=1, started=1, loads=(LOAD,), uses=(USE,) * customers
        )

        async def scenario() -> int:
            members = tuple(_member(index) for index in range(hosts))
            clock = asyncio.get_running_loop().time
            parts = [
                Digests(
                    myself=member.incarnation,
                    peers=network.peers(address=member.address),
                    members=lambda: members,
                    dispatch=heard.append,
                    clock=clock,
                    seed=1,
                )
                for member in members
            ]
            while clock() < SECONDS:
                parts[0].publish(digest)
                await asyncio.sleep(PERIOD)
            sender = network.host(address=members[0].address)
            assert sender is not None
            return sum(item.sent_bytes for item in sender.traffic)

        sent = run_virtual(scenario())
        digests = {event.digest for event in heard if isinstance(event, DigestReceived)}
        assert digests == {
            Digest(host=digest.host, sequence=1, started=1, loads=loads, uses=digest.uses)
        }
        assert (sent <= SECONDS * DIGEST_BYTES + BURST_BYTES) is (hosts >= FULL_HOSTS)


class TestRelays:
    """Digests between failure domains."""

    @pytest.mark.parametrize(
        ("size", "regular", "times", "crossing"),
        [
            (MIN_RELAY_HOSTS, False, 1, 2),
            (MIN_RELAY_HOSTS - 1, False, 1, 2 * (MIN_RELAY_HOSTS - 1)),
            (12, True, SPREAD_ROUNDS, 2),
            (12, False, 3, 6),
        ],
    )
    def test_crossing(self, size: int, regular: bool, times: int, crossing: int) -> None:
        """All hosts receive a digest, only one of each large failure domain from the sender."""
        heard: Counter[str] = Counter()
        network = PeersNetworkFake()
        members = tuple(_member(index, place=f"north-{index // size}") for index in range(3 * size))

        def part_of(member: Member) -> Digests:
            return Digests(
                myself=member.incarnation,
                peers=network.peers(address=member.address),
                members=lambda: members,
                dispatch=lambda event: heard.update([member.incarnation.host]),
                clock=asyncio.get_running_loop().time,
                seed=1,
                full_hosts=len(members) + 1,
            )

        async def scenario() -> int:
            parts = [part_of(member) for member in members]
            for sequence in range(times):
                parts[0].publish(
                    Digest(host=members[0].incarnation.host, sequence=sequence, started=1),
                    regular=regular,
                )
            await asyncio.sleep(1.0)
            sender = network.host(address=members[0].address)
            assert sender is not None
            return sum(item.sent_messages for item in sender.traffic)

        sent = run_virtual(scenario())
        copies = 1 if regular else times
        assert heard == {member.incarnation.host: copies for member in members[1:]}
        assert sent == crossing + copies * (size - 1)


class TestDomains:
    """Digests that concern some failure domains, and totals, in a large fleet."""

    @pytest.mark.parametrize(
        ("places", "copies"),
        [({"north-0"}, 11), ({"north-0", "north-2"}, 23), ({"north-1"}, 12), (set(), 0)],
    )
    def test_places(self, places: set[str], copies: int) -> None:
        """Only the hosts of these failure domains receive a digest, regardless of the budget."""
        heard = _heard_by(lambda part: part.publish(DIGEST, regular=False, places=_named(places)))
        assert len(heard) == copies
        assert {_place(host) for host in heard} == places
        assert set(heard.values()) <= {DigestReceived}

    def test_totals(self) -> None:
        """One host of another failure domain receives them."""
        occupancy = Occupancy(target=TargetName("engine-1"), reading=0.25, streams=3, tokens=7)
        totals = DomainTotals(place=PlaceName("north-0"), occupancies=(occupancy,))
        events: list[ServingEvent] = []
        heard = _heard_by(lambda part: part.publish_totals(totals), events=events)
        assert len(heard) == 1
        assert _place(next(iter(heard))) in {"north-1", "north-2"}
        assert [event.totals for event in events if isinstance(event, TotalsReceived)] == [totals]

    def test_only_domain(self) -> None:
        """A fleet with one failure domain does not send totals."""
        totals = DomainTotals(place=PlaceName("north-0"))
        assert not _heard_by(lambda part: part.publish_totals(totals), hosts=12)


class TestGathering:
    """Digests of ended sends, which one host of each failure domain collects for the others."""

    @pytest.mark.parametrize(
        ("hosts", "senders", "messages"),
        [
            pytest.param(36, 1, 1, id="one"),
            pytest.param(36, 20, 1, id="many at once, in one message"),
            pytest.param(24, 4, 8, id="a fleet too small for it"),
        ],
    )
    def test_all_hear(self, hosts: int, senders: int, messages: int) -> None:
        """Each host receives the newest end of each other host, most of them in one message."""
        heard, received = _ended_at(hosts=hosts, senders=senders, lost=set())
        for name, newest in heard.items():
            expected = {f"entry-{index}": 2 for index in range(senders)}
            expected.pop(name, None)
            assert newest == expected
        assert median(received.values()) == messages

    def test_gatherer_lost(self) -> None:
        """What a collecting host loses is announced with the next send of the same host."""
        lost = {member.incarnation.host for member in gatherers(_north(36))}
        assert len(lost) == 3
        heard, _ = _ended_at(hosts=36, senders=1, lost=lost, begun=True)
        for name in heard.keys() - lost - {"entry-0"}:
            assert heard[name] == {"entry-0": 3}


def _north(hosts: int) -> tuple[Member, ...]:
    return tuple(_member(index, place=f"north-{index // 12}") for index in range(hosts))


def _parts(
    members: tuple[Member, ...],
    *,
    network: PeersNetworkFake,
    hear: Callable[[str, ServingEvent], None],
    full_hosts: int = FULL_HOSTS,
) -> list[Digests]:
    """Return the `Digests` of each host; ``hear`` is called with the host and each event."""
    return [
        Digests(
            myself=member.incarnation,
            peers=network.peers(address=member.address),
            members=lambda: members,
            dispatch=partial(hear, member.incarnation.host),
            clock=asyncio.get_running_loop().time,
            seed=1,
            full_hosts=full_hosts,
        )
        for member in members
    ]


def _ended_at(
    *, hosts: int, senders: int, lost: set[HostName], begun: bool = False
) -> tuple[dict[str, dict[str, int]], dict[str, int]]:
    """Publish two ends of sends of some hosts, and one more begin if ``begun`` is true.

    Returns:
        The newest digest of each other host by receiver, and the number of messages by receiver.
    """
    network = PeersNetworkFake(jitter=0.0)
    members = _north(hosts)
    heard: dict[str, dict[str, int]] = {m.incarnation.host: {} for m in members}

    def hear(host: str, event: ServingEvent) -> None:
        assert isinstance(event, DigestReceived)
        newest = heard[host]
        newest[event.digest.host] = max(newest.get(event.digest.host, 0), event.digest.sequence)

    async def scenario() -> dict[str, int]:
        parts = _parts(members, network=network, hear=hear, full_hosts=len(members) + 1)
        for member in members:
            if member.incarnation.host in lost:
                network.stop(address=member.address)
        for sequence in (1, 2):
            for member, part in zip(members[:senders], parts, strict=False):
                digest = Digest(host=member.incarnation.host, sequence=sequence, started=1)
                part.publish(digest, regular=False, may_wait=True)
        await asyncio.sleep(1.0)
        if begun:
            again = Digest(host=members[0].incarnation.host, sequence=3, started=1)
            for _ in range(3):  # A relay may be a lost host.
                parts[0].publish(again, regular=False)
            await asyncio.sleep(1.0)
        found = {m.incarnation.host: network.host(address=m.address) for m in members}
        return {
            name: sum(item.received_messages for item in host.traffic)
            for name, host in found.items()
            if host is not None
        }

    return heard, run_virtual(scenario())


DIGEST = Digest(host=HostName("entry-0"), sequence=1, started=1)


def _heard_by(
    publish: Callable[[Digests], None],
    *,
    hosts: int = 36,
    events: list[ServingEvent] | None = None,
) -> dict[str, type[ServingEvent]]:
    """Publish from the first host of domains with 12 hosts; return the last event by receiver."""
    heard: dict[str, type[ServingEvent]] = {}
    network = PeersNetworkFake()
    members = _north(hosts)

    def hear(host: str, event: ServingEvent) -> None:
        heard[host] = type(event)
        if events is not None:
            events.append(event)

    async def scenario() -> None:
        parts = _parts(members, network=network, hear=hear)
        publish(parts[0])
        await asyncio.sleep(1.0)

    run_virtual(scenario())
    return heard


def _named(places: set[str]) -> frozenset[PlaceName]:
    return frozenset(map(PlaceName, places))


def _place(host: str) -> str:
    return f"north-{int(host.removeprefix('entry-')) // 12}"


def _member(index: int, *, place: str = "north-1") -> Member:
    return Member(
        incarnation=Incarnation(host=HostName(f"entry-{index}"), started=1),
        place=PlaceName(place),
        address=f"10.0.0.{index}:7000",
        status=MemberStatus.ALIVE,
    )
