"""A target that refuses a request with a retry-after time gets no requests until it is over.

The tests guard against a cap on that time: an overloaded target answered 503 with a retry-after
time of some seconds, but hosts honoured one second at most and kept sending it requests.
"""

import pytest

from azureswitch.core import TargetName
from azureswitch.exceptions import NoTargetError, TargetRefusedError
from azureswitch.serving import AttemptEnd, AttemptEnded, FinishCall, StartAttempt
from tests.serving.fixtures import Driver, booking, model_call, only, plain_call, snapshot

STEP = 0.25
"""Seconds between two requests."""


def refuse(driver: Driver, start: StartAttempt, seconds: float | None) -> None:
    """Let the target of an attempt refuse it, with a retry-after time if one is given."""
    target = start.targets[0]
    ended = AttemptEnded(
        now=driver.now,
        call=start.call,
        attempt=start.attempt,
        end=AttemptEnd.REFUSED,
        retry_after=seconds,
        error=TargetRefusedError(target=target, seconds=seconds),
    )
    driver.send(ended)


def send_request(driver: Driver, name: str) -> TargetName | None:
    """Send a new request, let it complete at once, and return its target or None."""
    starts = driver.start_all([plain_call(name, repeatable=True, deadline=driver.now + 10.0)])
    for start in starts:
        ended = AttemptEnded(
            now=driver.now, call=start.call, attempt=start.attempt, end=AttemptEnd.COMPLETE
        )
        driver.send(ended)
    return starts[0].targets[0] if starts else None


def check_retry_after(seconds: float) -> None:
    """Check that a target gets no requests for its retry-after time, and does after it."""
    driver = Driver(config=snapshot(targets=[booking("s1"), booking("s2"), booking("s3")]))
    (start,) = driver.start_all([plain_call("first", repeatable=True, deadline=60.0)])
    refuse(driver, start, seconds)
    refused = start.targets[0]
    number = 0
    while driver.now + STEP < seconds:
        driver.tick(driver.now + STEP)
        number += 1
        assert send_request(driver, f"c{number}") not in (refused, None)
    driver.tick(seconds + STEP)
    assert refused in {send_request(driver, f"after{number}") for number in range(20)}


class TestRetryAfter:
    """A target that refused a request with a retry-after time."""

    @pytest.mark.parametrize("seconds", [3.0, 20.0])
    def test_honoured(self, seconds: float) -> None:
        """It gets no requests until that time is over, and its share afterwards."""
        check_retry_after(seconds)

    @pytest.mark.parametrize("seconds", [3.0, 20.0])
    def test_alone(self, seconds: float) -> None:
        """Without another target requests are refused at once, with the remaining time."""
        driver = Driver(config=snapshot(targets=[booking("s1")]))
        (start,) = driver.start_all([plain_call("first", repeatable=True, deadline=60.0)])
        refuse(driver, start, seconds)
        driver.tick(2.0)
        assert send_request(driver, "c1") is None
        error = driver.error("c1")
        assert isinstance(error, NoTargetError)
        assert seconds - 2.0 <= error.seconds <= 1.5 * seconds
        assert driver.now == 2.0


class TestShortRetryAfter:
    """A target that refused a request with a retry-after time of 1 s or less."""

    @pytest.mark.parametrize("seconds", [0.5, 1.0])
    def test_honoured(self, seconds: float) -> None:
        """It gets no requests until that time is over."""
        check_retry_after(seconds)

    def test_usable_again(self) -> None:
        """An engine that was only full is usable again soon, and the call stays open."""
        driver = Driver()
        (start,) = driver.start_all([model_call("c1")])
        refuse(driver, start, 0.25)
        driver.tick(0.5)
        assert not only(FinishCall, driver.effects)
        state = driver.state.fleet.state(start.targets[0])
        assert state is not None
        assert state.usable(driver.now)
