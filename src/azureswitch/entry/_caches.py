"""Tracks the prefixes in engines' caches.

Cache events are frequent, and hosts need different ones, so hosts do not exchange them: each host
reads the events of a bounded number of engines itself.
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

CACHE_PERIOD_SECONDS = 1.0
"""Mean seconds between two reads of one engine's cache events, whose own delay is similar."""

MAX_CACHE_ENGINES = 32
"""Upper bound of the engines whose cache events one host reads."""

CACHE_READS_MOST = 4.0
"""Reads per second of a host if there are more engines; each read takes about 250 bytes."""

CACHE_TIMEOUT_SECONDS = 1.0
"""Timeout of a read in seconds."""


class CacheFollower:
    """Reads cache events and passes them to the reducer.

    Args:
        host: This host.
        targets: The ports of targets.
        dispatch: Passes an event to the reducer.
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
        """Read cache events until cancelled."""
        while True:
            await asyncio.gather(*(self._read(name) for name in self._followed()))
            await asyncio.sleep(self._period() * self._random.uniform(0.9, 1.1))

    def _period(self) -> float:
        many = len(self._targets.engines) > MAX_CACHE_ENGINES
        return MAX_CACHE_ENGINES / CACHE_READS_MOST if many else CACHE_PERIOD_SECONDS

    def _followed(self) -> tuple[TargetName, ...]:
        """Return the engines to read: all, or a subset of many that differs from host to host."""
        engines = self._targets.engines
        if len(engines) <= MAX_CACHE_ENGINES:
            return engines
        chosen = ranked(name=self._host, hosts=(HostName(name) for name in engines))
        return tuple(TargetName(name) for name in chosen[:MAX_CACHE_ENGINES])

    async def _read(self, name: TargetName) -> None:
        engine = self._targets.engine(name)
        if engine is None:
            self._seen.pop(name, None)
            return
        seen = self._seen.get(name)
        try:
            async with asyncio.timeout(CACHE_TIMEOUT_SECONDS):
                events = await engine.cache(after=seen.sequence if seen else 0)
        except (TargetError, TimeoutError):
            # Polls of its load detect whether it is reachable.
            return
        if seen is not None and events.started != seen.started:
            # The sequence numbers of a restarted engine begin again.
            del self._seen[name]
            return
        self._seen[name] = events
        if events.added or events.removed or not events.complete:
            self._dispatch(CacheReported(now=self._clock(), events=replace(events, target=name)))
