"""The demo's own checks, and the deployments that it reads."""

from hashlib import sha256

import pytest

from azureswitch_load import Attempt, Caller, CallKind, End, Outcome, Phase, PlannedCall
from azureswitch_load.demo._demo import check_shutdowns
from azureswitch_load.demo._deployment import DeploymentName, load_deployment
from azureswitch_load.demo._script import Shutdown

CALL = PlannedCall(
    number=1,
    at=0.0,
    kind=CallKind.COMPLETION,
    phase=Phase.MIXED,
    caller=Caller(name="c", key="k"),
    timeout=9.0,
)


class TestShutdowns:
    """Unit tests of `check_shutdowns`."""

    @pytest.mark.parametrize(
        ("entry", "sent", "end", "count"),
        [
            ("e1", 4.0, End.WHOLE, 0),
            ("e1", 4.0, End.BROKEN, 1),
            ("e1", 4.0, End.FAILED, 1),
            ("e2", 4.0, End.FAILED, 0),
            ("e1", 1.0, End.FAILED, 0),
            ("e1", 5.5, End.REFUSED, 0),
        ],
    )
    def test_cut_requests(self, entry: str, sent: float, end: End, count: int) -> None:
        """Only requests that ran at the entry when it was told to stop must end whole."""
        attempt = Attempt(request="r", entry=entry, end=end, sent=sent, timeout=9.0, seconds=2.0)
        outcome = Outcome(call=CALL, key="", attempts=(attempt,))
        shutdown = Shutdown(address="e1", began=5.0)
        assert len(list(check_shutdowns(outcomes=[outcome], shutdowns=[shutdown]))) == count


class TestDeployments:
    """Unit tests of `load_deployment`."""

    @pytest.mark.parametrize("name", list(DeploymentName))
    def test_complete(self, name: DeploymentName) -> None:
        """Each deployment has today's sizes, and its callers' keys are those of its customers."""
        deployment = load_deployment(name=name)
        targets = deployment.inventory.targets
        assert sum(bool(target.models) for target in targets) == 20
        assert sum(target.service == deployment.service for target in targets) == 3
        hashes = {sha256(caller.key.encode()).hexdigest() for caller in deployment.callers}
        assert hashes == {customer.key_hash for customer in deployment.inventory.customers}
