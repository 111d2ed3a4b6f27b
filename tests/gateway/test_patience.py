"""Tests for the detection of silent targets, also when this process stalls."""

import asyncio
from math import inf
from time import sleep

import pytest

from azureswitch.gateway._silence import STALL_GRACE_SECONDS, STALL_SECONDS, SilenceTimer

SHORT_SECONDS = 0.05


async def waited(seconds: float, *, stall: float = 0.0, event_after: float = inf) -> str:
    """Return what ends a wait: the target's event or the silence timer."""
    loop = asyncio.get_running_loop()
    event = asyncio.Event()
    silent = asyncio.Event()
    if event_after < inf:
        loop.call_later(event_after, event.set)
    if stall:
        loop.call_later(SHORT_SECONDS / 2.0, sleep, stall)
    with SilenceTimer(seconds=seconds, silent=silent.set):
        waits = [loop.create_task(event.wait()), loop.create_task(silent.wait())]
        done, left = await asyncio.wait(waits, timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
    for task in left:
        task.cancel()
    if not done:
        return "test over"
    return "event" if waits[0] in done else "timer expired"


class TestSilenceTimer:
    """Unit tests of `SilenceTimer`."""

    @pytest.mark.parametrize(
        ("seconds", "stall", "event_after", "expected"),
        [
            (SHORT_SECONDS, 0.0, inf, "timer expired"),
            (1.0, 0.0, SHORT_SECONDS, "event"),
            (inf, 0.0, inf, "test over"),
            (SHORT_SECONDS, SHORT_SECONDS + 2.0 * STALL_SECONDS, 2.0 * SHORT_SECONDS, "event"),
            (SHORT_SECONDS, SHORT_SECONDS + 2.0 * STALL_SECONDS, inf, "timer expired"),
        ],
    )
    def test_wait(self, seconds: float, stall: float, event_after: float, expected: str) -> None:
        """Silence of a target is reported, not counting stalls of this process."""
        result = asyncio.run(waited(seconds, stall=stall, event_after=event_after))
        assert result == expected

    def test_grace(self) -> None:
        """A target that stays silent after a stall is reported after the stall grace."""

        async def scenario() -> float:
            await waited(SHORT_SECONDS, stall=SHORT_SECONDS + 2.0 * STALL_SECONDS)
            return asyncio.get_running_loop().time()

        begun = asyncio.run(_now())
        assert asyncio.run(scenario()) - begun >= STALL_GRACE_SECONDS

    @pytest.mark.parametrize(("resumes", "told"), [(False, False), (True, True)])
    def test_suspend(self, resumes: bool, told: bool) -> None:
        """A suspended timer does not fire until it is restarted."""

        async def scenario() -> int:
            calls: list[float] = []
            with SilenceTimer(seconds=SHORT_SECONDS, silent=lambda: calls.append(0.0)) as timer:
                timer.suspend()
                await asyncio.sleep(2.0 * SHORT_SECONDS)
                if resumes:
                    timer.begin(SHORT_SECONDS)
                await asyncio.sleep(10.0 * SHORT_SECONDS)
            return len(calls)

        assert bool(asyncio.run(scenario())) is told

    def test_again(self) -> None:
        """The callback repeats while the target is silent, and stops when the block is left."""

        async def scenario() -> tuple[int, int]:
            calls: list[float] = []
            with SilenceTimer(seconds=SHORT_SECONDS, silent=lambda: calls.append(0.0)):
                await asyncio.sleep(10.0 * SHORT_SECONDS)
            within = len(calls)
            await asyncio.sleep(4.0 * SHORT_SECONDS)
            return within, len(calls)

        within, after = asyncio.run(scenario())
        assert 2 <= within <= 10
        assert after == within

    def test_ends_the_block(self) -> None:
        """The callback may cancel the task that runs the block."""

        async def scenario() -> bool:
            task = asyncio.current_task()
            assert task is not None
            try:
                with SilenceTimer(seconds=SHORT_SECONDS, silent=task.cancel):
                    await asyncio.sleep(20.0 * SHORT_SECONDS)
            except asyncio.CancelledError:
                task.uncancel()
                return True
            return False

        assert asyncio.run(scenario())


async def _now() -> float:
    return asyncio.get_running_loop().time()
