"""Attempts of a call: what is sent, what is retried, and the one final answer."""

from collections.abc import Callable

import pytest

from azureswitch.core import CallId
from azureswitch.exceptions import (
    AzureswitchError,
    ClaimUnavailableError,
    DeadlineExceededBeforeRunError,
    DeadlineExceededError,
    LeavingError,
    NoTargetError,
    OutcomeLostError,
    Ran,
    RetriesExhaustedError,
    TargetRejectedError,
)
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    CallerLeft,
    CancelAttempt,
    ClaimCall,
    ClaimDenied,
    ClaimGranted,
    ClaimOutcome,
    ClaimReplayed,
    FinishCall,
    FirstTokenArrived,
    SettleClaim,
    ShutdownBegan,
    StartAttempt,
    TargetUnreachable,
    TokensArrived,
)
from tests.serving.fixtures import Driver, model_call, only, plain_call

CALL = CallId("c1")


def end(driver: Driver, how: AttemptEnd, *, attempt: int = 1, **more: object) -> list[object]:
    """End an attempt of the call and return the effects."""
    event = AttemptEnded(now=driver.now, call=CALL, attempt=attempt, end=how, **more)  # type: ignore[arg-type]
    return list(driver.send(event))


def running(call_maker: Callable[[str], object]) -> Driver:
    """Return a driver with one call, whose first attempt is running."""
    driver = Driver()
    driver.arrive(call_maker("c1"))  # type: ignore[arg-type]
    driver.send(ClaimGranted(now=0.0, call=CALL))
    assert len(only(StartAttempt, driver.effects)) == 1
    return driver


class TestEnds:
    """Whether the end of an attempt leads to an answer or to a retry."""

    @pytest.mark.parametrize(
        ("make", "how", "error", "settled", "retried"),
        [
            (model_call, AttemptEnd.COMPLETE, None, None, False),
            (model_call, AttemptEnd.BROKEN, None, None, True),
            (model_call, AttemptEnd.REFUSED, None, None, True),
            (model_call, AttemptEnd.REJECTED, TargetRejectedError, None, False),
            (plain_call, AttemptEnd.COMPLETE, None, ClaimOutcome.DONE, False),
            (plain_call, AttemptEnd.BROKEN, OutcomeLostError, ClaimOutcome.UNKNOWN, False),
            (plain_call, AttemptEnd.CANCELLED, OutcomeLostError, ClaimOutcome.UNKNOWN, False),
            (plain_call, AttemptEnd.REFUSED, None, None, True),
            (plain_call, AttemptEnd.REJECTED, TargetRejectedError, ClaimOutcome.NOT_RUN, False),
        ],
    )
    def test_each_end(
        self,
        make: Callable[[str], object],
        how: AttemptEnd,
        error: type[AzureswitchError] | None,
        settled: ClaimOutcome | None,
        retried: bool,
    ) -> None:
        """A call is retried only if it is repeatable or certainly did not run."""
        driver = running(make)
        rejected = TargetRejectedError(target_status=400, detail="no")
        end(driver, how, error=rejected)
        driver.tick(1.0)
        starts, finishes = only(StartAttempt, driver.effects), only(FinishCall, driver.effects)
        assert len(starts) == (2 if retried else 1)
        assert [type(f.error) for f in finishes] == ([] if retried else [error or type(None)])
        assert [s.outcome for s in only(SettleClaim, driver.effects)] == (
            [settled] if settled else []
        )

    def test_resume(self) -> None:
        """A broken stream resumes at another engine after the last token that the caller has."""
        driver = running(model_call)
        driver.send(FirstTokenArrived(now=0.0, call=CALL, attempt=1))
        driver.send(TokensArrived(now=0.0, call=CALL, attempt=1, tokens=40))
        end(driver, AttemptEnd.BROKEN, tokens=42)
        (second,) = only(StartAttempt, driver.tick(1.0))
        assert second.resume_from == 42
        assert second.targets != only(StartAttempt, driver.effects)[0].targets

    def test_resume_after_a_lost_engine(self) -> None:
        """The next attempt resumes after the tokens that a cancelled one reports at its end."""
        driver = running(model_call)
        (first,) = only(StartAttempt, driver.effects)
        driver.send(FirstTokenArrived(now=0.0, call=CALL, attempt=1))
        driver.send(TokensArrived(now=0.0, call=CALL, attempt=1, tokens=40))
        for now in (0.0, 2.0):
            driver.send(TargetUnreachable(now=now, target=first.targets[0]))
        assert len(only(CancelAttempt, driver.effects)) == 1
        end(driver, AttemptEnd.CANCELLED, tokens=57)
        (second,) = only(StartAttempt, driver.tick(3.0))
        assert second.resume_from == 57

    def test_late_events(self) -> None:
        """Events of an attempt that has ended are ignored."""
        driver = running(model_call)
        end(driver, AttemptEnd.BROKEN, tokens=5)
        driver.tick(1.0)
        late = (AttemptEnd.COMPLETE, AttemptEnd.BROKEN, AttemptEnd.REJECTED)
        assert [end(driver, how) for how in late] == [[], [], []]
        end(driver, AttemptEnd.COMPLETE, attempt=2)
        assert driver.error("c1") is None

    @pytest.mark.parametrize(
        ("how", "error", "ran"),
        [
            (AttemptEnd.REFUSED, NoTargetError, Ran.NOT_RUN),
            (AttemptEnd.BROKEN, RetriesExhaustedError, Ran.UNKNOWN),
        ],
    )
    def test_exhausted(self, how: AttemptEnd, error: type[AzureswitchError], ran: Ran) -> None:
        """A call whose retries are exhausted is answered at once, with a retry-after time."""
        driver = running(model_call)
        for attempt in range(1, 20):
            end(driver, how, attempt=attempt)
            driver.tick(driver.now + 6.0)
        answer = driver.error("c1")
        assert isinstance(answer, error)
        assert answer.ran is ran
        assert answer.retry_after is not None
        assert driver.now < 120.0


class TestClaims:
    """A call that is not repeatable is claimed before it is sent."""

    def test_claim_first(self) -> None:
        """Nothing is sent before the claim is granted, and a second grant sends nothing."""
        driver = Driver()
        assert [type(e) for e in driver.arrive(plain_call("c1"))][-1] is ClaimCall
        assert not only(StartAttempt, driver.tick(1.0))
        grant = ClaimGranted(now=1.0, call=CALL)
        assert len(only(StartAttempt, [*driver.send(grant), *driver.send(grant)])) == 1

    @pytest.mark.parametrize(
        ("event", "error"),
        [
            (ClaimDenied(now=0.0, call=CALL, error=ClaimUnavailableError()), ClaimUnavailableError),
            (ClaimReplayed(now=0.0, call=CALL), type(None)),
        ],
    )
    def test_no_claim(self, event: ClaimDenied | ClaimReplayed, error: type[object]) -> None:
        """A denied or replayed claim ends the call without sending it."""
        driver = Driver()
        driver.arrive(plain_call("c1"))
        driver.send(event)
        driver.send(ClaimGranted(now=0.0, call=CALL))
        assert isinstance(driver.error("c1"), error)
        assert not only(StartAttempt, driver.effects)

    def test_late_grant(self) -> None:
        """A claim granted after the call has ended is settled as not run, once."""
        driver = Driver()
        driver.arrive(plain_call("c1", deadline=1.0))
        driver.tick(1.1)
        assert isinstance(driver.error("c1"), DeadlineExceededBeforeRunError)
        grant = ClaimGranted(now=driver.now, call=CALL)
        settled = only(SettleClaim, [*driver.send(grant), *driver.send(grant)])
        assert settled == [SettleClaim(call=CALL, outcome=ClaimOutcome.NOT_RUN)]

    def test_grant_after_done(self) -> None:
        """A duplicate grant does not settle a finished call as not run."""
        driver = running(plain_call)
        end(driver, AttemptEnd.COMPLETE)
        assert driver.send(ClaimGranted(now=driver.now, call=CALL)) == []


class TestInterruptions:
    """Deadlines, callers that disconnect, and hosts that shut down."""

    @pytest.mark.parametrize("make", [model_call, plain_call])
    def test_deadline(self, make: Callable[[str], object]) -> None:
        """A running call is answered by its deadline, and its attempts are cancelled."""
        driver = running(make)
        driver.tick(60.0)
        assert isinstance(driver.error("c1"), DeadlineExceededError)
        cancels = only(CancelAttempt, driver.effects)
        assert [c.attempt for c in cancels] == [
            s.attempt for s in only(StartAttempt, driver.effects)
        ]

    @pytest.mark.parametrize(("make", "cancels"), [(model_call, 1), (plain_call, 0)])
    def test_caller_left(self, make: Callable[[str], object], cancels: int) -> None:
        """A call that is not repeatable keeps running, as its outcome may still be asked for."""
        driver = running(make)
        driver.send(CallerLeft(now=0.0, call=CALL))
        assert len(only(CancelAttempt, driver.effects)) == cancels
        end(driver, AttemptEnd.COMPLETE)
        assert len(only(FinishCall, driver.effects)) == 1

    def test_shutdown(self) -> None:
        """A host that drains lets running calls finish and refuses new ones."""
        driver = running(model_call)
        driver.send(ShutdownBegan(now=0.0))
        driver.arrive(model_call("c2"))
        assert isinstance(driver.error("c2"), LeavingError)
        assert not only(CancelAttempt, driver.tick(1.0))
        end(driver, AttemptEnd.COMPLETE)
        assert driver.error("c1") is None

    def test_targets_differ(self) -> None:
        """Concurrent short prompts are sent to different engines."""
        driver = Driver()
        starts = driver.start_all([model_call(f"c{i}", tokens=4_000) for i in range(3)])
        assert len({s.targets for s in starts}) == 3
