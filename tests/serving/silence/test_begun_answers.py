"""An answer that has begun is not given up for silence before another attempt goes on with it."""

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureswitch.core import CallId, TargetName
from azureswitch.exceptions import (
    DeadlineExceededError,
    TargetBrokenError,
    TargetError,
    TargetEvacuatedError,
    TargetRefusedError,
    TargetUnreachableError,
)
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    CancelAttempt,
    FinishCall,
    FirstTokenArrived,
    SnapshotAdopted,
    StartAttempt,
)
from tests.serving.fixtures import Driver, engine, model_call, only, snapshot

CALL = CallId("c1")

OTHERS = ("e2", "e3", "e4")

DEADLINE_SECONDS = 10.0


class Begun:
    """One call whose first attempt has begun to answer, and what happens to its other attempts.

    Args:
        runs: Runs that the route permits.
    """

    def __init__(self, *, runs: int) -> None:
        self.driver = Driver(config=snapshot(targets=[engine("e1")]))
        call = model_call("c1", runs=runs, objective=0.3, deadline=DEADLINE_SECONDS, unshared=True)
        self.driver.arrive(call)
        self.driver.send(FirstTokenArrived(now=0.0, call=CALL, attempt=1))
        self._revision = 1
        self.list_targets("e1", *OTHERS)

    @property
    def others(self) -> list[int]:
        """The other attempts that are running."""
        attempts = self.driver.state.calls[CALL].attempts
        return [number for number in attempts if number != 1]

    def list_targets(self, *names: str) -> None:
        """Adopt a configuration that lists some engines."""
        self._revision += 1
        adopted = snapshot(revision=self._revision, targets=[engine(name) for name in names])
        self.driver.send(SnapshotAdopted(now=self.driver.now, snapshot=adopted))

    def fall_silent(self) -> None:
        """Let the targets of all running attempts be silent."""
        for number in tuple(self.driver.state.calls[CALL].attempts):
            self.driver.send(AttemptSilent(now=self.driver.now, call=CALL, attempt=number))

    def end_others(self, end: AttemptEnd, error: Callable[[], TargetError]) -> None:
        """End the other attempts without an answer."""
        for number in self.others:
            ended = AttemptEnded(
                now=self.driver.now, call=CALL, attempt=number, end=end, error=error()
            )
            self.driver.send(ended)

    def spend_budget(self) -> None:
        """Use up the retry budget of the host."""
        while self.driver.state.retries.take():
            pass

    def pass_time(self) -> None:
        """Let some time pass."""
        self.driver.tick(self.driver.now + 0.4)


STEPS: dict[str, Callable[[Begun], None]] = {
    "targets are silent": Begun.fall_silent,
    "refused": lambda it: it.end_others(
        AttemptEnd.REFUSED, lambda: TargetRefusedError(target="e2", seconds=0.25)
    ),
    "unreachable": lambda it: it.end_others(
        AttemptEnd.REFUSED,
        lambda: TargetUnreachableError(target="e2", witnessed=False, isolated=True),
    ),
    "evacuated": lambda it: it.end_others(
        AttemptEnd.REFUSED, lambda: TargetEvacuatedError(target="e2")
    ),
    "broken off": lambda it: it.end_others(
        AttemptEnd.BROKEN, lambda: TargetBrokenError(target="e2", tokens=0)
    ),
    "budget is spent": Begun.spend_budget,
    "time passes": Begun.pass_time,
    "other targets leave the list": lambda it: it.list_targets("e1"),
    "its own target leaves the list": lambda it: it.list_targets(*OTHERS),
    "no target is listed": lambda it: it.list_targets("e9"),
    "all targets are listed": lambda it: it.list_targets("e1", *OTHERS),
}


class TestBegunAnswer:
    """A stream that has begun at a target that falls silent, while no other one answers."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        runs=st.integers(min_value=2, max_value=3),
        steps=st.lists(st.sampled_from(sorted(STEPS)), max_size=12),
    )
    def test_not_given_up(self, runs: int, steps: list[str]) -> None:
        """Its attempt runs on, whatever becomes of the others, and completes the answer."""
        begun = Begun(runs=runs)
        for step in steps:
            STEPS[step](begun)
        driver = begun.driver
        assert not [c for c in only(CancelAttempt, driver.effects) if c.attempt == 1]
        assert not only(FinishCall, driver.effects)
        driver.send(
            AttemptEnded(now=driver.now, call=CALL, attempt=1, end=AttemptEnd.COMPLETE, tokens=9)
        )
        assert driver.error("c1") is None

    def test_other_goes_on(self) -> None:
        """Once another attempt goes on with the answer, the silent one is cancelled."""
        begun = Begun(runs=2)
        begun.fall_silent()
        (other,) = begun.others
        driver = begun.driver
        assert not only(CancelAttempt, driver.effects)
        driver.send(FirstTokenArrived(now=driver.now, call=CALL, attempt=other))
        (cancelled,) = only(CancelAttempt, driver.effects)
        assert cancelled.attempt == 1

    def test_silent_target_goes_on(self) -> None:
        """Once the silent target goes on, the other attempt is cancelled."""
        begun = Begun(runs=2)
        begun.fall_silent()
        (other,) = begun.others
        driver = begun.driver
        driver.send(FirstTokenArrived(now=driver.now, call=CALL, attempt=1))
        (cancelled,) = only(CancelAttempt, driver.effects)
        assert cancelled.attempt == other
        assert len(only(StartAttempt, driver.effects)) == 2

    def test_silent_target_is_not_avoided(self) -> None:
        """A target that goes on after a silence gets new work at once, here and at other hosts."""
        begun = Begun(runs=2)
        begun.fall_silent()
        state = begun.driver.state
        target = state.fleet.state(TargetName("e1"))
        assert target is not None
        assert not target.preferred(begun.driver.now)
        assert state.fleet.suspects(now=begun.driver.now) == ("e1",)
        begun.driver.send(FirstTokenArrived(now=begun.driver.now, call=CALL, attempt=1))
        assert target.preferred(begun.driver.now)
        assert target.failures == 0
        assert state.fleet.suspects(now=begun.driver.now) == ()


class TestNobodyGoesOn:
    """A stream that has begun at a target that stays silent, as all others do."""

    @pytest.mark.parametrize("silent", [1, 2], ids=["once", "twice"])
    def test_ends_at_its_deadline(self, silent: int) -> None:
        """Where nobody goes on, it ends at the deadline of the call and not before."""
        begun = Begun(runs=2)
        for _ in range(silent):
            begun.fall_silent()
        begun.driver.tick(DEADLINE_SECONDS - 0.2)
        assert not only(FinishCall, begun.driver.effects)
        begun.driver.tick(DEADLINE_SECONDS + 0.1)
        assert isinstance(begun.driver.error("c1"), DeadlineExceededError)


class TestSecondAttempt:
    """Which second attempts are started, and what is kept of silences."""

    def test_late_report(self) -> None:
        """A caller that has stayed for longer than expected gets a second attempt all the same."""
        begun = Begun(runs=2)
        begun.list_targets("e1")
        begun.driver.now += 1.2
        begun.fall_silent()
        assert not begun.others
        begun.list_targets("e1", *OTHERS)
        begun.driver.now += 1.2
        begun.fall_silent()
        assert len(begun.others) == 1

    def test_silences_in_series(self) -> None:
        """All silences of a target are taken back at once, and count for no later failure."""
        begun = Begun(runs=2)
        fleet = begun.driver.state.fleet
        name = TargetName("e1")
        for now in (1.0, 2.1):
            fleet.eject_silent(name, now=now, longest=4.0)
        target = fleet.state(name)
        assert target is not None
        assert target.failures == 2
        fleet.resume(name, now=3.0)
        assert target.failures == 0
        fleet.failed(name, now=3.0)
        assert target.ejected_until == 4.0

    def test_failed_meanwhile(self) -> None:
        """A target that has failed for another reason stays ejected when it goes on."""
        fleet = Begun(runs=2).driver.state.fleet
        name = TargetName("e1")
        fleet.eject_silent(name, now=1.0, longest=4.0)
        fleet.failed(name, now=1.5)
        fleet.resume(name, now=1.6)
        target = fleet.state(name)
        assert target is not None
        assert not target.preferred(1.6)
