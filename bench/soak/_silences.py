"""Targets that fall silent and go on, in series, beside configurations of all kinds."""

import asyncio
from random import Random
from time import monotonic
from typing import Any

from msgspec.structs import asdict

from azureswitch.exceptions import HttpError
from azureswitch_standins.target import LEAD_SECONDS
from bench.soak._documents import Layout
from bench.soak._fleet import Fleet, Target
from bench.soak._moments import moments
from bench.soak._platform import Platform
from bench.soak._records import Records, Silent

SILENT_SECONDS = (0.5, 2.0)
"""Seconds of one silence, from and to."""

PAUSE_SECONDS = 0.5
"""Seconds between two silences of one target, at least."""

SERIES = (3, 5)
"""Silences of a series, from and to."""

PERIOD_SECONDS = (0.5, 2.5)
"""Seconds between the starts of two, from and to: they may overlap."""

CHANGE_SECONDS = (0.15, 0.9)
"""Seconds between two configurations, from and to."""

TIMEOUTS = (1_500, 3_000, 6_000, 10_000)
"""Milliseconds of the routes' timeouts, below and above the 5 s that callers wait."""

IDLE_LIMITS = (2_000, 4_000, 9_000, 15_000)
"""Milliseconds of the idle limit, below and above the pauses of callers who keep connections."""

MOST_ROUTES = 300

ABSENT = ("", "", "/ask/", "/once/", "/book/", "/look/")
"""Path prefixes of routes that are left out while their requests run or wait, mostly none."""

LABELS = ("", "-a", "-b")
"""What names of routes end with, by which all are renamed."""


class Silences:
    """Lets targets fall silent; a silence is no fault.

    Args:
        fleet: The processes.
        platform: Makes changes.
        records: Takes the silences.
        seed: Draws them.
    """

    def __init__(self, *, fleet: Fleet, platform: Platform, records: Records, seed: int) -> None:
        self._fleet = fleet
        self._platform = platform
        self._records = records
        self._random = Random(f"{seed} silences")
        self._silent: set[str] = set()

    async def run(self, *, count: int, seconds: float) -> None:
        """Play so many series and return once all are over.

        Args:
            count: How many.
            seconds: Within how many seconds they begin.
        """
        async with asyncio.TaskGroup() as group:
            async for _ in moments(self._random, count=count, seconds=seconds):
                group.create_task(self._series())
        if count:
            await self._platform.change(**asdict(Layout()))

    async def _series(self) -> None:
        random = Random(self._random.random())
        over = asyncio.Event()
        async with asyncio.TaskGroup() as changes:
            changes.create_task(self._configure(Random(random.random()), over))
            async with asyncio.TaskGroup() as group:
                for _ in range(random.randint(*SERIES)):
                    seconds = random.uniform(*SILENT_SECONDS)
                    for target in self._draw(random):
                        group.create_task(self._silence(target, seconds))
                    await asyncio.sleep(random.uniform(*PERIOD_SECONDS))
            over.set()

    def _draw(self, random: Random) -> list[Target]:
        """Return one target, several or nearly all of those that are not silent, and take them."""
        free = [
            target
            for target in self._fleet.targets
            if target.process.running
            and target.listed.is_set()
            and target.plan.name not in self._silent
        ]
        count = random.choice((1, len(free) // 2, len(free) - 1))
        drawn = random.sample(free, max(1, count)) if free else []
        self._silent |= {target.plan.name for target in drawn}
        return drawn

    async def _silence(self, target: Target, seconds: float) -> None:
        name = target.plan.name
        begin = monotonic()
        try:
            await target.fall_silent(seconds)
            end = monotonic() + LEAD_SECONDS + seconds
            self._records.silences.append(Silent(target=name, begin=begin, end=end))
            await asyncio.sleep(end + PAUSE_SECONDS - monotonic())
        except HttpError:
            # It was stopped or is paused, and whether it falls silent is not known.
            return
        finally:
            self._silent.discard(name)

    async def _configure(self, random: Random, over: asyncio.Event) -> None:
        """Change the configuration until a series is over; a change under way is waited for."""
        while not over.is_set():
            changes: tuple[dict[str, Any], ...] = (
                {},
                {"idle_routes": random.randint(0, MOST_ROUTES)},
                {"timeout": random.choice(TIMEOUTS)},
                {"idle": random.choice(IDLE_LIMITS)},
                {"absent": random.choice(ABSENT)},
                {"label": random.choice(LABELS)},
            )
            if change := random.choice(changes):
                await self._platform.change(**change)
            else:
                await self._platform.flip_extra_key()
            await asyncio.sleep(random.uniform(*CHANGE_SECONDS))
