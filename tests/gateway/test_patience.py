"""How long a silent target is waited for, also where the host itself stood still."""

import asyncio
from math import inf
from time import sleep

import pytest

from azureswitch.gateway._silence import STALL_GRACE, STALL_SECONDS, Patience

SHORT = 0.05


async def waited(seconds: float, *, stall: float = 0.0, event_after: float = inf) -> str:
    """Return what ends a wait: the target's event, or the patience with it."""
    loop = asyncio.get_running_loop()
    event = asyncio.Event()
    silent = asyncio.Event()
    if event_after < inf:
        loop.call_later(event_after, event.set)
    if stall:
        loop.call_later(SHORT / 2.0, sleep, stall)
    with Patience(seconds=seconds, silent=silent.set):
        waits = [loop.create_task(event.wait()), loop.create_task(silent.wait())]
        done, left = await asyncio.wait(waits, timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
    for task in left:
        task.cancel()
    if not done:
        return "test over"
    return "event" if waits[0] in done else "patience over"


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
        """A silent target is told of, but not for the time in which this process stood still."""
        result = asyncio.run(waited(seconds, stall=stall, event_after=event_after))
        assert result == expected

    def test_grace(self) -> None:
        """A target that stays silent after a stall is told of after the grace."""

        async def scenario() -> float:
            await waited(SHORT, stall=SHORT + 2.0 * STALL_SECONDS)
            return asyncio.get_running_loop().time()

        begun = asyncio.run(_now())
        assert asyncio.run(scenario()) - begun >= STALL_GRACE

    @pytest.mark.parametrize(("resumes", "told"), [(False, False), (True, True)])
    def test_suspend(self, resumes: bool, told: bool) -> None:
        """A suspended wait has no end until it begins again."""

        async def scenario() -> int:
            calls: list[float] = []
            with Patience(seconds=SHORT, silent=lambda: calls.append(0.0)) as patience:
                patience.suspend()
                await asyncio.sleep(2.0 * SHORT)
                if resumes:
                    patience.begin(SHORT)
                await asyncio.sleep(10.0 * SHORT)
            return len(calls)

        assert bool(asyncio.run(scenario())) is told

    def test_again(self) -> None:
        """It is told again for each time that the target stays silent, and not after the block."""

        async def scenario() -> tuple[int, int]:
            calls: list[float] = []
            with Patience(seconds=SHORT, silent=lambda: calls.append(0.0)):
                await asyncio.sleep(10.0 * SHORT)
            within = len(calls)
            await asyncio.sleep(4.0 * SHORT)
            return within, len(calls)

        within, after = asyncio.run(scenario())
        assert 2 <= within <= 10
        assert after == within

    def test_ends_the_block(self) -> None:
        """The call back may call off the task whose block it is."""

        async def scenario() -> bool:
            task = asyncio.current_task()
            assert task is not None
            try:
                with Patience(seconds=SHORT, silent=task.cancel):
                    await asyncio.sleep(20.0 * SHORT)
            except asyncio.CancelledError:
                task.uncancel()
                return True
            return False

        assert asyncio.run(scenario())


async def _now() -> float:
    return asyncio.get_running_loop().time()
