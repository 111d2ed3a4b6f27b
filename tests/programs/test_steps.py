"""Parts of a process that look at what is due wake together."""

import asyncio
from itertools import pairwise

import pytest

from azureswitch.clock import ElapsedEventLoop, until_step
from azureswitch_standins.clock import run_virtual

STEP = 0.05


async def _steps(*, after: float, count: int) -> list[float]:
    """Return when a part that begins after some seconds takes its steps."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(after)
    times = []
    for _ in range(count):
        await asyncio.sleep(until_step(STEP))
        times.append(round(loop.time(), 6))
    return times


class TestUntilStep:
    """`until_step`."""

    @pytest.mark.parametrize("after", [0.0, 0.013, 0.049, 0.05, 0.12])
    def test_together(self, after: float) -> None:
        """Parts that begin at different times step at the same moments, each one once."""

        async def both() -> tuple[list[float], list[float]]:
            first, second = await asyncio.gather(
                _steps(after=0.0, count=10), _steps(after=after, count=5)
            )
            return first, second

        first, second = run_virtual(both())
        assert set(second) <= set(first)
        assert all(later - earlier == pytest.approx(STEP) for earlier, later in pairwise(first))

    def test_from_its_own_start(self) -> None:
        """The steps of a process count from its start, so that those of hosts are apart."""
        loop = ElapsedEventLoop()

        async def left() -> tuple[float, float]:
            return until_step(STEP), loop.time()

        try:
            seconds, now = loop.run_until_complete(left())
        finally:
            loop.close()
        steps = (now + seconds - loop.began) / STEP
        assert steps == pytest.approx(round(steps), abs=0.05)
