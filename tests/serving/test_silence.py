"""A silent target is given up only where another attempt is permitted and finds a target."""

from collections.abc import Callable
from math import ceil

import pytest

from azureswitch.core import CallId, HostName
from azureswitch.exceptions import DeadlineExceededError
from azureswitch.platform._edge import MAX_FLEET_HOSTS
from azureswitch.serving import (
    AttemptSilent,
    Call,
    CancelAttempt,
    ClaimGranted,
    FinishCall,
    PeersChanged,
    RetryBudget,
    ShutdownBegan,
    StartAttempt,
)
from azureswitch.serving._attempts import lane_of
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
"""Retries that the hosts of a large fleet share."""


def nothing(driver: Driver) -> None:
    """Change nothing."""


def spend_budget(driver: Driver) -> None:
    """Use up the retries of the host."""
    while driver.state.retries.take():
        pass


def use_runs(driver: Driver) -> None:
    """Let the call have run as often as its route permits, with the attempt under way."""
    record = driver.state.calls[CALL]
    record.run_count = record.call.runs - 1


def use_retries(driver: Driver) -> None:
    """Let the call have been retried as often as any call is."""
    driver.state.calls[CALL].retry_count = MAX_RETRIES


def near_deadline(driver: Driver) -> None:
    """Let the deadline come before another attempt could begin."""
    driver.now = driver.state.calls[CALL].call.deadline - 0.01


def sent(call: Call, *, targets: int = 2) -> Driver:
    """Return a driver whose one call has been sent."""
    driver = Driver(config=snapshot(targets=[booking(f"s{n}") for n in range(targets)]))
    if call.model:
        driver = Driver()
    driver.arrive(call)
    driver.send(ClaimGranted(now=0.0, call=CALL))
    assert len(only(StartAttempt, driver.effects)) == 1
    return driver


def silence(driver: Driver) -> list[object]:
    """Tell of the silence of the first attempt."""
    return list(driver.send(AttemptSilent(now=driver.now, call=CALL, attempt=1)))


class TestSilence:
    """What becomes of an attempt whose target writes nothing."""

    def test_follows(self) -> None:
        """The attempt is called off and another target goes on, once for each silence."""
        driver = sent(model_call("c1", runs=2, objective=1.0))
        effects = silence(driver)
        (first,) = (s for s in only(StartAttempt, driver.effects) if s.attempt == 1)
        (cancelled,) = only(CancelAttempt, effects)  # type: ignore[arg-type]
        (second,) = only(StartAttempt, effects)  # type: ignore[arg-type]
        assert cancelled.targets == first.targets
        assert second.targets != first.targets
        assert not silence(driver)

    @pytest.mark.parametrize(
        "bring",
        [spend_budget, use_runs, use_retries, near_deadline],
        ids=lambda bring: bring.__name__,
    )
    def test_waited_for(self, bring: Callable[[Driver], None]) -> None:
        """Without another attempt the call stays where it is, until its deadline at the most."""
        driver = sent(model_call("c1", runs=2, objective=1.0))
        bring(driver)
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts
        assert not only(FinishCall, driver.effects)
        driver.tick(61.0)
        assert isinstance(driver.error("c1"), DeadlineExceededError)

    def test_alone(self) -> None:
        """Without another target the call stays where it is."""
        driver = sent(plain_call("c1", repeatable=True), targets=1)
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts

    def test_others_wait(self) -> None:
        """Where others wait for a target the call stays, and does not go behind them."""
        driver = sent(plain_call("c1", repeatable=True))
        record = driver.state.calls[CALL]
        driver.state.queue.push(
            lane=lane_of(record), customer=CUSTOMERS[1], call=CallId("c2"), seconds=1.0, first=False
        )
        assert not silence(driver)
        assert record.attempts

    def test_host_stops(self) -> None:
        """Where the host stops before another attempt could begin, the call stays where it is."""
        driver = sent(plain_call("c1", repeatable=True))
        driver.send(ShutdownBegan(now=driver.now, until=driver.now + 0.05))
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts

    def test_not_repeatable(self) -> None:
        """What may run once is waited for, whatever other targets there are."""
        driver = sent(plain_call("c1"))
        assert not silence(driver)
        assert driver.state.calls[CALL].attempts

    def test_over(self) -> None:
        """The silence of an attempt that is over says nothing."""
        driver = sent(model_call("c1", runs=3, objective=1.0))
        silence(driver)
        assert not driver.send(AttemptSilent(now=0.0, call=CallId("c9"), attempt=1))


class TestBudget:
    """Whether a retry is in the budget can be asked without taking it."""

    @pytest.mark.parametrize(("burst", "permits"), [(2.0, True), (1.0, True), (0.5, False)])
    def test_permits(self, burst: float, permits: bool) -> None:
        """Asking takes nothing."""
        budget = RetryBudget(share=0.0, burst=burst)
        assert budget.permits() is permits
        assert budget.permits() is permits
        assert budget.take() is permits

    @pytest.mark.parametrize("hosts", [1, 9, 70, 195, 420])
    @pytest.mark.parametrize("told", [False, True])
    def test_start(self, hosts: int, told: bool) -> None:
        """Hosts that all start at once, and are or are not told of each other, keep to the burst.

        Of 70 hosts that were killed and started together each had a ninth of the burst until it
        knew of the others, so that targets were sent up to eight times of it again.
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
        """A host whose share of the burst is less than one retry earns it by its calls."""
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
        """Hosts that are taken for dead keep their shares: they may only be cut off."""
        budget = _starting_budget()
        host = sent(model_call("c1"))
        host.state._retries = budget
        host.send(PeersChanged(now=0.0, hosts=(HostName("h1"),), fleet_size=fleet_size))
        assert _take_all(budget) == retries


def _starting_budget() -> RetryBudget:
    """Return the budget of a host that starts and knows of no other."""
    return RetryBudget(share=SHARE, burst=BURST / MAX_FLEET_HOSTS, fleet_burst=BURST)


def _take_all(budget: RetryBudget) -> int:
    """Take retries until there are no more, and return how many there were."""
    taken = 0
    while budget.take():
        taken += 1
    return taken
