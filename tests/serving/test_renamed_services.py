"""Requests that wait while their service's targets are given to another service."""

from msgspec.structs import replace

from azureswitch.core import CallId, ServiceName
from azureswitch.exceptions import Ran, RefusedError, TargetRefusedError
from azureswitch.inventory import Service, ServiceKind, Snapshot
from azureswitch.serving import AttemptEnd, AttemptEnded, SnapshotAdopted, StartAttempt
from tests.serving.fixtures import Driver, booking, only, plain_call, snapshot


def renamed(config: Snapshot, *, service: str) -> Snapshot:
    """Return a later configuration in which the booking targets belong to another service."""
    targets = tuple(
        replace(target, service=ServiceName(service))
        for target in config.inventory.targets
        if target.service == "book"
    )
    services = (
        *config.inventory.services,
        Service(name=ServiceName(service), kind=ServiceKind.PLAIN),
    )
    inventory = replace(config.inventory, targets=targets, services=services)
    return replace(config, revision=config.revision + 1, inventory=inventory)


class TestRenamedService:
    """A call that waits for room at targets that then belong to another service."""

    def test_not_sent_to_another_service(self) -> None:
        """It is refused as not run, and not sent to them."""
        config = snapshot(targets=[booking("s1")])
        driver = Driver(config=config)
        driver.arrive(replace(plain_call("c1", repeatable=True), unshared=True))
        driver.send(
            AttemptEnded(
                now=0.0,
                call=CallId("c1"),
                attempt=1,
                end=AttemptEnd.REFUSED,
                retry_after=0.3,
                error=TargetRefusedError(target="s1"),
            )
        )
        driver.send(SnapshotAdopted(now=0.1, snapshot=renamed(config, service="other")))
        driver.tick(2.0)
        assert len(only(StartAttempt, driver.effects)) == 1
        error = driver.error("c1")
        assert isinstance(error, RefusedError)
        assert error.ran is Ran.NOT_RUN
