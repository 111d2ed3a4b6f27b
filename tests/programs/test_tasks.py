"""Background tasks."""

import asyncio

import pytest

from azureswitch.tasks import RESTART_PAUSE, keep_running
from azureswitch_standins.clock import run_virtual


class TestKeepRunning:
    """`keep_running`."""

    @pytest.mark.parametrize("failures", [0, 1, 3])
    def test_starts_again(self, failures: int) -> None:
        """A loop that fails runs again after a pause, as often as it takes."""
        starts = 0

        async def loop() -> None:
            nonlocal starts
            starts += 1
            if starts <= failures:
                raise RuntimeError
            await asyncio.sleep(1_000.0)

        async def scenario() -> None:
            task = asyncio.create_task(keep_running(loop, prefix="test", name="loop"))
            await asyncio.sleep((failures + 0.5) * RESTART_PAUSE)
            assert starts == failures + 1
            task.cancel()

        run_virtual(scenario())
