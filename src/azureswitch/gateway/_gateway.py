"""One gateway process: its parts, and how it starts and stops."""

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
from azureswitch.gateway._handler import Front
from azureswitch.gateway._log import (
    ConfigurationAdopted,
    GraceOver,
    Leaving,
    ListenerClosed,
    Started,
    Stopped,
    TargetsChanged,
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
    started_again,
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

DIGEST_PERIOD = 0.8
"""Seconds between two regular digests, of which two in a row may get lost; news is told at once."""

DEADLINE_MARGIN = 0.02
"""Seconds before its deadline at which a request is ended, as a busy loop is late by half of it."""

METRICS_PATH = "/metrics"

RELEASE_SECONDS = 0.05
"""Seconds for which a process that ends tells engines that memory is free."""

STOP_CHECK = 0.05
"""Seconds between two looks which step of a stop is due."""


class Gateway:
    """Serves callers as one of many alike processes.

    Args:
        settings: What it is told at its start.
        dialect: The headers towards callers and targets.
        reservations: How engines set memory aside.
        publish: Tells the peers what the reducer asks for.
        metrics: Counts and measures.
        log: Takes what is decided.
        seed: Seeds every random choice.
        neighbours: Returns what the other hosts of its failure domain do.
        members: Returns the hosts known now, for operators.
        foreign: Returns the entries of the store that are foreign now, for operators.
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
            digest_period=DIGEST_PERIOD,
            lean=True,
            deadline_margin=DEADLINE_MARGIN,
            full_hosts=settings.full_hosts,
            fleet_hosts=settings.hosts,
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
        self._front = Front(
            shell=self._shell, dialect=dialect, log=log, metrics=metrics, random=Random(seed)
        )
        self._callers = HttpServer(handler=self._front, closed=self._front.closed)
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
        self._watch(metrics)
        self._revision = 0
        self._leaving = False
        self._ticks: asyncio.Task[None] | None = None

    @property
    def shell(self) -> Shell:
        """Runs the requests."""
        return self._shell

    @property
    def deployment(self) -> Deployment | None:
        """The configuration in force, or None before the first."""
        return self._front.deployment

    @property
    def configured(self) -> bool:
        """Whether there is a configuration, and a target to send requests to."""
        return bool(self._front.deployment and self._targets)

    @property
    def ready(self) -> bool:
        """Whether this process takes new connections."""
        return self.configured and not self._leaving

    @property
    def callers_address(self) -> str:
        """``IP:PORT`` on which callers are served, known once it listens."""
        return self._callers.address

    @property
    def readiness_address(self) -> str:
        """``IP:PORT`` on which it says whether it takes new connections."""
        return self._platform.address

    @property
    def pages_address(self) -> str:
        """``IP:PORT`` on which metrics and status are read, known once it listens."""
        return self._pages.address

    @property
    def status(self) -> HostStatus:
        """What this host knows of the fleet.

        The platform's configuration is no revision that the operators' program accepted, so that
        none is told.
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
        limits = self._shell.limits
        return tuple(
            _target_status(self._targets[name], limit=limits.get(name))
            for name in sorted(self._targets)
        )

    async def start(self, *, callers: socket | None = None) -> None:
        """Listen.

        Args:
            callers: A socket that listens for callers already, in place of the settings' address.

        Raises:
            OSError: An address cannot be used.
        """
        await self._platform.start(address=self._settings.readiness)
        await self._pages.start(address=self._settings.metrics)
        # Last: callers who connected would be cut off where one of the others cannot be bound.
        if callers is None:
            await self._callers.start(address=self._settings.callers)
        else:
            await self._callers.take(listener=callers)
        self._ticks = asyncio.create_task(
            keep_running(self._shell.run, prefix="gateway", name="ticks")
        )
        self._log.write(Started(callers=self.callers_address, readiness=self.readiness_address))

    async def stop(self, *, told: float | None = None) -> None:
        """Let others take over, answer what is here, and return within the time of grace.

        Args:
            told: Since when that time counts, in seconds of the monotonic clock; None for now.
        """
        stop = begin_stop(now=self._shell.now, grace=self._settings.grace, told=told)
        self._leaving = True
        self._front.close()
        self._shell.begin_shutdown(until=stop.end)
        self._log.write(Leaving(open_requests=self._shell.open_calls))
        try:
            await self._follow(stop)
        except Exception:
            logging.exception("gateway: A step of the stop failed; what is open is decided now.")
            await self._shell.end()
        await self._tickets.stop(timeout=RELEASE_SECONDS)
        self._shell.report_cut_off()
        self._log.write(Stopped(seconds=round(self._shell.now - stop.told, 3)))
        self._end(self._platform, self._pages)

    async def _follow(self, stop: Stopping) -> None:
        """Take the steps of a stop as they are due, until the process may end."""
        while stop.phase is not Phase.OVER:
            for effect in advance(stop, self._look()):
                await self._take_step(effect)
            await asyncio.sleep(STOP_CHECK)

    def _look(self) -> StopObserved:
        """Return what this process sees of itself and of its neighbours as it stops."""
        return StopObserved(
            now=self._shell.now,
            connections=self._callers.connections,
            open_requests=self._shell.open_calls,
            neighbours=self._neighbours(),
        )

    @singledispatchmethod
    async def _take_step(self, effect: Effect) -> None:
        raise TypeError(effect)

    @_take_step.register
    async def _(self, effect: CloseListener) -> None:
        await self._callers.finish_listening()
        self._log.write(ListenerClosed(open_requests=self._shell.open_calls))

    @_take_step.register
    async def _(self, effect: CloseIdle) -> None:
        self._callers.close_idle()

    @_take_step.register
    async def _(self, effect: EndRequests) -> None:
        self._log.write(GraceOver(open_requests=self._shell.open_calls))
        # Before the process goes: what the end of the event loop calls off gets no answer.
        await self._shell.end()

    def abort(self) -> None:
        """End at once, whatever is open."""
        self._end(self._callers, self._platform, self._pages)

    def _end(self, *servers: HttpServer) -> None:
        """Close what servers have open, and let no more time pass for requests."""
        for server in servers:
            server.stop_listening()
            server.abort()
        if self._ticks is not None:
            self._ticks.cancel()

    def adopt(self, deployment: Deployment) -> None:
        """Serve by a configuration, unless the same or a later one is in force."""
        self.activate(finish(prepare(deployment)))

    def is_newer(self, deployment: Deployment) -> bool:
        """Return whether a configuration is later than the one in force."""
        return self._front.is_newer(deployment)

    def activate(self, prepared: Prepared, *, targets: tuple[Target, ...] | None = None) -> None:
        """Serve by a configuration, unless the same or a later one is in force.

        Args:
            prepared: The configuration.
            targets: The targets as it names them, or None for those of now.
        """
        before = self._front.deployment
        if not self._front.adopt(prepared):
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
            self._take_targets(targets)
        self._revise()

    def set_targets(self, targets: tuple[Target, ...]) -> None:
        """Send requests to these targets alone from now on."""
        self._take_targets(targets)
        self._revise()

    def handle_order_answer(self, *, address: str, order: str, head: HttpHead) -> None:
        """Take what the target at an address says of itself in the answer to an order."""
        for target in self._targets.values():
            if target.address == address:
                self._shell.handle_order_answer(target, head, order=order)

    def _take_targets(self, targets: tuple[Target, ...]) -> None:
        before = self._targets
        self._targets = {target.name: latest(before.get(target.name), target) for target in targets}
        if before != self._targets:
            self._log.write(_difference(before, self._targets))
        for name, target in self._targets.items():
            if target.role is TargetRole.DRAINING and before.get(name) != target:
                # Kept by the reducer: an older list may show it as serving again.
                self._shell.note_leaving(target)

    def _started(self, name: TargetName) -> int:
        """Return the start known of a target, or zero where it does not say or is not listed."""
        target = self._targets.get(name)
        return 0 if target is None else target.started

    def _watch(self, metrics: Metrics) -> None:
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
            value=lambda: self._front.deployment.version if self._front.deployment else 0,
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

    def _revise(self) -> None:
        """Hand the reducer the configuration and the targets of this moment."""
        deployment = self._front.deployment
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


def _target_status(target: Target, *, limit: float | None) -> TargetStatus:
    return TargetStatus(
        name=target.name,
        place=target.place,
        state=target.role.value,
        started=target.started,
        limit=limit,
    )


def _difference(
    before: Mapping[TargetName, Target], after: Mapping[TargetName, Target]
) -> TargetsChanged:
    draining = [target.name for target in after.values() if target.role is TargetRole.DRAINING]
    restarted = [name for name, target in after.items() if started_again(before.get(name), target)]
    return TargetsChanged(
        added=",".join(sorted(after.keys() - before.keys())),
        gone=",".join(sorted(before.keys() - after.keys())),
        restarted=",".join(sorted(restarted)),
        draining=",".join(sorted(draining)),
        serving=len(after) - len(draining),
    )
