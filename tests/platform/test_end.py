"""A process ends with its work, whatever its tasks do."""

import asyncio
import gc
from collections.abc import Coroutine
from io import StringIO
from pathlib import Path

import pytest

from azureswitch.platform import _program
from azureswitch.platform._program import run_to_end
from azureswitch.tasks import end_tasks
from bench.soak._documents import write_settings

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

    def test_no_clean_up_on_a_closed_loop(self, caplog: pytest.LogCaptureFixture) -> None:
        """What a task that is left behind would still do runs on no event loop that is closed."""
        cleaned: list[str] = []

        async def work() -> None:
            task = asyncio.create_task(_slow_to_end(cleaned), name="slow")
            await asyncio.sleep(0.0)
            await end_tasks([task], prefix="test", timeout=0.0)

        run_to_end(work())
        gc.collect()
        assert not cleaned
        assert not [record for record in caplog.records if record.levelname == "ERROR"]


async def _slow_to_end(cleaned: list[str]) -> None:
    """Take longer to end than a process does, and then some more."""
    try:
        await go_on()
    finally:
        cleaned.append("slow")


def test_what_is_loaded_is_no_part_of_collections(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing of it is looked through again once the program serves, and what comes later is."""
    settings = tmp_path / "edge.toml"
    write_settings(
        settings, name="h1", ip="127.0.0.1", zone="z1", ports=23_400, store="127.0.0.1:1"
    )
    monkeypatch.setenv("AZURESWITCH_SETTINGS", str(settings))
    monkeypatch.setattr(_program, "start_logs", lambda *, host: StringIO())
    kept: list[int] = []
    collecting: list[bool] = []

    def note(work: Coroutine[object, object, None]) -> None:
        work.close()
        kept.append(gc.get_freeze_count())
        collecting.append(gc.isenabled())

    monkeypatch.setattr(_program, "run_to_end", note)
    gc.unfreeze()
    # As the program's first lines leave it, so that loading is not held up.
    gc.disable()
    try:
        assert _program.main() == _program.EXIT_OK
    finally:
        gc.enable()
        gc.unfreeze()
    assert collecting == [True]
    assert kept[0] > len(gc.get_objects()) // 2
