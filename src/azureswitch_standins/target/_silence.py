"""Silence of a target: for a while it writes nothing on any connection and does no work."""

import asyncio
from collections.abc import Callable
from random import Random

from azureswitch.client import Headers
from azureswitch.server import Exchange

LEAD_SECONDS = 0.03
"""Seconds before a silence in which an answer under way may already stop at its next write.

Otherwise answers would stop only where they wait for work, which is never inside an event.
"""

STOP_SHARE = 0.5
"""Share of the writes in that time at which an answer stops."""


class Silence:
    """When a target is silent, and where its answers stop.

    Args:
        clock: Returns seconds of a monotonic clock.
        random: Draws where answers stop.
    """

    def __init__(self, *, clock: Callable[[], float], random: Random) -> None:
        self._clock = clock
        self._random = random
        self._begin = 0.0
        self._end = 0.0
        self._before = 0.0

    @property
    def now(self) -> bool:
        """Whether the target is silent."""
        return self._begin <= self._clock() < self._end

    @property
    def near(self) -> bool:
        """Whether the target is silent or about to be."""
        return self._clock() < self._end

    def begin(self, seconds: float) -> None:
        """Be silent for some seconds, in a moment; a silence under way is extended if needed."""
        now = self._clock()
        if self.near:
            self._end = max(self._end, now + seconds)
            return
        self._before += self._end - self._begin
        self._begin = now + LEAD_SECONDS
        self._end = self._begin + seconds

    async def over(self) -> None:
        """Wait while the target is silent."""
        while self.now:
            await asyncio.sleep(self._end - self._clock())

    async def work(self, seconds: float) -> None:
        """Work for some seconds, in which those of silences are not counted."""
        end = self._worked() + seconds
        while (left := end - self._worked()) > 0.0 or self.now:
            await asyncio.sleep(left)
            await self.over()

    async def respond(
        self, exchange: Exchange, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer, in parts if a silence is near."""
        await self._pass()
        if not self.near:
            exchange.respond(status=status, headers=headers, body=body)
            return
        exchange.begin(status=status, headers=headers)
        await self.write(exchange, body)
        await self._pass()
        exchange.finish()

    async def begin_answer(self, exchange: Exchange, *, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        await self._pass()
        exchange.begin(status=status, headers=headers)

    async def write(self, exchange: Exchange, data: bytes) -> None:
        """Send a part of an answer, in halves if a silence is near."""
        await self._pass()
        half = len(data) // 2 if self.near else 0
        exchange.write(data[:half])
        if half:
            await self._pass()
        exchange.write(data[half:])

    async def _pass(self) -> None:
        """Wait while the target is silent; one that is about to begin may stop the answer here."""
        if self.near and (self.now or self._random.random() < STOP_SHARE):
            await asyncio.sleep(max(0.0, self._begin - self._clock()))
            await self.over()

    def _worked(self) -> float:
        """Return the seconds so far that were not silent."""
        now = self._clock()
        silent = min(max(now - self._begin, 0.0), self._end - self._begin)
        return now - self._before - silent
