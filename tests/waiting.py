"""Waits of tests for what other tasks, threads or processes bring about."""

import asyncio
import time
from collections.abc import Callable

PATIENCE = 60.0
"""Seconds after which a condition is taken as never reached; a busy machine needs some of them."""

_LOOK = 0.005
"""Seconds between two looks at a condition."""


async def reach(condition: Callable[[], bool]) -> None:
    """Wait in the running loop until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(_LOOK)


def wait_until(condition: Callable[[], bool], *, limit: float = PATIENCE) -> None:
    """Block until a condition holds that another thread or process brings about.

    Args:
        condition: What is waited for.
        limit: Seconds after which it is taken as never reached.

    Raises:
        TimeoutError: It did not hold in time.
    """
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError
        time.sleep(_LOOK)
