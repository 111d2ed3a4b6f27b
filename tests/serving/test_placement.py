"""Engines whose pace is published: where prompts go, by what that costs all who use them."""

from collections.abc import Iterable

import pytest

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    Digest,
    DigestReceived,
    FinishCall,
    FirstTokenArrived,
    HostSelf,
    Occupancy,
    PeersChanged,
    PublishDigest,
    ServingState,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    reduce,
)
from azureswitch.serving._ledger import PEER_SECONDS
from tests.serving.engines import SERVICE, snapshot

PACE = EnginePace(
    step=0.00131,
    read_rate=154_000.0,
    pair=1.62e-10,
    stride=34,
    slots=8,
    memory=405_000,
    answer=1_266,
)


class Host:
    """One host's reducer before so many engines."""

    def __init__(self, *, engines: int = 18, name: str = "h1") -> None:
        myself = HostSelf(name=HostName(name), place=PlaceName("p1"), started=1)
        self.state = ServingState(myself=myself, seed=1)
        self.now = 0.0
        self._calls = 0
        reduce(self.state, SnapshotAdopted(now=0.0, snapshot=snapshot(PACE, engines)))

    def ask(
        self, prompt: int, *, objective: float = 0.3, left: float = 10.0
    ) -> StartAttempt | FinishCall:
        """Let a request arrive and return what becomes of it at once."""
        self._calls += 1
        call = Call(
            id=CallId(f"c{self._calls}"),
            customer=CustomerName(""),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=1_300,
            deadline=self.now + left,
            objective=objective,
            gap_objective=0.25,
            runs=2,
            unshared=True,
        )
        effects = reduce(self.state, CallArrived(now=self.now, call=call))
        found = [e for e in effects if isinstance(e, StartAttempt | FinishCall)]
        return found[0]

    def ask_and_read(self, prompt: int) -> TargetName:
        """Let a short prompt arrive and be read, and return its engine."""
        effect = start(self.ask(prompt))
        event = FirstTokenArrived(now=self.now, call=effect.call, attempt=effect.attempt)
        reduce(self.state, event)
        return effect.targets[0]

    def digest(self) -> Digest:
        """Return what the host tells its peers."""
        self.now += 1.0
        effects = reduce(self.state, Ticked(now=self.now))
        return next(e.digest for e in effects if isinstance(e, PublishDigest))


def start(effect: StartAttempt | FinishCall) -> StartAttempt:
    """Return an effect that starts an attempt."""
    assert isinstance(effect, StartAttempt)
    return effect


class TestShort:
    """Short prompts."""

    def test_packed(self) -> None:
        """They share engines, so that others stay free for long prompts, within their places."""
        host = Host()
        used = [host.ask_and_read(5_000) for _ in range(20)]
        assert 3 <= len(set(used)) <= 5
        assert all(used.count(name) <= PACE.slots for name in used)

    def test_away_from_reading(self) -> None:
        """They avoid engines that read a long prompt."""
        host = Host()
        reading = set(start(host.ask(180_000, objective=3.0)).targets)
        used = {start(host.ask(5_000)).targets[0] for _ in range(10)}
        assert not used & reading

    def test_full(self) -> None:
        """Beyond all places they spread evenly."""
        host = Host(engines=2)
        used = [start(host.ask(5_000)).targets[0] for _ in range(24)]
        assert {used.count(name) for name in set(used)} == {12}


class TestLong:
    """Long prompts."""

    @pytest.mark.parametrize(
        ("prompt", "objective", "least", "most"),
        [
            (45_000, 1.5, 1, 8),
            (180_000, 3.0, 2, 16),
            (400_000, 3.0, 5, 16),
        ],
    )
    def test_spread(self, prompt: int, objective: float, least: int, most: int) -> None:
        """They are read by as many engines as it takes to be on time."""
        attempt = start(Host().ask(prompt, objective=objective, left=15.0))
        assert least <= len(attempt.targets) <= most
        assert len(set(attempt.targets)) == len(attempt.targets)
        assert not attempt.reserved

    @pytest.mark.parametrize(("prompt", "holders"), [(500_000, 2), (800_000, 3)])
    def test_memory(self, prompt: int, holders: int) -> None:
        """What one engine cannot hold is set aside in even parts on the fewest that can."""
        attempt = start(Host().ask(prompt, objective=3.0, left=15.0))
        held = [tokens for tokens in attempt.reserved if tokens]
        assert len(held) == holders - 1
        assert sum(held) >= (prompt + 1_300) * (holders - 1) / holders
        assert attempt.reserved[0] == 0

    def test_leaves_engines(self) -> None:
        """However long a prompt is, it leaves engines for the short ones that are under way."""
        host = Host()
        for _ in range(30):
            host.ask_and_read(5_000)
        long = start(host.ask(900_000, objective=3.0, left=15.0)).targets
        # 30 streams that fill 90% of 8 places each take 5 engines.
        assert len(long) <= 18 - 5

    def test_finishes(self) -> None:
        """A prompt that fewer engines would not finish in time takes more, whatever they write."""
        host = Host()
        for _ in range(70):
            host.ask_and_read(5_000)
        attempt = start(host.ask(783_000, objective=3.0, left=15.0))
        # The caller leaves after 12 s; at 154 tokens a ms and 1.62e-10 s a pair it takes 55 s.
        assert len(attempt.targets) >= 6

    def test_large_fleet(self) -> None:
        """Among many engines the least busy are weighed, and busier ones where they have memory."""
        host = Host(engines=200)
        used = {host.ask_and_read(5_000) for _ in range(400)}
        long = set(start(host.ask(180_000, objective=3.0)).targets)
        assert len(used) < 200
        assert not long & used

    def test_hopeless(self) -> None:
        """What cannot be done in its time is refused at once, with when to come back."""
        effect = Host(engines=3).ask(900_000, objective=3.0, left=5.0)
        assert isinstance(effect, FinishCall)
        assert effect.error is not None
        assert effect.error.retry_after is not None


class TestFailures:
    """What a failure says of the engine."""

    @pytest.mark.parametrize(
        ("retry_after", "seconds", "usable"), [(0.25, 0.2, False), (0.25, 0.3, True)]
    )
    def test_full(self, retry_after: float, seconds: float, usable: bool) -> None:
        """An engine that is full is left alone for as long as it says, and counts as sound."""
        host = Host()
        name = refuse(host, retry_after=retry_after)
        there = host.state.fleet.state(name)
        assert there is not None
        assert there.preferred(seconds) is usable
        assert there.failures == 0

    def test_unreached(self) -> None:
        """An engine that is not reached is avoided longer each time, and never for long."""
        host = Host(engines=1)
        for _ in range(10):
            name = refuse(host, retry_after=None)
        there = host.state.fleet.state(name)
        assert there is not None
        assert not there.preferred(host.now + 3.9)
        assert there.preferred(host.now + 4.1)

    def test_at_fault(self) -> None:
        """Of several engines the one at fault is avoided."""
        host = Host()
        attempt = start(host.ask(180_000, objective=3.0))
        guilty = attempt.targets[1]
        event = AttemptEnded(
            now=host.now,
            call=attempt.call,
            attempt=1,
            end=AttemptEnd.REFUSED,
            at_fault=guilty,
        )
        reduce(host.state, event)
        avoided = {
            name
            for name in attempt.targets
            if not host.state.fleet.state(name).preferred(0.1)  # type: ignore[union-attr]
        }
        assert avoided == {guilty}


class TestLedger:
    """What hosts know of each other's sends."""

    def test_told(self) -> None:
        """A host avoids what a peer fills, from the peer's message on."""
        one, two = Host(name="h1"), Host(name="h2")
        reading = set(start(one.ask(180_000, objective=3.0)).targets)
        digest = one.digest()
        reduce(two.state, DigestReceived(now=two.now, digest=digest))
        assert set(start(two.ask(45_000, objective=1.5)).targets).isdisjoint(reading)

    @pytest.mark.parametrize("how", ["silent", "gone", "idle"])
    def test_forgotten(self, how: str) -> None:
        """What a peer filled counts no longer once it is silent, gone or says so."""
        one, two = Host(name="h1"), Host(name="h2")
        one.ask(180_000, objective=3.0)
        reduce(two.state, DigestReceived(now=0.0, digest=one.digest()))
        if how == "silent":
            reduce(two.state, Ticked(now=PEER_SECONDS + 0.1))
        elif how == "gone":
            reduce(two.state, PeersChanged(now=0.1, hosts=(HostName("h2"),)))
        else:
            ends(one, "c1")
            reduce(two.state, DigestReceived(now=0.1, digest=one.digest()))
        assert busy(two) == {}

    def test_life(self) -> None:
        """An attempt is read, then written, then gone."""
        host = Host()
        first = start(host.ask(180_000, objective=3.0)).targets[0]
        assert host.state.ledger.at(first).reading > 0.0
        reduce(host.state, FirstTokenArrived(now=0.5, call=CallId("c1"), attempt=1))
        there = host.state.ledger.at(first)
        assert (there.reading, there.long_streams) == (0.0, 1)
        ends(host, "c1")
        assert busy(host) == {}

    def test_many(self) -> None:
        """Sums of many sends return to nothing."""
        host = Host()
        for index in range(200):
            host.ask(1_000 + 977 * (index % 50))
        for index in range(200):
            ends(host, f"c{index + 1}")
        assert busy(host) == {}


def refuse(host: Host, *, retry_after: float | None) -> TargetName:
    """Let an engine refuse a short prompt, and return its name."""
    attempt = start(host.ask(5_000))
    event = AttemptEnded(
        now=host.now,
        call=attempt.call,
        attempt=attempt.attempt,
        end=AttemptEnd.REFUSED,
        retry_after=retry_after,
    )
    reduce(host.state, event)
    return attempt.targets[0]


def ends(host: Host, call: str) -> None:
    """Let the first attempt of a call end whole."""
    event = AttemptEnded(now=host.now, call=CallId(call), attempt=1, end=AttemptEnd.COMPLETE)
    reduce(host.state, event)


def busy(host: Host) -> dict[TargetName, Occupancy]:
    """Return the engines that a host believes to have work."""
    names: Iterable[TargetName] = (TargetName(f"e{index}") for index in range(18))
    found = {name: host.state.ledger.at(name) for name in names}
    return {name: there for name, there in found.items() if there != Occupancy(target=name)}
