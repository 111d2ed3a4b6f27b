"""An entry host that can be embedded."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import SystemRandom

from absl import logging
from blacksheep import Application, Router

from azureswitch.buffers import budget_of
from azureswitch.clock import elapsed
from azureswitch.entry._api import CallerApi
from azureswitch.entry._http import HttpServer
from azureswitch.entry._jobs import JobApi
from azureswitch.entry._ops import OperatorApi
from azureswitch.entry._protocol import Intake
from azureswitch.entry._settings import EntrySettings
from azureswitch.entry._shell import Shell
from azureswitch.entry._wiring import EntryPorts, Parts, http_ports
from azureswitch.exceptions import AzureswitchError
from azureswitch.machine import machine_descriptors, machine_memory
from azureswitch.metrics import REFUSALS_HELP, Metrics, watch_buffers
from azureswitch.peers import PeerNetwork
from azureswitch.settings import Address
from azureswitch.shedding import UnfinishedRequests, descriptor_shares
from azureswitch.tasks import Tasks, keep_running

SETTLE_TIMEOUT_SECONDS = 30.0
"""Seconds for which a leaving host waits until the store has its outputs and outcomes."""

FILES = 64
"""Descriptors that are left to files, the event loop and the standard streams."""


class EntryServer:
    """One entry host.

    Args:
        settings: The settings.
        ports: The external interfaces, or None for those that the settings specify.
        seed: Seeds all random choices, or None for a random one.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        ports: EntryPorts | None = None,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._ports = ports
        self._seed = SystemRandom().getrandbits(32) if seed is None else seed
        self._network: PeerNetwork | None = None
        self._parts: Parts | None = None
        self._api: CallerApi | None = None
        self._jobs: JobApi | None = None
        self._callers: HttpServer | None = None
        self._operations: HttpServer | None = None
        self._tasks = Tasks(prefix="entry")
        self._shares = descriptor_shares(machine_descriptors(), files=FILES)

    @property
    def address(self) -> Address:
        """Where it listens for callers."""
        return self._callers.address if self._callers else self._settings.callers

    @property
    def operations_address(self) -> Address:
        """Where it serves health, status and metrics."""
        return self._operations.address if self._operations else self._settings.operations

    @property
    def parts(self) -> Parts:
        """The parts; only after `start`."""
        assert self._parts is not None
        return self._parts

    @property
    def shell(self) -> Shell:
        """Runs requests; only after `start`."""
        return self.parts.shell

    async def start(self) -> None:
        """Listen and join the fleet.

        Raises:
            OSError: An address cannot be used.
        """
        ports = self._ports or await self._real_ports()
        self._parts = Parts(settings=self._settings, ports=ports, seed=self._seed)
        for name, loop in self._parts.loops.items():
            self._tasks.spawn(keep_running(loop, prefix="entry", name=name), name=name)
        limits = self._settings.limits
        self._api = CallerApi(shell=self.shell, limits=limits)
        self._jobs = JobApi(
            api=self._api,
            shell=self.shell,
            journal=self._parts.journal,
            table=self._parts.jobs,
            peers=self._parts.peers,
            members=lambda: self.parts.membership.members,
            limits=limits,
        )
        operators = OperatorApi(
            host=self._settings.host,
            place=self._settings.place,
            shell=self.shell,
            metrics=self._parts.metrics,
            members=lambda: self.parts.membership.members,
            unreadable=lambda: self.parts.unreadable,
        )
        callers = await _application(
            self._api.install, self._jobs.install, operators.install_health
        )
        operations = await _application(operators.install)
        intake = self._intake(self._parts.metrics)
        self._callers = HttpServer(
            app=callers,
            address=self._settings.callers,
            limits=limits,
            intake=intake,
            max_connections=self._shares.callers,
        )
        self._operations = HttpServer(
            app=operations,
            address=self._settings.operations,
            limits=limits,
            intake=intake,
            max_connections=self._shares.pages,
        )
        await self._callers.start()
        await self._operations.start()
        logging.info("entry: Host %s listens on %s.", self._settings.host, self.address)

    async def stop(self, *, graceful: bool = True) -> None:
        """Stop.

        Args:
            graceful: Whether running requests end first: readiness fails, new work is refused,
                other hosts are notified, and only then does the host stop listening.
        """
        if self._parts is None:
            return
        if graceful:
            await self._drain(self._parts, self._jobs)
        for server in (self._callers, self._operations):
            if server is not None:
                await server.stop(graceful=graceful)
        if self._api is not None:
            await self._api.stop()
        if self._jobs is not None:
            await self._jobs.stop()
        await self._parts.stop()
        await self._tasks.stop()
        if self._network is not None:
            await self._network.close()
        logging.info("entry: Host %s has stopped.", self._settings.host)

    async def _drain(self, parts: Parts, jobs: JobApi | None) -> None:
        logging.info("entry: Host %s is leaving.", self._settings.host)
        parts.shell.begin_shutdown()
        leaving = asyncio.ensure_future(parts.leave())
        await asyncio.sleep(self._settings.drain_notice)
        await parts.shell.wait_drained()
        if jobs is not None:
            await jobs.wait_drained()
        with suppress(Exception):
            await leaving
        if not await parts.shell.wait_stored(timeout=SETTLE_TIMEOUT_SECONDS):
            logging.warning("entry: Outputs of jobs did not reach the store.")
        if not await parts.claims.drain(timeout=SETTLE_TIMEOUT_SECONDS):
            logging.warning("entry: Outcomes of calls did not reach the store.")

    def _intake(self, metrics: Metrics) -> Intake:
        budget = budget_of(self._settings.limits.memory_bytes or machine_memory())
        unfinished = UnfinishedRequests(budget=budget, clock=elapsed)
        watch_buffers(metrics, unfinished=unfinished)

        def count(error: AzureswitchError) -> None:
            metrics.count(name="refusals", help=REFUSALS_HELP, code=error.code)

        return Intake(unfinished=unfinished, refused=count)

    async def _real_ports(self) -> EntryPorts:
        self._network = PeerNetwork(
            address=str(self._settings.peers), max_accepted=self._shares.peers
        )
        await self._network.start()
        return http_ports(self._settings, self._network)


async def _application(*installers: Callable[[Application], None]) -> Application:
    app = Application(router=Router())
    for install in installers:
        install(app)
    await app.start()  # type: ignore[no-untyped-call]
    return app
