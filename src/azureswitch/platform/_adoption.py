"""Applies configurations, built while the old one serves, target lists and evacuations."""

from asyncio import sleep
from collections.abc import Callable

from azureswitch.exceptions import DeploymentUnreadableError
from azureswitch.gateway import Gateway, Prepared, prepare
from azureswitch.platform._deployment import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
    deployment_steps,
)
from azureswitch.platform._evacuations import EVACUATIONS_KIND, EvacuationReader
from azureswitch.platform._foreign import Fault, Foreign, ForeignTracker
from azureswitch.platform._targets import TargetReader
from azureswitch.ports import StoredObject
from azureswitch.slices import Steps, run_slice
from azureswitch.tasks import Tasks

TURN_ENTRIES = 200
"""Number of targets and customers above which applying them gets its own event loop turn.

Applying takes 7 ms of a core at 600 targets, 380 customers and 1,000 services
(`bench/adoption.py`).  In the same turn as a slice of work it would take too much of the 20 ms for
which one turn may block the loop on half a core.
"""


class Adoption:
    """Applies the configuration, the targets and the evacuations in the store to the gateway.

    A configuration is built in slices.  One that fits into a single slice is applied at once.  If
    several arrive while another one is being built, only the newest of them is built next.

    Args:
        gateway: The gateway.
        reader: Reads targets.
        evacuations: Reads evacuations; None if they are not read.
        foreign: Records the entries that cannot be read.
        on_configured: Called after each change once the gateway has a configuration and a target,
            and knows the evacuations.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        reader: TargetReader,
        foreign: ForeignTracker,
        on_configured: Callable[[], None],
        evacuations: EvacuationReader | None = None,
    ) -> None:
        self._gateway = gateway
        self._reader = reader
        self._evacuations = evacuations
        self._foreign = foreign
        self._on_configured = on_configured
        self._listed: tuple[StoredObject, ...] = ()
        self._newest: StoredObject | None = None
        self._working = False
        self._tasks = Tasks(prefix="edge")

    def configure(self, objects: tuple[StoredObject, ...]) -> None:
        """Apply the configuration in the store, at once or in the background."""
        named = [item for item in objects if item.name == CONFIGURATION_NAME]
        if not named:
            self._foreign.set_entries(CONFIGURATION_KIND, ())
            return
        self._newest = named[-1]
        if self._working:
            return
        work = self._work()
        if not run_slice(work):
            self._tasks.spawn(_finish(work), name="adoption")

    def list_targets(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace the targets that requests are sent to by those that the store lists."""
        self._listed = objects
        found = self._reader.read(objects, deployment=self._gateway.deployment)
        self._foreign.set_entries(TARGETS_KIND, found.foreign)
        self._gateway.set_targets(found.targets)
        self._notify_configured()

    def list_evacuations(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace the evacuated failure domains by those that the store lists."""
        if self._evacuations is None:
            return
        found = self._evacuations.read(objects)
        self._foreign.set_entries(EVACUATIONS_KIND, found.foreign)
        self._gateway.set_evacuations(found.evacuations)
        self._notify_configured()

    async def stop(self, *, timeout: float) -> None:
        """Cancel the build in progress, and wait at most ``timeout`` seconds for it to end."""
        await self._tasks.stop(timeout=timeout)

    def _work(self) -> Steps[None]:
        """Build and apply the newest configuration until no newer one has arrived."""
        self._working = True
        try:
            while self._newest is not None:
                item, self._newest = self._newest, None
                try:
                    deployment = yield from deployment_steps(item)
                except DeploymentUnreadableError as error:
                    # The configuration in force is kept.
                    self._foreign.set_entries(CONFIGURATION_KIND, (_unreadable(item, error),))
                    continue
                self._foreign.set_entries(CONFIGURATION_KIND, ())
                if self._gateway.is_newer(deployment):
                    prepared = yield from prepare(deployment)
                    yield from self._put_in_force(prepared)
        finally:
            self._working = False

    def _put_in_force(self, prepared: Prepared) -> Steps[None]:
        """Read the targets for the new configuration, and apply both in one event loop turn."""
        found, listed = None, self._listed
        # Changes from the store arrive at least 0.15 s apart, so this loop ends.
        while found is None or listed is not self._listed:
            listed = self._listed
            found = yield from self._reader.read_steps(listed, deployment=prepared.deployment)
            yield len(listed) + len(prepared.customers) > TURN_ENTRIES
        self._foreign.set_entries(TARGETS_KIND, found.foreign)
        self._gateway.activate(prepared, targets=found.targets)
        self._notify_configured()

    def _notify_configured(self) -> None:
        if self._gateway.configured:
            self._on_configured()


async def _finish(work: Steps[None]) -> None:
    await sleep(0)
    while not run_slice(work):
        await sleep(0)


def _unreadable(item: StoredObject, error: DeploymentUnreadableError) -> Foreign:
    return Foreign(
        name=item.name, version=item.version, fault=Fault.UNREADABLE, detail=error.detail
    )
