"""Planned work on hosts: restarts in series and overlapping, told twice, beside changes."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

from azureswitch_standins.target import SILENT_ACTS, TargetFaults
from bench.soak._documents import DESK, GRACE_SECONDS, POOL
from bench.soak._fleet import Fleet, Host
from bench.soak._moments import moments
from bench.soak._platform import Platform
from bench.soak._records import AWAY, Records

DOWN_SECONDS = (0.1, 1.5)
"""Seconds for which a stopped process is away, from and to."""

UP_SECONDS = 2.0
"""Seconds that a process has run before it is asked to stop."""

GAPS = (1.0, 0.6)
"""Seconds between two stops of a series; both are shorter than a stop, so that these overlap."""

AGAIN_SECONDS = (0.05, 4.0)
"""Seconds after which a stopping process is told to stop once more, from and to.

A stop takes 2.3 s or more, so that some of them come as the process ends, or to one that has ended.
"""

SILENCE_SECONDS = 0.7
"""Seconds of silence of targets before a host is stopped beside them."""


async def stop_host(host: Host, *, records: Records, random: Random, again: float = 0.0) -> None:
    """Stop a host as a platform does and start it anew.

    Args:
        host: The host.
        records: Takes the work as a window.
        random: Draws how long it is away.
        again: Seconds after which it is told to stop once more; zero for never.
    """
    # A process that has not yet taken the signal over is ended by it at once.
    await asyncio.sleep(max(0.0, host.started + UP_SECONDS - monotonic()))
    begin = monotonic()
    ending = asyncio.create_task(host.process.terminate(timeout=GRACE_SECONDS))
    if again:
        await asyncio.sleep(again)
        host.process.ask_to_stop()
    code = await ending
    if code != 0:
        records.findings.append(f"GRACE: {host.name} ended with {code} after SIGTERM")
        await host.process.kill()
    records.note("host stopped", f"{host.name} planned", begin)
    begin = monotonic()
    await asyncio.sleep(random.uniform(*DOWN_SECONDS))
    await host.start()
    records.note(AWAY, host.name, begin)


class Planned:
    """Does planned work.

    Args:
        fleet: The processes.
        platform: Makes changes.
        records: Takes the work.
        seed: Draws it.
        away: The names of who is at work or away by a fault; shared with the faults.
    """

    def __init__(
        self, *, fleet: Fleet, platform: Platform, records: Records, seed: int, away: set[str]
    ) -> None:
        self._fleet = fleet
        self._platform = platform
        self._records = records
        self._random = Random(f"{seed} planned")
        self._away = away

    async def run(self, *, count: int, seconds: float) -> None:
        """Do so many works and return once all are over.

        Args:
            count: How many.
            seconds: Within how many seconds they begin.
        """
        works: tuple[Callable[[], Awaitable[None]], ...] = (
            self._burst,
            self._burst,
            self._beside_silence,
        )
        async with asyncio.TaskGroup() as group:
            async for number in moments(self._random, count=count, seconds=seconds):
                group.create_task(_done(works[number % len(works)]))

    async def _burst(self) -> None:
        """Restart all hosts one shortly after the other, beside changes of all kinds."""
        gap = self._random.choice(GAPS)
        hosts = list(self._fleet.hosts)
        self._random.shuffle(hosts)
        async with asyncio.TaskGroup() as group:
            for host in hosts:
                group.create_task(self._restart(host))
                await asyncio.sleep(gap / 2.0)
                group.create_task(self._change(self._random.choice(hosts)))
                await asyncio.sleep(gap / 2.0)

    async def _restart(self, host: Host) -> None:
        if host.name in self._away:
            return
        self._away.add(host.name)
        again = self._random.choice((0.0, self._random.uniform(*AGAIN_SECONDS)))
        await stop_host(host, records=self._records, random=self._random, again=again)
        self._away.discard(host.name)

    async def _change(self, host: Host) -> None:
        """Change the configuration, or settings with a signal, or signal alone."""
        change = self._random.randrange(3)
        if change == 0:
            await self._platform.flip_extra_key()
            return
        if change == 1:
            host.move_store()
        host.process.reload()

    async def _beside_silence(self) -> None:
        """Stop a host while all that a target has been sent is held without an answer."""
        service = self._random.choice((DESK, POOL))
        target = next(
            (
                target
                for target in self._fleet.targets
                if target.plan.service == service
                and target.process.running
                and target.plan.name not in self._away
            ),
            None,
        )
        free = [host for host in self._fleet.hosts if host.name not in self._away]
        if target is None or not free:
            return
        name = target.plan.name
        self._away.add(name)
        await target.listed.wait()
        act = self._random.choice(SILENT_ACTS)
        begin = monotonic()
        await target.set_faults(TargetFaults(share=1.0, act=act))
        await asyncio.sleep(SILENCE_SECONDS)
        await self._restart(self._random.choice(free))
        await target.set_faults(TargetFaults())
        self._records.note(f"target {act.value}", name, begin, silent=True)
        self._away.discard(name)


async def _done(work: Callable[[], Awaitable[None]]) -> None:
    await work()
