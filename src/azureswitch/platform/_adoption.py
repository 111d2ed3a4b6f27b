"""Puts configurations in force, each built beside the one that is, and targets with them."""

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
from azureswitch.platform._foreign import Fault, Foreign, ForeignTracker
from azureswitch.platform._targets import TargetReader
from azureswitch.ports import StoredObject
from azureswitch.slices import Steps, run_slice
from azureswitch.tasks import Tasks

TURN_ENTRIES = 200
"""Targets and customers over which serving by them has a turn of its own.

It takes 7 ms of a core at 600 targets, 380 customers and 1,000 services (`bench/adoption.py`), and
after a slice too much of the 20 ms for which one turn may hold the loop on half a core.
"""


class Adoption:
    """Takes what the store holds, and gives it to the gateway.

    A configuration is built in slices.  What fits into one slice is in force at once.  Of those
    that come while another one is built, only the newest is built next.

    Args:
        gateway: The gateway.
        reader: Reads targets.
        foreign: Notes what cannot be read.
        on_configured: Called when there are a configuration and a target.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        reader: TargetReader,
        foreign: ForeignTracker,
        on_configured: Callable[[], None],
    ) -> None:
        self._gateway = gateway
        self._reader = reader
        self._foreign = foreign
        self._on_configured = on_configured
        self._listed: tuple[StoredObject, ...] = ()
        self._newest: StoredObject | None = None
        self._working = False
        self._tasks = Tasks(prefix="edge")

    def configure(self, objects: tuple[StoredObject, ...]) -> None:
        """Put the configuration in force that the store holds, now or soon."""
        named = [item for item in objects if item.name == CONFIGURATION_NAME]
        if not named:
            self._foreign.see(CONFIGURATION_KIND, ())
            return
        self._newest = named[-1]
        if self._working:
            return
        work = self._work()
        if not run_slice(work):
            self._tasks.spawn(_go_on(work), name="adoption")

    def list_targets(self, objects: tuple[StoredObject, ...]) -> None:
        """Send requests to the targets that the store lists, from now on."""
        self._listed = objects
        found = self._reader.read(objects, deployment=self._gateway.deployment)
        self._foreign.see(TARGETS_KIND, found.foreign)
        self._gateway.set_targets(found.targets)
        self._tell_configured()

    async def stop(self, *, timeout: float) -> None:
        """Leave off what is being built, and wait for that for some seconds."""
        await self._tasks.stop(timeout=timeout)

    def _work(self) -> Steps[None]:
        """Build the newest configuration until there is none that is newer."""
        self._working = True
        try:
            while self._newest is not None:
                item, self._newest = self._newest, None
                try:
                    deployment = yield from deployment_steps(item)
                except DeploymentUnreadableError as error:
                    # The one in force stays.
                    self._foreign.see(CONFIGURATION_KIND, (_unreadable(item, error),))
                    continue
                self._foreign.see(CONFIGURATION_KIND, ())
                if self._gateway.is_newer(deployment):
                    prepared = yield from prepare(deployment)
                    yield from self._put_in_force(prepared)
        finally:
            self._working = False

    def _put_in_force(self, prepared: Prepared) -> Steps[None]:
        """Read the targets as the configuration names them, and serve by both in one turn."""
        found, listed = None, self._listed
        # The store tells of changes 0.15 s apart, so that this ends.
        while found is None or listed is not self._listed:
            listed = self._listed
            found = yield from self._reader.read_steps(listed, deployment=prepared.deployment)
            yield len(listed) + len(prepared.customers) > TURN_ENTRIES
        self._foreign.see(TARGETS_KIND, found.foreign)
        self._gateway.activate(prepared, targets=found.targets)
        self._tell_configured()

    def _tell_configured(self) -> None:
        if self._gateway.configured:
            self._on_configured()


async def _go_on(work: Steps[None]) -> None:
    await sleep(0)
    while not run_slice(work):
        await sleep(0)


def _unreadable(item: StoredObject, error: DeploymentUnreadableError) -> Foreign:
    return Foreign(
        name=item.name, version=item.version, fault=Fault.UNREADABLE, detail=error.detail
    )
