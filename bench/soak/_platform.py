"""The platform around the programs: leases lapse, readiness is asked, changes come."""

import asyncio
import re
from collections.abc import Callable
from time import monotonic

from msgspec.structs import replace

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError, StoreError, StoreNotFoundError
from azureswitch.platform import CONFIGURATION_KIND, CONFIGURATION_NAME, TARGETS_KIND
from azureswitch_standins.target import BEATS_KIND
from bench.soak._documents import Layout, configuration
from bench.soak._fleet import Fleet, Host
from bench.soak._records import Change, Records, Sample

LAPSE_SECONDS = 3.6
"""Seconds without a sign of life after which an entry lapses: three times the beat."""

PERIOD = 0.25
"""Seconds between two looks."""

MISSES = 4
"""Looks without success after which a host takes no new connections; about a second."""

ASK_TIMEOUT = 0.5

VERSION_STEP = 3
"""Versions grow in steps."""

_VERSION = re.compile(rb"configuration_version(?:\{[^}]*\})? ([0-9.]+)")


class Platform:
    """The platform's own part.

    Args:
        fleet: The processes.
        records: Takes what is seen.
    """

    def __init__(self, *, fleet: Fleet, records: Records) -> None:
        self._fleet = fleet
        self._records = records
        self._misses: dict[str, int] = {}
        self._version = 1
        self._extra = True
        self._layout = Layout()
        self._stored = 0
        self._changing = asyncio.Lock()

    def ready_hosts(self) -> dict[str, str]:
        """Return where the hosts that take new connections are reached, by name.

        Where none does all are used, as the platform does.
        """
        return self._ready({host.name: host.front.address for host in self._fleet.hosts})

    def ready_processes(self) -> dict[str, str]:
        """Return the same hosts with their own addresses, behind no proxy."""
        return self._ready({host.name: host.callers for host in self._fleet.hosts})

    def _ready(self, hosts: dict[str, str]) -> dict[str, str]:
        ready = {n: a for n, a in hosts.items() if self._misses.get(n, MISSES) < MISSES}
        return ready or hosts

    def is_ready(self, name: str) -> bool:
        """Return whether a host has just said that it takes connections."""
        return self._misses.get(name, MISSES) == 0

    @property
    def all_ready(self) -> bool:
        """Whether every host has just said that it takes connections."""
        return all(self.is_ready(host.name) for host in self._fleet.hosts)

    async def change(self, *, extra: bool | None = None, **layout: object) -> None:
        """Write a configuration as an operator does, and go on until the store has accepted it.

        What is not named stays as it is; `Layout` has the names.
        """
        async with self._changing:
            self._version += VERSION_STEP
            self._extra = self._extra if extra is None else extra
            self._layout = replace(self._layout, **layout)
            value = configuration(version=self._version, extra=self._extra, layout=self._layout)
            while not await self._written(value):
                await asyncio.sleep(0.1)
            self._records.changes.append(
                Change(version=self._version, at=monotonic(), extra=self._extra)
            )

    async def _written(self, value: bytes) -> bool:
        store = self._fleet.store
        try:
            known = await store.get(kind=CONFIGURATION_KIND, name=CONFIGURATION_NAME)
            if known.value != value:
                await store.update(
                    kind=CONFIGURATION_KIND,
                    name=CONFIGURATION_NAME,
                    value=value,
                    version=known.version,
                )
        except StoreNotFoundError:
            await store.create(kind=CONFIGURATION_KIND, name=CONFIGURATION_NAME, value=value)
        except StoreError:
            # Whether it took effect shows the next reading.
            return False
        finally:
            store.close()
        return True

    async def flip_extra_key(self) -> None:
        """Add or remove the extra key."""
        await self.change(extra=not self._extra)

    async def reap(self) -> None:
        """Remove the entries that lapsed, until cancelled."""
        seen: dict[str, tuple[int, float]] = {}
        store = self._fleet.store
        while True:
            await asyncio.sleep(PERIOD)
            try:
                beats = await store.list(kind=BEATS_KIND)
                for beat in beats.items:
                    version, since = seen.get(beat.name, (0, 0.0))
                    if version != beat.version:
                        seen[beat.name] = (beat.version, monotonic())
                    elif monotonic() - since > LAPSE_SECONDS:
                        await self._remove(beat.name)
            except StoreError:
                # What lapses while the store is away is removed as soon as it is back.
                continue

    async def _remove(self, name: str) -> None:
        store = self._fleet.store
        for kind in (TARGETS_KIND, BEATS_KIND):
            try:
                known = await store.get(kind=kind, name=name)
                await store.delete(kind=kind, name=name, version=known.version)
            except StoreNotFoundError:
                continue
        store.close()

    async def look(self) -> None:
        """Ask each host whether it is ready and what it has in force, until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(host) for host in self._fleet.hosts))
            await asyncio.sleep(PERIOD)

    async def _ask(self, host: Host) -> None:
        start, now = host.starts, monotonic()
        ready = await _get(host.readiness, "/api/readiness")
        self._misses[host.name] = 0 if ready is not None else self._misses.get(host.name, 0) + 1
        text = await _get(host.metrics, "/metrics")
        found = _VERSION.search(text or b"")
        if found and start == host.starts:
            version = int(float(found[1]))
            self._records.samples.append(
                Sample(host=host.name, start=start, at=now, version=version)
            )

    async def until_ready(self, *, seconds: float, say: Callable[[str], None]) -> None:
        """Wait until all hosts are ready; who is not by then is a finding."""
        end = monotonic() + seconds
        while not self.all_ready and monotonic() < end:
            await asyncio.sleep(PERIOD)
        for host in self._fleet.hosts:
            if self._misses.get(host.name, MISSES):
                say(f"RECOVER: {host.name} is not ready after {seconds:.0f} s of calm")


async def _get(address: str, path: str) -> bytes | None:
    """Return a page, or None where it was not to be had."""
    client = HttpClient(address=address, connect_timeout=ASK_TIMEOUT)
    try:
        answer = await client.request(method="GET", path=path, timeout=ASK_TIMEOUT)
    except HttpError:
        return None
    finally:
        client.close()
    return answer.body if answer.head.status == 200 else None
