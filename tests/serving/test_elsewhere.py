"""A call that is called off at one target, or loses it, goes on where there is another one."""

import pytest

from azureswitch.core import CallId, TargetName
from azureswitch.inventory import Target
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CancelAttempt,
    ClaimGranted,
    FinishCall,
    SnapshotAdopted,
    StartAttempt,
    TargetUnreachable,
)
from azureswitch.serving._retries import LOST_SECONDS
from tests.serving.fixtures import Driver, booking, engine, model_call, only, plain_call, snapshot

CALL = CallId("c1")

CASES = [
    (model_call("c1"), (engine("e1"),), (engine("e2"),)),
    (plain_call("c1", repeatable=True), (booking("s1"),), (booking("s2"),)),
]


def sent(call: Call, targets: tuple[Target, ...]) -> Driver:
    """Return a driver whose one call has been sent."""
    driver = Driver(config=snapshot(targets=targets))
    driver.arrive(call)
    driver.send(ClaimGranted(now=0.0, call=CALL))
    assert len(only(StartAttempt, driver.effects)) == 1
    return driver


def lose(driver: Driver) -> None:
    """Let the target of the first attempt answer no poll for long enough."""
    (first,) = only(StartAttempt, driver.effects)
    for now in (0.0, LOST_SECONDS + 0.1):
        driver.send(TargetUnreachable(now=now, target=first.targets[0]))


class TestUnreachable:
    """A target that answers no poll is given up only where there is another one."""

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_alone(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """Without another target the call stays, as its answer may still come."""
        driver = sent(call, targets)
        lose(driver)
        assert not only(CancelAttempt, driver.effects)
        assert driver.state.calls[CALL].attempts

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_another(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """With another target the call goes on there."""
        driver = sent(call, targets + others)
        lose(driver)
        assert len(only(CancelAttempt, driver.effects)) == 1
        driver.tick(LOST_SECONDS + 1.0)
        first, second = only(StartAttempt, driver.effects)
        assert second.targets != first.targets

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_last_run(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """A call that may run no more stays, whatever other targets there are."""
        driver = sent(call, targets + others)
        record = driver.state.calls[CALL]
        record.run_count = record.call.runs - 1
        lose(driver)
        assert record.attempts
        assert not only(FinishCall, driver.effects)


class TestReplaced:
    """A call whose targets have been replaced goes on at the new ones."""

    @pytest.mark.parametrize(("call", "targets", "others"), CASES)
    def test_broken(
        self, call: Call, targets: tuple[Target, ...], others: tuple[Target, ...]
    ) -> None:
        """A target that left breaks the answer off, and one that came later goes on with it."""
        driver = sent(call, targets)
        adopted = snapshot(revision=2, targets=others)
        driver.send(SnapshotAdopted(now=0.0, snapshot=adopted))
        driver.send(AttemptEnded(now=0.0, call=CALL, attempt=1, end=AttemptEnd.BROKEN))
        driver.tick(1.0)
        assert not only(FinishCall, driver.effects)
        second = only(StartAttempt, driver.effects)[-1]
        assert second.targets == (TargetName(others[0].name),)
