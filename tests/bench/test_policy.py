"""The policy benchmark's harness: repeatable, and able to see broken promises."""

import pytest
from msgspec.structs import replace

from azureswitch.exceptions import NoTargetError
from azureswitch.serving import CallArrived, FinishCall, StartAttempt
from bench.policy import CASCADE, RUAMJAI, SCENARIOS, Fault, Run, simulate
from bench.policy._measures import fair_shares, jain, long_finished, quantile
from bench.policy._simulation import Simulation

SHORT_RUN = Run(scenario=CASCADE, load=0.3, duration=10.0)


class _Misbehaving:
    """A policy that breaks one promise for every call."""

    polls = False

    def __init__(self, kind):
        self._kind = kind

    def handle(self, event):
        """Return the effects of an event."""
        if not isinstance(event, CallArrived):
            return ()
        call = event.call
        targets = ("lm-01",) if call.model else ("scheduling-1",)
        start = StartAttempt(
            call=call.id, attempt=1, targets=targets, priority=0, resume_from=0, timeout=9.0
        )
        whole = FinishCall(call=call.id, error=None)
        refused = FinishCall(call=call.id, error=NoTargetError())
        return {
            "unanswered": (start,),
            "incomplete": (whole,),
            "answered_twice": (whole, whole),
            "not_run_but_ran": (start, refused),
            "ran_twice": (start, replace(start, attempt=2), whole),
        }[self._kind]


class TestRuns:
    """Runs with the real reducers."""

    @pytest.mark.parametrize("policy", ["azureswitch", "least_tokens"])
    def test_repeatable(self, policy):
        """The same run gives the same outcomes, all of which end, and breaks no promise."""
        first, second = (simulate(replace(SHORT_RUN, policy=policy)) for _ in range(2))
        assert first.outcomes == second.outcomes
        assert first.violations == {}
        assert all(outcome.tries and outcome.last.ended_at for outcome in first.outcomes)

    @pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.PLAIN])
    def test_faults(self, fault, monkeypatch):
        """No fault breaks a promise, and every admitted call ends in its time."""
        monkeypatch.setattr("bench.policy._simulation.FAULT_AT", 3.0)
        monkeypatch.setattr("bench.policy._simulation.FAULT_SECONDS", 4.0)
        run = Run(scenario=RUAMJAI, load=0.5, fault=fault, seed=20, duration=10.0)
        result = simulate(run)
        assert sum(outcome.arrival.prompt > 100_000 for outcome in result.outcomes) > 2
        assert result.violations == {}
        assert long_finished([result]) == 1.0

    @pytest.mark.parametrize(
        "kind", ["unanswered", "incomplete", "answered_twice", "not_run_but_ran", "ran_twice"]
    )
    def test_violations_are_seen(self, kind, monkeypatch):
        """Each broken promise of a bad policy is counted under its name."""
        simulation = Simulation(run=replace(SHORT_RUN, with_long=False, duration=8.0))
        monkeypatch.setattr(simulation, "_make_policy", lambda myself, seed: _Misbehaving(kind))
        assert simulation.result().violations.get(kind, 0) > 0


class TestFigures:
    """The arithmetic of figures."""

    @pytest.mark.parametrize(
        ("demand", "weights", "total", "shares"),
        [
            ({"a": 9, "b": 9}, {"a": 1, "b": 1}, 10, {"a": 5, "b": 5}),
            ({"a": 9, "b": 9}, {"a": 4, "b": 1}, 10, {"a": 8, "b": 2}),
            ({"a": 1, "b": 9, "c": 9}, {"a": 1, "b": 1, "c": 1}, 10, {"a": 1, "b": 4.5, "c": 4.5}),
        ],
    )
    def test_fair_shares(self, demand, weights, total, shares):
        """A total is divided by weight, and nobody gets more than asked for."""
        assert fair_shares(demand=demand, weights=weights, total=total) == pytest.approx(shares)

    def test_jain_and_quantile(self):
        """Equal values have an index of one, and a quantile is one of the values."""
        assert jain([2, 2, 2]) == pytest.approx(1.0)
        assert jain([1, 0, 0, 0]) == pytest.approx(0.25)
        assert [quantile(range(1, 101), share) for share in (0.5, 0.95, 1.0)] == [50, 95, 100]

    @pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
    def test_workload(self, scenario):
        """One prompt in fifty is over 100,000 tokens, some over twice an engine's memory."""
        prompts = [item.prompt for item in scenario.requests(rate=10.0, duration=2e3, seed=5)]
        share = sum(prompt > 100_000 for prompt in prompts) / len(prompts)
        assert share == pytest.approx(0.02, abs=0.004)
        assert max(prompts) > 2 * scenario.engines[0].memory
        assert 5.0 < scenario.capacity < 40.0
