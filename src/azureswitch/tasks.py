"""Background tasks that are kept, logged when they fail, and ended together."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from absl import logging

RESTART_PAUSE = 0.25
"""Seconds before a loop that failed starts again."""


async def keep_running(
    loop: Callable[[], Coroutine[object, object, None]], *, prefix: str, name: str
) -> None:
    """Run a loop, and again where it fails: without it requests, memory or claims would hang.

    Args:
        loop: Starts the loop.
        prefix: What log lines begin with.
        name: The loop's name in them.
    """
    while True:
        try:
            await loop()
        except Exception:
            logging.exception("%s: Loop %s failed and starts again.", prefix, name)
        await asyncio.sleep(RESTART_PAUSE)


async def end_tasks(
    tasks: Iterable[asyncio.Task[None]], *, prefix: str, timeout: float | None
) -> None:
    """Cancel tasks and wait for them, or for some seconds; the log names those that go on.

    Args:
        tasks: The tasks.
        prefix: What log lines begin with.
        timeout: For how long they are waited for, or None for as long as it takes.
    """
    ending = set(tasks)
    for task in ending:
        task.cancel()
    if not ending:
        return
    _, left = await asyncio.wait(ending, timeout=timeout)
    for task in left:
        logging.warning("%s: Task %s goes on though it was cancelled.", prefix, task.get_name())


class Tasks:
    """The tasks of one part.

    Args:
        prefix: What log lines begin with.
    """

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False

    def spawn(self, work: Coroutine[object, object, None], *, name: str) -> asyncio.Task[None]:
        """Run a coroutine in the background; after `stop` it is called off at once."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        if self._stopped:
            task.cancel()
        return task

    async def settle(self, *, timeout: float) -> None:
        """Wait until all tasks have ended, or for some seconds."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout)

    async def stop(self, *, timeout: float | None = None) -> None:
        """Cancel all tasks and wait for them, or for some seconds."""
        self._stopped = True
        await end_tasks(tuple(self._tasks), prefix=self._prefix, timeout=timeout)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logging.error(
            "%s: Task %s failed.", self._prefix, task.get_name(), exc_info=task.exception()
        )
