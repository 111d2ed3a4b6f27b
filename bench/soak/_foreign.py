"""Entries in the store that nobody can read, among those of targets and of hosts."""

import asyncio
from random import Random
from time import monotonic
from typing import Any

import msgspec

from azureswitch.platform import TARGETS_KIND
from bench.soak._documents import DESK, POOL, ZONES, target_entry
from bench.soak._fleet import Fleet, Host
from bench.soak._moments import moments
from bench.soak._objects import put
from bench.soak._planned import stop_host
from bench.soak._platform import Platform
from bench.soak._records import STORE, Records

HOSTS_KIND = "azureswitch-hosts"
"""Kind of the list that the hosts keep themselves."""

READY_SECONDS = 6.0
"""Seconds in which a host that starts beside foreign entries must be ready.

Beside a free machine one is within 1 s; hosts look at their inventory again each 4 s at most.
"""

STAY_SECONDS = (0.5, 3.0)
"""Seconds for which foreign entries stay on after that, and mended ones after these."""

LOOK_SECONDS = 0.1

SLACK = 0.2
"""Seconds after which the stop before a start is not taken for a fault of it."""


def _entry(**changes: object) -> bytes:
    fields: dict[str, Any] = {"born": 1, **changes}
    return target_entry(service=DESK, address="127.0.0.1:9", place=ZONES[0], **fields)


TARGETS = (
    b"{}",
    msgspec.json.encode({"Service": POOL}),
    msgspec.json.encode([1, 2]),
    b"\xff\x00 no text",
    _entry(Slots="many", Sequence=None, born="today"),
    _entry(Service=7, Address=["127.0.0.1", 9]),
    _entry(State="resting"),
    _entry(Service="elsewhere"),
    _entry(Address="nowhere"),
    _entry(Address="127.0.0.1:port"),
    _entry(Zone=None, Service=POOL, Models={"Name": 3}),
)
"""Foreign entries among those of targets; none is a target that requests may be sent to."""

SEATS = (
    b"{}",
    b"\xfe no text",
    msgspec.json.encode({"place": 3, "address": None}),
    msgspec.json.encode({"place": "nowhere", "address": "127.0.0.1:9"}),
    msgspec.json.encode({"place": ZONES[0], "address": "nowhere"}),
    msgspec.json.encode(["h9"]),
)
"""Foreign entries in the hosts' own list."""

MENDED = {
    TARGETS_KIND: _entry(State="draining"),
    HOSTS_KIND: msgspec.json.encode({"place": ZONES[0], "address": "127.0.0.1:9"}),
}
"""What a foreign entry is replaced by: a target that leaves, and a host that is not there."""


class Foreign:
    """Writes foreign entries, lets hosts start beside them, mends some and removes all.

    Args:
        fleet: The processes.
        platform: Knows which hosts are ready.
        records: Takes the entries as windows, and hosts that do not serve as findings.
        seed: Draws them.
        away: The names of who has a fault or planned work; shared with the faults.
    """

    def __init__(
        self, *, fleet: Fleet, platform: Platform, records: Records, seed: int, away: set[str]
    ) -> None:
        self._fleet = fleet
        self._platform = platform
        self._records = records
        self._random = Random(f"{seed} foreign")
        self._away = away
        self._number = 0
        self._late: list[tuple[str, float]] = []

    async def run(self, *, count: int, seconds: float) -> None:
        """Write so many sets of entries and return once all are gone.

        Args:
            count: How many sets.
            seconds: Within how many seconds they are written.
        """
        async with asyncio.TaskGroup() as group:
            async for _ in moments(self._random, count=count, seconds=seconds):
                group.create_task(self._one())

    def unready(self) -> list[str]:
        """Return a line for each host that was not ready in time, once all faults are known."""
        return [
            f"FOREIGN: {name} was not ready {READY_SECONDS:.0f} s after its start"
            for name, began in self._late
            if not self._records.disturbed(
                (STORE, name), begin=began + SLACK, end=began + READY_SECONDS, after=0.0
            )
        ]

    async def _one(self) -> None:
        begin = monotonic()
        names = [await self._write(TARGETS_KIND, value) for value in self._some(TARGETS)]
        names += [await self._write(HOSTS_KIND, value) for value in self._some(SEATS)]
        free = [host for host in self._fleet.hosts if host.name not in self._away]
        if free:
            await self._start_beside(self._random.choice(free))
        await asyncio.sleep(self._random.uniform(*STAY_SECONDS))
        for kind, name in names:
            if self._random.random() < 0.5:
                await put(self._fleet, kind, name, MENDED[kind])
        await asyncio.sleep(self._random.uniform(*STAY_SECONDS))
        for kind, name in names:
            await put(self._fleet, kind, name, None)
        self._records.note("foreign entries", "foreign", begin)

    def _some(self, values: tuple[bytes, ...]) -> list[bytes]:
        return self._random.sample(values, k=self._random.randint(1, len(values)))

    async def _start_beside(self, host: Host) -> None:
        """Restart a host, which must then be ready in its time."""
        self._away.add(host.name)
        await stop_host(host, records=self._records, random=self._random)
        began = monotonic()
        while not self._platform.is_ready(host.name) and monotonic() - began < READY_SECONDS:
            await asyncio.sleep(LOOK_SECONDS)
        self._away.discard(host.name)
        if not self._platform.is_ready(host.name):
            self._late.append((host.name, began))

    async def _write(self, kind: str, value: bytes) -> tuple[str, str]:
        self._number += 1
        name = f"foreign-{self._number}"
        await put(self._fleet, kind, name, value)
        return kind, name
