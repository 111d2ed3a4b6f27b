"""Evacuated failure domains: nothing new is sent there, and what runs there continues."""

from collections.abc import Sequence

import pytest
from msgspec.structs import replace

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, TargetName
from azureswitch.exceptions import (
    NoTargetError,
    RetriesExhaustedError,
    ServiceEvacuatedError,
    TargetEvacuatedError,
    TargetRefusedError,
)
from azureswitch.inventory import EnginePace, Evacuation, Snapshot, Target, TargetRole
from azureswitch.serving import (
    AnnounceEvacuation,
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    CancelAttempt,
    ClaimCall,
    ClaimGranted,
    ClaimOutcome,
    Digest,
    DigestReceived,
    EvacuationPhase,
    FinishCall,
    FirstTokenArrived,
    HostSelf,
    Occupancy,
    PeersChanged,
    PublishDigest,
    ServingState,
    SettleClaim,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
    reduce,
)
from azureswitch.serving.evacuation._apply import MAX_RETRY_JITTER, RESTORED_SECONDS
from tests.serving.engines import SERVICE, Simulation, place_of
from tests.serving.engines import snapshot as paced_snapshot
from tests.serving.fixtures import Driver, booking, engine, model_call, only, plain_call, snapshot
from tests.serving.test_domains import KINDS

EVACUATION = Evacuation(since=1_790_000_000_000, author="dana", reason="power")

PACE = EnginePace(
    step=0.00131, read_rate=154_000.0, pair=1e-10, stride=34, slots=8, memory=405_000, answer=1_266
)

TARGETS = (
    engine("e1", place="a1"),
    engine("e2", place="a1"),
    engine("e3", place="a2"),
    engine("e4", place="a2"),
    booking("s1"),
    replace(booking("s2"), place=PlaceName("a2")),
)


def evacuate(config: Snapshot, *places: str, revision: int = 2) -> Snapshot:
    """Return a configuration with exactly these failure domains evacuated."""
    marked = tuple(
        replace(place, evacuation=EVACUATION if place.name in places else None)
        for place in config.inventory.places
    )
    return replace(config, revision=revision, inventory=replace(config.inventory, places=marked))


def fleet(*places: str, revision: int = 1, targets: Sequence[Target] = TARGETS) -> Snapshot:
    """Return a configuration with targets in two failure domains, some of them evacuated."""
    return evacuate(snapshot(targets=targets), *places, revision=revision)


def adopt(driver: Driver, config: Snapshot) -> list[object]:
    """Adopt a configuration now and return the effects."""
    return list(driver.send(SnapshotAdopted(now=driver.now, snapshot=config)))


def end(driver: Driver, start: StartAttempt, how: AttemptEnd, **more: object) -> list[object]:
    """Let an attempt end now."""
    event = AttemptEnded(
        now=driver.now, call=start.call, attempt=start.attempt, end=how, **more  # type: ignore[arg-type]
    )
    return list(driver.send(event))


def withhold(driver: Driver, start: StartAttempt) -> list[object]:
    """Let the shell report that it did not send an attempt as its target is evacuated."""
    error = TargetEvacuatedError(target=start.targets[0])
    return end(driver, start, AttemptEnd.REFUSED, error=error, at_fault=start.targets[0])


def place_at(target: TargetName) -> str:
    """Return the failure domain of a target of `TARGETS`."""
    return next(item.place for item in TARGETS if item.name == target)


def phases(effects: Sequence[object]) -> list[tuple[str, EvacuationPhase, int]]:
    """Return the announced changes of evacuations."""
    found = [effect.change for effect in effects if isinstance(effect, AnnounceEvacuation)]
    return [(change.place, change.phase, change.running) for change in found]


class TestNothingNew:
    """Choices of targets while a failure domain is evacuated."""

    @pytest.mark.parametrize("known", [False, True], ids=["from the start", "later"])
    def test_first_attempts(self, known: bool) -> None:
        """Guards against an evacuated target that gets a first attempt."""
        driver = Driver(config=fleet() if known else fleet("a1"))
        adopt(driver, fleet("a1", revision=2))
        calls = [model_call(f"c{n}") for n in range(20)]
        calls += [plain_call(f"p{n}", repeatable=True) for n in range(20)]
        starts = driver.start_all(calls)
        assert len(starts) == 40
        assert {place_at(start.targets[0]) for start in starts} == {"a2"}

    def test_retry(self) -> None:
        """Guards against a retry, or a resumed stream, that goes to an evacuated target."""
        near = [engine(f"n{number}", place="a1") for number in range(8)]
        targets = [*near, engine("e3", place="a2")]
        for seed in range(10):
            driver = Driver(config=fleet(targets=targets), seed=seed)
            (start,) = driver.start_all([model_call("c1", repeatable=True)])
            adopt(driver, fleet("a1", revision=2, targets=targets))
            end(driver, start, AttemptEnd.BROKEN, tokens=3)
            driver.tick(1.0)
            retried = only(StartAttempt, driver.effects)[1:]
            assert [(s.targets, s.resume_from) for s in retried] == [(("e3",), 3)]

    def test_hedge(self) -> None:
        """Guards against a hedged attempt at an evacuated target."""
        driver = Driver(config=fleet("a2", targets=TARGETS[1:3]))
        (start,) = driver.start_all([model_call("c1")])
        assert place_at(start.targets[0]) == "a1"
        assert not only(StartAttempt, driver.tick(10.0))

    @pytest.mark.parametrize("prompt", [180_000, 800_000], ids=["helpers", "memory"])
    def test_long_prompt(self, prompt: int) -> None:
        """Guards against a part of a prompt, or reserved memory, at an evacuated engine."""
        config = evacuate(paced_snapshot(PACE, 24, places=2), "p1")
        driver = Driver(config=config)
        call = Call(
            id=CallId("c1"),
            customer=CustomerName(""),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=1_300,
            deadline=30.0,
            objective=8.0,
            runs=2,
            unshared=True,
        )
        (start,) = driver.start_all([call])
        assert len(start.targets) > 1
        places = {place_of(int(name.removeprefix("e")), 2) for name in start.targets}
        assert places == {PlaceName("p2")}
        assert start.evacuated == 12

    @pytest.mark.parametrize("started", [0, 1_790_000_000_000])
    def test_restarted(self, started: int) -> None:
        """Guards against a restarted target that takes new work although still evacuated."""
        targets = [replace(target, started=max(1, started)) for target in TARGETS]
        driver = Driver(config=fleet("a1", targets=targets))
        targets = [replace(target, started=started + 5_000) for target in TARGETS]
        adopt(driver, fleet("a1", revision=2, targets=targets))
        starts = driver.start_all([model_call(f"c{n}") for n in range(10)])
        assert {place_at(start.targets[0]) for start in starts} == {"a2"}

    def test_counted(self) -> None:
        """Guards against attempts that do not say how many targets an evacuation excluded."""
        driver = Driver(config=fleet())
        before = driver.start_all([model_call("c1"), plain_call("p1", repeatable=True)])
        adopt(driver, fleet("a1", revision=2))
        after = driver.start_all([model_call("c2"), plain_call("p2", repeatable=True)])
        assert [start.evacuated for start in before] == [0, 0]
        assert [start.evacuated for start in after] == [2, 1]

    def test_restored(self) -> None:
        """Guards against a restored failure domain that gets no work."""
        driver = Driver(config=fleet("a1"))
        adopt(driver, fleet(revision=2))
        starts = driver.start_all([model_call(f"c{n}") for n in range(20)])
        assert {place_at(start.targets[0]) for start in starts} == {"a1", "a2"}

    def test_older_snapshot(self) -> None:
        """Guards against an older configuration that undoes an evacuation."""
        driver = Driver(config=fleet("a1", revision=5))
        assert not phases(adopt(driver, fleet(revision=4)))
        (start,) = driver.start_all([model_call("c1")])
        assert place_at(start.targets[0]) == "a2"


class TestRunning:
    """Attempts that run at evacuated targets."""

    def test_continue(self) -> None:
        """Guards against an evacuation that cancels running attempts or ends their calls."""
        driver = Driver(config=fleet(targets=TARGETS[:2]))
        (start,) = driver.start_all([model_call("c1")])
        effects = adopt(driver, fleet("a1", revision=2, targets=TARGETS[:2]))
        effects += driver.tick(1.0)
        assert not only(CancelAttempt, effects) + only(FinishCall, effects)
        end(driver, start, AttemptEnd.COMPLETE)
        assert driver.error("c1") is None

    def test_announced(self) -> None:
        """Guards against an evacuation whose begin, emptiness or end operators cannot see."""
        driver = Driver(config=fleet(targets=TARGETS[:2]))
        (start,) = driver.start_all([model_call("c1")])
        begun = adopt(driver, fleet("a1", revision=2))
        assert phases(begun) == [("a1", EvacuationPhase.BEGUN, 1)]
        assert not phases(driver.tick(1.0))
        end(driver, start, AttemptEnd.COMPLETE)
        assert phases(driver.tick(2.0)) == [("a1", EvacuationPhase.EMPTY, 0)]
        (known,) = driver.state.evacuations.places
        assert known.empty_at is not None
        assert known.empty_at <= 2.0
        assert not phases(adopt(driver, fleet("a1", revision=3)))
        assert phases(adopt(driver, fleet(revision=4))) == [("a1", EvacuationPhase.ENDED, 0)]

    def test_target_gone(self) -> None:
        """Guards against a domain that counts as empty as soon as its targets are unlisted."""
        driver = Driver(config=fleet())
        (start,) = driver.start_all([plain_call("p1", repeatable=True)])
        place = place_at(start.targets[0])
        adopt(driver, fleet(place, revision=2))
        left = [target for target in TARGETS if target.name != start.targets[0]]
        effects = adopt(driver, fleet(place, revision=3, targets=left))
        assert not phases([*effects, *driver.tick(0.2)])
        end(driver, start, AttemptEnd.COMPLETE)
        assert phases(driver.tick(0.4)) == [(place, EvacuationPhase.EMPTY, 0)]


class TestRefused:
    """Calls of a service whose targets are all evacuated."""

    @pytest.mark.parametrize("places", [("a1", "a2"), ("a1", "a2", "b1")], ids=["service", "all"])
    def test_new(self, places: tuple[str, ...]) -> None:
        """Guards against a call that waits for its deadline although nothing can serve it."""
        driver = Driver(config=fleet(*places))
        assert not driver.start_all([model_call("c1"), plain_call("p1", repeatable=True)])
        for call in ("c1", "p1"):
            error = driver.error(call)
            assert isinstance(error, ServiceEvacuatedError)
            assert RESTORED_SECONDS <= error.seconds <= MAX_RETRY_JITTER * RESTORED_SECONDS

    @pytest.mark.parametrize(
        ("other", "kind"),
        [
            (None, ServiceEvacuatedError),
            (TargetRole.DRAINING, ServiceEvacuatedError),
            (TargetRole.SERVING, NoTargetError),
        ],
        ids=["no other", "other drains", "other is paused"],
    )
    def test_cause(self, other: TargetRole | None, kind: type[Exception]) -> None:
        """Guards against a refusal that blames an evacuation for a target that is only paused."""
        elsewhere = [] if other is None else [engine("e3", place="a2", role=other)]
        driver = Driver(config=fleet("a1", targets=[TARGETS[0], *elsewhere]))
        driver.state.fleet.full(TargetName("e3"), seconds=5.0, now=0.0)
        driver.arrive(model_call("c1"))
        assert isinstance(driver.error("c1"), kind)

    def test_waiting(self) -> None:
        """Guards against waiting calls that outlast the evacuation of all their targets."""
        driver = Driver(config=fleet(targets=TARGETS[:1]))
        driver.state.fleet.full(TargetName("e1"), seconds=0.0, now=0.0)
        calls = [model_call(f"c{n}", tokens=200_000, unshared=True) for n in range(20)]
        started = driver.start_all(calls)
        waiting = {call.id for call in calls} - {start.call for start in started}
        waiting -= {effect.call for effect in only(FinishCall, driver.effects)}
        assert waiting
        effects = adopt(driver, fleet("a1", revision=2, targets=TARGETS[:1]))
        ended = {e.call: e.error for e in effects if isinstance(e, FinishCall)}
        assert ended.keys() == waiting
        assert all(isinstance(error, ServiceEvacuatedError) for error in ended.values())

    def test_claimed(self) -> None:
        """Guards against a claimed call that is evacuated meanwhile and settled as if it ran."""
        driver = Driver(config=fleet())
        (claim,) = only(ClaimCall, driver.arrive(plain_call("p1")))
        adopt(driver, fleet("a1", "a2", revision=2))
        effects = driver.send(ClaimGranted(now=driver.now, call=claim.call))
        assert isinstance(driver.error("p1"), ServiceEvacuatedError)
        assert [e.outcome for e in only(SettleClaim, effects)] == [ClaimOutcome.NOT_RUN]

    def test_may_have_run(self) -> None:
        """Guards against a call that is refused as not run although an attempt broke."""
        driver = Driver(config=fleet(targets=TARGETS[:2]))
        (start,) = driver.start_all([model_call("c1")])
        adopt(driver, fleet("a1", revision=2, targets=TARGETS[:2]))
        end(driver, start, AttemptEnd.BROKEN, error=TargetRefusedError(target=start.targets[0]))
        driver.tick(1.0)
        assert isinstance(driver.error("c1"), RetriesExhaustedError)


class TestWithheld:
    """Attempts that the shell did not send, as their target had been evacuated by then."""

    def test_elsewhere(self) -> None:
        """Guards against a withheld attempt that counts as a failure or as a retry."""
        driver = Driver(config=fleet())
        (start,) = driver.start_all([plain_call("p1", repeatable=True)])
        place = place_at(start.targets[0])
        adopt(driver, fleet(place, revision=2))
        driver.state.retries.take(1e6)
        while driver.state.retries.take():
            pass
        effects = withhold(driver, start)
        (again,) = [e for e in effects if isinstance(e, StartAttempt)]
        assert place_at(again.targets[0]) != place
        adopt(driver, fleet(revision=3))
        state = driver.state.fleet.state(start.targets[0])
        assert state is not None
        assert state.preferred(driver.now)
        assert not state.failures

    def test_nowhere(self) -> None:
        """Guards against a withheld call that is not refused as not run."""
        driver = Driver(config=fleet())
        driver.arrive(plain_call("p1"))
        (start,) = only(StartAttempt, driver.send(ClaimGranted(now=driver.now, call=CallId("p1"))))
        adopt(driver, fleet("a1", "a2", revision=2))
        effects = withhold(driver, start)
        assert isinstance(driver.error("p1"), ServiceEvacuatedError)
        settled = [e.outcome for e in effects if isinstance(e, SettleClaim)]
        assert settled == [ClaimOutcome.NOT_RUN]


class TestLargeFleet:
    """Hosts of an evacuated failure domain in a fleet too large for digests to reach all hosts."""

    def host(self, name: str, place: str, *, evacuated: str) -> ServingState:
        """Return the state of one host, with four engines in each of two failure domains."""
        myself = HostSelf(name=HostName(name), place=PlaceName(place), started=1)
        state = ServingState(myself=myself, seed=1, lean=True, full_hosts=2)
        config = evacuate(paced_snapshot(PACE, 8, places=2), evacuated)
        reduce(state, SnapshotAdopted(now=0.0, snapshot=config))
        hosts = tuple(HostName(host) for host in ("h1", "h2", "h3"))
        reduce(state, PeersChanged(now=0.0, hosts=hosts))
        return state

    def ask(self, state: ServingState, number: int, *, prompt: int = 5_000) -> list[object]:
        """Let a request arrive and its prefill finish; return the effects of its arrival."""
        call = Call(
            id=CallId(f"c{number}"),
            customer=CustomerName(""),
            service=SERVICE,
            model="m",
            prompt_tokens=prompt,
            output_tokens=1_300,
            deadline=10.0,
            objective=0.3,
            gap_objective=0.25,
            runs=2,
            unshared=True,
        )
        effects = list(reduce(state, CallArrived(now=0.0, call=call)))
        reduce(state, FirstTokenArrived(now=0.0, call=call.id, attempt=1))
        return effects

    @pytest.mark.parametrize("evacuated", ["p1", ""], ids=["evacuated", "in use"])
    def test_audience(self, evacuated: str) -> None:
        """Guards against an evacuation that multiplies the messages of a large fleet."""
        state = self.host("h2", "p2", evacuated=evacuated)
        (digest,) = [e for e in self.ask(state, 1) if isinstance(e, PublishDigest)]
        assert digest.places == {"p2"}

    def test_choice(self) -> None:
        """Guards against a host without engines in its domain that chooses those in use."""
        state = self.host("h1", "p1", evacuated="p1")
        busy = tuple(
            Occupancy(target=TargetName(f"e{index}"), streams=8, reading=2.0)
            for index in range(8)
            if place_of(index, 2) == "p2"
        )
        idle = busy[0].target
        digest = Digest(host=HostName("h2"), sequence=1, started=1, occupancies=busy[1:])
        reduce(state, DigestReceived(now=0.0, digest=digest))
        starts = [e for n in range(3) for e in self.ask(state, n) if isinstance(e, StartAttempt)]
        assert [start.targets for start in starts] == [(idle,)] * 3

    def test_spread(self) -> None:
        """Guards against a host that overloads one engine elsewhere and leaves others idle."""
        state = self.host("h1", "p1", evacuated="p1")
        starts = [e for n in range(24) for e in self.ask(state, n) if isinstance(e, StartAttempt)]
        counts = [sum(start.targets == (f"e{index}",) for start in starts) for index in range(8)]
        used = [count for index, count in enumerate(counts) if place_of(index, 2) == "p2"]
        assert sum(used) == len(starts) == 24
        assert max(used) <= PACE.slots
        assert all(place == 0 for i, place in enumerate(counts) if place_of(i, 2) == "p1")

    def test_load(self) -> None:
        """Guards against hosts of an evacuated domain that all choose the same engines.

        The credit must be close to that of a fleet in which all hosts receive all digests.
        """
        seeds = (1, 2, 3)
        whole = sum(self.credit(seed, full_hosts=None) for seed in seeds)
        divided = sum(self.credit(seed, full_hosts=8) for seed in seeds)
        assert divided >= 0.9 * whole

    def credit(self, seed: int, *, full_hosts: int | None) -> float:
        """Return the credit of a fleet of three failure domains, one of them evacuated."""
        world = Simulation(
            pace=PACE, engines=24, hosts=18, seed=seed, places=3, full_hosts=full_hosts
        )
        world.adopt(evacuate(paced_snapshot(PACE, 24, places=3), "p1"))
        for kind, rate in zip(KINDS, (18.0, 3.3, 0.9), strict=True):
            world.load(kind, rate=rate, start=0.0, seconds=8.0)
        world.run(14.0)
        return world.credit(KINDS)


def test_nothing_evacuated() -> None:
    """Guards against work on each tick, or messages, where nothing is evacuated."""
    driver = Driver(config=fleet())
    driver.start_all([model_call("c1")])
    effects = [*driver.effects, *driver.send(Ticked(now=0.1))]
    assert not phases(effects)
    assert not driver.state.evacuations.any
