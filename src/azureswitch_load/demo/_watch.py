"""Watches, from outside, which configuration is in force and which targets get new work."""

import asyncio
from collections.abc import Coroutine

from msgspec import Struct

from azureswitch.core import HostName, TargetName
from azureswitch_load import Promise, Violation
from azureswitch_load.demo._fleet import Fleet
from azureswitch_load.demo._status import read_revision

WATCH_PERIOD = 0.2
"""Seconds between two looks."""

STATUS_TIMEOUT = 2.0
"""Seconds that reading a host's status may take."""

FORCE_LIMIT = 6.0
"""Seconds after which an accepted configuration must be in force everywhere."""

LEAVING_LIMIT = 4.0
"""Seconds after which a target that is leaving must get no new work."""


class Accepted(Struct, frozen=True, kw_only=True):
    """A configuration that was accepted.

    Attributes:
        revision: Its revision.
        at: When, in seconds of the event loop.
    """

    revision: int
    at: float


class Watch:
    """Looks at the entries until stopped and notes broken promises."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._seen: dict[HostName, int] = {}
        self._left: set[HostName] = set()
        self._accepted: list[Accepted] = []
        self._forced: dict[int, float] = {}
        self._leaving: dict[TargetName, int] = {}
        self._violations: list[Violation] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def violations(self) -> tuple[Violation, ...]:
        """What was broken so far."""
        return (*self._violations, *self._late(), *self._new_work())

    @property
    def forced(self) -> dict[int, float]:
        """Seconds after which each accepted revision was in force everywhere."""
        return dict(self._forced)

    def start(self) -> None:
        """Begin to look."""
        self._spawn(self._run())

    async def stop(self) -> None:
        """Stop looking."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def accepted(self, *, revision: int) -> None:
        """Note that a configuration was accepted now."""
        now = asyncio.get_running_loop().time()
        self._accepted.append(Accepted(revision=revision, at=now))

    def host_left(self, *, host: HostName) -> None:
        """Note that a host is leaving; its revision no longer counts."""
        self._left.add(host)

    def target_leaving(self, *, target: TargetName) -> None:
        """Note that a target is leaving from now on."""
        self._spawn(self._note_runs(target))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.add(asyncio.create_task(work))

    async def _run(self) -> None:
        while True:
            await self._look()
            await asyncio.sleep(WATCH_PERIOD)

    async def _look(self) -> None:
        for host, entry in self._fleet.entries.items():
            if host in self._left:
                continue
            revision = await read_revision(
                address=str(entry.operations_address), timeout=STATUS_TIMEOUT
            )
            # A host may have begun to leave while it was asked.
            if revision is not None and host not in self._left:
                self._see(host, revision)
        self._note_forced()

    def _see(self, host: HostName, revision: int) -> None:
        before = self._seen.get(host, 0)
        if revision < before:
            detail = f"{host} went back from revision {before} to {revision}"
            self._violations.append(Violation(promise=Promise.CONFIGURATION, detail=detail))
        self._seen[host] = revision

    def _note_forced(self) -> None:
        now = asyncio.get_running_loop().time()
        hosts = [host for host in self._fleet.entries if host not in self._left]
        lowest = min(self._seen.get(host, 0) for host in hosts)
        for item in self._accepted:
            if item.revision <= lowest:
                self._forced.setdefault(item.revision, now - item.at)

    def _late(self) -> tuple[Violation, ...]:
        late = []
        for item in self._accepted:
            seconds = self._forced.get(item.revision)
            if seconds is None or seconds > FORCE_LIMIT:
                detail = f"revision {item.revision} took {seconds} s of {FORCE_LIMIT} s"
                late.append(Violation(promise=Promise.CONFIGURATION, detail=detail))
        return tuple(late)

    async def _note_runs(self, target: TargetName) -> None:
        await asyncio.sleep(LEAVING_LIMIT)
        self._leaving[target] = self._runs(target)

    def _new_work(self) -> tuple[Violation, ...]:
        broken = []
        for target, before in self._leaving.items():
            new = self._runs(target) - before
            if new:
                detail = f"{target} got {new} attempts after it was leaving"
                broken.append(Violation(promise=Promise.LEAVING, detail=detail))
        return tuple(broken)

    def _runs(self, target: TargetName) -> int:
        return sum(self._fleet.engines[target].counters.runs.values())
