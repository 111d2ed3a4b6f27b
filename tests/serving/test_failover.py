"""Failover: a call that loses its target, or is cancelled there, continues at another target."""

import pytest

from azureswitch.core import CallId, TargetName
from azureswitch.inventory import Target
from azureswitch.ports import LoadReport
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CancelAttempt,
    ClaimGranted,
    FinishCall,
    LoadReported,
    SnapshotAdopted,
    StartAttempt,
    TargetUnreachable,
)
from azureswitch.serving._retries import LOST_SECONDS, STUCK_SECONDS
from tests.serving.fixtures import Driver, booking, engine, model_call, only, plain_call, snapshot

CALL = CallId("c1")

CASES = [
    (model_call("c1"), (engine("e1"),), (engine("e2"),)),
    (plain_call("c1", repeatable=True), (booking("s1"),), (booking("s2"),)),
]


def driver_with_sent_call(call: Call, targets: tuple[Target, ...]) -> Driver:
    """Return a driver with one started call."""
    driver = Driver(config=snapshot(targets=targets))
    driver.arrive(call)
    driver.send(ClaimGranted(now=0.0, call=CALL))
    assert len(only(StartAttempt, driver.effects)) == 1
    return driver


def make_unreachable(driver: Driver) -> None:
    """Make the target of the first attempt unreachable until its attempts count as lost."""
    (first,) = only(StartAttempt, driver.effects)
    for now in (0.0, LOST_SECONDS + 0.1):
        driver.send(TargetUnreachable(now=now, target=first.targets[0]))


class TestUnreachable:
    """An attempt at an unreachable target is abandoned only if there is another target."""

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_single_target(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """Without another target the attempt is kept, as its answer may still arrive."""
        driver = driver_with_sent_call(call, targets)
        make_unreachable(driver)
        assert not only(CancelAttempt, driver.effects)
        assert driver.state.calls[CALL].attempts

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_other_target(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """With another target the call continues there."""
        driver = driver_with_sent_call(call, targets + others)
        make_unreachable(driver)
        assert len(only(CancelAttempt, driver.effects)) == 1
        driver.tick(LOST_SECONDS + 1.0)
        first, second = only(StartAttempt, driver.effects)
        assert second.targets != first.targets

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_last_run(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """A call without further permitted runs keeps its attempt, even with other targets."""
        driver = driver_with_sent_call(call, targets + others)
        record = driver.state.calls[CALL]
        record.run_count = record.call.runs - 1
        make_unreachable(driver)
        assert record.attempts
        assert not only(FinishCall, driver.effects)


class TestReplaced:
    """A call whose targets have been replaced continues at the new ones."""

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_broken(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """If a removed target breaks off the answer, a target added later continues it."""
        driver = driver_with_sent_call(call, targets)
        adopted = snapshot(revision=2, targets=others)
        driver.send(SnapshotAdopted(now=0.0, snapshot=adopted))
        driver.send(AttemptEnded(now=0.0, call=CALL, attempt=1, end=AttemptEnd.BROKEN))
        driver.tick(1.0)
        assert not only(FinishCall, driver.effects)
        second = only(StartAttempt, driver.effects)[-1]
        assert second.targets == (TargetName(others[0].name),)


def make_stuck(driver: Driver, *, until: float = STUCK_SECONDS + 0.2) -> None:
    """Make the targets of all attempts report queued but no running requests until stuck."""
    starts = only(StartAttempt, driver.effects)
    names = sorted({name for start in starts for name in start.targets})
    for sequence, now in enumerate((driver.now, driver.now + until), start=1):
        for name in names:
            report = LoadReport(
                target=name,
                started=1,
                sequence=sequence + int(driver.now),
                running=0,
                waiting=1,
                waiting_tokens=0,
                urgent_tokens=0,
                memory_used=400_000,
                memory_total=480_000,
                models=("base",),
            )
            driver.send(LoadReported(now=now, report=report))
    driver.now += until


class TestStuck:
    """A request queued at a stuck engine is cancelled as often as the route permits runs."""

    @pytest.mark.parametrize("runs", [1, 2, 3])
    def test_runs(self, runs: int) -> None:
        """The last permitted run is not cancelled, and its answer goes to the caller."""
        driver = driver_with_sent_call(
            model_call("c1", runs=runs), tuple(map(engine, ("e1", "e2", "e3", "e4")))
        )
        for _ in range(runs + 2):
            make_stuck(driver)
            driver.tick(driver.now + 3.0)
        starts = only(StartAttempt, driver.effects)
        assert len(starts) == runs
        assert not only(FinishCall, driver.effects)
        end = AttemptEnd.COMPLETE
        driver.send(AttemptEnded(now=driver.now, call=CALL, attempt=starts[-1].attempt, end=end))
        assert driver.error("c1") is None

    def test_not_repeatable(self) -> None:
        """A call that must not be repeated is not cancelled."""
        driver = driver_with_sent_call(plain_call("c1"), (booking("s1"), booking("s2")))
        make_stuck(driver)
        driver.tick(driver.now + 1.0)
        assert not only(CancelAttempt, driver.effects)
        assert len(only(StartAttempt, driver.effects)) == 1


class TestHedge:
    """A silent attempt is hedged only if the route permits another run."""

    @pytest.mark.parametrize(
        ("call", "starts"),
        [
            (model_call("c1", runs=1), 1),
            (model_call("c1", runs=2), 2),
            (model_call("c1", repeatable=False), 1),
        ],
    )
    def test_runs(self, call: Call, starts: int) -> None:
        """A call that may run only once is not hedged."""
        driver = driver_with_sent_call(call, (engine("e1"), engine("e2")))
        driver.tick(10.0)
        assert len(only(StartAttempt, driver.effects)) == starts
        assert driver.state.calls[CALL].attempts
