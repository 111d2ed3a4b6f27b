"""A fault of this program at one call, or beside the calls, costs no other call its decision."""

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
    _failover,
    _gossip,
    _reduce,
)
from azureswitch.serving._retries import LOST_SECONDS, STUCK_SECONDS
from tests.serving.fixtures import Driver, engine, model_call, only, plain_call, snapshot

CALLS = tuple(CallId(f"c{number}") for number in (1, 2, 3))
FAULTY = CallId("c2")
DEADLINE = 10.0
ENGINES = [replace(engine(name), started=1) for name in ("e1", "e2", "e3", "e4")]

Fault = Callable[[Driver, pytest.MonkeyPatch], None]


def failing(step: Callable[..., object]) -> Callable[..., object]:
    """Return a step that fails at one of the calls."""

    def fail(*args: object, **more: object) -> object:
        subject = next((arg for arg in args if hasattr(arg, "call")), None)
        if (args[0] if subject is None else subject.call.id) == FAULTY:
            raise RuntimeError
        return step(*args, **more)

    return fail


def always(*args: object, **more: object) -> None:
    """Fail whatever it is about."""
    raise RuntimeError


def at_stop(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let the step fail that ends a call as its host stops."""
    patch.setattr(_reduce, "end_stopped", failing(_reduce.end_stopped))


def at_deadline(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let the step fail that ends a call at its deadline."""
    patch.setattr(_reduce, "end_expired", failing(_reduce.end_expired))


def at_freeing(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let it fail to free what a call holds, each time that it is tried."""
    patch.setattr(driver.state.fleet, "release_memory", failing(driver.state.fleet.release_memory))


def at_drain(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let fail what sends waiting calls."""
    patch.setattr(_reduce, "drain_all", always)


def at_claims(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let fail what forgets claims."""
    patch.setattr(driver.state, "expire_claims", always)


def at_ledger(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let fail what forgets the accounts of peers."""
    patch.setattr(driver.state.ledger, "expire", always)


def at_digest(driver: Driver, patch: pytest.MonkeyPatch) -> None:
    """Let fail what is told to peers."""
    patch.setattr(type(driver.state.ledger), "changed", True)
    patch.setattr(_gossip, "_digest", always)


def sent() -> Driver:
    """Return a driver with calls that have been sent, with the same deadline."""
    driver = Driver(faulty=True)
    for name in CALLS:
        driver.arrive(model_call(name, deadline=DEADLINE))
    assert len(only(StartAttempt, driver.effects)) == len(CALLS)
    return driver


class TestEnd:
    """As a stop or a deadline ends several calls, each one has its answer."""

    @pytest.mark.parametrize("fault", [at_stop, at_freeing, at_digest], ids=lambda f: f.__name__)
    def test_stop(
        self, fault: Fault, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        """At the end of the time of grace; the one that fails is told so, and a line is logged."""
        driver = sent()
        fault(driver, monkeypatch)
        effects = driver.send(GraceEnded(now=1.0))
        self.check(driver, effects, fault, usual=HostStoppedError)
        assert caplog.records

    @pytest.mark.parametrize(
        "fault",
        [at_deadline, at_freeing, at_drain, at_claims, at_ledger, at_digest],
        ids=lambda f: f.__name__,
    )
    def test_deadline(
        self, fault: Fault, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        """At the deadline of several calls, also where what follows in that tick fails."""
        driver = sent()
        fault(driver, monkeypatch)
        effects = driver.send(Ticked(now=DEADLINE))
        self.check(driver, effects, fault, usual=DeadlineExceededError)
        assert caplog.records

    def check(
        self, driver: Driver, effects: list[object], fault: Fault, *, usual: type[AzureswitchError]
    ) -> None:
        """Check that each call has one answer, and that all attempts are called off."""
        ends = {finish.call: finish.error for finish in only(FinishCall, effects)}  # type: ignore[arg-type]
        assert len(only(FinishCall, effects)) == len(CALLS)  # type: ignore[arg-type]
        assert ends.keys() == set(CALLS)
        single = fault in (at_stop, at_deadline, at_freeing)
        for call, error in ends.items():
            assert type(error) is (AzureswitchError if single and call == FAULTY else usual)
            assert error.ran is Ran.UNKNOWN
        cancelled = [cancel.call for cancel in only(CancelAttempt, effects)]  # type: ignore[arg-type]
        assert set(cancelled) == set(CALLS)
        assert not driver.state.calls


class TestWaiting:
    """A waiting call that cannot be sent for a fault of ours holds up none behind it."""

    def test_sent(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """It is answered as failed, and the others are sent."""
        driver = Driver(faulty=True)
        monkeypatch.setattr(_attempts, "choose", lambda *args, **more: None)
        for name in (FAULTY, CallId("c3")):
            driver.arrive(model_call(name))
        monkeypatch.setattr(_attempts, "choose", failing(_failover.choose))
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
        """Where the queue itself fails, what happened to a call that was sent is decided."""
        driver = Driver(faulty=True)
        driver.arrive(model_call(CALLS[0]))
        driver.tick(3.0)
        assert len(only(StartAttempt, driver.effects)) == 2
        with monkeypatch.context() as patch:
            patch.setattr(_attempts, "choose", lambda *args, **more: None)
            driver.arrive(model_call(FAULTY))
        monkeypatch.setattr(driver.state.queue, "heads", always)
        driver.send(event)
        if isinstance(event, FirstTokenArrived):
            assert not only(FinishCall, driver.effects)
            assert [cancel.attempt for cancel in only(CancelAttempt, driver.effects)] == [1]
        elif isinstance(event, AttemptEnded):
            assert driver.error(CALLS[0]) is None
        else:
            assert isinstance(driver.error(CALLS[0]), CallerLeftError)

    def test_next_try(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """So it is with one that waits for its next try."""
        driver = Driver(faulty=True)
        for name in CALLS:
            driver.arrive(plain_call(name, repeatable=True))
        for name in CALLS:
            end = AttemptEnd.REFUSED
            event = AttemptEnded(now=0.0, call=name, attempt=1, end=end, retry_after=0.01)
            driver.send(event)
        monkeypatch.setattr(_reduce, "dispatch", failing(_reduce.dispatch))
        driver.tick(2.0)
        assert type(driver.error(FAULTY)) is AzureswitchError
        again = {start.call for start in only(StartAttempt, driver.effects) if start.attempt > 1}
        assert again == {CALLS[0], CALLS[2]}


class TestRunning:
    """What runs goes on where a step fails that need not have been taken."""

    @pytest.mark.parametrize("step", ["age", "hedge"])
    def test_goes_on(self, step: str, monkeypatch: pytest.MonkeyPatch) -> None:
        """A stream is not broken off because its priority could not be raised, or none hedged."""
        driver = Driver(faulty=True)
        for name in CALLS:
            driver.arrive(model_call(name))
        monkeypatch.setattr(_reduce, step, failing(getattr(_reduce, step)))
        driver.tick(5.0)
        assert not only(FinishCall, driver.effects)
        driver.send(AttemptEnded(now=5.0, call=FAULTY, attempt=1, end=AttemptEnd.COMPLETE))
        assert driver.error(FAULTY) is None

    def test_first_token(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Nor because nothing could be learnt from its first token."""
        driver = sent()
        monkeypatch.setattr(driver.state.costs, "observe_stretch", always)
        driver.send(FirstTokenArrived(now=1.0, call=FAULTY, attempt=1))
        assert not only(FinishCall, driver.effects)
        driver.send(AttemptEnded(now=2.0, call=FAULTY, attempt=1, end=AttemptEnd.COMPLETE))
        assert driver.error(FAULTY) is None


class TestOwn:
    """A call whose own step fails is answered at once, and does not wait for its deadline."""

    @pytest.mark.parametrize(
        ("event", "module", "step"),
        [
            (
                AttemptEnded(now=1.0, call=FAULTY, attempt=1, end=AttemptEnd.BROKEN),
                _attempts,
                "retry",
            ),
            (AttemptSilent(now=1.0, call=FAULTY, attempt=1), _failover, "retry"),
        ],
    )
    def test_answered(
        self, event: ServingEvent, module: object, step: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It has lost its attempt, so that nothing else would come."""
        driver = sent()
        monkeypatch.setattr(module, step, failing(getattr(module, step)))
        driver.send(event)
        assert type(driver.error(FAULTY)) is AzureswitchError

    def test_claimed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """So is one that cannot be sent once its claim is granted, which is settled."""
        driver = Driver(faulty=True)
        driver.arrive(plain_call(FAULTY))
        monkeypatch.setattr(_reduce, "dispatch", failing(_reduce.dispatch))
        effects = driver.send(ClaimGranted(now=0.0, call=FAULTY))
        assert type(driver.error(FAULTY)) is AzureswitchError
        assert len(only(SettleClaim, effects)) == 1


def unreachable(driver: Driver, target: TargetName) -> None:
    """Let a target answer no poll for long enough."""
    for now in (0.0, LOST_SECONDS + 0.1):
        driver.send(TargetUnreachable(now=now, target=target))


def restarted(driver: Driver, target: TargetName) -> None:
    """Let a target start again."""
    targets = [replace(item, started=2 if item.name == target else 1) for item in ENGINES]
    driver.send(SnapshotAdopted(now=1.0, snapshot=snapshot(revision=3, targets=targets)))


def stuck(driver: Driver, target: TargetName) -> None:
    """Let a target say for long enough that requests wait there and none runs."""
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
    """As a target loses several attempts, each call goes on elsewhere but one that fails."""

    @pytest.mark.parametrize(
        ("bring", "step"), [(unreachable, "retry"), (restarted, "dispatch"), (stuck, "dispatch")]
    )
    def test_others(
        self,
        bring: Callable[[Driver, TargetName], None],
        step: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Those that do not fail are sent again."""
        driver = Driver(config=snapshot(targets=ENGINES[:1]), faulty=True)
        for name in CALLS:
            driver.arrive(model_call(name, tokens=10))
        driver.send(SnapshotAdopted(now=0.0, snapshot=snapshot(revision=2, targets=ENGINES)))
        monkeypatch.setattr(_failover, step, failing(getattr(_failover, step)))
        bring(driver, TargetName("e1"))
        driver.tick(3.0)
        assert type(driver.error(FAULTY)) is AzureswitchError
        again = {start.call for start in only(StartAttempt, driver.effects) if start.attempt > 1}
        assert again == {CALLS[0], CALLS[2]}
