"""A silent attempt runs on beside another one, if a retry is permitted and a target has room."""

from collections.abc import Callable
from math import ceil

import pytest

from azureswitch.core import CallId, HostName
from azureswitch.exceptions import DeadlineExceededError, TargetRefusedError
from azureswitch.platform._edge import MAX_FLEET_HOSTS
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    Call,
    CancelAttempt,
    ClaimGranted,
    FinishCall,
    FirstTokenArrived,
    PeersChanged,
    RetryBudget,
    ShutdownBegan,
    StartAttempt,
)
from azureswitch.serving._dispatch import lane_of
from azureswitch.serving._retries import MAX_RETRIES
from tests.serving.fixtures import (
    CUSTOMERS,
    Driver,
    booking,
    model_call,
    only,
    plain_call,
    snapshot,
)

CALL = CallId("c1")

SHARE = 0.16
BURST = 368
"""Retries that the hosts of a large fleet share as their burst."""


def nothing(driver: Driver) -> None:
    """Change nothing."""


def spend_budget(driver: Driver) -> None:
    """Exhaust the host's retry budget."""
    while driver.state.retries.take():
        pass


def use_runs(driver: Driver) -> None:
    """Set the call's runs so that the running attempt is the last one permitted."""
    record = driver.state.calls[CALL]
    record.run_count = record.call.runs - 1


def use_retries(driver: Driver) -> None:
    """Set the call's retries to the maximum."""
    driver.state.calls[CALL].retry_count = MAX_RETRIES


def near_deadline(driver: Driver) -> None:
    """Advance the clock so that the deadline passes before another attempt could start."""
    driver.now = driver.state.calls[CALL].call.deadline - 0.01


def sent(call: Call, *, targets: int = 2) -> Driver:
    """Return a driver with one call, which has been sent."""
    driver = Driver(config=snapshot(targets=[booking(f"s{n}") for n in range(targets)]))
    if call.model:
        driver = Driver()
    driver.arrive(call)
    driver.send(ClaimGranted(now=0.0, call=CALL))
    assert len(only(StartAttempt, driver.effects)) == 1
    return driver


def silence(driver: Driver) -> list[object]:
    """Report that the first attempt is silent, and return the effects."""
    return list(driver.send(AttemptSilent(now=driver.now, call=CALL, attempt=1)))


class TestSilence:
    """Handling of an attempt whose target sends no output."""

    @pytest.mark.parametrize(("answers", "cancelled"), [(1, 2), (2, 1)])
    def test_another_target_beside_it(self, answers: int, cancelled: int) -> None:
        """Another target is started beside it, once, and the first of them that answers is kept."""
        driver = sent(model_call("c1", runs=2, objective=1.0))
        effects = silence(driver)
        (first,) = (s for s in only(StartAttempt, driver.effects) if s.attempt == 1)
        (second,) = only(StartAttempt, effects)  # type: ignore[arg-type]
        assert second.targets != first.targets
        assert not silence(driver)
        assert not only(CancelAttempt, driver.effects)
        driver.send(FirstTokenArrived(now=driver.now, call=CALL, attempt=answers))
        (ended,) = only(CancelAttempt, driver.effects)
        assert ended.attempt == cancelled
        driver.send(
            AttemptEnded(now=driver.now, call=CALL, attempt=answers, end=AttemptEnd.COMPLETE)
        )
        assert driver.error("c1") is None

    def test_third_target(self) -> None:
        """A further target is started once both are silent, as far as the route permits."""
        driver = sent(model_call("c1", runs=3, objective=1.0))
        silence(driver)
        assert not silence(driver)
        effects = driver.send(AttemptSilent(now=driver.now, call=CALL, attempt=2))
        assert len(only(StartAttempt, effects)) == 1
        for attempt in (1, 2, 3):
            assert not driver.send(AttemptSilent(now=driver.now, call=CALL, attempt=attempt))
        targets = {start.targets for start in only(StartAttempt, driver.effects)}
        assert len(targets) == 3

    @pytest.mark.parametrize("objective", [0.0, 1.0])
    def test_refused(self, objective: float) -> None:
        """If the other target refuses, a further one is started, and the silent one is kept."""
        driver = sent(model_call("c1", runs=2, objective=objective))
        silence(driver)
        refused = AttemptEnded(
            now=driver.now,
            call=CALL,
            attempt=2,
            end=AttemptEnd.REFUSED,
            error=TargetRefusedError(target="e2"),
        )
        driver.send(refused)
        driver.tick(driver.now + 1.0)
        assert [s.attempt for s in only(StartAttempt, driver.effects)] == [1, 2, 3]
        assert not only(CancelAttempt, driver.effects)

    @pytest.mark.parametrize(
        "bring",
        [spend_budget, use_runs, use_retries, near_deadline],
        ids=lambda bring: bring.__name__,
    )
    def test_no_retry(self, bring: Callable[[Driver], None]) -> None:
        """If no retry is permitted the attempt keeps running, at most until the call's deadline."""
        driver = sent(model_call("c1", runs=2, objective=1.0))
        bring(driver)
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts
        assert not only(FinishCall, driver.effects)
        driver.tick(61.0)
        assert isinstance(driver.error("c1"), DeadlineExceededError)

    def test_alone(self) -> None:
        """Without another target the attempt keeps running."""
        driver = sent(plain_call("c1", repeatable=True), targets=1)
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts

    def test_others_wait(self) -> None:
        """If other calls are queued the attempt keeps running, as a retry would be queued too."""
        driver = sent(plain_call("c1", repeatable=True))
        record = driver.state.calls[CALL]
        driver.state.queue.push(
            lane=lane_of(record), customer=CUSTOMERS[1], call=CallId("c2"), seconds=1.0, first=False
        )
        assert not silence(driver)
        assert record.attempts

    def test_host_stops(self) -> None:
        """If the host stops before another attempt could start, the attempt keeps running."""
        driver = sent(plain_call("c1", repeatable=True))
        driver.send(ShutdownBegan(now=driver.now, until=driver.now + 0.05))
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts

    def test_not_repeatable(self) -> None:
        """A call that is not repeatable keeps its attempt, even if there are other targets."""
        driver = sent(plain_call("c1"))
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts

    def test_over(self) -> None:
        """The silence of an attempt that has ended is ignored."""
        driver = sent(model_call("c1", runs=3, objective=1.0))
        silence(driver)
        assert not driver.send(AttemptSilent(now=0.0, call=CallId("c9"), attempt=1))


class TestBudget:
    """The retry budget of hosts."""

    @pytest.mark.parametrize(("burst", "permits"), [(2.0, True), (1.0, True), (0.5, False)])
    def test_permits(self, burst: float, permits: bool) -> None:
        """Asking whether a retry is permitted takes none from the budget."""
        budget = RetryBudget(share=0.0, burst=burst)
        assert budget.permits() is permits
        assert budget.permits() is permits
        assert budget.take() is permits

    @pytest.mark.parametrize("hosts", [1, 9, 70, 195, 420])
    @pytest.mark.parametrize("told", [False, True])
    def test_started_together(self, hosts: int, told: bool) -> None:
        """Hosts that start together share the burst, whether or not they know of each other yet.

        Guards against a fixed initial share: 70 hosts that were killed and restarted together each
        had a ninth of the burst until they knew of the others, so that targets got up to eight
        times the burst in retries.
        """
        budgets = [_starting_budget() for _ in range(hosts)]
        taken = sum(_take_all(budget) for budget in budgets)
        if told:
            for budget in budgets:
                budget.set_hosts(hosts)
            taken += sum(_take_all(budget) for budget in budgets)
            assert taken >= BURST // hosts * hosts
        assert taken <= BURST

    @pytest.mark.parametrize("hosts", [195, 420, 600])
    def test_large_fleet(self, hosts: int) -> None:
        """A host whose share of the burst is below one retry earns one with its calls."""
        budget = _starting_budget()
        budget.set_hosts(hosts)
        _take_all(budget)
        for _ in range(ceil(1.0 / SHARE)):
            budget.admitted()
        assert budget.take()

    @pytest.mark.parametrize(
        ("fleet_size", "retries"), [(None, BURST), (1, BURST), (195, 1), (420, 0)]
    )
    def test_dead_peers(self, fleet_size: int | None, retries: int) -> None:
        """Hosts considered dead keep their shares, as they may only be partitioned."""
        budget = _starting_budget()
        host = sent(model_call("c1"))
        host.state._retries = budget
        host.send(PeersChanged(now=0.0, hosts=(HostName("h1"),), fleet_size=fleet_size))
        assert _take_all(budget) == retries


def _starting_budget() -> RetryBudget:
    """Return the budget of a host that has just started and knows of no other."""
    return RetryBudget(share=SHARE, burst=BURST / MAX_FLEET_HOSTS, fleet_burst=BURST)


def _take_all(budget: RetryBudget) -> int:
    """Exhaust a budget and return how many retries it held."""
    taken = 0
    while budget.take():
        taken += 1
    return taken
