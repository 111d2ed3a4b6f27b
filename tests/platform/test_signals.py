"""The moment from which the time of grace counts."""

import asyncio

import pytest

from azureswitch.platform._signals import LATE_SECONDS, LOOK_SECONDS, StopRequest

BEGAN = 100.0

LATE = LOOK_SECONDS + 2.0 * LATE_SECONDS
"""Seconds after which a look is late."""

IN_TIME = tuple(BEGAN + LOOK_SECONDS * n for n in range(1, 4))
LAST = IN_TIME[-1]

CASES = {
    "before the first look": ((), (BEGAN + 2.0,), BEGAN),
    "right after a late first look": ((BEGAN + 2.0,), (BEGAN + 2.001,), BEGAN),
    "with nothing else to do": (IN_TIME, (LAST + 0.07,), LAST + 0.07),
    "a little late": (IN_TIME, (LAST + LOOK_SECONDS + 0.04,), LAST + LOOK_SECONDS + 0.04),
    "while held up, handed over at once": (IN_TIME, (LAST + 3.0,), LAST),
    "while held up, handed over after a look": (
        (*IN_TIME, LAST + 3.0),
        (LAST + 3.001,),
        LAST,
    ),
    "held up long ago": (
        (BEGAN + 5.0, BEGAN + 5.1, BEGAN + 5.2),
        (BEGAN + 5.21,),
        BEGAN + 5.21,
    ),
    "held up a moment ago": (
        (*IN_TIME, LAST + LATE, LAST + LATE + 0.1),
        (LAST + LATE + 0.11,),
        LAST + LATE + 0.11,
    ),
    "twice": (IN_TIME, (LAST + 0.01, LAST + 4.0), LAST + 0.01),
}


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = BEGAN

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class TestStopRequest:
    """An order counts from the last moment at which it could not have been given yet."""

    @pytest.mark.parametrize(("looks", "orders", "told"), CASES.values(), ids=CASES.keys())
    def test_told(self, looks: tuple[float, ...], orders: tuple[float, ...], told: float) -> None:
        """Looks and orders at these moments give this one."""

        async def scenario() -> None:
            clock = Clock()
            request = StopRequest(clock=clock)
            for clock.now in looks:
                request.look()
            for clock.now in orders:
                request.tell()
            assert await request.wait() == told

        asyncio.run(scenario())

    @pytest.mark.parametrize("later", [(), (BEGAN + 0.5,)])
    def test_noted(self, later: tuple[float, ...]) -> None:
        """An order that was noted as it came counts from then, whatever comes after it."""

        async def scenario() -> None:
            clock = Clock()
            request = StopRequest(clock=clock)
            request.tell(at=BEGAN - 1.5)
            for clock.now in later:
                request.tell()
            assert await request.wait() == BEGAN - 1.5

        asyncio.run(scenario())

    def test_watch(self) -> None:
        """A loop that stands still gives the moment before it did."""

        async def scenario() -> None:
            clock = Clock()
            request = StopRequest(clock=clock)
            watching = asyncio.create_task(request.watch())
            await asyncio.sleep(0.0)
            clock.now += LOOK_SECONDS
            await asyncio.sleep(LOOK_SECONDS * 1.5)
            watching.cancel()
            clock.now += 3.0
            request.tell()
            assert await request.wait() == BEGAN + LOOK_SECONDS

        asyncio.run(scenario())
