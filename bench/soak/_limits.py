"""Targets that name limits of the requests that they take, and whether hosts keep to them."""

import asyncio
from collections.abc import Iterator
from random import Random
from time import monotonic

from azureswitch_standins.target import NoteKind
from bench.limits import BURST, SLACK, WINDOW
from bench.soak._fleet import WORK, Fleet, Target
from bench.soak._moments import moments
from bench.soak._records import Records, Window

LIMITS = ("0.5", "1", "2", "5", "0", "many", "-1", "")
"""What targets say of the requests a second that they take; not all of it can be read."""

LAST_SECONDS = (4.0, 9.0)
"""Seconds for which they say so."""

KIND = "limit "
"""How the kind of such a span begins; what the target says follows."""

SETTLE = 3.0
"""Seconds after a target first named its limit from which on it must be kept."""


def subject(target: str) -> str:
    """Return how the spans of a target's limits are told from its faults."""
    return f"{target} limited"


class Limited:
    """Lets targets name limits, and stop doing so.

    Args:
        fleet: The processes.
        records: Takes when which target named which limit.
        seed: Draws them.
    """

    def __init__(self, *, fleet: Fleet, records: Records, seed: int) -> None:
        self._fleet = fleet
        self._records = records
        self._random = Random(f"{seed} limits")
        self._taken: set[str] = set()

    async def run(self, *, count: int, seconds: float) -> None:
        """Let targets name so many limits, and return once all have ended.

        Args:
            count: How many.
            seconds: Within how many seconds they begin.
        """
        async with asyncio.TaskGroup() as group:
            async for _ in moments(self._random, count=count, seconds=seconds):
                group.create_task(self._one())

    async def _one(self) -> None:
        free = [target for target in self._fleet.targets if self._may_name(target)]
        if not free:
            return
        target = self._random.choice(free)
        name = target.plan.name
        self._taken.add(name)
        limit = self._random.choice(LIMITS)
        begin = monotonic()
        if await target.name_limit(limit):
            await asyncio.sleep(self._random.uniform(*LAST_SECONDS))
            end = monotonic()
            await target.name_limit(None)
            window = Window(kind=f"{KIND}{limit}", subject=subject(name), begin=begin, end=end)
            self._records.windows.append(window)
        self._taken.discard(name)

    def _may_name(self, target: Target) -> bool:
        """Return whether a target listens and is not one of those whose requests take long."""
        started = target.process.running and target.listed.is_set()
        return started and target.plan.service not in WORK and target.plan.name not in self._taken


def kept(records: Records) -> Iterator[str]:
    """Yield a line for each limit that all hosts together have exceeded.

    Hosts that were stopped, killed or paused lately are excused, as are the others meanwhile.
    """
    hosts = {call.host for call in records.calls.values()}
    for window in records.windows:
        rate = _rate(window)
        if rate is None:
            continue
        arrived = [
            note.at
            for note in records.notes
            if note.kind is NoteKind.ARRIVED and subject(note.target) == window.subject
        ]
        allowed = SLACK * rate * WINDOW + BURST
        for at in arrived:
            if not window.begin + SETTLE <= at <= window.end:
                continue
            count = sum(at - WINDOW < other <= at for other in arrived)
            if count > allowed and not _excused(records, hosts, at):
                yield f"LIMIT: {window.subject} to {rate:g} a second got {count} in {WINDOW:.0f} s"
                break


def _excused(records: Records, hosts: set[str], at: float) -> bool:
    names = {*hosts, *(f"{host} planned" for host in hosts)}
    return records.disturbed(names, begin=at - WINDOW - SETTLE, end=at)


def _rate(window: Window) -> float | None:
    if not window.kind.startswith(KIND):
        return None
    text = window.kind.removeprefix(KIND)
    return float(text) if text.replace(".", "", 1).isdigit() else None
