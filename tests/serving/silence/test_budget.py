"""Second attempts beside silent ones leave the last retry to calls whose attempts have failed."""

import pytest

from azureswitch.core import CallId
from azureswitch.exceptions import TargetBrokenError
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    RetryBudget,
    StartAttempt,
)
from tests.serving.fixtures import Driver, model_call, only


class TestLastRetry:
    """One call is silent, and the attempt of another one breaks."""

    @pytest.mark.parametrize(
        ("burst", "beside"), [(3.0, True), (2.0, True), (1.5, True), (1.0, True), (0.5, False)]
    )
    def test_beside(self, burst: float, beside: bool) -> None:
        """A second attempt needs two retries, or all that a small budget can hold."""
        driver = Driver()
        driver.state._retries = RetryBudget(share=0.0, burst=burst)
        driver.arrive(model_call("c1", runs=2, objective=1.0))
        effects = driver.send(AttemptSilent(now=driver.now, call=CallId("c1"), attempt=1))
        assert bool(only(StartAttempt, effects)) is beside

    def test_kept_for_a_broken_attempt(self) -> None:
        """However many calls are silent, the next one that breaks is sent again."""
        driver = Driver()
        driver.state._retries = RetryBudget(share=0.0, burst=3.0)
        calls = [CallId(f"c{number}") for number in range(4)]
        for call in calls:
            driver.arrive(model_call(call, runs=2, objective=1.0))
        for call in calls[:3]:
            driver.send(AttemptSilent(now=driver.now, call=call, attempt=1))
        (last,) = (s for s in only(StartAttempt, driver.effects) if s.call == calls[3])
        broken = AttemptEnded(
            now=driver.now,
            call=calls[3],
            attempt=1,
            end=AttemptEnd.BROKEN,
            error=TargetBrokenError(target=last.targets[0], tokens=0),
        )
        assert only(StartAttempt, driver.send(broken))
