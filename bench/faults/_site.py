"""The stand-ins in this process, and the entry hosts as processes of their own."""

import asyncio
from pathlib import Path
from uuid import uuid4

from msgspec.structs import replace

from azureswitch.client import HttpClient
from azureswitch.coordination.configuration import Changes
from azureswitch.core import HostName
from azureswitch.exceptions import ChangeError, HttpError
from azureswitch.inventory import Inventory, Rules, encode
from azureswitch.platform import HttpStore
from azureswitch.ports import HostStatus, ListedHost
from azureswitch_load.demo import Deployment, Fleet, free_address
from bench.faults._process import EntryPlan, EntryProcess

ENGINES = 6
"""Engines kept of the deployment, so that this process has time for all of them."""

SPEED = 8.0
"""Seconds of an engine's model in one second."""

ENTRIES = 3

READY_TIMEOUT = 30.0
PROBE_TIMEOUT = 1.0
PROBE_PERIOD = 0.1


class Site:
    """A small deployment on loopback.

    Args:
        deployment: The deployment, of which some engines are left out.
        folder: Where settings and logs of the entry processes are written.
    """

    def __init__(self, *, deployment: Deployment, folder: Path) -> None:
        self._deployment = replace(deployment, inventory=_shrunk(deployment.inventory))
        self._folder = folder
        self._fleet = Fleet(deployment=self._deployment, speed=SPEED, entries=0)
        self._entries: list[EntryProcess] = []

    @property
    def deployment(self) -> Deployment:
        """The deployment as it runs."""
        return self._deployment

    @property
    def fleet(self) -> Fleet:
        """The stand-ins."""
        return self._fleet

    @property
    def entries(self) -> list[EntryProcess]:
        """The entry processes."""
        return self._entries

    @property
    def callers(self) -> tuple[str, ...]:
        """Where callers reach the entries."""
        return tuple(entry.plan.callers for entry in self._entries)

    async def start(self) -> None:
        """Start everything and bring the first configuration into force."""
        self._folder.mkdir(parents=True, exist_ok=True)
        await self._fleet.start()
        places = self._fleet.inventory.places
        for number in range(ENTRIES):
            place = places[number % len(places)]
            plan = EntryPlan(
                name=f"entry-{number + 1}",
                place=place.name,
                region=place.region,
                callers=str(free_address()),
                peers=str(free_address()),
                operations=str(free_address()),
                store=self._fleet.store.address,
                hosts=self._fleet.hosts.address,
                folder=self._folder,
            )
            self._entries.append(EntryProcess(plan=plan))
            self.list_host(plan)
        await asyncio.gather(*(entry.start() for entry in self._entries))
        await self.propose(author="install", inventory=self._fleet.inventory)
        await self._until_ready()

    async def stop(self) -> None:
        """Stop everything at once."""
        await asyncio.gather(*(entry.kill() for entry in self._entries))
        await self._fleet.stop()

    def list_host(self, plan: EntryPlan) -> None:
        """Put an entry host on the host list."""
        place = next(item.name for item in self._fleet.inventory.places if item.name == plan.place)
        host = ListedHost(
            name=HostName(plan.name), place=place, address=plan.peers, status=HostStatus.LIVE
        )
        self._fleet.hosts.list.put(host=host)

    async def propose(
        self, *, author: str, inventory: Inventory, rules: Rules | None = None
    ) -> int | None:
        """Propose a change as an operator does.

        Returns:
            The accepted revision, or None where another operator was first or the store did not
            say.
        """
        changes = Changes(store=HttpStore(address=self._fleet.store.address))
        body = encode(inventory=inventory, rules=rules or self._deployment.rules)
        head = await changes.head()
        base = 0 if head is None else head.revision
        try:
            entry = await changes.propose(
                base=base, body=body, author=author, change=f"{author}-{uuid4()}"
            )
        except ChangeError:
            return None
        return entry.revision

    async def _until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT):
            while not all([await is_ready(address) for address in self.callers]):
                await asyncio.sleep(PROBE_PERIOD)


async def is_ready(address: str) -> bool:
    """Return whether an entry takes requests."""
    client = HttpClient(address=address)
    try:
        answer = await client.request(method="GET", path="/readyz", timeout=PROBE_TIMEOUT)
    except HttpError:
        return False
    finally:
        client.close()
    return bool(answer.head.status == 200)


def _shrunk(inventory: Inventory) -> Inventory:
    engines = [target for target in inventory.targets if target.models]
    dropped = {engine.name for engine in engines[ENGINES:]}
    kept = tuple(target for target in inventory.targets if target.name not in dropped)
    return replace(inventory, targets=kept)
