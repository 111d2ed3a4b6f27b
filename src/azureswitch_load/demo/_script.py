"""What goes wrong during the demo, and when."""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import Inventory, Rules, TargetRole, set_role
from azureswitch_load.demo._configure import Operator
from azureswitch_load.demo._fleet import Fleet
from azureswitch_load.demo._watch import Watch
from azureswitch_standins.engine import EngineFaults, EngineStandin
from azureswitch_standins.store import StoreFaults

OUTAGE = 4.0
"""Seconds for which the store is down."""

LOST_ANSWERS = 8
"""Writes that take effect after the outage and whose answers are lost."""

CROSSED = 2.0
"""Seconds for which an engine gives requests the answers of others."""

ENGINE_GONE = 6.0
"""Seconds for which an engine is gone."""


class Timetable(Struct, frozen=True, kw_only=True):
    """When each step begins, in seconds from the start of the load.

    Attributes:
        kill: An engine dies.
        shutdown: An entry stops gracefully.
        outage: The store goes down.
        change: A configuration that drains an engine is accepted.
        cross: An engine begins to cross its answers.
    """

    kill: float = 11.0
    shutdown: float = 15.0
    outage: float = 20.0
    change: float = 26.0
    cross: float = 29.0


class Shutdown(Struct, frozen=True, kw_only=True):
    """A graceful shutdown.

    Attributes:
        address: Where callers reached the entry.
        began: When it began, in seconds from the start of the load.
    """

    address: str
    began: float


class Script:
    """Does what the timetable says and says so."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        operator: Operator,
        watch: Watch,
        rules: Rules,
        started: float,
        say: Callable[[str], None],
        timetable: Timetable | None = None,
    ) -> None:
        self._fleet = fleet
        self._operator = operator
        self._watch = watch
        self._rules = rules
        self._started = started
        self._say = say
        self._timetable = timetable or Timetable()
        self._shutdowns: list[Shutdown] = []

    @property
    def shutdowns(self) -> tuple[Shutdown, ...]:
        """The graceful shutdowns that were begun."""
        return tuple(self._shutdowns)

    async def run(self) -> None:
        """Go through the timetable."""
        times = self._timetable
        steps: tuple[tuple[float, Callable[[], Awaitable[None]]], ...] = (
            (times.kill, self._kill_engine),
            (times.shutdown, self._shut_down_entry),
            (times.outage, self._take_store_down),
            (times.change, self._change_configuration),
            (times.cross, self._cross_answers),
        )
        async with asyncio.TaskGroup() as group:
            for at, step in steps:
                group.create_task(self._at(at, step))

    async def _at(self, at: float, step: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(max(0.0, at - self._now()))
        await step()

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started

    def _tell(self, text: str) -> None:
        self._say(f"[{self._now():5.1f} s] {text}")

    async def _kill_engine(self) -> None:
        name, engine = self._busiest()
        self._tell(f"Engine {name} dies with {engine.counters.running} requests.")
        await engine.kill()
        await asyncio.sleep(ENGINE_GONE)
        await engine.revive()
        self._tell(f"Engine {name} is back, its memory empty.")

    async def _shut_down_entry(self) -> None:
        entries = self._fleet.entries.items()
        host, entry = max(entries, key=lambda item: item[1].shell.open_calls)
        self._shutdowns.append(Shutdown(address=str(entry.address), began=self._now()))
        self._watch.host_left(host=host)
        open_calls = entry.shell.open_calls
        self._tell(f"Entry {host} is told to stop with {open_calls} requests running.")
        await entry.stop(graceful=True)
        self._tell(f"Entry {host} has stopped; its last request has ended.")
        self._fleet.hosts.list.remove(name=host)

    async def _take_store_down(self) -> None:
        self._tell("The store is down.")
        await self._fleet.store.set_faults(faults=StoreFaults(down=True))
        await asyncio.sleep(OUTAGE)
        await self._fleet.store.set_faults(faults=StoreFaults(lose_answers=LOST_ANSWERS))
        self._tell(f"The store is back; the answers of its next {LOST_ANSWERS} writes are lost.")

    async def _cross_answers(self) -> None:
        name, engine = self._busiest()
        self._tell(f"Engine {name} crosses its answers.")
        await engine.set_faults(faults=EngineFaults(cross=True))
        await asyncio.sleep(CROSSED)
        await engine.set_faults(faults=EngineFaults())
        self._tell(f"Engine {name} answers correctly again.")

    async def _change_configuration(self) -> None:
        name, _ = self._busiest()
        inventory = set_role(self._inventory, target=name, role=TargetRole.DRAINING)
        revision = await self._operator.accept(inventory=inventory, rules=self._rules)
        self._watch.accepted(revision=revision)
        self._watch.target_leaving(target=name)
        self._tell(f"Revision {revision} is accepted: engine {name} is leaving.")

    @property
    def _inventory(self) -> Inventory:
        return self._fleet.inventory

    def _busiest(self) -> tuple[TargetName, EngineStandin]:
        return max(self._fleet.engines.items(), key=lambda item: item[1].counters.running)
