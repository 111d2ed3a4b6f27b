"""Stand-ins and entries of a deployment, all in this process."""

import asyncio

from msgspec.structs import replace

from azureswitch.core import HostName, PlaceName, TargetName
from azureswitch.entry import EntryServer, EntrySettings
from azureswitch.inventory import Inventory, Target
from azureswitch.ports import HostStatus, ListedHost
from azureswitch.settings import Address, HostPort
from azureswitch_load.demo._addresses import LOOPBACK, free_address
from azureswitch_load.demo._deployment import Deployment
from azureswitch_standins.engine import EngineSettings, EngineStandin
from azureswitch_standins.hosts import HostListStandin
from azureswitch_standins.service import ServiceStandin
from azureswitch_standins.store import StoreStandin

ENTRIES = 3
"""Entry hosts."""

FIRST_FIXED_PORT = 20_001
"""Where callers reach the first entry where ports are fixed; the others follow."""

FIXED_STORE_PORT = 20_101
FIXED_HOSTS_PORT = 20_102
PEERS_OFFSET = 10
"""From an entry's port for callers to that for other hosts, where ports are fixed."""

OPERATIONS_OFFSET = 20
"""From an entry's port for callers to that for operators, where ports are fixed."""

DRAIN_NOTICE = 1.0
"""Seconds for which a leaving host answers after its readiness fails."""

_HOST_PORT = HostPort()


class Fleet:
    """Everything that a deployment needs, on loopback.

    Args:
        deployment: The deployment.
        speed: Seconds of an engine's model in one second.
        fixed: Whether targets listen at the inventory's addresses and entries at known ports; else
            all take free ones and the inventory is changed to match.
        entries: How many entries it starts.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        speed: float,
        fixed: bool = False,
        entries: int = ENTRIES,
    ) -> None:
        self._deployment = deployment
        self._speed = speed
        self._fixed = fixed
        self._count = entries
        self._inventory = deployment.inventory
        self._store = StoreStandin(port=FIXED_STORE_PORT if fixed else 0)
        self._hosts = HostListStandin(port=FIXED_HOSTS_PORT if fixed else 0)
        self._engines: dict[TargetName, EngineStandin] = {}
        self._services: dict[TargetName, ServiceStandin] = {}
        self._entries: dict[HostName, EntryServer] = {}

    @property
    def inventory(self) -> Inventory:
        """The inventory with the addresses that targets listen at."""
        return self._inventory

    @property
    def store(self) -> StoreStandin:
        """The object store."""
        return self._store

    @property
    def hosts(self) -> HostListStandin:
        """The host list."""
        return self._hosts

    @property
    def engines(self) -> dict[TargetName, EngineStandin]:
        """The engines."""
        return self._engines

    @property
    def services(self) -> dict[TargetName, ServiceStandin]:
        """The targets of the plain service."""
        return self._services

    @property
    def entries(self) -> dict[HostName, EntryServer]:
        """The entries that have been started, stopped ones included."""
        return self._entries

    @property
    def callers(self) -> tuple[str, ...]:
        """Where callers reach the entries."""
        return tuple(str(entry.address) for entry in self._entries.values())

    async def start(self) -> None:
        """Start the stand-ins and the entries, which have no configuration yet."""
        await self._store.start()
        await self._hosts.start()
        targets = [await self._start_target(target) for target in self._inventory.targets]
        self._inventory = replace(self._inventory, targets=tuple(targets))
        places = [place.name for place in self._inventory.places]
        for number in range(self._count):
            await self._start_entry(number, places[number % len(places)])

    async def stop(self) -> None:
        """Stop everything at once."""
        entries = self._entries.values()
        await asyncio.gather(*(entry.stop(graceful=False) for entry in entries))
        await asyncio.gather(*(engine.stop() for engine in self._engines.values()))
        await asyncio.gather(*(service.stop() for service in self._services.values()))
        await self._hosts.stop()
        await self._store.stop()

    async def _start_target(self, target: Target) -> Target:
        port = _HOST_PORT.parse(target.address).port if self._fixed else 0
        standin: EngineStandin | ServiceStandin
        if target.models:
            standin = self._engines[target.name] = self._engine(target, port)
        else:
            standin = self._services[target.name] = ServiceStandin(name=target.name, port=port)
        await standin.start()
        return replace(target, address=standin.address)

    def _engine(self, target: Target, port: int) -> EngineStandin:
        settings = EngineSettings(
            name=target.name,
            models=target.models,
            memory=target.memory,
            checks_fence=target.checks_fence,
        )
        return EngineStandin(settings=settings, port=port, speed=self._speed)

    async def _start_entry(self, number: int, place: PlaceName) -> None:
        region = next(item.region for item in self._inventory.places if item.name == place)
        settings = EntrySettings(
            host=HostName(f"entry-{number + 1}"),
            place=place,
            region=region,
            callers=self._listen(number),
            peers=self._listen(number, offset=PEERS_OFFSET),
            operations=self._listen(number, offset=OPERATIONS_OFFSET),
            store=_HOST_PORT.parse(self._store.address),
            hosts=_HOST_PORT.parse(self._hosts.address),
            drain_notice=DRAIN_NOTICE,
        )
        self._hosts.list.put(
            host=ListedHost(
                name=settings.host,
                place=place,
                address=str(settings.peers),
                status=HostStatus.LIVE,
            )
        )
        entry = EntryServer(settings=settings, seed=number)
        await entry.start()
        self._entries[settings.host] = entry

    def _listen(self, number: int, *, offset: int = 0) -> Address:
        if not self._fixed:
            return free_address()
        return Address(ip=LOOPBACK, port=FIRST_FIXED_PORT + number + offset)
