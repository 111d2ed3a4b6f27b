"""Shutdown of a host: which work it still starts, and how it ends open calls."""

from collections.abc import Callable
from math import inf

import pytest

from azureswitch.core import CallId
from azureswitch.exceptions import (
    AzureswitchError,
    HostStoppedError,
    LeavingError,
    OutcomeLostError,
    Ran,
)
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CancelAttempt,
    ClaimGranted,
    FinishCall,
    GraceEnded,
    ShutdownBegan,
    StartAttempt,
)
from tests.serving.fixtures import Driver, model_call, only, plain_call

CALL = CallId("c1")


def sent(driver: Driver, call: Call) -> None:
    """Let a call arrive and be sent."""
    driver.arrive(call)
    driver.send(ClaimGranted(now=driver.now, call=call.id))
    assert only(StartAttempt, driver.effects)


def refused(driver: Driver, call: Call) -> None:
    """Let a call be sent and refused by its target, so that it waits for its retry."""
    sent(driver, call)
    event = AttemptEnded(
        now=driver.now, call=call.id, attempt=1, end=AttemptEnd.REFUSED, retry_after=5.0
    )
    driver.send(event)


def broken(driver: Driver, call: Call) -> None:
    """Let a call be sent and its attempt break, so that it may have run and awaits its retry."""
    sent(driver, call)
    driver.send(AttemptEnded(now=driver.now, call=call.id, attempt=1, end=AttemptEnd.BROKEN))


class TestEnd:
    """Each open call gets its one final answer when the grace period ends."""

    @pytest.mark.parametrize(
        ("call", "bring", "error", "ran"),
        [
            (model_call("c1"), sent, HostStoppedError, Ran.UNKNOWN),
            (plain_call("c1", repeatable=True), sent, HostStoppedError, Ran.UNKNOWN),
            (plain_call("c1"), sent, OutcomeLostError, Ran.UNKNOWN),
            (plain_call("c1", repeatable=True), refused, LeavingError, Ran.NOT_RUN),
            (plain_call("c1"), refused, LeavingError, Ran.NOT_RUN),
            (plain_call("c1", repeatable=True), broken, HostStoppedError, Ran.UNKNOWN),
        ],
    )
    def test_open(
        self,
        call: Call,
        bring: Callable[[Driver, Call], None],
        error: type[AzureswitchError],
        ran: Ran,
    ) -> None:
        """A sent call may have run, a refused one has not, and neither is retried."""
        driver = Driver()
        bring(driver, call)
        running = len(driver.state.calls[CALL].attempts)
        effects = driver.send(GraceEnded(now=driver.now))
        assert isinstance(driver.error("c1"), error)
        assert error.ran is ran
        assert len(only(CancelAttempt, effects)) == running
        assert not driver.state.calls
        before = len(only(StartAttempt, driver.effects))
        driver.send(AttemptEnded(now=0.0, call=CALL, attempt=1, end=AttemptEnd.CANCELLED))
        driver.tick(2.0)
        assert len(only(StartAttempt, driver.effects)) == before
        assert len(only(FinishCall, driver.effects)) == 1

    def test_afterwards(self) -> None:
        """A call that arrives after the grace period is refused as not run."""
        driver = Driver()
        driver.send(GraceEnded(now=0.0))
        driver.arrive(model_call("c1"))
        assert isinstance(driver.error("c1"), LeavingError)


class TestStart:
    """Work that cannot finish before the host stops is not started."""

    @pytest.mark.parametrize(
        ("tokens", "until", "admitted"),
        [(1_000, 5.0, True), (1_000, 0.001, False), (400_000, 5.0, False), (400_000, inf, True)],
    )
    def test_new(self, tokens: int, until: float, admitted: bool) -> None:
        """A call expected to outlast the remaining time is refused with a retry-after time."""
        driver = Driver()
        driver.send(ShutdownBegan(now=0.0, until=until))
        driver.arrive(model_call("c1", tokens=tokens))
        assert bool(only(StartAttempt, driver.effects)) is admitted
        if not admitted:
            error = driver.error("c1")
            assert isinstance(error, LeavingError)
            assert error.retry_after

    def test_retry(self) -> None:
        """A retry that would follow the stop is not awaited; its backoff is at least 25 ms."""
        driver = Driver()
        driver.send(ShutdownBegan(now=0.0, until=0.02))
        refused(driver, plain_call("c1", repeatable=True))
        driver.tick(0.2)
        assert len(only(FinishCall, driver.effects)) == 1


class TestDrain:
    """A host that drains without a stop time continues to serve open calls."""

    @pytest.mark.parametrize("call", [model_call("c1"), plain_call("c1", repeatable=True)])
    def test_broken(self, call: Call) -> None:
        """A call whose attempt breaks is retried; a new one is refused."""
        driver = Driver()
        sent(driver, call)
        driver.send(ShutdownBegan(now=driver.now))
        driver.send(AttemptEnded(now=driver.now, call=CALL, attempt=1, end=AttemptEnd.BROKEN))
        driver.arrive(model_call("c2"))
        assert isinstance(driver.error("c2"), LeavingError)
        driver.tick(1.0)
        assert len(only(StartAttempt, driver.effects)) == 2
        assert CALL in driver.state.calls
