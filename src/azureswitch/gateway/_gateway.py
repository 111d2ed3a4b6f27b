"""One gateway process: its components, startup and graceful stop."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from random import Random
from socket import socket
from time import time

from absl import logging

from azureswitch.client import HttpHead
from azureswitch.clock import elapsed
from azureswitch.coordination.membership import Member
from azureswitch.core import Effect, TargetName
from azureswitch.gateway._handler import RequestHandler
from azureswitch.gateway._listing import difference, target_status, without_warmth
from azureswitch.gateway._log import (
    ConfigurationAdopted,
    GraceOver,
    Leaving,
    ListenerClosed,
    Started,
    Stopped,
)
from azureswitch.gateway._model import Deployment
from azureswitch.gateway._pages import MetricsPage, PathPages, ReadinessPage, StatusPage
from azureswitch.gateway._ports import Dialect, Published, Reservations
from azureswitch.gateway._prepared import Prepared, prepare
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
    Inventory,
    Rules,
    Snapshot,
    Target,
    TargetRole,
    latest,
)
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.server import HttpServer
from azureswitch.serving import (
    HostSelf,
    RetryBudget,
    ServingState,
    SnapshotAdopted,
)
from azureswitch.slices import finish
from azureswitch.status import (
    STATUS_PATH,
    ForeignCollection,
    HostStatus,
    TargetStatus,
    member_report,
)
from azureswitch.tasks import keep_running

DIGEST_PERIOD_SECONDS = 0.8
"""Seconds between periodic digests; two in a row may be lost.  Changes are sent immediately."""

DEADLINE_MARGIN_SECONDS = 0.02
"""Seconds before its deadline at which a request is ended; a busy loop is late by half of this."""

METRICS_PATH = "/metrics"

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
        foreign: Callable[[], tuple[ForeignCollection, ...]] = tuple,
        clock: Callable[[], float] = elapsed,
    ) -> None:
        self._settings = settings
        self._log = log
        self._neighbours = neighbours
        self._members = members
        self._foreign = foreign
        self._tickets = Tickets(reservations=reservations, started=self._started)
        started = int(time() * 1_000)
        retries = RetryBudget(
            share=settings.retry_share,
            burst=settings.retry_burst / settings.hosts,
            fleet_burst=settings.retry_burst,
        )
        state = ServingState(
            myself=HostSelf(name=settings.host, place=settings.place, started=started),
            seed=seed,
            retries=retries,
            digest_period=DIGEST_PERIOD_SECONDS,
            lean=True,
            deadline_margin=DEADLINE_MARGIN_SECONDS,
            full_hosts=settings.full_hosts,
            fleet_hosts=settings.hosts,
            overload_control=settings.overload_control,
        )
        self._shell = Shell(
            state=state,
            dialect=dialect,
            tickets=self._tickets,
            targets=lambda: self._targets,
            publish=publish,
            metrics=metrics,
            log=log,
            clock=clock,
        )
        self._handler = RequestHandler(
            shell=self._shell, dialect=dialect, log=log, metrics=metrics, random=Random(seed)
        )
        self._callers = HttpServer(handler=self._handler, closed=self._handler.closed)
        self._platform = HttpServer(
            handler=ReadinessPage(ready=lambda: self.ready, dialect=dialect)
        )
        pages = {
            METRICS_PATH: MetricsPage(metrics=metrics, dialect=dialect),
            STATUS_PATH: StatusPage(status=lambda: self.status, dialect=dialect),
        }
        self._pages = HttpServer(handler=PathPages(pages=pages, dialect=dialect))
        self._targets: Mapping[TargetName, Target] = {}
        self._customers: tuple[Customer, ...] = ()
        self._register_gauges(metrics)
        self._revision = 0
        self._leaving = False
        self._ticks: asyncio.Task[None] | None = None

    @property
    def shell(self) -> Shell:
        """The shell, which runs the requests."""
        return self._shell

    @property
    def deployment(self) -> Deployment | None:
        """The configuration in force, or None before the first."""
        return self._handler.deployment

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force and at least one target is listed."""
        return bool(self._handler.deployment and self._targets)

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
        return HostStatus(
            host=self._settings.host,
            place=self._settings.place,
            revision=0,
            leaving=self._leaving,
            open_calls=self._shell.open_calls,
            members=tuple(map(member_report, self._members())),
            targets=self._target_statuses(),
            foreign=self._foreign(),
        )

    def _target_statuses(self) -> tuple[TargetStatus, ...]:
        limits, cold = self._shell.limits, self._shell.cold_targets
        return tuple(
            target_status(self._targets[name], limit=limits.get(name), cold=cold.get(name))
            for name in sorted(self._targets)
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
            open_requests=self._shell.open_calls,
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

    def handle_order_answer(self, *, address: str, order: str, head: HttpHead) -> None:
        """Apply the target state (leaving, rate limit) in the head of an answer to an order."""
        for target in self._targets.values():
            if target.address == address:
                self._shell.handle_order_answer(target, head, order=order)

    def _replace_targets(self, targets: tuple[Target, ...]) -> None:
        before = self._targets
        self._targets = {target.name: latest(before.get(target.name), target) for target in targets}
        if before == self._targets:
            return
        listed, listed_before = without_warmth(self._targets), without_warmth(before)
        if listed != listed_before:
            self._log.write(difference(before, self._targets))
        for name, target in self._targets.items():
            if target.role is TargetRole.DRAINING and listed_before.get(name) != listed[name]:
                # The reducer remembers this: an older list may show the target as serving again.
                self._shell.note_leaving(target)

    def _started(self, name: TargetName) -> int:
        """Return the start of a target, or zero if it is unknown or the target is not listed."""
        target = self._targets.get(name)
        return 0 if target is None else target.started

    def _register_gauges(self, metrics: Metrics) -> None:
        metrics.watch(
            name="quarantined_requests",
            help="Requests that are sent to no target, since targets crashed under them.",
            value=lambda: self._shell.quarantined,
        )
        metrics.watch(
            name="open_requests",
            help="Requests that have not been answered.",
            value=lambda: self._shell.open_calls,
        )
        metrics.watch(
            name="configuration_version",
            help="The configuration in force; zero for none.",
            value=lambda: self._handler.deployment.version if self._handler.deployment else 0,
        )
        metrics.watch(
            name="targets_serving",
            help="Targets that take new work.",
            value=lambda: sum(t.role is TargetRole.SERVING for t in self._targets.values()),
        )
        metrics.watch(
            name="targets_draining",
            help="Targets that leave.",
            value=lambda: sum(t.role is TargetRole.DRAINING for t in self._targets.values()),
        )
        metrics.watch(
            name="targets_limited",
            help="Targets that name a limit of the requests that they take.",
            value=lambda: len(self._shell.limits),
        )
        metrics.watch(
            name="targets_cold",
            help="Targets that are cold and get few requests therefore.",
            value=lambda: len(self._shell.cold_targets),
        )
        metrics.watch(
            name="tickets_held",
            help="Reservations of engines' memory that are held.",
            value=lambda: self._tickets.held,
        )
        metrics.watch(
            name="loop_lag_seconds",
            help="How late the last regular step of the process was.",
            value=lambda: self._shell.lag,
        )
        metrics.watch(
            name="log_lines_left_out",
            help="Lines of the log that its volume did not permit.",
            value=lambda: self._log.left_out,
        )

    def _dispatch_snapshot(self) -> None:
        """Dispatch a snapshot of the current configuration and targets to the reducer."""
        deployment = self._handler.deployment
        if deployment is None:
            return
        self._revision += 1
        inventory = Inventory(
            places=self._settings.places,
            services=deployment.services,
            targets=tuple(self._targets.values()),
            customers=self._customers,
        )
        snapshot = Snapshot(revision=self._revision, inventory=inventory, rules=Rules())
        self._shell.dispatch(SnapshotAdopted(now=self._shell.now, snapshot=snapshot))
