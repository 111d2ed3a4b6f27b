"""Copies of the store's objects: never older, whole again after trouble, and cheap to keep."""

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
    Asked,
    AskPeer,
    AskStore,
    Broken,
    Changed,
    Checked,
    Copied,
    CopyPeers,
    CopyReply,
    CopyRequest,
    Heard,
    ListAgain,
    Listed,
    Mirror,
    MirrorEvent,
    MirrorState,
    Publish,
    StoreSeen,
    TellPeers,
    Ticked,
    reduce,
)
from azureswitch.coordination.mirror._driver import FIRST_WATCH_SECONDS
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
"""Arguments of a way to peers of whom there are none."""


def item(name: str, version: int = 1) -> StoredObject:
    """Return an object."""
    return StoredObject(kind=KIND, name=name, version=version, value=b"")


def listed(now: float, *names: str, version: int = 1) -> Listed:
    """Return a reading of all objects."""
    return Listed(now=now, listing=Listing(items=tuple(map(item, names)), version=version))


def changed(now: float, name: str, kind: ChangeKind, version: int = 2) -> Changed:
    """Return a change."""
    return Changed(now=now, change=StoreChange(kind=kind, item=item(name, version)))


def seen(now: float, version: int, fingerprint: int = 0) -> Heard:
    """Return what a peer tells."""
    told = StoreSeen(
        host=HostName("h2"), address="2", kind=KIND, version=version, fingerprint=fingerprint
    )
    return Heard(now=now, seen=told)


def message_of(told: TellPeers) -> StoreSeen:
    """Return what peers are told."""
    return StoreSeen(
        host=HostName("h2"),
        address="2",
        kind=KIND,
        version=told.version,
        fingerprint=told.fingerprint,
        base=told.base,
        put=told.put,
        removed=told.removed,
    )


def names_after(events: Iterable[MirrorEvent]) -> list[str]:
    """Return the objects that are left after some events."""
    state = MirrorState(return_grace=GRACE)
    for event in events:
        reduce(event, state)
    return sorted(state.objects)


class TestRestored:
    """A store that comes back from an older copy."""

    @pytest.mark.parametrize(
        ("after", "names"),
        [
            pytest.param(0.5 * GRACE, ["a", "b"], id="lives perhaps"),
            pytest.param(1.5 * GRACE, ["a"], id="does not come back"),
        ],
    )
    def test_missing(self, after: float, names: list[str]) -> None:
        """What the copy lacks stays for a moment, in which it may be written again."""
        restored = version_of(era=1, revision=1)
        events = [
            listed(0.0, "a", "b", version=9),
            listed(5.0, "a", version=restored),
            Ticked(now=5.0 + after),
        ]
        assert names_after(events) == names


class TestObjects:
    """Which objects the reducer keeps."""

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
    def test_calm(self, events: list[MirrorEvent], names: list[str]) -> None:
        """Without an outage what is removed is gone at once."""
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
                [listed(10.0, "a"), Broken(now=11.0), Ticked(now=20.0)],
                ["a", "b"],
            ),
        ],
    )
    def test_outage(self, after: list[MirrorEvent], names: list[str]) -> None:
        """What lapsed while the store was away stays for the grace period, and no longer."""
        assert names_after([listed(0.0, "a", "b"), Broken(now=5.0), *after]) == names

    @pytest.mark.parametrize(
        ("after", "names"),
        [
            ([changed(8.0, "b", ChangeKind.DELETED)], ["a"]),
            ([listed(8.0, "a")], ["a"]),
            ([Copied(now=8.0, version=9, objects=(item("a"),))], ["a"]),
        ],
    )
    def test_turned_away(self, after: list[MirrorEvent], names: list[str]) -> None:
        """What goes while the store serves others is gone at once: it cannot have lapsed."""
        told = [seen(5.0 + n / 2.0, 1) for n in range(1, 6)]
        assert names_after([listed(0.0, "a", "b"), Broken(now=5.0), *told, *after]) == names

    def test_turned_away_again(self) -> None:
        """A grace period that has begun ends in time, also where the store turns this host away."""
        events = [
            listed(0.0, "a", "b"),
            Broken(now=5.0),
            changed(8.0, "b", ChangeKind.DELETED),
            Broken(now=8.5),
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
    """What a copy holds is told by a number that is kept up to date change by change."""

    @given(steps=STEPS, apart=st.sampled_from((0.1, GRACE, 3.0 * GRACE)))
    def test_fingerprint_that_differs_from_the_objects(
        self, steps: list[tuple[ChangeKind | str, set[str] | str]], apart: float
    ) -> None:
        """After any events it is that of a copy which has read the same objects at once."""
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
    return Broken(now=now) if kind == "broken" else Ticked(now=now)


class TestChecks:
    """Who asks the store, and when."""

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
        """Hosts check in the order of their rank, ever more of them together."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        assert bool(reduce(Ticked(now=now, rank=rank), state)) is asks

    @pytest.mark.parametrize(("version", "asks"), [(1, False), (0, True)])
    def test_heard(self, version: int, asks: bool) -> None:
        """The check of a peer that is not behind stands for one of this host's own."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        reduce(seen(0.5, version, state.fingerprint), state)
        assert bool(reduce(Ticked(now=0.95, rank=0), state)) is asks

    def test_checked(self) -> None:
        """A check is told to the peers with what tells copies apart."""
        state = MirrorState()
        reduce(listed(0.0, "a"), state)
        told = TellPeers(version=1, fingerprint=state.fingerprint, base=state.fingerprint)
        assert tuple(reduce(Checked(now=0.5), state)) == (told,)

    @pytest.mark.parametrize("kind", [ChangeKind.PUT, ChangeKind.DELETED])
    def test_told(self, kind: ChangeKind) -> None:
        """A change is told with what it applies to, and is taken over without asking the store."""
        one, two = MirrorState(), MirrorState()
        for state in (one, two):
            reduce(listed(0.0, "a", "b"), state)
        effects = reduce(changed(1.0, "b", kind, version=5), one)
        (told,) = (effect for effect in effects if isinstance(effect, TellPeers))
        message = message_of(told)
        taken = reduce(Heard(now=1.0, seen=message), two)
        assert [type(effect) for effect in taken] == [Publish]
        assert (two.objects, two.version) == (one.objects, one.version)
        assert not reduce(Heard(now=1.1, seen=message), two)

    def test_told_of_another(self) -> None:
        """A change of a copy that differs from this one is not taken over."""
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
        assert not reduce(Heard(now=1.0, seen=message), state)
        assert not reduce(Ticked(now=1.05, rank=9), state)
        assert tuple(reduce(Ticked(now=1.11, rank=9), state)) == (AskStore(),)
        assert list(state.objects) == ["a"]

    @pytest.mark.parametrize("order", list(permutations(range(3))))
    def test_overtaking(self, order: tuple[int, ...]) -> None:
        """Changes that overtake each other on their way are all taken over, and nobody is asked."""
        one, two = MirrorState(), MirrorState()
        for state in (one, two):
            reduce(listed(0.0, "a"), state)
        told = [
            message_of(effect)
            for number, name in enumerate(("b", "c", "d"))
            for effect in reduce(changed(1.0, name, ChangeKind.PUT, version=5 + number), one)
            if isinstance(effect, TellPeers)
        ]
        effects = [
            effect for index in order for effect in reduce(Heard(now=1.0, seen=told[index]), two)
        ]
        effects += reduce(Ticked(now=1.11, rank=9), two)
        assert {type(effect) for effect in effects} == {Publish}
        assert (two.objects, two.version) == (one.objects, one.version)

    @pytest.mark.parametrize(
        ("before", "heard", "effect"),
        [
            ([], seen(1.0, 5, 7), AskStore()),
            ([], seen(6.0, 1, 7), ListAgain()),
            ([], seen(4.0, 1, 7), None),
            ([], seen(6.0, 0, 7), None),
            ([Broken(now=0.5)], seen(1.0, 5, 7), AskPeer(address="2", version=5)),
            ([seen(0.4, 5, 7)], seen(1.0, 5, 7), AskPeer(address="2", version=5)),
        ],
    )
    def test_behind(
        self, before: list[MirrorEvent], heard: Heard, effect: AskStore | AskPeer | ListAgain | None
    ) -> None:
        """Who is behind asks the store, or a peer; copies that disagree are read anew."""
        state = MirrorState()
        for event in (listed(0.0, "a"), *before):
            reduce(event, state)
        assert tuple(reduce(heard, state)) == (() if effect is None else (effect,))

    @pytest.mark.parametrize(
        ("between", "asks"),
        [
            ([], False),
            ([Asked(now=1.2)], True),
            ([Copied(now=1.2, version=3, objects=())], False),
            ([Copied(now=1.2, version=3, objects=()), Asked(now=1.2)], True),
            ([Copied(now=1.2, version=9, objects=()), Asked(now=1.2)], False),
            ([Ticked(now=2.7)], True),
        ],
    )
    def test_one_at_a_time(self, between: list[MirrorEvent], asks: bool) -> None:
        """However many peers tell of a newer copy, one is asked at a time."""
        state = MirrorState()
        for event in (listed(0.0, "a"), Broken(now=0.5), seen(1.0, 9, 7)):
            reduce(event, state)
        for event in between:
            reduce(event, state)
        now = max(1.5, *(event.now for event in between)) if between else 1.5
        asked = [e for n in range(50) for e in reduce(seen(now, 9, 7 + n), state)]
        assert len([effect for effect in asked if isinstance(effect, AskPeer)]) == asks

    @pytest.mark.parametrize(
        ("heard", "told"), [([], True), ([seen(0.9, 5)], True), ([seen(0.9, 2)], False)]
    )
    def test_told_already(self, heard: list[Heard], told: bool) -> None:
        """A change or a check that a peer has just told of is not told once more."""
        one, state = MirrorState(), MirrorState()
        for copy in (one, state):
            reduce(listed(0.0, "a"), copy)
        reduce(changed(0.8, "b", ChangeKind.PUT), one)
        for event in heard:
            same = one.fingerprint if event.seen.version == 2 else 7
            reduce(replace(event, seen=replace(event.seen, fingerprint=same)), state)
        effects = reduce(changed(1.0, "b", ChangeKind.PUT), state)
        effects = [*effects, *reduce(Checked(now=1.05), state)]
        assert any(isinstance(effect, TellPeers) for effect in effects) is told

    @pytest.mark.parametrize(("version", "names"), [(5, ["b"]), (1, ["a"])])
    def test_copied(self, version: int, names: list[str]) -> None:
        """A peer's copy is taken where it is newer, and never where it is older."""
        copied = Copied(now=1.0, version=version, objects=(item("b"),))
        assert names_after([listed(0.0, "a", version=2), copied]) == names

    def test_published(self) -> None:
        """Only what changes objects hands them out."""
        state = MirrorState()
        assert any(isinstance(effect, Publish) for effect in reduce(listed(0.0, "a"), state))
        assert not reduce(changed(1.0, "", ChangeKind.BOOKMARK), state)


class OvertakenPeers(CopyPeers):
    """A way to the peers on which a change arrives while a peer is asked for it.

    Attributes:
        asked: How often a peer was asked.
        mirror: The copy that the change is for.
    """

    asked = 0
    mirror: Mirror

    async def ask(self, kind: str, *, address: str, version: int) -> CopyReply:
        """Let the change arrive by another way, and give a copy that is not newer."""
        self.asked += 1
        self.mirror.hear(self.change)
        return CopyReply(version=0)

    @property
    def change(self) -> StoreSeen:
        """A change that applies to any copy of this test."""
        told = MirrorState()
        reduce(listed(0.0, "a", version=self.mirror.version), told)
        reduce(changed(0.0, "a", ChangeKind.PUT, version=self.mirror.version + 1), told)
        return StoreSeen(
            host=HostName("h2"),
            address="2",
            kind=KIND,
            version=self.mirror.version + 1,
            fingerprint=told.fingerprint,
            base=self.mirror._state.fingerprint,
            put=(item("a", self.mirror.version + 1),),
        )


def mirror_beside(peers: CopyPeers, *, store: StoreFake) -> Mirror:
    """Return a copy of a store."""
    return Mirror(store=store, kind=KIND, publish=lambda objects: None, peers=peers, seed=1)


class TestCopyPeers:
    """Unit tests of `CopyPeers`."""

    @pytest.mark.parametrize("count", [0, 1, 8, 76])
    def test_rank(self, count: int) -> None:
        """Hosts that start together agree on who checks, before they know each other."""
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

    def test_overtaken(self) -> None:
        """A peer is asked again after a change came by another way while one was asked."""

        async def run() -> None:
            peers = OvertakenPeers(**ALONE)
            mirror = peers.mirror = mirror_beside(peers, store=StoreFake())
            mirror._feed(listed(0.0, "a"))
            mirror._feed(Broken(now=0.0))
            for turn in range(1, 4):
                bare = replace(peers.change, put=(), base=0)
                mirror.hear(bare)
                await asyncio.sleep(0.1)
                assert peers.asked == turn

        run_virtual(run())

    @pytest.mark.parametrize("turns", range(12))
    def test_cancelled(self, turns: int) -> None:
        """It ends when cancelled, in whatever turn of the loop, also while a watch ends."""

        async def run() -> None:
            mirror = mirror_beside(CopyPeers(**ALONE), store=StoreFake())
            running = asyncio.create_task(mirror.run())
            # Its first watch ends then.
            await asyncio.sleep(FIRST_WATCH_SECONDS)
            for _ in range(turns):
                await asyncio.sleep(0.0)
            running.cancel()
            done, _ = await asyncio.wait([running], timeout=1.0)
            assert done == {running}

        run_virtual(run())

    @pytest.mark.parametrize("turns", range(6))
    def test_watch_failure_told_as_a_fault_of_the_program(self, turns: int) -> None:
        """A watch that fails in whatever turn of the loop around the end leaves no failure over."""
        told: list[str] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: told.append(context["message"]))
            store = StoreFake()
            mirror = mirror_beside(CopyPeers(**ALONE), store=store)
            running = asyncio.create_task(mirror.run())
            await asyncio.sleep(FIRST_WATCH_SECONDS / 2.0)
            store.faults = StoreFaults(down=True)
            for _ in range(turns):
                await asyncio.sleep(0.0)
            running.cancel()
            await asyncio.wait([running])
            # What failed with nobody to take it is told as its task is collected.
            gc.collect()

        run_virtual(run())
        assert not told


class TestHosts:
    """Copies of several hosts over a store that fails some of them."""

    @pytest.mark.parametrize("deaf", [range(4), range(1), range(1, 4)])
    def test_deaf(self, deaf: range) -> None:
        """A change made while watches are deaf for a second is everywhere after 2 s."""

        async def scenario() -> None:
            for index in deaf:
                hosts.stores[index].deaf = True
            await hosts.write("new")
            await asyncio.sleep(1.0)
            for store in hosts.stores:
                store.deaf = False
            await asyncio.sleep(1.0)
            assert all("new" in names for names in hosts.seen)

        async def run() -> None:
            await asyncio.sleep(5.0)
            await scenario()

        hosts = MirrorHosts(count=4)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize("away", range(4))
    def test_turned_away(self, away: int) -> None:
        """A host that the store turns away has a change from its peers within 2 s."""

        async def run() -> None:
            await asyncio.sleep(5.0)
            hosts.stores[away].faults = StoreFaults(down=True)
            await asyncio.sleep(1.0)
            await hosts.write("new")
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)

        hosts = MirrorHosts(count=4)
        run_virtual(hosts.run(run))

    def test_series(self) -> None:
        """Of 30 hosts the first few ask the store for changes in a series, and all have them."""

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
        """A change too large for a datagram reaches hosts that the store turns away cheaply."""

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

    def test_alone(self) -> None:
        """A host that reaches no peer checks for itself."""

        async def run() -> None:
            hosts.network.partition(["0"])
            await asyncio.sleep(5.0)
            hosts.stores[0].deaf = True
            await hosts.write("new")
            await asyncio.sleep(1.0)
            hosts.stores[0].deaf = False
            await asyncio.sleep(1.0)
            assert "new" in hosts.seen[0]

        hosts = MirrorHosts(count=4)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize(("count", "most"), [(1, 25), (4, 30), (16, 40), (60, 40)])
    def test_calls(self, count: int, most: int) -> None:
        """In ten calm seconds the hosts together make about two watches a second."""

        async def run() -> None:
            await asyncio.sleep(5.0)
            before = hosts.model.counters.watches
            await asyncio.sleep(10.0)
            assert hosts.model.counters.watches - before <= most

        hosts = MirrorHosts(count=count)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize(
        "kept",
        [pytest.param(0, id="from all"), pytest.param(1, id="from all but the last in rank")],
    )
    @pytest.mark.parametrize("count", [9, 77, 195])
    def test_away(self, count: int, kept: int) -> None:
        """It gets five calls a second of each host that watches, and one of any other, at most."""

        async def run() -> None:
            await asyncio.sleep(10.0)
            ranks = {index: hosts.rank(index) for index in range(count)}
            last = sorted(ranks, key=ranks.__getitem__)[count - kept :]
            away = [store for index, store in enumerate(hosts.stores) if index not in last]
            for store in away:
                store.faults = StoreFaults(down=True)
            before = hosts.calls
            await asyncio.sleep(8.0)
            assert hosts.calls - before <= 8 * (5 * WATCHERS + count - WATCHERS)
            if not kept:
                for store in away:
                    store.faults = StoreFaults()
            await hosts.write("new")
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)

        hosts = MirrorHosts(count=count)
        run_virtual(hosts.run(run))

    @pytest.mark.parametrize("cut_off", [0, 5, 11])
    def test_domains(self, cut_off: int) -> None:
        """What is told crosses to each other failure domain once, and reaches all in time.

        It does so too where most hosts of a domain, any of which may be to pass it on, are cut off.
        """

        async def run() -> None:
            await asyncio.sleep(5.0)
            hosts.network.partition([str(index) for index in range(1, 3 * cut_off, 3)])
            before = hosts.sent(RelayedSeen)[0], hosts.sent(StoreSeen)[0]
            await hosts.write("new")
            await asyncio.sleep(2.0)
            assert all("new" in names for names in hosts.seen)
            relayed = hosts.sent(RelayedSeen)[0] - before[0]
            told = hosts.sent(StoreSeen)[0] - before[1]
            # Each of them is for one of the two others, beside 11 hosts that are told at home.
            assert 0 < relayed <= 2 * told / 11

        hosts = MirrorHosts(count=36, places=3)
        run_virtual(hosts.run(run))
