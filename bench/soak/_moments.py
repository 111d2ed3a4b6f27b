"""When a run brings something about."""

import asyncio
from collections.abc import AsyncIterator
from random import Random
from time import monotonic


async def moments(random: Random, *, count: int, seconds: float) -> AsyncIterator[int]:
    """Yield the numbers from zero, each at its random moment from now on.

    Args:
        random: Draws the moments, all of them as the first is asked for.
        count: How many.
        seconds: Within how many seconds they come.
    """
    began = monotonic()
    starts = sorted(random.uniform(0.0, seconds) for _ in range(count))
    for number, start in enumerate(starts):
        await asyncio.sleep(max(0.0, began + start - monotonic()))
        yield number
