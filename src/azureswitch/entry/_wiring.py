"""Creates and connects the components of an entry host."""

from collections.abc import Callable, Coroutine, Mapping
from time import time

from absl import logging
from msgspec import Struct

from azureswitch.clock import elapsed
from azureswitch.coordination.claims import Claims
from azureswitch.coordination.configuration import Configuration
from azureswitch.coordination.journal import Journal
from azureswitch.coordination.membership import Member, Membership, live_hosts
from azureswitch.coordination.memory import Sweeper
from azureswitch.coordination.orders import OrderKeeper, Wanted, wanted_from
from azureswitch.coordination.sharing import Digests
from azureswitch.core import CallId, Incarnation, TargetName
from azureswitch.engines import HttpEngine, HttpPlainTarget
from azureswitch.entry._caches import CacheFollower
from azureswitch.entry._claiming import FleetClaims
from azureswitch.entry._jobtable import JobTable
from azureswitch.entry._polls import Poller
from azureswitch.entry._settings import EntrySettings
from azureswitch.entry._shell import Shell
from azureswitch.entry._targets import EngineFactory, PlainTargetFactory, Targets
from azureswitch.exceptions import SnapshotUnreadableError
from azureswitch.inventory import (
    LONGEST_KEY_RETENTION,
    SHORTEST_KEY_RETENTION,
    Target,
    decode,
)
from azureswitch.metrics import Metrics, watch_evacuations
from azureswitch.peers import PeerNetwork
from azureswitch.platform import HttpHostList, HttpStore
from azureswitch.ports import Engine, HostList, Peers, PlainTarget, Store
from azureswitch.serving import Digest, HostSelf, PeersChanged


def http_engine(target: Target) -> Engine:
    """Return the port of an engine over HTTP."""
    return HttpEngine(target=target.name, address=target.address)


def http_plain_target(target: Target) -> PlainTarget:
    """Return the port of a plain target over HTTP."""
    return HttpPlainTarget(target=target.name, address=target.address)


class EntryPorts(Struct, frozen=True, kw_only=True):
    """The external interfaces of a host, which tests replace by fakes.

    Attributes:
        store: The platform's object store.
        hosts: The platform's host list.
        peers: Sends messages to other hosts.
        address: ``IP:PORT`` on which peers reach this host.
        engine: Creates the port of an engine.
        plain: Creates the port of a plain target.
    """

    store: Store
    hosts: HostList
    peers: Peers
    address: str
    engine: EngineFactory = http_engine
    plain: PlainTargetFactory = http_plain_target


def http_ports(settings: EntrySettings, network: PeerNetwork) -> EntryPorts:
    """Return the ports that the settings specify; the network must be listening."""
    return EntryPorts(
        store=HttpStore(address=str(settings.store)),
        hosts=HttpHostList(address=str(settings.hosts)),
        peers=network,
        address=network.address,
    )


class Parts:
    """The connected components of one process.

    Args:
        settings: The settings.
        ports: The external interfaces.
        seed: Seeds all random choices of this process.
    """

    def __init__(self, *, settings: EntrySettings, ports: EntryPorts, seed: int) -> None:
        self._myself = Incarnation(host=settings.host, started=int(time() * 1_000))
        self._ports = ports
        self._seed = seed
        self._unreadable = 0
        self._metrics = Metrics()
        self._targets = Targets(engine=ports.engine, plain=ports.plain)
        self._membership = Membership(
            myself=self._myself,
            place=settings.place,
            address=ports.address,
            peers=ports.peers,
            hosts=ports.hosts,
            seed=seed,
        )
        self._claims = Claims(
            myself=self._myself,
            store=ports.store,
            peers=ports.peers,
            members=self._members,
            seed=seed,
            # Until the rules are known, keys are kept for the longest time that rules permit.
            retention=LONGEST_KEY_RETENTION,
        )
        self._journal = Journal(
            myself=self._myself,
            store=ports.store,
            peers=ports.peers,
            members=self._members,
            seed=seed,
            engines=self._engines,
        )
        self._jobs = JobTable(
            peers=ports.peers, retention=settings.limits.job_retention, clock=elapsed
        )
        self._shell = Shell(
            myself=HostSelf(name=settings.host, place=settings.place, started=self._myself.started),
            seed=seed,
            targets=self._targets,
            claims=FleetClaims(claims=self._claims),
            jobs=self._journal,
            publish=self._publish,
            metrics=self._metrics,
            limits=settings.limits,
        )
        self._digests = Digests(
            myself=self._myself,
            peers=ports.peers,
            members=self._members,
            dispatch=self._shell.dispatch,
            clock=elapsed,
            seed=seed,
        )
        self._poller = Poller(
            host=settings.host,
            targets=self._targets,
            peers=ports.peers,
            members=self._members,
            dispatch=self._shell.dispatch,
            clock=elapsed,
            seed=seed,
        )
        self._caches = CacheFollower(
            host=settings.host,
            targets=self._targets,
            dispatch=self._shell.dispatch,
            clock=elapsed,
            seed=seed,
        )
        self._sweeper = Sweeper(
            myself=self._myself,
            members=self._members,
            engines=self._engines,
            peers=ports.peers,
            running=self._is_running,
            seed=seed,
        )
        self._configuration = Configuration(
            store=ports.store,
            peers=ports.peers,
            members=self._members,
            myself=self._myself,
            place=settings.place,
            address=ports.address,
            hosts=ports.hosts,
            seed=seed,
        )
        self._orders = OrderKeeper(
            myself=self._myself,
            store=ports.store,
            members=self._members,
            engines=self._engines,
            wanted=self._wanted,
            seed=seed,
        )
        self._connect()

    @property
    def myself(self) -> Incarnation:
        """This process."""
        return self._myself

    @property
    def shell(self) -> Shell:
        """Runs requests."""
        return self._shell

    @property
    def metrics(self) -> Metrics:
        """The metrics."""
        return self._metrics

    @property
    def membership(self) -> Membership:
        """The membership of the fleet."""
        return self._membership

    @property
    def claims(self) -> Claims:
        """The claims of the fleet."""
        return self._claims

    @property
    def journal(self) -> Journal:
        """The journal of long work."""
        return self._journal

    @property
    def jobs(self) -> JobTable:
        """The jobs of this host."""
        return self._jobs

    @property
    def unreadable(self) -> int:
        """The accepted revision that this host could not decode and did not adopt, or zero."""
        return self._unreadable

    @property
    def peers(self) -> Peers:
        """Sends messages to other hosts."""
        return self._ports.peers

    async def leave(self) -> None:
        """Notify the other hosts that this one leaves, and release its leases of orders."""
        await self._membership.leave()
        await self._orders.stop()

    @property
    def loops(self) -> Mapping[str, Callable[[], Coroutine[object, object, None]]]:
        """The background loops of the process, by name."""
        return {
            "membership": self._membership.run,
            "configuration": self._configuration.run,
            "claims": self._claims.run,
            "journal": self._journal.run,
            "sweeper": self._sweeper.run,
            "polls": self._poller.run,
            "caches": self._caches.run,
            "orders": self._orders.run,
            "shell": self._shell.run,
        }

    async def stop(self) -> None:
        """Cancel the background tasks of components without a loop."""
        await self._digests.stop()
        await self._shell.stop()

    def _publish(self, digest: Digest) -> None:
        self._digests.publish(digest)

    def _members(self) -> tuple[Member, ...]:
        return self._membership.members

    def _is_running(self, call: CallId, attempt: int) -> bool:
        return self._shell.is_running(call, attempt) or self._journal.keeps(
            call=call, attempt=attempt
        )

    def _engines(self) -> Mapping[TargetName, Engine]:
        ports = ((name, self._targets.engine(name)) for name in self._targets.engines)
        return {name: port for name, port in ports if port is not None}

    def _wanted(self) -> tuple[Wanted, ...]:
        snapshot = self._shell.directory.snapshot
        return wanted_from(snapshot) if snapshot else ()

    def _connect(self) -> None:
        self._membership.on_change(self._members_changed)
        self._configuration.on_adopt(self._adopt)
        self._metrics.watch(
            name="open_calls",
            help="Requests that have not ended.",
            value=lambda: self._shell.open_calls,
        )
        self._metrics.watch(
            name="revision",
            help="The revision in force.",
            value=lambda: self._shell.directory.revision,
        )
        self._metrics.watch(
            name="unreadable_revision",
            help="The accepted revision that this host could not read; zero for none.",
            value=lambda: self._unreadable,
        )
        watch_evacuations(self._metrics, evacuations=lambda: self._shell.evacuations)
        self._metrics.watch(
            name="members",
            help="Hosts that are not dead.",
            value=lambda: len(self._membership.members),
        )
        self._metrics.watch(
            name="unreported_outcomes",
            help="Outcomes of claimed calls that are not in the store yet.",
            value=lambda: self._claims.unreported,
        )

    def _members_changed(self, members: tuple[Member, ...]) -> None:
        self._shell.dispatch(PeersChanged(now=self._shell.now, hosts=live_hosts(members)))

    def _adopt(self, revision: int, body: bytes) -> None:
        # If this fails, the revision in force stays; a later one may be readable.
        self._unreadable = revision
        try:
            snapshot = decode(body, revision=revision)
            self._shell.adopt(snapshot)
        except SnapshotUnreadableError as error:
            logging.error("entry: %s", error)
            return
        self._unreadable = 0
        self._claims.retention = max(SHORTEST_KEY_RETENTION, snapshot.rules.key_retention)
        self._membership.set_revision(revision)
