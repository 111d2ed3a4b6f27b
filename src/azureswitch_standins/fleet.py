"""Fleets of memberships on one in-memory network, for tests and benchmarks."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections import Counter
from collections.abc import Callable

from msgspec import Struct, field

from azureswitch.coordination.configuration import Configuration
from azureswitch.coordination.membership import Member, Membership, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.ports import HostStatus, ListedHost
from azureswitch_standins.hosts import HostListFake
from azureswitch_standins.peers import PeersFake, PeersNetworkFake
from azureswitch_standins.store import CallKind, StoreFake, StoreFaults, StoreModel

_EPOCH = 1_700_000_000_000


class CountedStoreFake(StoreFake):
    """A store client that counts attempted calls, also while the store is down."""

    def __init__(self, *, model: StoreModel) -> None:
        super().__init__(model=model)
        self._tries: Counter[int] = Counter()

    @property
    def tries(self) -> Counter[int]:
        """Number of attempted calls, by second."""
        return self._tries

    async def _enter(self, *, call: CallKind, key: str) -> None:
        self._tries[int(get_running_loop().time())] += 1
        await super()._enter(call=call, key=key)


class FleetHost(Struct, kw_only=True):
    """One host of a fleet.

    Attributes:
        name: Its name.
        place: Its failure domain.
        address: Where peers reach it.
        peers: Its client for messages to other hosts.
        membership: Its view of the fleet.
        store: Its store client, with its own faults.
        configuration: The configuration in force on it; None in a fleet without a store.
        adopted: The revisions that came into force on it, in order.
        tasks: The tasks that run its membership and configuration.
    """

    name: HostName
    place: PlaceName
    address: str
    peers: PeersFake
    membership: Membership
    store: CountedStoreFake
    configuration: Configuration | None = None
    adopted: list[int] = field(default_factory=list)
    tasks: list[Task[None]] = field(default_factory=list)


class FleetFake:
    """Hosts with the real membership over fake peers.

    Args:
        places: Number of failure domains, to which hosts are assigned in rotation.
        seed: Seeds the network and every host.
        configured: Whether the hosts keep a configuration in force from the store.
    """

    def __init__(self, *, places: int = 3, seed: int = 1, configured: bool = False) -> None:
        self.model = StoreModel()
        self.network = PeersNetworkFake(seed=seed)
        self.listed = HostListFake()
        self._places = places
        self._seed = seed
        self._configured = configured
        self._store_down = False
        self._added = 0
        self._hosts: dict[HostName, FleetHost] = {}
        self._killed: list[FleetHost] = []

    @property
    def hosts(self) -> tuple[FleetHost, ...]:
        """Hosts that were not killed."""
        return tuple(self._hosts.values())

    @property
    def tries(self) -> Counter[int]:
        """Number of store calls attempted by all hosts, killed ones included, by second."""
        total: Counter[int] = Counter()
        for host in (*self._killed, *self.hosts):
            total.update(host.store.tries)
        return total

    @property
    def watchers(self) -> tuple[FleetHost, ...]:
        """Hosts that watch the store."""
        return tuple(item for item in self.hosts if _watches(item))

    def add(self, count: int = 1) -> tuple[FleetHost, ...]:
        """Start hosts and list them."""
        return tuple(self._add() for _ in range(count))

    def kill(self, host: FleetHost) -> None:
        """Stop a host without announcing it; it remains in the host list."""
        self.network.stop(address=host.address)
        for task in host.tasks:
            task.cancel()
        self._killed.append(self._hosts.pop(host.name))

    def pause(self, host: FleetHost) -> None:
        """Pause a host's process: it sends nothing, receives nothing and runs no timer."""
        self.network.pause(address=host.address)
        # A timer that is due during the pause runs once after it, as in a real process.
        host.membership._feed = lambda event: ()  # type: ignore[method-assign]

    def resume(self, host: FleetHost) -> None:
        """Resume a paused process, which then receives what was sent to it meanwhile."""
        del host.membership._feed
        self.network.resume(address=host.address)

    def set_store(self, *, down: bool) -> None:
        """Set whether the store is down for all hosts."""
        self._store_down = down
        for host in self.hosts:
            host.store.faults = StoreFaults(down=down)

    def in_force(self, revision: int) -> bool:
        """Whether a revision is in force on every host."""
        return all(host.adopted[-1:] == [revision] for host in self.hosts)

    def host(self, name: str) -> FleetHost:
        """Return a host by name."""
        return self._hosts[HostName(name)]

    def all_see(self, condition: Callable[[tuple[Member, ...]], bool]) -> bool:
        """Whether a condition holds for the view of every host."""
        return all(condition(host.membership.members) for host in self.hosts)

    def complete(self) -> bool:
        """Whether every host sees exactly the hosts that were not killed, none suspected."""
        names = set(self._hosts)
        return self.all_see(
            lambda members: {member.incarnation.host for member in members} == names
            and all(member.status is not MemberStatus.SUSPECT for member in members)
        )

    def _add(self) -> FleetHost:
        index = self._added
        self._added += 1
        name = HostName(f"entry-{index:03d}")
        place = PlaceName(f"zone-{index % self._places}")
        address = f"10.0.{index // 250}.{index % 250}:7000"
        peers = self.network.peers(address=address)
        myself = Incarnation(host=name, started=_EPOCH + index)
        membership = Membership(
            myself=myself,
            place=place,
            address=address,
            peers=peers,
            hosts=self.listed,
            seed=self._seed * 10_000 + index,
        )
        host = FleetHost(
            name=name,
            place=place,
            address=address,
            peers=peers,
            membership=membership,
            store=CountedStoreFake(model=self.model),
        )
        host.store.faults = StoreFaults(down=self._store_down)
        host.tasks.append(create_task(membership.run()))
        self._hosts[name] = host
        if self._configured:
            self._configure(host, myself)
        self.listed.put(
            host=ListedHost(name=name, place=place, address=address, status=HostStatus.LIVE)
        )
        return host

    def _configure(self, host: FleetHost, myself: Incarnation) -> None:
        configuration = Configuration(
            store=host.store,
            peers=host.peers,
            members=lambda: host.membership.members,
            myself=myself,
            place=host.place,
            hosts=self.listed,
            seed=self._seed * 20_000 + self._added,
        )
        configuration.on_adopt(lambda revision, _: host.adopted.append(revision))
        configuration.on_adopt(lambda revision, _: host.membership.set_revision(revision))
        host.configuration = configuration
        host.tasks.append(create_task(configuration.run()))


def _watches(host: FleetHost) -> bool:
    return host.configuration is not None and host.configuration.watching


async def until(condition: Callable[[], bool], *, limit: float, step: float = 0.05) -> float:
    """Wait until a condition holds.

    Args:
        condition: What to wait for.
        limit: Seconds to wait at most.
        step: Seconds between two looks.

    Returns:
        The seconds that it took.

    Raises:
        TimeoutError: It does not hold after ``limit`` seconds.
    """
    start = get_running_loop().time()
    while not condition():
        if get_running_loop().time() - start > limit:
            raise TimeoutError
        await sleep(step)
    return get_running_loop().time() - start
