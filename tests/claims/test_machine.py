"""The real reducers of claims against their specification."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from models.claims_machine import ClaimsMachine, tiny_segments


class TestMachine:
    """Random orders of asks, writes, losses and crashes."""

    def test_reducers_keep_the_specification(self):
        """No order breaks a promise, and undisturbed hosts come to rest."""
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
