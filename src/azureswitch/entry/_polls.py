"""Asks engines for their load and their cache events."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

from azureswitch.core import TargetName
from azureswitch.entry._targets import Targets
from azureswitch.entry._tasks import Tasks
from azureswitch.exceptions import TargetError
from azureswitch.ports import Engine
from azureswitch.serving import CacheReported, LoadReported, ServingEvent, TargetUnreachable

POLL_PERIOD = 0.25
"""Seconds between two polls of one engine."""

POLL_TIMEOUT = 1.0
"""Seconds that an engine may take to answer a poll."""


class Poller:
    """Polls every engine in force and hands what it says to the reducer.

    Args:
        targets: The ports of targets.
        dispatch: Hands an event to the reducer.
        clock: Returns seconds of the monotonic clock.
        seed: Seeds the jitter, so that hosts do not poll in step.
    """

    def __init__(
        self,
        *,
        targets: Targets,
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self._targets = targets
        self._dispatch = dispatch
        self._clock = clock
        self._random = Random(seed)
        self._tasks = Tasks(prefix="entry")
        self._polled: dict[TargetName, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                self._follow()
                await asyncio.sleep(POLL_PERIOD)
        finally:
            await self._tasks.stop()

    def _follow(self) -> None:
        """Poll the engines that are new and stop polling those that are gone."""
        wanted = set(self._targets.engines)
        for name in self._polled.keys() - wanted:
            self._polled.pop(name).cancel()
        for name in wanted - self._polled.keys():
            self._polled[name] = self._tasks.spawn(self._poll(name), name=f"{name} poll")

    async def _poll(self, name: TargetName) -> None:
        after = 0
        started = 0
        await asyncio.sleep(self._random.uniform(0.0, POLL_PERIOD / 2))
        while (engine := self._targets.engine(name)) is not None:
            try:
                async with asyncio.timeout(POLL_TIMEOUT):
                    seen = await self._load(name, engine)
                    after = after if seen == started else 0
                    started = seen
                    after = await self._cache(name, engine, after)
            except (TargetError, TimeoutError):
                self._dispatch(TargetUnreachable(now=self._clock(), target=name))
            await asyncio.sleep(POLL_PERIOD * self._random.uniform(0.9, 1.1))

    async def _load(self, name: TargetName, engine: Engine) -> int:
        # The inventory names engines; one may call itself by another name.
        report = replace(await engine.load(), target=name)
        self._dispatch(LoadReported(now=self._clock(), report=report))
        return report.started

    async def _cache(self, name: TargetName, engine: Engine, after: int) -> int:
        events = replace(await engine.cache(after=after), target=name)
        if events.added or events.removed or not events.complete:
            self._dispatch(CacheReported(now=self._clock(), events=events))
        return events.sequence
