"""A process ends with its work, whatever its tasks do."""

import asyncio

from azureswitch.platform._program import run_to_end
from azureswitch.tasks import end_tasks

LIMIT = 0.05


async def go_on() -> None:
    """Go on whenever cancelled, as a loop does that loses a cancellation."""
    while True:
        try:
            await asyncio.sleep(3_600.0)
        except asyncio.CancelledError:
            continue


class TestEnd:
    """What does not end is named and left behind."""

    def test_task_that_goes_on(self) -> None:
        """A task that goes on though it was cancelled keeps no process."""
        ended = []

        async def work() -> None:
            tasks = [asyncio.create_task(go_on(), name="stubborn")]
            tasks.append(asyncio.create_task(asyncio.sleep(3_600.0), name="willing"))
            await asyncio.sleep(0.0)
            await end_tasks(tasks, prefix="test", timeout=LIMIT)
            ended.extend(task.get_name() for task in tasks if task.done())

        run_to_end(work())
        assert ended == ["willing"]
