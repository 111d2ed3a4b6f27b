"""One gateway process: its components, startup and graceful stop."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from random import Random
from socket import socket

from absl import logging

from azureswitch.buffers import budget_of
from azureswitch.client import HttpHead
from azureswitch.clock import elapsed
from azureswitch.coordination.membership import Member
from azureswitch.core import Effect, PlaceName, TargetName
from azureswitch.gateway._evacuations import KnownEvacuations
from azureswitch.gateway._gauges import register_gauges
from azureswitch.gateway._handler import RequestHandler
from azureswitch.gateway._host_log import (
    GraceOver,
    Leaving,
    ListenerClosed,
    Started,
    Stopped,
)
from azureswitch.gateway._initial import initial_state
from azureswitch.gateway._listed import ListedTargets
from azureswitch.gateway._log import ConfigurationAdopted
from azureswitch.gateway._model import Deployment
from azureswitch.gateway._peers import peer_hosts
from azureswitch.gateway._ports import Dialect, Published, Reservations
from azureswitch.gateway._prepared import Prepared, prepare
from azureswitch.gateway._reports import host_status
from azureswitch.gateway._servers import caller_server, operator_server, readiness_server
from azureswitch.gateway._settings import GatewaySettings
from azureswitch.gateway._shell import Shell
from azureswitch.gateway._stopping import (
    CloseIdle,
    CloseListener,
    EndRequests,
    Neighbours,
    Phase,
    StopObserved,
    Stopping,
    advance,
    begin_stop,
)
from azureswitch.gateway._tickets import Tickets
from azureswitch.inventory import (
    Customer,
    Evacuation,
    Inventory,
    Rules,
    Snapshot,
    Target,
)
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.paths import Paths
from azureswitch.server import HttpServer
from azureswitch.serving import SnapshotAdopted
from azureswitch.slices import finish
from azureswitch.status import ForeignCollection, HostStatus
from azureswitch.tasks import keep_running

RELEASE_SECONDS = 0.05
"""Timeout in seconds for releasing reserved engine memory before the process exits."""

STOP_CHECK_SECONDS = 0.05
"""Seconds between two evaluations of the stop sequence."""


class Gateway:
    """Serves callers; a fleet runs many identical gateways.

    Args:
        settings: The startup settings.
        dialect: Encodes and decodes the headers exchanged with callers and targets.
        reservations: Reserves memory on engines.
        publish: Sends the reducer's messages to the peers.
        metrics: The metrics registry.
        log: Receives the log entries.
        seed: The seed of all random choices.
        neighbours: Returns the state of the other hosts in its failure domain.
        members: Returns the currently known hosts, for the status page.
        hosts: Returns these and the hosts that are expected to join, which may open tunnels.
        foreign: Returns the current foreign entries of the store, for the status page.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        dialect: Dialect,
        reservations: Reservations,
        publish: Callable[[Published], None],
        metrics: Metrics,
        log: Log,
        seed: int,
        neighbours: Callable[[], Neighbours] = Neighbours,
        members: Callable[[], Iterable[Member]] = tuple,
        hosts: Callable[[], Iterable[Member]] = tuple,
        foreign: Callable[[], tuple[ForeignCollection, ...]] = tuple,
        clock: Callable[[], float] = elapsed,
    ) -> None:
        self._settings = settings
        self._log = log
        self._neighbours = neighbours
        self._members = members
        self._foreign = foreign
        budget = budget_of(settings.memory)
        self._tickets = Tickets(reservations=reservations, started=self._started)
        self._listed = ListedTargets(takes_work=lambda name: self._shell.takes_work(name), log=log)
        self._paths = Paths(
            place=settings.place,
            local_ip=settings.tunnels.rpartition(":")[0],
            directory=self._listed,
            peers=lambda: peer_hosts(hosts(), host=settings.host, tunnel_address=settings.tunnels),
            metrics=metrics,
            log=log,
            seed=seed,
            clock=clock,
        )
        self._shell = Shell(
            state=initial_state(settings, seed=seed),
            dialect=dialect,
            tickets=self._tickets,
            targets=lambda: self._listed.by_name,
            paths=self._paths,
            publish=publish,
            metrics=metrics,
            log=log,
            memory=settings.memory,
            budget=budget,
            clock=clock,
        )
        self._handler = RequestHandler(
            shell=self._shell, dialect=dialect, log=log, metrics=metrics, random=Random(seed)
        )
        shares = settings.descriptors
        self._callers = caller_server(handler=self._handler, budget=budget, shares=shares)
        self._platform = readiness_server(ready=lambda: self.ready, dialect=dialect, shares=shares)
        self._pages = operator_server(
            metrics=metrics,
            status=lambda: self.status,
            release=self._shell.release,
            log=log,
            dialect=dialect,
            shares=shares,
        )
        self._customers: tuple[Customer, ...] = ()
        register_gauges(
            metrics,
            shell=self._shell,
            tickets=self._tickets,
            log=log,
            paths=self._paths,
            callers=self._callers,
            targets=lambda: self._listed.by_name.values(),
            deployment=lambda: self._handler.deployment,
        )
        self._revision = 0
        self._evacuations = KnownEvacuations(
            places=settings.places,
            read=settings.evacuations,
            log=log,
            expired=self._dispatch_snapshot,
        )
        self._leaving = False
        self._ticks: asyncio.Task[None] | None = None

    @property
    def shell(self) -> Shell:
        """The shell, which runs the requests."""
        return self._shell

    @property
    def paths(self) -> Paths:
        """The paths to targets."""
        return self._paths

    @property
    def deployment(self) -> Deployment | None:
        """The configuration in force, or None before the first."""
        return self._handler.deployment

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force, a target is listed and evacuations are known."""
        listed = self._listed.by_name
        return bool(self._handler.deployment and listed and self._evacuations.known)

    @property
    def ready(self) -> bool:
        """Whether this process accepts new connections."""
        return self.configured and not self._leaving

    @property
    def callers_address(self) -> str:
        """``IP:PORT`` on which callers are served, known once it listens."""
        return self._callers.address

    @property
    def readiness_address(self) -> str:
        """``IP:PORT`` of the readiness endpoint."""
        return self._platform.address

    @property
    def pages_address(self) -> str:
        """``IP:PORT`` of the metrics and status pages, known once it listens."""
        return self._pages.address

    @property
    def status(self) -> HostStatus:
        """The state of the fleet as this host knows it.

        The revision is always 0: the platform's configuration is not a revision that was accepted
        by the operators' program.
        """
        return host_status(
            self._settings,
            shell=self._shell,
            targets=self._listed.by_name,
            lost=self._paths.lost,
            leaving=self._leaving,
            members=self._members(),
            foreign=self._foreign(),
        )

    async def start(self, *, callers: socket | None = None) -> None:
        """Start listening on all addresses.

        Args:
            callers: A socket already listening for callers, used instead of the configured address.

        Raises:
            OSError: An address cannot be used.
        """
        await self._platform.start(address=self._settings.readiness)
        await self._pages.start(address=self._settings.metrics)
        if self._settings.tunnels:
            await self._paths.start(address=self._settings.tunnels)
        # Bound last: if another address cannot be bound, no caller has connected that would be cut
        # off.
        if callers is None:
            await self._callers.start(address=self._settings.callers)
        else:
            await self._callers.take(listener=callers)
        self._ticks = asyncio.create_task(
            keep_running(self._shell.run, prefix="gateway", name="ticks")
        )
        self._log.write(Started(callers=self.callers_address, readiness=self.readiness_address))

    async def stop(self, *, told: float | None = None) -> None:
        """Stop gracefully: drain the open requests and return within the grace period.

        Args:
            told: Start of the grace period, in seconds of the monotonic clock; None for now.
        """
        stop = begin_stop(now=self._shell.now, grace=self._settings.grace, told=told)
        self._leaving = True
        self._handler.close()
        self._paths.leave()
        self._shell.begin_shutdown(until=stop.end)
        self._log.write(Leaving(open_requests=self._shell.open_calls))
        try:
            await self._run_stop(stop)
        except Exception:
            logging.exception("gateway: A step of the stop failed; ending all open requests now.")
            await self._shell.end()
        await self._tickets.stop(timeout=RELEASE_SECONDS)
        self._shell.report_cut_off()
        self._log.write(Stopped(seconds=round(self._shell.now - stop.told, 3)))
        self._end(self._platform, self._pages)

    async def _run_stop(self, stop: Stopping) -> None:
        """Run the stop sequence until the process may exit."""
        while stop.phase is not Phase.OVER:
            for effect in advance(stop, self._observe()):
                await self._run_step(effect)
            await asyncio.sleep(STOP_CHECK_SECONDS)

    def _observe(self) -> StopObserved:
        """Return the observed state of this process and its neighbours."""
        return StopObserved(
            now=self._shell.now,
            connections=self._callers.connections,
            open_requests=self._shell.open_calls + self._paths.carried,
            neighbours=self._neighbours(),
        )

    @singledispatchmethod
    async def _run_step(self, effect: Effect) -> None:
        raise TypeError(effect)

    @_run_step.register
    async def _(self, effect: CloseListener) -> None:
        await self._callers.finish_listening()
        self._log.write(ListenerClosed(open_requests=self._shell.open_calls))

    @_run_step.register
    async def _(self, effect: CloseIdle) -> None:
        self._callers.close_idle()

    @_run_step.register
    async def _(self, effect: EndRequests) -> None:
        self._log.write(GraceOver(open_requests=self._shell.open_calls))
        # Must precede the process exit: requests cancelled with the event loop get no answer.
        await self._shell.end()

    def abort(self) -> None:
        """Stop immediately and abort all open connections."""
        self._end(self._callers, self._platform, self._pages)

    def _end(self, *servers: HttpServer) -> None:
        """Abort all connections of the servers and stop the periodic ticks."""
        for server in servers:
            server.stop_listening()
            server.abort()
        if self._ticks is not None:
            self._ticks.cancel()
        self._evacuations.stop()
        self._paths.abort()

    def adopt(self, deployment: Deployment) -> None:
        """Prepare and activate a configuration, unless the same or a later one is in force."""
        self.activate(finish(prepare(deployment)))

    def is_newer(self, deployment: Deployment) -> bool:
        """Return whether a configuration is newer than the one in force."""
        return self._handler.is_newer(deployment)

    def activate(self, prepared: Prepared, *, targets: tuple[Target, ...] | None = None) -> None:
        """Activate a configuration, unless the same or a later one is in force.

        Args:
            prepared: The configuration.
            targets: The targets that it lists, or None to keep the current ones.
        """
        before = self._handler.deployment
        if not self._handler.adopt(prepared):
            return
        deployment = prepared.deployment
        self._customers = prepared.customers
        self._log.write(
            ConfigurationAdopted(
                version=deployment.version,
                before=before.version if before else 0,
                routes=len(deployment.routes),
                services=len(deployment.services),
                keys=len(deployment.customers),
            )
        )
        if targets is not None:
            self._replace_targets(targets)
        self._dispatch_snapshot()

    def set_targets(self, targets: tuple[Target, ...]) -> None:
        """Replace the list of targets that requests may be sent to."""
        self._replace_targets(targets)
        self._dispatch_snapshot()

    def set_evacuations(self, evacuations: Mapping[PlaceName, Evacuation]) -> None:
        """Replace the evacuations, by failure domain; unknown failure domains have no effect."""
        if self._evacuations.replace(evacuations):
            self._dispatch_snapshot()

    def handle_order_answer(self, *, address: str, order: str, head: HttpHead) -> None:
        """Apply the target state (leaving, rate limit) in the head of an answer to an order."""
        target = self._listed.target_at(address)
        if target is not None:
            self._shell.handle_order_answer(target, head, order=order)

    def _replace_targets(self, targets: tuple[Target, ...]) -> None:
        for target in self._listed.replace(targets):
            # The reducer remembers this: an older list may show the target as serving again.
            self._shell.note_leaving(target)
        self._paths.keep(self._listed.addresses)

    def _started(self, name: TargetName) -> int:
        """Return the start of a target, or zero if it is unknown or the target is not listed."""
        target = self._listed.by_name.get(name)
        return 0 if target is None else target.started

    def _dispatch_snapshot(self) -> None:
        """Dispatch a snapshot of the current configuration and targets to the reducer."""
        deployment = self._handler.deployment
        if deployment is None or not self._evacuations.available():
            return
        self._revision += 1
        inventory = Inventory(
            places=self._evacuations.places,
            services=deployment.services,
            targets=tuple(self._listed.by_name.values()),
            customers=self._customers,
        )
        snapshot = Snapshot(revision=self._revision, inventory=inventory, rules=Rules())
        self._shell.dispatch(SnapshotAdopted(now=self._shell.now, snapshot=snapshot))
