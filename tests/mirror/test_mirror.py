"""Mirrors of the store's objects: versions never decrease, faults are repaired, costs bounded."""

import asyncio
import gc
from collections.abc import Iterable
from itertools import permutations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.mirror import (
    Changed,
    Checked,
    CheckStore,
    CopyPeers,
    CopyReceived,
    CopyReply,
    CopyRequest,
    CopyRequestsEnded,
    Listed,
    Mirror,
    MirrorEvent,
    MirrorState,
    NotifyPeers,
    PeerChecked,
    Publish,
    Relist,
    RequestCopy,
    StoreFailed,
    StoreSeen,
    Ticked,
    reduce,
)
from azureswitch.coordination.mirror._driver import FIRST_RANK_WATCH_SECONDS
from azureswitch.coordination.mirror._messages import RelayedSeen
from azureswitch.coordination.mirror._reduce import WATCHERS
from azureswitch.coordination.mirror._state import Contents
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.ports import ChangeKind, Listing, StoreChange, StoredObject, version_of
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.mirrors import KIND, MirrorHosts
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake, StoreFaults

GRACE = 1.8

ALONE: dict[str, Any] = {
    "host": HostName("h1"),
    "address": "1",
    "peers": PeersNetworkFake().peers(address="1"),
    "members": tuple,
}
"""Arguments of a `CopyPeers` without peers."""


def item(name: str, version: int = 1) -> StoredObject:
    """Return an object."""
    return StoredObject(kind=KIND, name=name, version=version, value=b"")


def listed(now: float, *names: str, version: int = 1) -> Listed:
    """Return a listing of objects."""
    return Listed(now=now, listing=Listing(items=tuple(map(item, names)), version=version))


def changed(now: float, name: str, kind: ChangeKind, version: int = 2) -> Changed:
    """Return a change."""
    return Changed(now=now, change=StoreChange(kind=kind, item=item(name, version)))


def seen(now: float, version: int, fingerprint: int = 0) -> PeerChecked:
    """Return the receipt of a peer's announcement without a change."""
    message = StoreSeen(
        host=HostName("h2"), address="2", kind=KIND, version=version, fingerprint=fingerprint
    )
    return PeerChecked(now=now, seen=message)


def message_of(effect: NotifyPeers) -> StoreSeen:
    """Return the message that announces an effect."""
    return StoreSeen(
        host=HostName("h2"),
        address="2",
        kind=KIND,
        version=effect.version,
        fingerprint=effect.fingerprint,
        base=effect.base,
        put=effect.put,
        removed=effect.removed,
    )


def names_after(events: Iterable[MirrorEvent]) -> list[str]:
    """Return the names of the objects after some events."""
    state = MirrorState(return_grace=GRACE)
    for event in events:
        reduce(event, state)
    return sorted(state.objects)


class TestRestored:
    """A store that is restored from an older copy."""

    @pytest.mark.parametrize(
        ("after", "names"),
        [
            pytest.param(0.5 * GRACE, ["a", "b"], id="within grace period"),
            pytest.param(1.5 * GRACE, ["a"], id="after grace period"),
        ],
    )
    def test_missing_object(self, after: float, names: list[str]) -> None:
        """An object that the restored store lacks is kept until its owner can write it again."""
        restored = version_of(era=1, revision=1)
        events = [
            listed(0.0, "a", "b", version=9),
            listed(5.0, "a", version=restored),
            Ticked(now=5.0 + after),
        ]
        assert names_after(events) == names


class TestObjects:
    """Which objects the reducer keeps and removes."""

    @pytest.mark.parametrize(
        ("events", "names"),
        [
            ([listed(0.0, "a", "b")], ["a", "b"]),
            ([listed(0.0, "a"), changed(1.0, "b", ChangeKind.PUT)], ["a", "b"]),
            ([listed(0.0, "a", "b"), changed(1.0, "b", ChangeKind.DELETED)], ["a"]),
            ([listed(0.0, "a", "b"), listed(1.0, "a")], ["a"]),
            ([listed(0.0, "a"), changed(1.0, "", ChangeKind.BOOKMARK)], ["a"]),
        ],
    )
    def test_without_outage(self, events: list[MirrorEvent], names: list[str]) -> None:
        """Without an outage, a deleted object is removed at once."""
        assert names_after(events) == names

    @pytest.mark.parametrize(
        ("after", "names"),
        [
            ([listed(10.0, "a")], ["a", "b"]),
            ([listed(10.0, "a"), Ticked(now=10.0 + GRACE - 0.1)], ["a", "b"]),
            ([listed(10.0, "a"), Ticked(now=10.0 + GRACE)], ["a"]),
            (
                [
                    listed(10.0, "a"),
                    changed(11.0, "b", ChangeKind.PUT),
                    Ticked(now=10.0 + GRACE),
                ],
                ["a", "b"],
            ),
            ([changed(10.0, "b", ChangeKind.DELETED)], ["a", "b"]),
            ([changed(10.0, "a", ChangeKind.PUT), Ticked(now=10.0 + GRACE)], ["a", "b"]),
            (
                [changed(10.0, "b", ChangeKind.DELETED), Ticked(now=10.0 + GRACE)],
                ["a"],
            ),
            (
                [
                    changed(10.0, "a", ChangeKind.PUT),
                    changed(10.0 + GRACE, "b", ChangeKind.DELETED),
                ],
                ["a"],
            ),
            (
                [listed(10.0, "a"), StoreFailed(now=11.0), Ticked(now=20.0)],
                ["a", "b"],
            ),
        ],
    )
    def test_outage(self, after: list[MirrorEvent], names: list[str]) -> None:
        """An object that expired during an outage is kept for the grace period, and no longer."""
        assert names_after([listed(0.0, "a", "b"), StoreFailed(now=5.0), *after]) == names

    @pytest.mark.parametrize(
        ("after", "names"),
        [
            ([changed(8.0, "b", ChangeKind.DELETED)], ["a"]),
            ([listed(8.0, "a")], ["a"]),
            ([CopyReceived(now=8.0, version=9, objects=(item("a"),))], ["a"]),
        ],
    )
    def test_rejected_host(self, after: list[MirrorEvent], names: list[str]) -> None:
        """While the store serves peers, a deleted object is removed at once: no lease expired."""
        checks = [seen(5.0 + n / 2.0, 1) for n in range(1, 6)]
        assert names_after([listed(0.0, "a", "b"), StoreFailed(now=5.0), *checks, *after]) == names

    def test_rejected_host_in_grace_period(self) -> None:
        """A grace period ends in time, also while the store rejects this host and serves peers."""
        events = [
            listed(0.0, "a", "b"),
            StoreFailed(now=5.0),
            changed(8.0, "b", ChangeKind.DELETED),
            StoreFailed(now=8.5),
            *(seen(8.5 + n / 2.0, 1) for n in range(3)),
            Ticked(now=8.0 + GRACE),
        ]
        assert names_after(events) == ["a"]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("listed"), st.sets(st.sampled_from("abcd"))),
        st.tuples(st.sampled_from(list(ChangeKind)), st.sampled_from("abcd")),
        st.tuples(st.sampled_from(("broken", "ticked")), st.just("")),
    ),
    max_size=12,
)


class TestContents:
    """The fingerprint of a copy, which is updated incrementally."""

    @given(steps=STEPS, apart=st.sampled_from((0.1, GRACE, 3.0 * GRACE)))
    def test_incremental_update(
        self, steps: list[tuple[ChangeKind | str, set[str] | str]], apart: float
    ) -> None:
        """After any events the contents equal those of a copy that lists the same objects."""
        state = MirrorState(return_grace=GRACE)
        for index, (kind, names) in enumerate(steps, 1):
            reduce(_event(kind, names, now=index * apart, version=index), state)
            whole = Contents()
            whole.replace(state.present())
            assert state.contents == whole


def _event(
    kind: ChangeKind | str, names: set[str] | str, *, now: float, version: int
) -> MirrorEvent:
    if isinstance(kind, ChangeKind):
        return changed(now, str(names), kind, version=version)
    if kind == "listed":
        return listed(now, *sorted(names), version=version)
    return StoreFailed(now=now) if kind == "broken" else Ticked(now=now)


class TestChecks:
    """Which host checks the store, when, and what it announces."""

    @pytest.mark.parametrize(
        ("rank", "now", "asks"),
        [
            (0, 0.5, False),
            (0, 0.61, True),
            (1, 0.69, False),
            (1, 0.71, True),
            (3, 0.79, False),
            (3, 0.81, True),
            (9, 0.91, False),
            (9, 0.94, True),
            (194, 1.35, False),
            (194, 1.37, True),
            (599, 1.53, True),
        ],
    )
    def test_due(self, rank: int, now: float, asks: bool) -> None:
        """Hosts check in the order of their rank, in groups that grow."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        assert bool(reduce(Ticked(now=now, rank=rank), state)) is asks

    @pytest.mark.parametrize(("version", "asks"), [(1, False), (0, True)])
    def test_peer_check(self, version: int, asks: bool) -> None:
        """A check of a peer that is not behind replaces a check of this host."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        reduce(seen(0.5, version, state.fingerprint), state)
        assert bool(reduce(Ticked(now=0.95, rank=0), state)) is asks

    def test_check_announced(self) -> None:
        """A check is announced to peers with the fingerprint of the copy."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        notice = NotifyPeers(version=1, fingerprint=state.fingerprint, base=state.fingerprint)
        assert tuple(reduce(Checked(now=0.5), state)) == (notice,)

    @pytest.mark.parametrize("kind", [ChangeKind.PUT, ChangeKind.DELETED])
    def test_change_announced(self, kind: ChangeKind) -> None:
        """An announced change is applied by a peer without asking the store."""
        one, two = MirrorState(), MirrorState()
        for state in (one, two):
            reduce(listed(0.0, "a", "b"), state)
        effects = reduce(changed(1.0, "b", kind, version=5), one)
        (notice,) = (effect for effect in effects if isinstance(effect, NotifyPeers))
        message = message_of(notice)
        applied = reduce(PeerChecked(now=1.0, seen=message), two)
        assert [type(effect) for effect in applied] == [Publish]
        assert (two.objects, two.version) == (one.objects, one.version)
        assert not reduce(PeerChecked(now=1.1, seen=message), two)

    def test_change_of_a_different_copy(self) -> None:
        """A change that is based on a different copy is not applied."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        message = StoreSeen(
            host=HostName("h2"),
            address="2",
            kind=KIND,
            version=5,
            fingerprint=7,
            base=8,
            put=(item("c", 5),),
        )
        assert not reduce(PeerChecked(now=1.0, seen=message), state)
        assert not reduce(Ticked(now=1.05, rank=9), state)
        assert tuple(reduce(Ticked(now=1.11, rank=9), state)) == (CheckStore(),)
        assert list(state.objects) == ["a"]

    @pytest.mark.parametrize("order", list(permutations(range(3))))
    def test_reordered_changes(self, order: tuple[int, ...]) -> None:
        """Changes that arrive in any order are all applied without asking the store or a peer."""
        one, two = MirrorState(), MirrorState()
        for state in (one, two):
            reduce(listed(0.0, "a"), state)
        messages = [
            message_of(effect)
            for number, name in enumerate(("b", "c", "d"))
            for effect in reduce(changed(1.0, name, ChangeKind.PUT, version=5 + number), one)
            if isinstance(effect, NotifyPeers)
        ]
        effects = [
            effect
            for index in order
            for effect in reduce(PeerChecked(now=1.0, seen=messages[index]), two)
        ]
        effects += reduce(Ticked(now=1.11, rank=9), two)
        assert {type(effect) for effect in effects} == {Publish}
        assert (two.objects, two.version) == (one.objects, one.version)

    @pytest.mark.parametrize(
        ("before", "received", "effect"),
        [
            ([], seen(1.0, 5, 7), CheckStore()),
            ([], seen(6.0, 1, 7), Relist()),
            ([], seen(4.0, 1, 7), None),
            ([], seen(6.0, 0, 7), None),
            ([StoreFailed(now=0.5)], seen(1.0, 5, 7), RequestCopy(address="2", version=5)),
            ([seen(0.4, 5, 7)], seen(1.0, 5, 7), RequestCopy(address="2", version=5)),
        ],
    )
    def test_behind(
        self,
        before: list[MirrorEvent],
        received: PeerChecked,
        effect: CheckStore | RequestCopy | Relist | None,
    ) -> None:
        """A host that is behind asks the store or a peer; copies that differ are listed again."""
        state = MirrorState()
        for event in (listed(0.0, "a"), *before):
            reduce(event, state)
        assert tuple(reduce(received, state)) == (() if effect is None else (effect,))

    @pytest.mark.parametrize(
        ("between", "asks"),
        [
            ([], False),
            ([CopyRequestsEnded(now=1.2)], True),
            ([CopyReceived(now=1.2, version=3, objects=())], False),
            ([CopyReceived(now=1.2, version=3, objects=()), CopyRequestsEnded(now=1.2)], True),
            ([CopyReceived(now=1.2, version=9, objects=()), CopyRequestsEnded(now=1.2)], False),
            ([Ticked(now=2.7)], True),
        ],
    )
    def test_one_copy_request_at_a_time(self, between: list[MirrorEvent], asks: bool) -> None:
        """Announcements of many peers cause one request for a copy at a time."""
        state = MirrorState()
        for event in (listed(0.0, "a"), StoreFailed(now=0.5), seen(1.0, 9, 7)):
            reduce(event, state)
        for event in between:
            reduce(event, state)
        now = max(1.5, *(event.now for event in between)) if between else 1.5
        effects = [e for n in range(50) for e in reduce(seen(now, 9, 7 + n), state)]
        assert len([effect for effect in effects if isinstance(effect, RequestCopy)]) == asks

    @pytest.mark.parametrize(
        ("received", "announced"), [([], True), ([seen(0.9, 5)], True), ([seen(0.9, 2)], False)]
    )
    def test_duplicate_announcement(self, received: list[PeerChecked], announced: bool) -> None:
        """A change or a check that a peer has just announced is not announced again."""
        one, state = MirrorState(), MirrorState()
        for copy in (one, state):
            reduce(listed(0.0, "a"), copy)
        reduce(changed(0.8, "b", ChangeKind.PUT), one)
        for event in received:
            same = one.fingerprint if event.seen.version == 2 else 7
            reduce(replace(event, seen=replace(event.seen, fingerprint=same)), state)
        effects = reduce(changed(1.0, "b", ChangeKind.PUT), state)
        effects = [*effects, *reduce(Checked(now=1.05), state)]
        assert any(isinstance(effect, NotifyPeers) for effect in effects) is announced

    @pytest.mark.parametrize(("version", "names"), [(5, ["b"]), (1, ["a"])])
    def test_copy_received(self, version: int, names: list[str]) -> None:
        """A peer's copy replaces this one only if it is newer."""
        copied = CopyReceived(now=1.0, version=version, objects=(item("b"),))
        assert names_after([listed(0.0, "a", version=2), copied]) == names

    def test_published(self) -> None:
        """Objects are published only when they have changed."""
        state = MirrorState()
        assert any(isinstance(effect, Publish) for effect in reduce(listed(0.0, "a"), state))
        assert not reduce(changed(1.0, "", ChangeKind.BOOKMARK), state)


class ConcurrentChangePeers(CopyPeers):
    """Peers of which one announces a change while another is asked for its copy.

    Attributes:
        requests: Number of requests for a copy.
        mirror: The mirror that receives the change.
    """

    requests = 0
    mirror: Mirror

    async def request_copy(self, kind: str, *, address: str, version: int) -> CopyReply:
        """Deliver the announcement, and answer that the copy is not newer."""
        self.requests += 1
        self.mirror.receive(self.change)
        return CopyReply(version=0)

    @property
    def change(self) -> StoreSeen:
        """A change that is based on the mirror's copy."""
        changed_copy = MirrorState()
        reduce(listed(0.0, "a", version=self.mirror.version), changed_copy)
        reduce(changed(0.0, "a", ChangeKind.PUT, version=self.mirror.version + 1), changed_copy)
        return StoreSeen(
            host=HostName("h2"),
            address="2",
            kind=KIND,
            version=self.mirror.version + 1,
            fingerprint=changed_copy.fingerprint,
            base=self.mirror._state.fingerprint,
            put=(item("a", self.mirror.version + 1),),
        )


def mirror_with(peers: CopyPeers, *, store: StoreFake) -> Mirror:
    """Return a mirror of a store."""
    return Mirror(store=store, kind=KIND, publish=lambda objects: None, peers=peers, seed=1)


class TestCopyPeers:
    """Unit tests of `CopyPeers`."""

    @pytest.mark.parametrize("count", [0, 1, 8, 76])
    def test_rank(self, count: int) -> None:
        """Hosts that start together have distinct ranks before they know each other."""
        hosts = [HostName(f"h{number}") for number in range(count + 1)]
        members = [
            Member(
                incarnation=Incarnation(host=host, started=0),
                place=PlaceName("p"),
                address=host,
                status=MemberStatus.ALIVE,
            )
            for host in hosts
        ]
        ranks = {
            CopyPeers(**{**ALONE, "host": host}, expected=lambda: members).rank(KIND)
            for host in hosts
        }
        assert ranks == set(range(count + 1))


class TestMirror:
    """Unit tests of `Mirror`."""

    def test_change_during_a_copy_request(self) -> None:
        """A copy is requested again after a change was announced during the last request."""

        async def run() -> None:
            peers = ConcurrentChangePeers(**ALONE)
            mirror = peers.mirror = mirror_with(peers, store=StoreFake())
            mirror._feed(listed(0.0, "a"))
            mirror._feed(StoreFailed(now=0.0))
            for turn in range(1, 4):
                without_change = replace(peers.change, put=(), base=0)
                mirror.receive(without_change)
                await asyncio.sleep(0.1)
                assert peers.requests == turn

        run_virtual(run())

    @pytest.mark.parametrize("turns", range(12))
    def test_cancelled(self, turns: int) -> None:
        """`run` ends when cancelled in any turn of the loop, also while a watch ends."""

        async def run() -> None:
            mirror = mirror_with(CopyPeers(**ALONE), store=StoreFake())
            running = asyncio.create_task(mirror.run())
            # The first watch ends at this time.
            await asyncio.sleep(FIRST_RANK_WATCH_SECONDS)
            for _ in range(turns):
                await asyncio.sleep(0.0)
            running.cancel()
            done, _ = await asyncio.wait([running], timeout=1.0)
            assert done == {running}

        run_virtual(run())

    @pytest.mark.parametrize("turns", range(6))
    def test_watch_failure_while_cancelled(self, turns: int) -> None:
        """A watch that fails as `run` is cancelled is not reported as an unretrieved exception."""
        reported: list[str] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
            store = StoreFake()
            mirror = mirror_with(CopyPeers(**ALONE), store=store)
            running = asyncio.create_task(mirror.run())
            await asyncio.sleep(FIRST_RANK_WATCH_SECONDS / 2.0)
            store.faults = StoreFaults(down=True)
            for _ in range(turns):
                await asyncio.sleep(0.0)
            running.cancel()
            await asyncio.wait([running])
            # asyncio reports an unretrieved exception when its task is collected.
            gc.collect()

        run_virtual(run())
        assert not reported


class TestHosts:
    """Mirrors of several hosts over a store that fails for some of them."""

    @pytest.mark.parametrize("stalled", [range(4), range(1), range(1, 4)])
    def test_stalled_watches(self, stalled: range) -> None:
        """A change made while watches stall for a second reaches all hosts within 2 s."""

        async def scenario() -> None:
            for index in stalled:
                hosts.stores[index].stalled = True
            await hosts.write("new")
            await asyncio.sleep(1.0)
            for store in hosts.stores:
                store.stalled = False
            await asyncio.sleep(1.0)
            assert all("new" in names for names in hosts.seen)

        async def run() -> None:
            await asyncio.sleep(5.0)
            await scenario()

        hosts = MirrorHosts(count=4)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize("rejected", range(4))
    def test_rejected_host(self, rejected: int) -> None:
        """A host that the store rejects receives a change from its peers within 2 s."""

        async def run() -> None:
            await asyncio.sleep(5.0)
            hosts.stores[rejected].faults = StoreFaults(down=True)
            await asyncio.sleep(1.0)
            await hosts.write("new")
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)

        hosts = MirrorHosts(count=4)
        run_virtual(hosts.run(run))

    def test_series(self) -> None:
        """During a series of changes only the first few of 30 hosts ask the store."""

        async def run() -> None:
            await asyncio.sleep(5.0)
            before = hosts.model.counters.watches
            for index in range(20):
                await hosts.write(f"new{index}")
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            assert all(len(names) == 20 for names in hosts.seen)
            assert hosts.model.counters.watches - before <= 120

        hosts = MirrorHosts(count=30)
        run_virtual(hosts.run(run))

    def test_large_change(self) -> None:
        """A change too large for a datagram reaches rejected hosts with few messages and bytes."""

        async def run() -> None:
            await asyncio.sleep(5.0)
            for store in hosts.stores[:15]:
                store.faults = StoreFaults(down=True)
            await asyncio.sleep(2.0)
            before = hosts.sent(StoreSeen)[0]
            await hosts.write("new", size=300_000)
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)
            assert hosts.sent(CopyRequest)[0] <= 45
            assert hosts.sent(CopyReply)[1] <= 1_000_000
            assert hosts.sent(StoreSeen)[0] - before <= 800

        hosts = MirrorHosts(count=40)
        run_virtual(hosts.run(run))

    def test_partitioned_host(self) -> None:
        """A host that reaches no peer checks the store itself."""

        async def run() -> None:
            hosts.network.partition(["0"])
            await asyncio.sleep(5.0)
            hosts.stores[0].stalled = True
            await hosts.write("new")
            await asyncio.sleep(1.0)
            hosts.stores[0].stalled = False
            await asyncio.sleep(1.0)
            assert "new" in hosts.seen[0]

        hosts = MirrorHosts(count=4)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize(("count", "limit"), [(1, 25), (4, 30), (16, 40), (60, 40)])
    def test_calls_without_changes(self, count: int, limit: int) -> None:
        """Without changes the hosts together make about two watches a second."""

        async def run() -> None:
            await asyncio.sleep(5.0)
            before = hosts.model.counters.watches
            await asyncio.sleep(10.0)
            assert hosts.model.counters.watches - before <= limit

        hosts = MirrorHosts(count=count)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize(
        "served",
        [pytest.param(0, id="for all"), pytest.param(1, id="for all but the last in rank")],
    )
    @pytest.mark.parametrize("count", [9, 77, 195])
    def test_calls_during_an_outage(self, count: int, served: int) -> None:
        """A store that is down gets at most 5 calls/s from a watching host and 1 from another."""

        async def run() -> None:
            await asyncio.sleep(10.0)
            ranks = {index: hosts.rank(index) for index in range(count)}
            last = sorted(ranks, key=ranks.__getitem__)[count - served :]
            failing = [store for index, store in enumerate(hosts.stores) if index not in last]
            for store in failing:
                store.faults = StoreFaults(down=True)
            before = hosts.calls
            await asyncio.sleep(8.0)
            assert hosts.calls - before <= 8 * (5 * WATCHERS + count - WATCHERS)
            if not served:
                for store in failing:
                    store.faults = StoreFaults()
            await hosts.write("new")
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)

        hosts = MirrorHosts(count=count)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize("cut_off", [0, 5, 11])
    def test_failure_domains(self, cut_off: int) -> None:
        """An announcement is sent once to each other failure domain, and reaches all hosts in time.

        This also holds if most hosts of a domain, any of which may be the relay, are cut off.
        """

        async def run() -> None:
            await asyncio.sleep(5.0)
            hosts.network.partition([str(index) for index in range(1, 3 * cut_off, 3)])
            before = hosts.sent(RelayedSeen)[0], hosts.sent(StoreSeen)[0]
            await hosts.write("new")
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)
            relayed = hosts.sent(RelayedSeen)[0] - before[0]
            direct = hosts.sent(StoreSeen)[0] - before[1]
            # An announcement is relayed to two other domains, and sent to 11 hosts of its own.
            assert 0 < relayed <= 2 * direct / 11

        hosts = MirrorHosts(count=36, places=3)
        run_virtual(hosts.run(run))
