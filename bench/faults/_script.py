"""Which fault comes when; several overlap on purpose."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Inventory, TargetRole, set_role
from azureswitch_standins.engine import EngineFaults, EngineStandin
from azureswitch_standins.service import ServiceFaults
from azureswitch_standins.store import StoreFaults
from bench.faults._process import EntryProcess
from bench.faults._site import Site
from bench.faults._windows import Fault, Window, Windows

DRAIN_TIMEOUT = 60.0
"""Seconds that a graceful stop may take."""

LOST_ANSWERS = 400
"""Writes whose answer is lost, more than there are while the fault is present."""

LOST_RECEIPTS = 5
"""Calls of a plain target that run while its answer is lost."""

SERVICE_DELAY = 1.5
"""Seconds by which a plain target answers late."""

STOP_AGAIN = 0.3
"""Seconds after which an entry that stops is told so again."""

STORE_DELAY = 0.6
"""Seconds by which a slow store answers late."""


class Script:
    """Brings the faults about."""

    def __init__(
        self, *, site: Site, windows: Windows, seed: int, say: Callable[[str], None]
    ) -> None:
        self._site = site
        self._windows = windows
        self._random = Random(seed)
        self._say = say
        self._started = 0.0
        self._accepted = 1
        self._exits: list[int | None] = []

    @property
    def accepted(self) -> int:
        """The newest revision that was accepted."""
        return self._accepted

    @property
    def exits(self) -> tuple[int | None, ...]:
        """Exit codes of graceful stops; None where one did not end in time."""
        return tuple(self._exits)

    async def run(self, *, started: float, rounds: int, length: float) -> None:
        """Go through the rounds of faults.

        Args:
            started: When the load began, on the event loop's clock.
            rounds: How many rounds there are.
            length: Seconds of one round.
        """
        self._started = started
        for number in range(rounds):
            begin = number * length
            await self._round(begin)
            await self._until(begin + length)

    async def _round(self, begin: float) -> None:
        first, second, third = self._random.sample(self._site.entries, 3)
        steps: tuple[tuple[float, Callable[[], Awaitable[None]]], ...] = (
            (2.0, lambda: self._kill(first)),
            (3.0, lambda: self._kill_engine(gone=4.0)),
            (8.0, lambda: self._pause(second, seconds=4.0)),
            (9.0, lambda: self._store(Fault.STORE_DOWN, StoreFaults(down=True), seconds=5.0)),
            (11.0, lambda: self._kill(third)),
            (17.0, lambda: self._store(Fault.ANSWERS_LOST, _LOSING, seconds=4.0)),
            (18.0, lambda: self._pause(first, seconds=2.0)),
            (19.0, self._race),
            (23.0, lambda: self._service(Fault.SERVICE_DIED, _DYING, seconds=2.0)),
            (24.0, lambda: self._kill(second)),
            (28.0, lambda: self._store(Fault.STORE_SLOW, _SLOW, seconds=4.0)),
            (28.5, lambda: self._stop_twice(first)),
            (29.0, lambda: self._service(Fault.SERVICE_SLOW, _LATE, seconds=3.0)),
            (30.0, lambda: self._stall_engine(seconds=3.0)),
            (34.0, lambda: self._stop(third)),
            (35.0, self._race),
        )
        async with asyncio.TaskGroup() as group:
            for at, step in steps:
                group.create_task(self._at(begin + at, step))

    async def _at(self, at: float, step: Callable[[], Awaitable[None]]) -> None:
        await self._until(at)
        await step()

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._now()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started

    def _note(self, fault: Fault, subject: str, begin: float) -> None:
        window = Window(fault=fault, subject=subject, begin=begin, end=self._now())
        self._windows.add(window)
        self._say(f"[{window.begin:6.1f} to {window.end:6.1f} s] {fault.value}: {subject}")

    async def _kill(self, entry: EntryProcess) -> None:
        begin = self._now()
        await entry.kill()
        await asyncio.sleep(2.0)
        await entry.start()
        self._note(Fault.ENTRY_KILLED, entry.plan.callers, begin)

    async def _pause(self, entry: EntryProcess, *, seconds: float) -> None:
        begin = self._now()
        entry.pause()
        await asyncio.sleep(seconds)
        entry.resume()
        self._note(Fault.ENTRY_PAUSED, entry.plan.callers, begin)

    async def _stop(self, entry: EntryProcess) -> None:
        await self._replace(entry, Fault.ENTRY_STOPPED, again=None)

    async def _stop_twice(self, entry: EntryProcess) -> None:
        """Stop an entry while the store is slow, and tell it again while claims are decided."""
        await self._replace(entry, Fault.ENTRY_STOPPED_TWICE, again=STOP_AGAIN)

    async def _replace(self, entry: EntryProcess, fault: Fault, *, again: float | None) -> None:
        begin = self._now()
        self._exits.append(await entry.terminate(timeout=DRAIN_TIMEOUT, again=again))
        await entry.kill()
        await entry.start()
        self._note(fault, entry.plan.callers, begin)

    async def _store(self, fault: Fault, faults: StoreFaults, *, seconds: float) -> None:
        store = self._site.fleet.store
        begin = self._now()
        await store.set_faults(faults=faults)
        await asyncio.sleep(seconds)
        await store.set_faults(faults=StoreFaults())
        self._note(fault, "store", begin)

    async def _service(self, fault: Fault, faults: ServiceFaults, *, seconds: float) -> None:
        name = self._random.choice(sorted(self._site.fleet.services))
        service = self._site.fleet.services[name]
        begin = self._now()
        await service.set_faults(faults=faults)
        await asyncio.sleep(seconds)
        await service.set_faults(faults=ServiceFaults())
        self._note(fault, name, begin)

    async def _kill_engine(self, *, gone: float) -> None:
        name, engine = self._busiest()
        begin = self._now()
        await engine.kill()
        await asyncio.sleep(gone)
        await engine.revive()
        self._note(Fault.ENGINE_KILLED, name, begin)

    async def _stall_engine(self, *, seconds: float) -> None:
        name, engine = self._busiest()
        begin = self._now()
        await engine.set_faults(faults=EngineFaults(stall=seconds))
        await asyncio.sleep(seconds)
        self._note(Fault.ENGINE_STALLED, name, begin)

    async def _race(self) -> None:
        """Let two operators propose from the same base; one of them may be accepted."""
        begin = self._now()
        first, second = (self._drained(number) for number in range(2))
        revisions = await asyncio.gather(
            self._site.propose(author="first", inventory=first),
            self._site.propose(author="second", inventory=second),
        )
        accepted = [revision for revision in revisions if revision is not None]
        self._accepted = max([self._accepted, *accepted])
        self._note(Fault.OPERATORS_RACE, f"accepted {accepted}", begin)

    def _drained(self, number: int) -> Inventory:
        inventory = self._site.fleet.inventory
        engine = sorted(self._site.fleet.engines)[number]
        return set_role(replace(inventory), target=engine, role=TargetRole.DRAINING)

    def _busiest(self) -> tuple[TargetName, EngineStandin]:
        return max(self._site.fleet.engines.items(), key=_running)


def _running(item: tuple[TargetName, EngineStandin]) -> int:
    return item[1].counters.running


_LOSING = StoreFaults(lose_answers=LOST_ANSWERS)
_SLOW = StoreFaults(delay=STORE_DELAY)
_LATE = ServiceFaults(answer_delay=SERVICE_DELAY)
_DYING = ServiceFaults(lose_answers=LOST_RECEIPTS)
