"""How long a silent target is waited for, also where the host itself stood still."""

import asyncio
from math import inf
from time import sleep

import pytest

from azureswitch.gateway._patience import STALL_GRACE, STALL_SECONDS, Patience

SHORT = 0.05


async def waited(seconds: float, *, stall: float = 0.0, event_after: float = inf) -> str:
    """Return what ends a wait: the target's event, or the patience with it."""
    loop = asyncio.get_running_loop()
    event = asyncio.Event()
    if event_after < inf:
        loop.call_later(event_after, event.set)
    if stall:
        loop.call_later(SHORT / 2.0, sleep, stall)
    begun = loop.time()
    try:
        async with asyncio.timeout(2.0), Patience(seconds=seconds):
            await event.wait()
    except TimeoutError:
        return "test over" if loop.time() - begun >= 2.0 else "patience over"
    return "event"


class TestPatience:
    """Unit tests of `Patience`."""

    @pytest.mark.parametrize(
        ("seconds", "stall", "event_after", "expected"),
        [
            (SHORT, 0.0, inf, "patience over"),
            (1.0, 0.0, SHORT, "event"),
            (inf, 0.0, inf, "test over"),
            (SHORT, SHORT + 2.0 * STALL_SECONDS, 2.0 * SHORT, "event"),
            (SHORT, SHORT + 2.0 * STALL_SECONDS, inf, "patience over"),
        ],
    )
    def test_wait(self, seconds: float, stall: float, event_after: float, expected: str) -> None:
        """A silent target is given up, but not for the time in which this process stood still."""
        result = asyncio.run(waited(seconds, stall=stall, event_after=event_after))
        assert result == expected

    def test_grace(self) -> None:
        """A target that stays silent after a stall is given up after the grace."""

        async def scenario() -> float:
            await waited(SHORT, stall=SHORT + 2.0 * STALL_SECONDS)
            return asyncio.get_running_loop().time()

        begun = asyncio.run(_now())
        assert asyncio.run(scenario()) - begun >= STALL_GRACE

    @pytest.mark.parametrize(("resumes", "ends"), [(False, False), (True, True)])
    def test_suspend(self, resumes: bool, ends: bool) -> None:
        """A suspended wait has no end until it begins again."""

        async def scenario() -> bool:
            try:
                async with Patience(seconds=SHORT) as patience:
                    patience.suspend()
                    await asyncio.sleep(2.0 * SHORT)
                    if resumes:
                        patience.begin(SHORT)
                    await asyncio.sleep(10.0 * SHORT)
            except TimeoutError:
                return True
            return False

        assert asyncio.run(scenario()) is ends


async def _now() -> float:
    return asyncio.get_running_loop().time()
