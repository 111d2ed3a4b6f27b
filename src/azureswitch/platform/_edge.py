"""Connects a gateway to the users' platform."""

import asyncio
from functools import singledispatchmethod
from socket import socket
from time import time

from absl import logging

from azureswitch.client import HttpHead
from azureswitch.clock import elapsed
from azureswitch.coordination.membership import Member, Membership, live_hosts
from azureswitch.coordination.mirror import CopyPeers, Mirrors
from azureswitch.coordination.sharing import Digests, PermitExchange
from azureswitch.core import Effect, Incarnation
from azureswitch.exceptions import AddressUnavailableError
from azureswitch.gateway import Gateway, GatewaySettings, HostChanges, neighbours_of
from azureswitch.logs import LineStream, Log
from azureswitch.metrics import Metrics
from azureswitch.peers import PeerNetwork
from azureswitch.platform._adoption import Adoption
from azureswitch.platform._deployment import CONFIGURATION_KIND, TARGETS_KIND, entry_limit
from azureswitch.platform._dialect import PlatformDialect
from azureswitch.platform._evacuations import EVACUATIONS_KIND, EvacuationReader
from azureswitch.platform._foreign import ForeignTracker
from azureswitch.platform._orders import ORDER_TIMEOUT_SECONDS, HttpReservations
from azureswitch.platform._quarantine import QUARANTINE_KIND, StoreQuarantine
from azureswitch.platform._roster import ROSTER_KIND, HostEntry, StoreHostList
from azureswitch.platform._settings import (
    PlatformSettings,
)
from azureswitch.platform._signals import StopRequest
from azureswitch.platform._store import HttpStore
from azureswitch.platform._targets import TargetReader
from azureswitch.serving import (
    AnnounceQuarantine,
    AnswerPermit,
    AskPermit,
    CrashesRecalled,
    CrashReport,
    PeersChanged,
    PublishDigest,
    PublishTotals,
)
from azureswitch.tasks import end_tasks, keep_running

RETURN_GRACE_SECONDS = 1.8
"""Seconds for which a missing target or evacuation is kept after the store becomes available again.

Live targets register again within about 2 s, which is also the time within which a target that has
left must stop receiving new requests.  Within that time operators also write an evacuation again
that an older copy of the store lacks.
"""

STORE_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to the store, in seconds; it responds in 4 ms, or in 0.3 s when slow."""

START_WAIT_SECONDS = 0.3
"""Seconds for which callers wait for the first configuration.

They connect while the program is loading, and time out a second later.
"""

STORE_PAUSE_SECONDS = 0.15
"""Seconds between watch calls that return changes.

When the system starts, all targets register; the pause lets a call return many of these changes.
"""

RETRY_BUDGET_SHARE = 0.8
"""Fraction of the permitted retries that is used, as each host counts only its own."""

FULL_HOSTS = 128
"""Largest fleet in which each host is notified at once of the sends of all other hosts.

In a larger fleet it is notified at once only of the sends in its own failure domain.  Without such
notifications, 77 hosts chose engines by their own sends alone.
"""

SHUTDOWN_SECONDS = 0.05
"""Seconds that cancelled tasks get to end at shutdown; each needs a few event loop turns."""

METRICS_PORT = 9464
"""The port that serves metrics and status, as in the deploy file."""

MAX_FLEET_HOSTS = 420
"""Fleet size assumed for sharing the retry burst while the real one is unknown: the largest fleet.

If it were smaller, hosts of a large fleet that start together would retry more often than their
targets can bear.
"""


class Edge:
    """Runs a gateway on the platform.

    Args:
        settings: The settings file.
        log: Receives the log entries of the gateway.
        lines: Writes the log, and counts the lines that it dropped.
        seed: Seeds every random choice.
    """

    def __init__(
        self, *, settings: PlatformSettings, log: Log, lines: LineStream, seed: int
    ) -> None:
        self._metrics = Metrics()
        self._metrics.watch(
            name="log_lines_dropped",
            help="Lines of the log that its reader was too slow for.",
            value=lambda: lines.dropped,
        )
        self._foreign = ForeignTracker(
            metrics=self._metrics,
            kinds=_kinds(settings),
            clock=elapsed,
        )
        self._stores: list[HttpStore] = []
        self._store = self._connect_store(settings)
        self._changes = HostChanges(log=log)
        self._configured = asyncio.Event()
        self._gateway = Gateway(
            settings=_gateway_settings(settings),
            dialect=PlatformDialect(),
            reservations=HttpReservations(
                on_answer=self._on_order_answer,
                connector=lambda ticket: self._gateway.paths.dial(
                    request=ticket, seconds=ORDER_TIMEOUT_SECONDS, new_work=False
                ),
            ),
            publish=self._publish,
            metrics=self._metrics,
            log=log,
            seed=seed,
            neighbours=lambda: neighbours_of(
                settings.host, settings.place, self._membership.members
            ),
            members=lambda: self._membership.members,
            hosts=self._notified_hosts,
            foreign=self._foreign.report,
        )
        self._adoption = Adoption(
            gateway=self._gateway,
            reader=TargetReader(places=settings.places),
            foreign=self._foreign,
            on_configured=self._configured.set,
            evacuations=(
                EvacuationReader(places=settings.places) if settings.evacuations else None
            ),
        )
        self._quarantine = StoreQuarantine(
            store=self._store, recalled=self._recall, foreign=self._foreign
        )
        address = f"{settings.ip}:{settings.peer_ports[0]}"
        myself = Incarnation(host=settings.host, started=int(time() * 1_000))
        self._network = PeerNetwork(address=address, max_accepted=settings.limits.descriptors.peers)
        self._membership = Membership(
            myself=myself,
            place=settings.place,
            address=address,
            peers=self._network,
            hosts=StoreHostList(
                store=self._store,
                host=settings.host,
                entry=HostEntry(place=settings.place, address=address),
                foreign=self._foreign,
            ),
            seed=seed,
        )
        self._membership.on_change(self._members_changed)
        copies = CopyPeers(
            host=settings.host,
            address=address,
            peers=self._network,
            members=lambda: self._membership.members,
            expected=lambda: self._membership.expected,
            seed=seed,
        )
        mirrors = Mirrors(peers=copies)
        self._configuration = mirrors.add(
            store=self._store, kind=CONFIGURATION_KIND, publish=self._adoption.configure, seed=seed
        )
        self._targets = mirrors.add(
            store=self._connect_store(settings),
            kind=TARGETS_KIND,
            publish=self._adoption.list_targets,
            return_grace=RETURN_GRACE_SECONDS,
            seed=seed + 1,
        )
        self._evacuations = (
            mirrors.add(
                store=self._store,
                kind=EVACUATIONS_KIND,
                publish=self._adoption.list_evacuations,
                return_grace=RETURN_GRACE_SECONDS,
                seed=seed + 2,
            )
            if settings.evacuations
            else None
        )
        self._digests = Digests(
            myself=myself,
            peers=self._network,
            members=self._notified_hosts,
            dispatch=self._gateway.shell.dispatch,
            clock=elapsed,
            seed=seed,
            full_hosts=FULL_HOSTS,
        )

        self._permits = PermitExchange(
            host=settings.host,
            peers=self._network,
            members=self._notified_hosts,
            dispatch=self._gateway.shell.dispatch,
            clock=elapsed,
        )

    def reload(self, settings: PlatformSettings) -> None:
        """Apply the settings that may change while the process runs: the store's address."""
        for store in self._stores:
            store.set_address(address=settings.store.address)

    async def serve(self, stop: StopRequest, *, callers: socket | None = None) -> None:
        """Serve until a stop is requested, and then stop gracefully.

        Args:
            stop: The stop request.
            callers: A socket that already listens for callers, or None.

        Raises:
            AddressUnavailableError: An address cannot be used.
        """
        try:
            await self._network.start()
        except OSError as error:
            raise AddressUnavailableError(detail=str(error)) from error
        parts = {
            "configuration": self._configuration.run,
            "targets": self._targets.run,
            "membership": self._membership.run,
            "quarantine": self._quarantine.run,
        }
        if self._evacuations is not None:
            parts["evacuations"] = self._evacuations.run
        loops = [
            asyncio.create_task(keep_running(part, prefix="edge", name=name), name=name)
            for name, part in parts.items()
        ]
        await self._until_configured()
        try:
            await self._gateway.start(callers=callers)
        except OSError as error:
            raise AddressUnavailableError(detail=str(error)) from error
        grace_start = await stop.wait()
        leaving = asyncio.create_task(self._membership.leave(), name="leave")
        # When this returns, all requests have been answered, whatever else fails to end.
        await self._gateway.stop(told=grace_start)
        # Runs concurrently, because the grace period is almost over.
        await asyncio.gather(
            end_tasks([*loops, leaving], prefix="edge", timeout=SHUTDOWN_SECONDS),
            self._adoption.stop(timeout=SHUTDOWN_SECONDS),
            self._digests.stop(timeout=SHUTDOWN_SECONDS),
            self._quarantine.stop(timeout=SHUTDOWN_SECONDS),
            self._close_network(),
        )

    async def _close_network(self) -> None:
        try:
            async with asyncio.timeout(SHUTDOWN_SECONDS):
                await self._network.close()
        except TimeoutError:
            logging.warning("edge: Calls from peers were still open at shutdown.")

    async def _until_configured(self) -> None:
        try:
            async with asyncio.timeout(START_WAIT_SECONDS):
                await self._configured.wait()
                await self._quarantine.wait_read()
        except TimeoutError:
            if not self._configured.is_set():
                logging.warning("edge: There is no configuration yet; requests are refused.")

    @singledispatchmethod
    def _publish(self, effect: Effect) -> None:
        raise TypeError(effect)

    @_publish.register
    def _(self, effect: PublishDigest) -> None:
        self._digests.publish(
            effect.digest, regular=effect.regular, places=effect.places, may_wait=effect.may_wait
        )

    @_publish.register
    def _(self, effect: PublishTotals) -> None:
        self._digests.publish_totals(effect.totals)

    @_publish.register
    def _(self, effect: AnnounceQuarantine) -> None:
        change = effect.change
        if change.keep and change.ended:
            self._quarantine.remove(change.report)
        elif change.keep:
            self._quarantine.keep(change.report)

    @_publish.register
    def _(self, effect: AskPermit) -> None:
        self._permits.ask(effect)

    @_publish.register
    def _(self, effect: AnswerPermit) -> None:
        self._permits.answer(effect)

    def _on_order_answer(self, address: str, ticket: str, head: HttpHead) -> None:
        self._gateway.handle_order_answer(address=address, order=ticket, head=head)

    def _recall(self, reports: tuple[CrashReport, ...]) -> None:
        shell = self._gateway.shell
        shell.dispatch(CrashesRecalled(now=shell.now, reports=reports))

    def _notified_hosts(self) -> tuple[Member, ...]:
        """Return the hosts that are notified of sends: members, and hosts expected to join.

        Of 195 hosts that start together, each knows 40 of the others after 1.5 s and 179 after 3 s
        (in virtual time), but finds all of them in the host list once it has started.
        """
        return self._membership.members + self._membership.expected

    def _members_changed(self, members: tuple[Member, ...]) -> None:
        hosts = live_hosts(members + self._membership.expected)
        self._changes.note_hosts(hosts)
        self._changes.note_processes(members)
        shell = self._gateway.shell
        size = self._membership.fleet_size
        fleet_size = MAX_FLEET_HOSTS if size is None else size
        shell.dispatch(PeersChanged(now=shell.now, hosts=hosts, fleet_size=fleet_size))

    def _connect_store(self, settings: PlatformSettings) -> HttpStore:
        store = HttpStore(
            address=settings.store.address,
            timeout=STORE_TIMEOUT_SECONDS,
            pause=STORE_PAUSE_SECONDS,
            called=self._count_call,
            unnamed=self._foreign.update_unnamed,
            restored=self._store_restored,
            limit=entry_limit,
        )
        self._stores.append(store)
        return store

    def _store_restored(self, era: int) -> None:
        """Rewrite the quarantine entries that a restored store may have lost.

        Targets and operators rewrite their own entries.
        """
        logging.warning("edge: The store came back from an older copy; its era is %d.", era)
        self._metrics.count(
            name="store_restorations",
            help="Times that the store came back from an older copy, as each way to it saw.",
        )
        self._quarantine.write_again()

    def _count_call(self, method: str, kind: str, result: str) -> None:
        self._metrics.count(
            name="store_calls",
            help="Calls to the platform's store, by kind of object and result.",
            method=method,
            kind=kind,
            result=result,
        )


def _kinds(settings: PlatformSettings) -> tuple[str, ...]:
    """Return the kinds of object that are read, whose entries may be foreign."""
    kinds = (CONFIGURATION_KIND, TARGETS_KIND, ROSTER_KIND, QUARANTINE_KIND)
    return (*kinds, EVACUATIONS_KIND) if settings.evacuations else kinds


def _gateway_settings(settings: PlatformSettings) -> GatewaySettings:
    return GatewaySettings(
        host=settings.host,
        place=settings.place,
        places=settings.places,
        callers=settings.addresses.callers,
        readiness=settings.addresses.readiness,
        metrics=f"{settings.ip}:{METRICS_PORT}",
        grace=settings.bounds.grace_seconds,
        retry_share=settings.bounds.retry_ratio * RETRY_BUDGET_SHARE,
        retry_burst=settings.bounds.retry_slack * RETRY_BUDGET_SHARE,
        hosts=MAX_FLEET_HOSTS,
        full_hosts=FULL_HOSTS,
        tunnels=settings.tunnels,
        evacuations=settings.evacuations,
        memory=settings.limits.memory,
        descriptors=settings.limits.descriptors,
    )
