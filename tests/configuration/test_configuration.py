"""Accepted revisions come into force on every host, and no host reverts."""

from asyncio import get_running_loop, sleep
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureswitch.coordination.configuration import (
    BodyFetched,
    Changes,
    ConfigurationEvent,
    ConfigurationState,
    FetchFailed,
    HeadSeen,
    HostsListed,
    NewsReceived,
    StoreFailed,
    Ticked,
    reduce,
)
from azureswitch.coordination.configuration._effects import Adopt, FetchFromHost, FetchFromStore
from azureswitch.coordination.configuration._limits import HEAD_KIND, HEAD_NAME
from azureswitch.coordination.configuration._messages import (
    RevisionNews,
    pack_body,
    unpack_body,
)
from azureswitch.coordination.configuration._model import AuditEntry, digest_of
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.ports import HostStatus, ListedHost
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, until
from azureswitch_standins.store import StoreFake, StoreFaults

Scenario = Callable[[FleetFake, Changes], Awaitable[None]]


def _run(scenario: Scenario, *, hosts: int = 9) -> None:
    async def main() -> None:
        fleet = FleetFake(configured=True)
        changes = Changes(store=StoreFake(model=fleet.model))
        await _accept(changes, 1)
        fleet.add(hosts)
        await until(lambda: fleet.complete() and fleet.in_force(1), limit=30.0)
        await sleep(10.0)
        await scenario(fleet, changes)
        for host in fleet.hosts:
            assert host.adopted == sorted(set(host.adopted))

    run_virtual(main())


async def _accept(changes: Changes, revision: int) -> None:
    body = f"body {revision}".encode()
    await changes.propose(base=revision - 1, body=body, author="ann", change=f"c{revision}")


class TestFleet:
    """The revision in force on every host after changes and failures."""

    def test_in_force(self) -> None:
        """A change is in force on all hosts within 1 s, with two watches per failure domain."""

        async def scenario(fleet: FleetFake, changes: Changes) -> None:
            places = Counter(host.place for host in fleet.watchers)
            assert dict(places) == {"zone-0": 2, "zone-1": 2, "zone-2": 2}
            await _accept(changes, 2)
            await until(lambda: fleet.in_force(2), limit=1.0)
            bodies = fleet.model.counters.gets
            await _accept(changes, 3)
            await until(lambda: fleet.in_force(3), limit=1.0)
            assert fleet.model.counters.gets - bodies <= 6 + 2

        _run(scenario, hosts=30)

    def test_watchers_die(self) -> None:
        """The loss of all watchers at once delays a change by seconds."""

        async def scenario(fleet: FleetFake, changes: Changes) -> None:
            for host in fleet.watchers:
                fleet.kill(host)
            await _accept(changes, 2)
            await until(lambda: fleet.in_force(2), limit=12.0)

        _run(scenario, hosts=18)

    @pytest.mark.parametrize("fault", ["gone", "dropped", "slow", "stale members"])
    def test_watch_faults(self, fault: str) -> None:
        """Changes come into force with a gap in the history, broken watches or a slow store."""

        async def scenario(fleet: FleetFake, changes: Changes) -> None:
            for host in fleet.hosts:
                if fault == "slow":
                    host.store.faults = StoreFaults(delay=1.0)
                if fault in {"gone", "dropped"}:
                    host.store.drop_watches()
                if fault == "stale members":
                    host.configuration._members = lambda of=host: tuple(  # type: ignore
                        item for item in of.membership.members if item.incarnation.host == of.name
                    )
            if fault == "gone":
                fleet.model.compact()
            await sleep(5.0)
            await _accept(changes, 2)
            await until(lambda: fleet.in_force(2), limit=3.0)

        _run(scenario)

    def test_partition(self) -> None:
        """A partition without the store keeps its revision, and catches up when it has healed."""

        async def scenario(fleet: FleetFake, changes: Changes) -> None:
            cut = fleet.hosts[:4]
            fleet.network.partition([host.address for host in cut])
            for host in cut:
                host.store.faults = StoreFaults(down=True)
            await _accept(changes, 2)
            await sleep(60.0)
            assert {host.adopted[-1] for host in cut} == {1}
            assert {host.adopted[-1] for host in fleet.hosts[4:]} == {2}
            fleet.network.heal()
            await until(lambda: fleet.in_force(2), limit=45.0)

        _run(scenario)

    def test_store_outage(self) -> None:
        """Hosts that start in an outage adopt the fleet's revision; recovery causes few calls."""

        async def scenario(fleet: FleetFake, changes: Changes) -> None:
            await _accept(changes, 2)
            await until(lambda: fleet.in_force(2), limit=2.0)
            fleet.set_store(down=True)
            for _ in range(3):
                for host in fleet.hosts[:4]:
                    fleet.kill(host)
                added = fleet.add(4)
                await until(lambda: fleet.in_force(2), limit=20.0)
                assert {host.adopted[0] for host in added} == {2}
                await sleep(150.0)
            recovery = int(get_running_loop().time()) + 1
            fleet.set_store(down=False)
            await _accept(changes, 3)
            await until(lambda: fleet.in_force(3), limit=30.0)
            await sleep(60.0)
            calls = [count for second, count in fleet.tries.items() if second >= recovery]
            assert max(calls) <= 8
            assert sum(calls) <= 40

        _run(scenario)


def _news(host: int, revision: int) -> RevisionNews:
    return RevisionNews(
        host=HostName(f"host-{host}"),
        address=f"10.0.0.{host}:7000",
        revision=revision,
        digest=digest_of(b""),
    )


def _member(host: int, revision: int = 0) -> Member:
    return Member(
        incarnation=Incarnation(host=HostName(f"host-{host}"), started=1),
        place=PlaceName("zone-0"),
        address=f"10.0.0.{host}:7000",
        status=MemberStatus.ALIVE,
        revision=revision,
    )


def _listed(hosts: int) -> tuple[ListedHost, ...]:
    return tuple(
        ListedHost(
            name=HostName(f"host-{host}"),
            place=PlaceName("zone-0"),
            address=f"10.0.0.{host}:7000",
            status=HostStatus.LIVE,
        )
        for host in range(hosts)
    )


def _entry(revision: int) -> AuditEntry:
    return AuditEntry(
        revision=revision,
        base=revision - 1,
        change=f"c{revision}",
        author="ann",
        accepted=0,
        digest=digest_of(b""),
        previous="",
    )


def _state() -> ConfigurationState:
    return ConfigurationState(
        host=HostName("host-0"),
        place=PlaceName("zone-0"),
        address="10.0.0.0:7000",
        random=Random(1),
        now=0.0,
    )


class TestUnreadableHead:
    """A head in the store that cannot be decoded."""

    def test_start_beside_a_stale_host(self) -> None:
        """A starting host does not treat the store as empty and adopt a stale host's revision."""

        async def scenario(fleet: FleetFake, changes: Changes) -> None:
            stale, *others = fleet.hosts
            stale.store.faults = StoreFaults(down=True)
            starting = "10.0.0.9:7000"
            fleet.network.partition([stale.address, starting], [host.address for host in others])
            await _accept(changes, 2)
            head = fleet.model.get(kind=HEAD_KIND, name=HEAD_NAME)
            fleet.model.update(kind=HEAD_KIND, name=HEAD_NAME, value=b"\xc1", version=head.version)
            (started,) = fleet.add()
            assert started.address == starting
            await sleep(8.0)
            assert stale.adopted == [1]
            assert started.adopted == []

        _run(scenario)


class TestStart:
    """The revision that a host adopts if it starts while the store is down."""

    @pytest.mark.parametrize(
        ("listed", "members", "answers", "now", "expected"),
        [
            # One stale host is not a majority of five known ones.
            (6, (1,), {1: 4}, 2.0, None),
            # Of a majority of the known hosts, the highest answer counts.
            (6, (1, 2, 3), {1: 4, 2: 5, 3: 4}, 2.0, 5),
            # Without a host list, no new host may have appeared for a while.
            (0, (1,), {1: 4}, 2.0, None),
            (0, (1,), {1: 4}, 4.0, 4),
            # Hosts that are starting too are not counted.
            (6, (1, 2, 3, 4, 5), {1: 4, 2: 4, 3: 0, 4: 0}, 2.0, 4),
            (6, (1, 2, 3, 4, 5), {1: 0, 2: 0, 3: 0, 4: 0, 5: 0}, 2.0, None),
            # In a partition, a majority of the reachable hosts is enough after the timeout.
            (9, (1, 2, 3), {1: 4, 2: 5}, 9.0, None),
            (9, (1, 2, 3), {1: 4, 2: 5}, 11.0, 5),
            (9, (1, 2, 3), {1: 4}, 11.0, None),
        ],
    )
    def test_choice(
        self,
        listed: int,
        members: tuple[int, ...],
        answers: dict[int, int],
        now: float,
        expected: int | None,
    ) -> None:
        """The highest revision among a majority of the known hosts is fetched, or none."""
        state = _state()
        fleet = tuple(_member(host) for host in (0, *members))
        events: list[ConfigurationEvent] = [Ticked(now=0.0, members=fleet), StoreFailed(now=0.1)]
        if listed:
            events.append(HostsListed(now=0.2, hosts=_listed(listed)))
        events += [NewsReceived(now=1.0, news=_news(*item)) for item in answers.items()]
        events.append(Ticked(now=now, members=fleet))
        assert _requested_revision(state, events) == expected

    def test_known_higher_revision(self) -> None:
        """A majority of stale hosts is not enough if membership knows a later revision."""
        fleet = (_member(0), _member(1), _member(2), _member(3, revision=6))
        answers = [NewsReceived(now=1.0, news=_news(host, 5)) for host in (1, 2)]
        listed = HostsListed(now=0.2, hosts=_listed(4))
        for now, expected in ((5.0, None), (11.0, 5)):
            events = [Ticked(now=0.0, members=fleet), listed, *answers]
            assert (
                _requested_revision(_state(), [*events, Ticked(now=now, members=fleet)]) == expected
            )

    def test_store_takes_precedence(self) -> None:
        """No lower revision than the head in the store is taken from stale hosts."""
        fleet = (_member(0), _member(1))
        events = [
            HeadSeen(now=0.0, entry=_entry(7)),
            FetchFailed(now=0.1, address=""),
            HostsListed(now=0.2, hosts=_listed(2)),
            NewsReceived(now=0.3, news=_news(1, 5)),
            Ticked(now=5.0, members=fleet),
        ]
        assert _requested_revision(_state(), events) is None
        caught_up = NewsReceived(now=5.1, news=_news(1, 7))
        events += [caught_up, FetchFailed(now=5.2, address=""), Ticked(now=6.0, members=fleet)]
        assert _requested_revision(_state(), events) == 7


def _requested_revision(state: ConfigurationState, events: list[ConfigurationEvent]) -> int | None:
    """Return the revision of the last pull from another host."""
    effects = [effect for event in events for effect in reduce(state, event)]
    pulls = [item.revision for item in effects if isinstance(item, FetchFromHost)]
    return pulls[-1] if pulls else None


class TestReduce:
    """Properties of the reducer under any order of events."""

    @settings(max_examples=200, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["head", "news", "body", "damaged", "failed", "store", "tick"]),
                st.integers(min_value=1, max_value=9),
                st.floats(min_value=0.0, max_value=20.0),
            ),
            max_size=60,
        )
    )
    def test_never_reverts(self, steps: list[tuple[str, int, float]]) -> None:
        """Each adopted revision is higher than the last, whatever the events and their order."""
        state = _state()
        adopted = []
        now = 0.0
        for kind, number, wait in steps:
            now += wait
            for effect in reduce(state, _event(kind, number, now)):
                if isinstance(effect, Adopt):
                    adopted.append(effect.revision)
        assert adopted == sorted(set(adopted))
        assert state.revision == (adopted[-1] if adopted else 0)

    def test_damaged_body(self) -> None:
        """A body without its digest is not adopted and is fetched again."""
        state = _state()
        reduce(state, HeadSeen(now=0.0, entry=_entry(1)))
        reduce(state, BodyFetched(now=0.1, revision=1, digest=digest_of(b"a"), body=b"b"))
        assert state.revision == 0
        (again,) = reduce(state, FetchFailed(now=9.0, address="")) or (None,)
        assert again is None
        effects = reduce(state, HeadSeen(now=30.0, entry=_entry(1)))
        assert FetchFromStore(entry=_entry(1)) in effects


class TestBody:
    """Compression of bodies."""

    @pytest.mark.parametrize(
        ("packed", "body"),
        [
            (pack_body(b""), b""),
            (pack_body(bytes(1_000_000)), bytes(1_000_000)),
            (pack_body(bytes(1_000_001)), None),
            (pack_body(b"body")[:-1], None),
            (b"body", None),
        ],
    )
    def test_round_trip(self, packed: bytes, body: bytes | None) -> None:
        """A body is decompressed unchanged; a damaged or too large one is rejected."""
        assert unpack_body(packed) == body


def _event(kind: str, number: int, now: float) -> ConfigurationEvent:
    body = f"{number}".encode()
    events: dict[str, ConfigurationEvent] = {
        "head": HeadSeen(now=now, entry=_entry(number)),
        "news": NewsReceived(now=now, news=_news(number, 10 - number)),
        "body": BodyFetched(now=now, revision=number, digest=digest_of(body), body=body),
        "damaged": BodyFetched(now=now, revision=number, digest="", body=body),
        "failed": FetchFailed(now=now, address=""),
        "store": StoreFailed(now=now),
        "tick": Ticked(now=now, members=tuple(_member(host) for host in range(number))),
    }
    return events[kind]
