"""Placement of prompts on engines whose pace is published, by cost to all streams."""

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
    """The reducer of one host with a fleet of engines."""

    def __init__(self, *, engines: int = 18, name: str = "h1") -> None:
        myself = HostSelf(name=HostName(name), place=PlaceName("p1"), started=1)
        self.state = ServingState(myself=myself, seed=1)
        self.now = 0.0
        self._calls = 0
        reduce(self.state, SnapshotAdopted(now=0.0, snapshot=snapshot(PACE, engines)))

    def ask(
        self, prompt: int, *, objective: float = 0.3, left: float = 10.0
    ) -> StartAttempt | FinishCall:
        """Send a request and return the first resulting effect."""
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
        """Send a short prompt, complete its prefill, and return its engine."""
        effect = start(self.ask(prompt))
        event = FirstTokenArrived(now=self.now, call=effect.call, attempt=effect.attempt)
        reduce(self.state, event)
        return effect.targets[0]

    def digest(self) -> Digest:
        """Return the host's next digest."""
        self.now += 1.0
        effects = reduce(self.state, Ticked(now=self.now))
        return next(e.digest for e in effects if isinstance(e, PublishDigest))


def start(effect: StartAttempt | FinishCall) -> StartAttempt:
    """Check that an effect starts an attempt, and return it."""
    assert isinstance(effect, StartAttempt)
    return effect


class TestShort:
    """Short prompts."""

    def test_packed(self) -> None:
        """They share engines up to their slots, so that others stay free for long prompts."""
        host = Host()
        used = [host.ask_and_read(5_000) for _ in range(20)]
        assert 3 <= len(set(used)) <= 5
        assert all(used.count(name) <= PACE.slots for name in used)

    def test_avoids_prefill(self) -> None:
        """They avoid engines that prefill a long prompt."""
        host = Host()
        reading = set(start(host.ask(180_000, objective=3.0)).targets)
        used = {start(host.ask(5_000)).targets[0] for _ in range(10)}
        assert not used & reading

    def test_full(self) -> None:
        """If all slots are taken, they are spread evenly."""
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
        """Their prefill is spread over enough engines to be on time."""
        attempt = start(Host().ask(prompt, objective=objective, left=15.0))
        assert least <= len(attempt.targets) <= most
        assert len(set(attempt.targets)) == len(attempt.targets)
        assert not attempt.reserved

    @pytest.mark.parametrize(("prompt", "holders"), [(500_000, 2), (800_000, 3)])
    def test_memory(self, prompt: int, holders: int) -> None:
        """If one engine cannot hold a prompt, equal parts are reserved on the fewest that can."""
        attempt = start(Host().ask(prompt, objective=3.0, left=15.0))
        held = [tokens for tokens in attempt.reserved if tokens]
        assert len(held) == holders - 1
        assert sum(held) >= (prompt + 1_300) * (holders - 1) / holders
        assert attempt.reserved[0] == 0

    def test_reserved_for_short(self) -> None:
        """A prompt of any length leaves engines for the short streams in progress."""
        host = Host()
        for _ in range(30):
            host.ask_and_read(5_000)
        long = start(host.ask(900_000, objective=3.0, left=15.0)).targets
        # 30 streams that fill 90% of 8 places each take 5 engines.
        assert len(long) <= 18 - 5

    def test_deadline(self) -> None:
        """A prompt uses as many engines as its deadline needs, even if they serve other streams."""
        host = Host()
        for _ in range(70):
            host.ask_and_read(5_000)
        attempt = start(host.ask(783_000, objective=3.0, left=15.0))
        # The caller disconnects after 12 s; one engine needs 55 s for the prefill, at 154 tokens
        # per ms and 1.62e-10 s per pair.
        assert len(attempt.targets) >= 6

    def test_large_fleet(self) -> None:
        """In a large fleet a long prompt goes to engines without other streams."""
        host = Host(engines=200)
        used = {host.ask_and_read(5_000) for _ in range(400)}
        long = set(start(host.ask(180_000, objective=3.0)).targets)
        assert len(used) < 200
        assert not long & used

    def test_unreachable_deadline(self) -> None:
        """A call that cannot meet its deadline is refused immediately, with a retry time."""
        effect = Host(engines=3).ask(900_000, objective=3.0, left=5.0)
        assert isinstance(effect, FinishCall)
        assert effect.error is not None
        assert effect.error.retry_after is not None


class TestFailures:
    """Effects of failures on the health of an engine."""

    @pytest.mark.parametrize(
        ("retry_after", "seconds", "usable"), [(0.25, 0.2, False), (0.25, 0.3, True)]
    )
    def test_full(self, retry_after: float, seconds: float, usable: bool) -> None:
        """An engine that is full is avoided for its retry time and is not counted as failed."""
        host = Host()
        name = refuse_attempt(host, retry_after=retry_after)
        there = host.state.fleet.state(name)
        assert there is not None
        assert there.preferred(seconds) is usable
        assert there.failures == 0

    def test_connection_failure(self) -> None:
        """An unreachable engine is avoided with a bounded backoff that grows with each failure."""
        host = Host(engines=1)
        for _ in range(10):
            name = refuse_attempt(host, retry_after=None)
        there = host.state.fleet.state(name)
        assert there is not None
        assert not there.preferred(host.now + 3.9)
        assert there.preferred(host.now + 4.1)

    def test_at_fault(self) -> None:
        """If an attempt uses several engines, only the one at fault is avoided."""
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


class TestPeerOccupancy:
    """Occupancy by attempts of this host and its peers."""

    def test_peer_digest(self) -> None:
        """A host avoids engines that a peer occupies once it has the peer's digest."""
        one, two = Host(name="h1"), Host(name="h2")
        reading = set(start(one.ask(180_000, objective=3.0)).targets)
        digest = one.digest()
        reduce(two.state, DigestReceived(now=two.now, digest=digest))
        assert set(start(two.ask(45_000, objective=1.5)).targets).isdisjoint(reading)

    @pytest.mark.parametrize("how", ["silent", "gone", "idle"])
    def test_peer_expired(self, how: str) -> None:
        """A peer's occupancy is dropped if the peer is silent, is removed or reports its end."""
        one, two = Host(name="h1"), Host(name="h2")
        one.ask(180_000, objective=3.0)
        reduce(two.state, DigestReceived(now=0.0, digest=one.digest()))
        if how == "silent":
            reduce(two.state, Ticked(now=PEER_SECONDS + 0.1))
        elif how == "gone":
            reduce(two.state, PeersChanged(now=0.1, hosts=(HostName("h2"),)))
        else:
            complete(one, "c1")
            reduce(two.state, DigestReceived(now=0.1, digest=one.digest()))
        assert busy(two) == {}

    def test_attempt_lifecycle(self) -> None:
        """An attempt counts as prefill, then as a stream, and then no longer."""
        host = Host()
        first = start(host.ask(180_000, objective=3.0)).targets[0]
        assert host.state.ledger.at(first).reading > 0.0
        reduce(host.state, FirstTokenArrived(now=0.5, call=CallId("c1"), attempt=1))
        there = host.state.ledger.at(first)
        assert (there.reading, there.long_streams) == (0.0, 1)
        complete(host, "c1")
        assert busy(host) == {}

    def test_balanced_sums(self) -> None:
        """Occupancy returns exactly to zero after many attempts."""
        host = Host()
        for index in range(200):
            host.ask(1_000 + 977 * (index % 50))
        for index in range(200):
            complete(host, f"c{index + 1}")
        assert busy(host) == {}


def refuse_attempt(host: Host, *, retry_after: float | None) -> TargetName:
    """Make an engine refuse a short prompt, and return its name."""
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


def complete(host: Host, call: str) -> None:
    """Complete the first attempt of a call."""
    event = AttemptEnded(now=host.now, call=CallId(call), attempt=1, end=AttemptEnd.COMPLETE)
    reduce(host.state, event)


def busy(host: Host) -> dict[TargetName, Occupancy]:
    """Return the engines with a known occupancy, by the host's ledger."""
    names: Iterable[TargetName] = (TargetName(f"e{index}") for index in range(18))
    found = {name: host.state.ledger.at(name) for name in names}
    return {name: there for name, there in found.items() if there != Occupancy(target=name)}
