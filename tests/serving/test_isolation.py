"""Fault isolation: an internal error in one call or a side task does not affect other calls."""

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    CallerLeftError,
    DeadlineExceededError,
    HostStoppedError,
    Ran,
)
from azureswitch.ports import LoadReport
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    CallerLeft,
    CancelAttempt,
    ClaimGranted,
    FinishCall,
    FirstTokenArrived,
    GraceEnded,
    LoadReported,
    ServingEvent,
    SettleClaim,
    SnapshotAdopted,
    StartAttempt,
    TargetUnreachable,
    Ticked,
    _attempts,
    _dispatch,
    _failover,
    _gossip,
    _reduce,
    _routing,
)
from azureswitch.serving._retries import LOST_SECONDS, STUCK_SECONDS
from azureswitch.serving.calls import _due
from azureswitch.serving.silence import _beside
from tests.serving.fixtures import Driver, engine, model_call, only, plain_call, snapshot

CALLS = tuple(CallId(f"c{number}") for number in (1, 2, 3))
FAULTY = CallId("c2")
DEADLINE = 10.0
ENGINES = [replace(engine(name), started=1) for name in ("e1", "e2", "e3", "e4")]

Fault = Callable[[Driver, pytest.MonkeyPatch], None]


def failing_at_call(step: Callable[..., object]) -> Callable[..., object]:
    """Wrap a step so that it raises for the faulty call."""

    def fail(*args: object, **more: object) -> object:
        subject = next((arg for arg in args if hasattr(arg, "call")), None)
        if (args[0] if subject is None else subject.call.id) == FAULTY:
            raise RuntimeError
        return step(*args, **more)

    return fail


def always_failing(*args: object, **more: object) -> None:
    """Raise for any arguments."""
    raise RuntimeError


def fail_stop(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make the step fail that ends the faulty call when its host stops."""
    patch.setattr(_reduce, "end_stopped", failing_at_call(_reduce.end_stopped))


def fail_deadline(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make the step fail that ends the faulty call at its deadline."""
    patch.setattr(_due, "end_expired", failing_at_call(_due.end_expired))


def fail_release(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make each release of the resources of the faulty call fail."""
    patch.setattr(
        driver.state.fleet, "release_memory", failing_at_call(driver.state.fleet.release_memory)
    )


def fail_drain(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make the dispatch of queued calls fail."""
    patch.setattr(_reduce, "drain_all", always_failing)


def fail_claims(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make the expiry of claims fail."""
    patch.setattr(driver.state, "expire_claims", always_failing)


def fail_ledger(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make the expiry of peers' occupancy fail."""
    patch.setattr(driver.state.ledger, "expire", always_failing)


def fail_digest(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Make the creation of digests fail."""
    patch.setattr(type(driver.state.ledger), "changed", True)
    patch.setattr(_gossip, "_digest", always_failing)


def driver_with_sent_calls() -> Driver:
    """Return a driver with started calls that share a deadline."""
    driver = Driver(faulty=True)
    for name in CALLS:
        driver.arrive(model_call(name, deadline=DEADLINE))
    assert len(only(StartAttempt, driver.effects)) == len(CALLS)
    return driver


class TestMassEnd:
    """If a stop or a deadline ends several calls, each one gets its answer."""

    @pytest.mark.parametrize(
        "fault", [fail_stop, fail_release, fail_digest], ids=lambda f: f.__name__
    )
    def test_stop(
        self, fault: Fault, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        """When the grace period ends, the faulty call gets an internal error, which is logged."""
        driver = driver_with_sent_calls()
        fault(driver, monkeypatch)
        effects = driver.send(GraceEnded(now=1.0))
        self.check(driver, effects, fault, usual=HostStoppedError)
        assert caplog.records

    @pytest.mark.parametrize(
        "fault",
        [fail_deadline, fail_release, fail_drain, fail_claims, fail_ledger, fail_digest],
        ids=lambda f: f.__name__,
    )
    def test_deadline(
        self, fault: Fault, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        """At a shared deadline, also if a later step of the same tick fails."""
        driver = driver_with_sent_calls()
        fault(driver, monkeypatch)
        effects = driver.send(Ticked(now=DEADLINE))
        self.check(driver, effects, fault, usual=DeadlineExceededError)
        assert caplog.records

    def check(
        self, driver: Driver, effects: list[object], fault: Fault, *, usual: type[AzureswitchError]
    ) -> None:
        """Check that each call has one answer and that all attempts are cancelled."""
        ends = {finish.call: finish.error for finish in only(FinishCall, effects)}  # type: ignore[arg-type]
        assert len(only(FinishCall, effects)) == len(CALLS)  # type: ignore[arg-type]
        assert ends.keys() == set(CALLS)
        single = fault in (fail_stop, fail_deadline, fail_release)
        for call, error in ends.items():
            assert type(error) is (AzureswitchError if single and call == FAULTY else usual)
            assert error.ran is Ran.UNKNOWN
        cancelled = [cancel.call for cancel in only(CancelAttempt, effects)]  # type: ignore[arg-type]
        assert set(cancelled) == set(CALLS)
        assert not driver.state.calls


class TestWaiting:
    """An internal error on dispatch of a queued call does not block the calls behind it."""

    def test_sent(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The faulty call is answered with an error, and the others are sent."""
        driver = Driver(faulty=True)
        monkeypatch.setattr(_dispatch, "choose", lambda *args, **more: None)
        for name in (FAULTY, CallId("c3")):
            driver.arrive(model_call(name))
        monkeypatch.setattr(_dispatch, "choose", failing_at_call(_routing.choose))
        driver.tick(1.0)
        assert type(driver.error(FAULTY)) is AzureswitchError
        assert [start.call for start in only(StartAttempt, driver.effects)] == ["c3"]

    @pytest.mark.parametrize(
        "event",
        [
            AttemptEnded(now=1.0, call=CALLS[0], attempt=1, end=AttemptEnd.COMPLETE),
            CallerLeft(now=1.0, call=CALLS[0]),
            FirstTokenArrived(now=1.0, call=CALLS[0], attempt=2),
        ],
        ids=lambda event: type(event).__name__,
    )
    def test_queue(self, event: ServingEvent, monkeypatch: pytest.MonkeyPatch) -> None:
        """If the queue itself fails, events of calls in progress are still processed."""
        driver = Driver(faulty=True)
        driver.arrive(model_call(CALLS[0]))
        driver.tick(3.0)
        assert len(only(StartAttempt, driver.effects)) == 2
        with monkeypatch.context() as patch:
            patch.setattr(_dispatch, "choose", lambda *args, **more: None)
            driver.arrive(model_call(FAULTY))
        monkeypatch.setattr(driver.state.queue, "heads", always_failing)
        driver.send(event)
        if isinstance(event, FirstTokenArrived):
            assert not only(FinishCall, driver.effects)
            assert [cancel.attempt for cancel in only(CancelAttempt, driver.effects)] == [1]
        elif isinstance(event, AttemptEnded):
            assert driver.error(CALLS[0]) is None
        else:
            assert isinstance(driver.error(CALLS[0]), CallerLeftError)

    def test_next_try(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The same holds for calls that wait for their next retry."""
        driver = Driver(faulty=True)
        for name in CALLS:
            driver.arrive(plain_call(name, repeatable=True))
        for name in CALLS:
            end = AttemptEnd.REFUSED
            event = AttemptEnded(now=0.0, call=name, attempt=1, end=end, retry_after=0.01)
            driver.send(event)
        monkeypatch.setattr(_due, "dispatch", failing_at_call(_due.dispatch))
        driver.tick(2.0)
        assert type(driver.error(FAULTY)) is AzureswitchError
        again = {start.call for start in only(StartAttempt, driver.effects) if start.attempt > 1}
        assert again == {CALLS[0], CALLS[2]}


class TestRunning:
    """Attempts in progress continue if an optional step fails."""

    @pytest.mark.parametrize("step", ["age", "hedge"])
    def test_goes_on(self, step: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """A failure to raise the priority or to hedge does not end the attempt."""
        driver = Driver(faulty=True)
        for name in CALLS:
            driver.arrive(model_call(name))
        monkeypatch.setattr(_due, step, failing_at_call(getattr(_due, step)))
        driver.tick(5.0)
        assert not only(FinishCall, driver.effects)
        driver.send(AttemptEnded(now=5.0, call=FAULTY, attempt=1, end=AttemptEnd.COMPLETE))
        assert driver.error(FAULTY) is None

    def test_first_token(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A failure to record statistics of the first token does not end the attempt."""
        driver = driver_with_sent_calls()
        monkeypatch.setattr(driver.state.costs, "observe_stretch", always_failing)
        driver.send(FirstTokenArrived(now=1.0, call=FAULTY, attempt=1))
        assert not only(FinishCall, driver.effects)
        driver.send(AttemptEnded(now=2.0, call=FAULTY, attempt=1, end=AttemptEnd.COMPLETE))
        assert driver.error(FAULTY) is None


class TestOwnStep:
    """A call whose own step fails is answered immediately, not at its deadline."""

    @pytest.mark.parametrize(
        ("event", "module", "step"),
        [
            (
                AttemptEnded(now=1.0, call=FAULTY, attempt=1, end=AttemptEnd.BROKEN),
                _attempts,
                "retry",
            ),
        ],
    )
    def test_answered(
        self, event: ServingEvent, module: object, step: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The call has no attempt left, so no later event would end it."""
        driver = driver_with_sent_calls()
        monkeypatch.setattr(module, step, failing_at_call(getattr(module, step)))
        driver.send(event)
        assert type(driver.error(FAULTY)) is AzureswitchError

    def test_silent(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A silent attempt beside which no other one can be started runs on to its answer."""
        driver = driver_with_sent_calls()
        monkeypatch.setattr(_beside, "start_attempt", failing_at_call(_beside.start_attempt))
        driver.send(AttemptSilent(now=1.0, call=FAULTY, attempt=1))
        assert not only(FinishCall, driver.effects)
        assert not only(CancelAttempt, driver.effects)
        driver.send(AttemptEnded(now=2.0, call=FAULTY, attempt=1, end=AttemptEnd.COMPLETE))
        assert driver.error(FAULTY) is None

    def test_claimed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A call that cannot be sent after its claim is granted ends, and the claim is settled."""
        driver = Driver(faulty=True)
        driver.arrive(plain_call(FAULTY))
        monkeypatch.setattr(_reduce, "dispatch", failing_at_call(_reduce.dispatch))
        effects = driver.send(ClaimGranted(now=0.0, call=FAULTY))
        assert type(driver.error(FAULTY)) is AzureswitchError
        assert len(only(SettleClaim, effects)) == 1


def unreachable(driver: Driver, target: TargetName) -> None:
    """Make a target unreachable for long enough that its attempts are lost."""
    for now in (0.0, LOST_SECONDS + 0.1):
        driver.send(TargetUnreachable(now=now, target=target))


def restarted(driver: Driver, target: TargetName) -> None:
    """Make a target restart."""
    targets = [replace(item, started=2 if item.name == target else 1) for item in ENGINES]
    driver.send(SnapshotAdopted(now=1.0, snapshot=snapshot(revision=3, targets=targets)))


def stuck(driver: Driver, target: TargetName) -> None:
    """Make a target report queued requests and no running ones until it counts as stuck."""
    for sequence, now in enumerate((0.0, STUCK_SECONDS + 0.1), start=1):
        report = LoadReport(
            target=target,
            started=1,
            sequence=sequence,
            running=0,
            waiting=3,
            waiting_tokens=0,
            urgent_tokens=0,
            memory_used=400_000,
            memory_total=480_000,
            models=("base",),
        )
        driver.send(LoadReported(now=now, report=report))


class TestRemoval:
    """If a target loses several attempts, all calls but the faulty one continue elsewhere."""

    @pytest.mark.parametrize(
        ("remove", "step"), [(unreachable, "retry"), (restarted, "dispatch"), (stuck, "dispatch")]
    )
    def test_others(
        self,
        remove: Callable[[Driver, TargetName], None],
        step: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """The other calls are sent again."""
        driver = Driver(config=snapshot(targets=ENGINES[:1]), faulty=True)
        for name in CALLS:
            driver.arrive(model_call(name, tokens=10))
        driver.send(SnapshotAdopted(now=0.0, snapshot=snapshot(revision=2, targets=ENGINES)))
        monkeypatch.setattr(_failover, step, failing_at_call(getattr(_failover, step)))
        remove(driver, TargetName("e1"))
        driver.tick(3.0)
        assert type(driver.error(FAULTY)) is AzureswitchError
        again = {start.call for start in only(StartAttempt, driver.effects) if start.attempt > 1}
        assert again == {CALLS[0], CALLS[2]}
