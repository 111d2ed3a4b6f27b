"""The time from which the grace period counts."""

import asyncio

import pytest

from azureswitch.platform._signals import MAX_TICK_DELAY_SECONDS, TICK_SECONDS, StopRequest

BEGAN = 100.0

LATE = TICK_SECONDS + 2.0 * MAX_TICK_DELAY_SECONDS
"""Seconds after which a tick is late."""

IN_TIME = tuple(BEGAN + TICK_SECONDS * n for n in range(1, 4))
LAST = IN_TIME[-1]

CASES = {
    "before the first tick": ((), (BEGAN + 2.0,), BEGAN),
    "right after a late first tick": ((BEGAN + 2.0,), (BEGAN + 2.001,), BEGAN),
    "with nothing else to do": (IN_TIME, (LAST + 0.07,), LAST + 0.07),
    "a little late": (IN_TIME, (LAST + TICK_SECONDS + 0.04,), LAST + TICK_SECONDS + 0.04),
    "while blocked, delivered at once": (IN_TIME, (LAST + 3.0,), LAST),
    "while blocked, delivered after a tick": (
        (*IN_TIME, LAST + 3.0),
        (LAST + 3.001,),
        LAST,
    ),
    "blocked long ago": (
        (BEGAN + 5.0, BEGAN + 5.1, BEGAN + 5.2),
        (BEGAN + 5.21,),
        BEGAN + 5.21,
    ),
    "blocked a moment ago": (
        (*IN_TIME, LAST + LATE, LAST + LATE + 0.1),
        (LAST + LATE + 0.11,),
        LAST + LATE + 0.11,
    ),
    "twice": (IN_TIME, (LAST + 0.01, LAST + 4.0), LAST + 0.01),
}


class Clock:
    """A clock set by a test."""

    def __init__(self) -> None:
        self.now = BEGAN

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class TestStopRequest:
    """The grace period counts from the last time at which the loop could handle a signal."""

    @pytest.mark.parametrize(("ticks", "requests", "told"), CASES.values(), ids=CASES.keys())
    def test_told(self, ticks: tuple[float, ...], requests: tuple[float, ...], told: float) -> None:
        """It counts from the request, or if the loop was blocked, from the tick or start before."""

        async def scenario() -> None:
            clock = Clock()
            request = StopRequest(clock=clock)
            for clock.now in ticks:
                request.tick()
            for clock.now in requests:
                request.request_stop()
            assert await request.wait() == told

        asyncio.run(scenario())

    @pytest.mark.parametrize("later", [(), (BEGAN + 0.5,)])
    def test_recorded(self, later: tuple[float, ...]) -> None:
        """A request with a recorded arrival time counts from then, whatever follows."""

        async def scenario() -> None:
            clock = Clock()
            request = StopRequest(clock=clock)
            request.request_stop(at=BEGAN - 1.5)
            for clock.now in later:
                request.request_stop()
            assert await request.wait() == BEGAN - 1.5

        asyncio.run(scenario())

    def test_watch(self) -> None:
        """If the loop was blocked, the request counts from the last tick before that."""

        async def scenario() -> None:
            clock = Clock()
            request = StopRequest(clock=clock)
            watching = asyncio.create_task(request.watch())
            await asyncio.sleep(0.0)
            clock.now += TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS * 1.5)
            watching.cancel()
            clock.now += 3.0
            request.request_stop()
            assert await request.wait() == BEGAN + TICK_SECONDS

        asyncio.run(scenario())
