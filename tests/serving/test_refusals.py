"""A target that turns a request away and says for how long gets nothing for so long.

A target that was overloaded answered 503 and asked to be left alone for some seconds.  It was left
alone for one second at most, whatever it asked, and got requests of the same host again and again.
"""

import pytest

from azureswitch.core import TargetName
from azureswitch.exceptions import NoTargetError, TargetRefusedError
from azureswitch.serving import AttemptEnd, AttemptEnded, FinishCall, StartAttempt
from tests.serving.fixtures import Driver, booking, model_call, only, plain_call, snapshot

STEP = 0.25
"""Seconds between two requests."""


def refuse(driver: Driver, start: StartAttempt, seconds: float | None) -> None:
    """Let the target of an attempt turn it away."""
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


def used(driver: Driver, name: str) -> TargetName | None:
    """Return the target that a new request is sent to, which answers it at once."""
    starts = driver.start_all([plain_call(name, repeatable=True, deadline=driver.now + 10.0)])
    for start in starts:
        ended = AttemptEnded(
            now=driver.now, call=start.call, attempt=start.attempt, end=AttemptEnd.COMPLETE
        )
        driver.send(ended)
    return starts[0].targets[0] if starts else None


def check_left_alone(seconds: float) -> None:
    """Check that a target which asks for some seconds gets nothing for so long, and no longer."""
    driver = Driver(config=snapshot(targets=[booking("s1"), booking("s2"), booking("s3")]))
    (start,) = driver.start_all([plain_call("first", repeatable=True, deadline=60.0)])
    refuse(driver, start, seconds)
    refused = start.targets[0]
    number = 0
    while driver.now + STEP < seconds:
        driver.tick(driver.now + STEP)
        number += 1
        assert used(driver, f"c{number}") not in (refused, None)
    driver.tick(seconds + STEP)
    assert refused in {used(driver, f"after{number}") for number in range(20)}


class TestLeftAlone:
    """What a target gets that has turned a request away."""

    @pytest.mark.parametrize("seconds", [3.0, 20.0])
    def test_for_so_long(self, seconds: float) -> None:
        """It gets nothing until the time is over that it asked for, and its share after that."""
        check_left_alone(seconds)

    @pytest.mark.parametrize("seconds", [3.0, 20.0])
    def test_alone(self, seconds: float) -> None:
        """Without another target requests are refused at once, to come back when it is over."""
        driver = Driver(config=snapshot(targets=[booking("s1")]))
        (start,) = driver.start_all([plain_call("first", repeatable=True, deadline=60.0)])
        refuse(driver, start, seconds)
        driver.tick(2.0)
        assert used(driver, "c1") is None
        error = driver.error("c1")
        assert isinstance(error, NoTargetError)
        assert seconds - 2.0 <= error.seconds <= 1.5 * seconds
        assert driver.now == 2.0


class TestBriefly:
    """A target that asks for a short time, or for none."""

    @pytest.mark.parametrize("seconds", [0.5, 1.0])
    def test_short_time(self, seconds: float) -> None:
        """It gets nothing for so long."""
        check_left_alone(seconds)

    def test_soon(self) -> None:
        """It is used again soon: it only had no place."""
        driver = Driver()
        (start,) = driver.start_all([model_call("c1")])
        refuse(driver, start, 0.25)
        driver.tick(0.5)
        assert not only(FinishCall, driver.effects)
        state = driver.state.fleet.state(start.targets[0])
        assert state is not None
        assert state.usable(driver.now)
