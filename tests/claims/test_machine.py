"""The reducers of claims against their specification."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from models.claims_machine import ClaimsMachine, tiny_segments


class TestMachine:
    """Random sequences of requests, writes, lost answers and crashes."""

    def test_reducers_keep_the_specification(self):
        """No sequence violates the specification, and hosts without faults become idle."""
        bounds = settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=60,
            stateful_step_count=40,
            phases=(Phase.generate,),
            suppress_health_check=tuple(HealthCheck),
        )
        with tiny_segments():
            run_state_machine_as_test(ClaimsMachine, settings=bounds)
