"""Fleets of hosts that join, fail, pause and are partitioned."""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from msgspec.structs import replace

from azureswitch.coordination.membership import (
    HostsListed,
    Member,
    Membership,
    MembershipState,
    MemberStatus,
    Received,
    Ticked,
    reduce,
)
from azureswitch.coordination.membership._messages import Gossip, Update, pack
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.peers import encode
from azureswitch.ports import DATAGRAM_LIMIT, HostStatus, ListedHost
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from azureswitch_standins.peers import PeersNetworkFake

Scenario = Callable[[FleetFake], Awaitable[None]]


def _play(scenario: Scenario, *, hosts: int = 9, seed: int = 1) -> None:
    async def main() -> None:
        fleet = FleetFake(seed=seed)
        fleet.add(hosts)
        await until(fleet.complete, limit=30.0)
        await scenario(fleet)

    run_virtual(main())


def _statuses(host: FleetHost) -> dict[str, MemberStatus]:
    return {item.incarnation.host: item.status for item in host.membership.members}


class TestFleet:
    """The views of all hosts after a failure."""

    @pytest.mark.parametrize(("hosts", "limit"), [(2, 6.0), (9, 6.0), (30, 8.0)])
    def test_dead_host_is_detected(self, hosts: int, limit: float) -> None:
        """Every host detects within seconds that one was killed, and declares no other dead."""

        async def scenario(fleet: FleetFake) -> None:
            fleet.kill(fleet.hosts[0])
            await until(fleet.complete, limit=limit)
            assert fleet.hosts[0].membership.dead == ("entry-000",)

        _play(scenario, hosts=hosts)

    @pytest.mark.parametrize("killed", [0, 1, 8])
    def test_fleet_size(self, killed: int) -> None:
        """A dead host still counts in the size of the fleet."""

        async def scenario(fleet: FleetFake) -> None:
            assert {host.membership.fleet_size for host in fleet.hosts} == {9}
            for host in fleet.hosts[:killed]:
                fleet.kill(host)
            await until(fleet.complete, limit=20.0)
            assert {host.membership.fleet_size for host in fleet.hosts} == {9}

        _play(scenario)

    def test_fleet_size_unknown(self) -> None:
        """The size is unknown before a host has read the host list or synced with a peer."""
        state = _state()
        assert state.fleet_size is None
        reduce(state, HostsListed(now=0.0, hosts=tuple(map(_listed, ("a", "b", "c")))))
        assert state.fleet_size == 4

    def test_whole_place_dies(self) -> None:
        """The loss of a failure domain is detected as fast as that of a host."""

        async def scenario(fleet: FleetFake) -> None:
            for host in fleet.hosts:
                if host.place == "zone-0":
                    fleet.kill(host)
            await until(fleet.complete, limit=8.0)

        _play(scenario, hosts=18)

    @pytest.mark.parametrize(("seconds", "survives"), [(1.0, True), (20.0, False)])
    def test_paused_host(self, seconds: float, survives: bool) -> None:
        """A host suspects no other after its own pause, and is a member again."""

        async def scenario(fleet: FleetFake) -> None:
            host = fleet.host("entry-004")
            accused: list[str] = []

            def watch(members: tuple[Member, ...]) -> None:
                accused.extend(
                    item.incarnation.host for item in members if item.status is MemberStatus.SUSPECT
                )

            fleet.pause(host)
            await sleep(seconds)
            fleet.resume(host)
            host.membership.on_change(watch)
            others = [item for item in fleet.hosts if item is not host]
            alive = all(host.name in _statuses(item) for item in others)
            assert alive is survives
            await sleep(1.0)
            await until(fleet.complete, limit=15.0)
            assert accused == []
            assert host.membership.stalls == 1

        _play(scenario)

    def test_lossy_network(self) -> None:
        """No host is declared dead while a tenth of all datagrams is lost for minutes."""

        async def scenario(fleet: FleetFake) -> None:
            fleet.network.loss = 0.1
            deaths: list[tuple[HostName, ...]] = []
            for host in fleet.hosts:
                membership = host.membership
                membership.on_change(lambda _, of=membership: deaths.append(of.dead))
            await sleep(180.0)
            assert not any(deaths)

        _play(scenario)

    @pytest.mark.parametrize("seconds", [30.0, 240.0])
    def test_partition_heals(self, seconds: float) -> None:
        """Each side of a partition keeps its own members, and both merge when it heals."""

        async def scenario(fleet: FleetFake) -> None:
            left, right = fleet.hosts[:5], fleet.hosts[5:]
            names = {host.name for host in left}
            fleet.network.partition([host.address for host in left])
            await sleep(seconds)
            assert {*_statuses(left[0])} == names
            assert not names & {*_statuses(right[0])}
            fleet.network.heal()
            await until(fleet.complete, limit=45.0)

        _play(scenario)

    def test_leaving_spreads(self) -> None:
        """Every host knows within two seconds that one leaves, and the host stays a member."""

        async def scenario(fleet: FleetFake) -> None:
            host = fleet.hosts[7]
            left = host.membership.leave()
            spread = until(
                lambda: all(
                    _statuses(item).get(host.name) is MemberStatus.LEAVING for item in fleet.hosts
                ),
                limit=2.0,
            )
            await gather(left, spread)
            await sleep(30.0)
            assert _statuses(fleet.hosts[0])[host.name] is MemberStatus.LEAVING
            host.tasks[0].cancel()
            await until(lambda: host.name in fleet.hosts[0].membership.dead, limit=2.0)

        _play(scenario, hosts=30)

    @pytest.mark.parametrize("started", [1_800_000_000_000, 1])
    def test_restarted_host(self, started: int) -> None:
        """A new process replaces the old one of its host, also if the clock was set back."""

        async def scenario(fleet: FleetFake) -> None:
            old = fleet.hosts[0]
            before = next(
                m.incarnation for m in old.membership.members if m.incarnation.host == old.name
            )
            fleet.kill(old)
            peers = fleet.network.peers(address=old.address)
            myself = Incarnation(host=old.name, started=started)
            membership = Membership(
                myself=myself,
                place=old.place,
                address=old.address,
                peers=peers,
                hosts=fleet.listed,
                seed=99,
            )
            run = gather(membership.run())
            await until(
                lambda: fleet.all_see(
                    lambda members: any(
                        item.incarnation.host == old.name and item.incarnation > before
                        for item in members
                    )
                ),
                limit=6.0,
            )
            assert fleet.hosts[0].membership.dead == ()
            run.cancel()

        _play(scenario)

    def test_host_list_lags_and_fails(self) -> None:
        """Members stay while the host list fails, and a dead one is forgotten once unlisted."""

        async def scenario(fleet: FleetFake) -> None:
            fleet.listed.down = True
            await sleep(120.0)
            assert fleet.complete()
            fleet.listed.down = False
            gone = fleet.hosts[0]
            fleet.kill(gone)
            fleet.listed.put(
                host=ListedHost(
                    name=HostName("never-started"),
                    place=PlaceName("zone-0"),
                    address="10.9.9.9:7000",
                    status=HostStatus.LIVE,
                )
            )
            await sleep(150.0)
            assert fleet.hosts[0].membership.dead == (gone.name,)
            fleet.listed.remove(name=gone.name)
            await until(lambda: fleet.hosts[0].membership.dead == (), limit=120.0)

        _play(scenario)

    def test_revisions_are_known(self) -> None:
        """Every host learns which revision is in force on each other one."""

        async def scenario(fleet: FleetFake) -> None:
            for host in fleet.hosts:
                host.membership.set_revision(7)
            await until(
                lambda: fleet.all_see(lambda members: {item.revision for item in members} == {7}),
                limit=10.0,
            )

        _play(scenario, hosts=30)


def _update(**changes: object) -> Update:
    update = Update(
        host=HostName("other"),
        started=5,
        version=3,
        place=PlaceName("zone-1"),
        address="10.0.0.2:7000",
    )
    return replace(update, **changes)


def _state() -> MembershipState:
    myself = Incarnation(host=HostName("me"), started=9)
    state = MembershipState(
        myself=myself, place=PlaceName("zone-0"), address="10.0.0.1:7000", random=Random(1)
    )
    reduce(state, Ticked(now=0.0))
    return state


def _listed(name: str) -> ListedHost:
    return ListedHost(
        name=HostName(name), place=PlaceName("p"), address=name, status=HostStatus.LIVE
    )


class TestExpected:
    """Hosts that are listed and not members yet."""

    @pytest.mark.parametrize(
        ("after", "expected"), [(1.0, ("b", "c")), (4.9, ("b", "c")), (5.1, ())]
    )
    def test_after_start(self, after: float, expected: tuple[str, ...]) -> None:
        """Listed hosts are expected only for some seconds after a start."""

        class Listing:
            """A list of hosts of which none answers."""

            async def hosts(self) -> tuple[ListedHost, ...]:
                """Return the hosts."""
                return tuple(map(_listed, ("a", "b", "c")))

        async def main() -> tuple[Member, ...]:
            membership = Membership(
                myself=Incarnation(host=HostName("a"), started=1),
                place=PlaceName("p"),
                address="a",
                peers=PeersNetworkFake().peers(address="a"),
                hosts=Listing(),
                seed=1,
            )
            running = create_task(membership.run())
            await sleep(after)
            found = membership.expected
            running.cancel()
            return found

        found = run_virtual(main())
        assert tuple(member.incarnation.host for member in found) == expected
        assert tuple(member.address for member in found) == expected
        assert {(member.place, member.status) for member in found} <= {("p", MemberStatus.ALIVE)}

    def test_members_are_not_expected(self) -> None:
        """A host that is a member is no longer expected."""

        async def scenario(fleet: FleetFake) -> None:
            assert [host.membership.expected for host in fleet.hosts] == [()] * 9

        _play(scenario)


class TestReduce:
    """The reducer: precedence of updates, refutation and bounds of datagrams."""

    @pytest.mark.parametrize(
        ("second", "status"),
        [
            ({"status": MemberStatus.SUSPECT}, MemberStatus.SUSPECT),
            ({"status": MemberStatus.SUSPECT, "version": 2}, MemberStatus.ALIVE),
            ({"status": MemberStatus.DEAD}, None),
            ({"status": MemberStatus.DEAD, "started": 4, "version": 9}, MemberStatus.ALIVE),
            ({"status": MemberStatus.LEAVING, "version": 4}, MemberStatus.LEAVING),
            ({"status": MemberStatus.ALIVE, "started": 6, "version": 1}, MemberStatus.ALIVE),
        ],
    )
    def test_precedence(self, second: dict[str, object], status: MemberStatus | None) -> None:
        """A later start takes precedence, then a higher version, then the more severe status."""
        state = _state()
        for update in (_update(), _update(**second)):
            reduce(state, Received(now=0.1, message=Gossip(updates=pack((update,)))))
        found = {item.incarnation.host: item.status for item in state.members}
        assert found.get(HostName("other")) is status

    @pytest.mark.parametrize("status", [MemberStatus.SUSPECT, MemberStatus.DEAD])
    def test_refutes(self, status: MemberStatus) -> None:
        """A host that receives an accusation of itself refutes it with a higher version."""
        state = _state()
        accusation = replace(state.me, status=status, version=4)
        reduce(state, Received(now=0.1, message=Gossip(updates=pack((accusation,)))))
        assert (state.me.status, state.me.version) == (MemberStatus.ALIVE, 5)

    def test_datagrams_are_bounded(self) -> None:
        """Datagrams stay under their limit with the longest names and many updates."""
        state = _state()
        long = "x" * 63
        for index in range(100):
            host = HostName(f"{index:03d}{long}"[:63])
            update = _update(host=host, place=PlaceName(long), accuser=long)
            reduce(state, Received(now=0.1, message=Gossip(updates=pack((update,)))))
            state._reports.add(revision=1, hosts=(host,))
        sent = [effect for tick in range(1, 50) for effect in reduce(state, Ticked(now=tick / 10))]
        messages = [getattr(effect, "message", None) for effect in sent]
        sizes = [
            len(encode(message=message, peer="", limit=1_000_000))
            for message in messages
            if message is not None
        ]
        assert 0 < max(sizes) <= DATAGRAM_LIMIT
