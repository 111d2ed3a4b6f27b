"""Follows which prefixes engines have in their cache.

Cache events are many, and hosts differ in the use that they have for them, so they are not passed
on: each host follows a bounded number of engines by itself.
"""

import asyncio
from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from azureswitch.core import HostName, TargetName
from azureswitch.entry._targets import Targets
from azureswitch.exceptions import TargetError
from azureswitch.hashing import ranked
from azureswitch.ports import CacheEvents
from azureswitch.serving import CacheReported, ServingEvent

CACHE_PERIOD = 1.0
"""Seconds between two reads of one engine's cache events, which are about as late themselves."""

CACHE_ENGINES = 32
"""Engines whose cache events one host follows at most."""

CACHE_READS_MOST = 4.0
"""Reads a second of a host before more engines than it follows: each costs some 250 bytes."""

CACHE_TIMEOUT = 1.0
"""Seconds that an engine may take to answer."""


class CacheFollower:
    """Reads cache events and hands them to the reducer.

    Args:
        host: This host.
        targets: The ports of targets.
        dispatch: Hands an event to the reducer.
        clock: Returns seconds of the monotonic clock.
        seed: Seeds the jitter.
    """

    def __init__(
        self,
        *,
        host: HostName,
        targets: Targets,
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self._host = host
        self._targets = targets
        self._dispatch = dispatch
        self._clock = clock
        self._random = Random(seed)
        self._seen: dict[TargetName, CacheEvents] = {}

    async def run(self) -> None:
        """Follow caches until cancelled."""
        while True:
            await asyncio.gather(*(self._read(name) for name in self._followed()))
            await asyncio.sleep(self._period() * self._random.uniform(0.9, 1.1))

    def _period(self) -> float:
        many = len(self._targets.engines) > CACHE_ENGINES
        return CACHE_ENGINES / CACHE_READS_MOST if many else CACHE_PERIOD

    def _followed(self) -> tuple[TargetName, ...]:
        """Return the engines to follow: all, or the host's own choice of many."""
        engines = self._targets.engines
        if len(engines) <= CACHE_ENGINES:
            return engines
        chosen = ranked(name=self._host, hosts=(HostName(name) for name in engines))
        return tuple(TargetName(name) for name in chosen[:CACHE_ENGINES])

    async def _read(self, name: TargetName) -> None:
        engine = self._targets.engine(name)
        if engine is None:
            self._seen.pop(name, None)
            return
        seen = self._seen.get(name)
        try:
            async with asyncio.timeout(CACHE_TIMEOUT):
                events = await engine.cache(after=seen.sequence if seen else 0)
        except (TargetError, TimeoutError):
            # Whether it is reachable, the polls of its load find out.
            return
        if seen is not None and events.started != seen.started:
            # The numbers of a restarted engine begin again.
            del self._seen[name]
            return
        self._seen[name] = events
        if events.added or events.removed or not events.complete:
            self._dispatch(CacheReported(now=self._clock(), events=replace(events, target=name)))
