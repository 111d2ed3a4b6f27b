"""Evacuations of failure domains, as operators write them to the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from time import monotonic

import msgspec
import pytest

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.mirror import CopyPeers, Mirrors
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.gateway import _evacuations as waiting
from azureswitch.inventory import Place
from azureswitch.metrics import Metrics
from azureswitch.platform import EVACUATIONS_KIND, EvacuationReader, Fault, HttpStore, TargetReader
from azureswitch.platform._adoption import Adoption
from azureswitch.platform._edge import RETURN_GRACE_SECONDS
from azureswitch.platform._foreign import ForeignTracker
from azureswitch.ports import Store, StoredObject
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel, StoreStandin
from tests.gateway.fixtures import deployment, make_gateway
from tests.platform.processes import NETWORK, edge, metric, page, run, until_metric
from tests.platform.test_adoption import shown
from tests.platform.test_edge import fill
from tests.waiting import PATIENCE, reach

PLACES = tuple(Place(name=PlaceName(name), region="r") for name in ("p1", "p2"))

IN_FORCE_SECONDS = 1.0
"""Seconds within which an evacuation is in force at hosts that the store or a peer reaches."""


def stored(name: str, *, value: bytes = b"{}", version: int = 1) -> StoredObject:
    """Return the entry of an evacuation."""
    return StoredObject(kind=EVACUATIONS_KIND, name=name, version=version, value=value)


class TestReader:
    """`EvacuationReader`."""

    @pytest.mark.parametrize(
        ("names", "evacuated", "foreign"),
        [
            ((), set(), ()),
            (("p1",), {"p1"}, ()),
            (("p1", "p2"), {"p1", "p2"}, ()),
            (("p3",), set(), ("p3",)),
            (("P1", "p2", ""), {"p2"}, ("P1", "")),
        ],
        ids=["none", "one", "all", "unknown", "mixed"],
    )
    def test_names(
        self, names: tuple[str, ...], evacuated: set[str], foreign: tuple[str, ...]
    ) -> None:
        """Guards against an entry with an unknown name that has an effect, or hides another."""
        found = EvacuationReader(places=PLACES).read(map(stored, names))
        assert set(found.evacuations) == evacuated
        assert tuple(entry.name for entry in found.foreign) == foreign
        assert {entry.fault for entry in found.foreign} <= {Fault.UNKNOWN_PLACE}

    @pytest.mark.parametrize("value", [b"{}", b"", b"null", b"[1", b"\xff", b'{"Zone":"p2"}'])
    def test_content(self, value: bytes) -> None:
        """Guards against an evacuation that is ignored because of what its entry contains."""
        found = EvacuationReader(places=PLACES).read([stored("p1", value=value)])
        assert set(found.evacuations) == {"p1"}
        assert not found.foreign

    def test_since(self) -> None:
        """Guards against a start that moves while the entry stays, or outlasts its removal."""
        times = iter([1.0, 2.0, 3.0])
        reader = EvacuationReader(places=PLACES, clock=lambda: next(times))
        readings = [[stored("p1")], [stored("p1", version=2)], [], [stored("p1", version=4)]]
        since = [
            [evacuation.since for evacuation in reader.read(items).evacuations.values()]
            for items in readings
        ]
        assert since == [[1_000], [1_000], [], [2_000]]


class Hosts:
    """Hosts whose gateways apply the evacuations of one store.

    Args:
        model: The objects of the store.
        stores: The way of each host to the store.
    """

    def __init__(self, *, model: StoreModel, stores: Sequence[Store]) -> None:
        self.model = model
        self.stores = stores
        self.metrics = Metrics()
        self._network = PeersNetworkFake()
        self._members = tuple(
            Member(
                incarnation=Incarnation(host=HostName(f"h{index}"), started=1),
                place=PlaceName("p1"),
                address=f"127.0.0.1:{index}",
                status=MemberStatus.ALIVE,
            )
            for index in range(len(stores))
        )
        self.gateways = tuple(make_gateway(evacuations=True) for _ in self.stores)
        self._mirrors = tuple(map(self._mirror, range(len(stores))))
        self._tasks: list[asyncio.Task[None]] = []

    def _mirror(self, index: int) -> Callable[[], Awaitable[None]]:
        member = self._members[index]
        foreign = ForeignTracker(
            metrics=self.metrics if index == 0 else Metrics(),
            kinds=(EVACUATIONS_KIND,),
            clock=lambda: 0.0,
        )
        adoption = Adoption(
            gateway=self.gateways[index],
            reader=TargetReader(),
            foreign=foreign,
            on_configured=lambda: None,
            evacuations=EvacuationReader(places=PLACES),
        )
        peers = CopyPeers(
            host=member.incarnation.host,
            address=member.address,
            peers=self._network.peers(address=member.address),
            members=lambda: self._members,
        )
        mirror = Mirrors(peers=peers).add(
            store=self.stores[index],
            kind=EVACUATIONS_KIND,
            publish=adoption.list_evacuations,
            return_grace=RETURN_GRACE_SECONDS,
            seed=index,
        )
        return mirror.run

    def start(self, index: int) -> None:
        """Start a host that has a configuration."""
        self._tasks.append(asyncio.ensure_future(self._mirrors[index]()))
        self.gateways[index].adopt(deployment())

    async def stop(self) -> None:
        """Stop all hosts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    def evacuated(self) -> list[set[str]]:
        """Return the evacuated failure domains of each host."""
        return [
            {shown.place for shown in gateway.status.evacuations or ()} for gateway in self.gateways
        ]

    async def evacuate(self, name: str) -> None:
        """Create the object of an evacuation, past the faults of the hosts' ways."""
        self.model.create(kind=EVACUATIONS_KIND, name=name, value=b"{}")

    async def restore(self, name: str) -> None:
        """Remove the object of an evacuation."""
        version = self.model.get(kind=EVACUATIONS_KIND, name=name).version
        self.model.delete(kind=EVACUATIONS_KIND, name=name, version=version)


def play(act: Callable[[Hosts], Awaitable[None]], *, starting: int = 2) -> None:
    """Run a scenario of two hosts in virtual time, some of which have run for a while."""

    async def scenario() -> None:
        model = StoreModel()
        hosts = Hosts(model=model, stores=[StoreFake(model=model) for _ in range(2)])
        for index in range(starting):
            hosts.start(index)
        await asyncio.sleep(3.0)
        try:
            await act(hosts)
        finally:
            await hosts.stop()

    run_virtual(scenario())


class TestStore:
    """Evacuations at two hosts, through failures of the store."""

    def test_follows(self) -> None:
        """Guards against an evacuation, or its end, that is not in force within 1 s."""

        async def act(hosts: Hosts) -> None:
            for _ in range(3):
                await hosts.evacuate("p1")
                await asyncio.sleep(IN_FORCE_SECONDS)
                assert hosts.evacuated() == [{"p1"}] * 2
                await hosts.restore("p1")
                await asyncio.sleep(IN_FORCE_SECONDS)
                assert hosts.evacuated() == [set()] * 2

        play(act)

    def test_rejected(self) -> None:
        """Guards against a host that the store rejects and that misses an evacuation."""

        async def act(hosts: Hosts) -> None:
            hosts.stores[1].faults = StoreFaults(down=True)
            await hosts.evacuate("p1")
            await asyncio.sleep(2.0 * IN_FORCE_SECONDS)
            assert hosts.evacuated() == [{"p1"}] * 2

        play(act)

    def test_store_down(self) -> None:
        """Guards against an evacuation that ends because the store is down."""

        async def act(hosts: Hosts) -> None:
            await hosts.evacuate("p1")
            await asyncio.sleep(IN_FORCE_SECONDS)
            for store in hosts.stores:
                store.faults = StoreFaults(down=True)
            await asyncio.sleep(60.0)
            assert hosts.evacuated() == [{"p1"}] * 2

        play(act)

    def test_history_dropped(self) -> None:
        """Guards against a change that is missed because the store has dropped its history."""

        async def act(hosts: Hosts) -> None:
            for store in hosts.stores:
                store.faults = StoreFaults(down=True)
            await asyncio.sleep(0.3)
            await hosts.evacuate("p1")
            hosts.model.compact()
            for store in hosts.stores:
                store.faults = StoreFaults()
            await asyncio.sleep(2.0 * IN_FORCE_SECONDS)
            assert hosts.evacuated() == [{"p1"}] * 2

        play(act)

    def test_between_readings(self) -> None:
        """Guards against an object that is applied although it was removed before it was read."""

        async def act(hosts: Hosts) -> None:
            for store in hosts.stores:
                store.faults = StoreFaults(down=True)
            await asyncio.sleep(0.3)
            await hosts.evacuate("p1")
            await hosts.restore("p1")
            for store in hosts.stores:
                store.faults = StoreFaults()
            await asyncio.sleep(2.0 * IN_FORCE_SECONDS)
            assert hosts.evacuated() == [set()] * 2

        play(act)

    def test_unknown_name(self) -> None:
        """Guards against an unknown failure domain that is not counted, or hides a known one."""

        async def act(hosts: Hosts) -> None:
            await hosts.evacuate("p9")
            await hosts.evacuate("p1")
            await asyncio.sleep(IN_FORCE_SECONDS)
            assert hosts.evacuated() == [{"p1"}] * 2
            assert shown(hosts.metrics, "foreign_entries", "unknown_place", EVACUATIONS_KIND) == 1

        play(act)


class TestRestoredStore:
    """A store that comes back from an older copy, which lacks an evacuation."""

    @pytest.mark.parametrize("rewritten", [False, True])
    def test_older_copy(self, rewritten: bool) -> None:
        """Guards against an evacuation that lapses before the operator can write it again.

        It stays for the return grace, and for no longer unless it is written again.
        """

        async def scenario() -> None:
            standin = StoreStandin()
            await standin.start()
            # Only the client of the platform's interface reads the era of the store.
            client = HttpStore(address=standin.address, timeout=PATIENCE)
            hosts = Hosts(model=standin.store.model, stores=(client,))
            hosts.start(0)
            copy = standin.store.model.copy()
            await hosts.evacuate("p1")
            await reach(lambda: hosts.evacuated() == [{"p1"}])
            restored = monotonic()
            standin.restore(copy)
            if rewritten:
                await asyncio.sleep(RETURN_GRACE_SECONDS / 2.0)
                await hosts.evacuate("p1")
            while monotonic() < restored + 2.0 * RETURN_GRACE_SECONDS:
                evacuated = hosts.evacuated()
                if rewritten or monotonic() < restored + RETURN_GRACE_SECONDS:
                    assert evacuated == [{"p1"}]
                await asyncio.sleep(0.02)
            await reach(lambda: hosts.evacuated() == [{"p1"} if rewritten else set()])
            await hosts.stop()
            client.close()
            await standin.stop()

        run(scenario)


class TestStart:
    """A host that starts while the store is unavailable to it."""

    def test_peer(self) -> None:
        """Guards against a host that serves without an evacuation that a peer knows."""

        async def act(hosts: Hosts) -> None:
            await hosts.evacuate("p1")
            await asyncio.sleep(IN_FORCE_SECONDS)
            hosts.stores[1].faults = StoreFaults(down=True)
            hosts.start(1)
            await asyncio.sleep(IN_FORCE_SECONDS)
            assert hosts.evacuated() == [{"p1"}] * 2

        play(act, starting=1)

    def test_nobody(self) -> None:
        """Guards against a host that waits forever, or misses what it can read later."""

        async def act(hosts: Hosts) -> None:
            await hosts.evacuate("p1")
            for store in hosts.stores:
                store.faults = StoreFaults(down=True)
            hosts.start(0)
            state = hosts.gateways[0].shell._state
            await asyncio.sleep(waiting.FIRST_READING_SECONDS - 0.1)
            assert state.snapshot is None
            await asyncio.sleep(0.2)
            assert state.snapshot is not None
            assert hosts.evacuated()[0] == set()
            hosts.stores[0].faults = StoreFaults()
            await asyncio.sleep(2.0 * IN_FORCE_SECONDS)
            assert hosts.evacuated()[0] == {"p1"}

        play(act, starting=0)


class TestEdge:
    """An edge process, with and without the contract."""

    def test_active(self, tmp_path: Path) -> None:
        """Guards against a process that does not follow the store where the contract is active."""

        async def scenario() -> None:
            store, ip = StoreStandin(), f"{NETWORK}.80"
            await store.start()
            await fill(store)
            await store.store.create(kind=EVACUATIONS_KIND, name="z1", value=b"{}")
            async with edge(tmp_path, ip=ip, store=store.address, contracts=("places",)):
                await until_metric(ip, "azureswitch_evacuated_places", 1.0)
                (told,) = msgspec.json.decode((await page(ip, "/status")).body)["evacuations"]
                assert (told["place"], told["running"]) == ("z1", 0)
                assert told["empty"] >= told["since"] > 0
                known = await store.store.get(kind=EVACUATIONS_KIND, name="z1")
                await store.store.delete(kind=EVACUATIONS_KIND, name="z1", version=known.version)
                await until_metric(ip, "azureswitch_evacuated_places", 0.0)
            await store.stop()

        run(scenario)

    def test_inactive(self, tmp_path: Path) -> None:
        """Guards against effects, or calls to the store, where the contract is not active."""

        async def scenario() -> None:
            store, ip = StoreStandin(), f"{NETWORK}.81"
            await store.start()
            await fill(store)
            await store.store.create(kind=EVACUATIONS_KIND, name="z1", value=b"{}")
            async with edge(tmp_path, ip=ip, store=store.address):
                await until_metric(ip, "azureswitch_targets_serving", 1.0)
                assert await metric(ip, "azureswitch_evacuated_places") == 0.0
                metrics = (await page(ip, "/metrics")).body.decode()
                assert f'kind="{EVACUATIONS_KIND}"' not in metrics
            await store.stop()

        run(scenario)
