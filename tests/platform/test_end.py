"""A process ends with its main coroutine, even if some tasks do not end."""

import asyncio
import gc
from collections.abc import Coroutine
from io import StringIO
from pathlib import Path

import pytest

from azureswitch.exceptions import AddressUnavailableError
from azureswitch.platform import _program
from azureswitch.platform._program import run_to_end
from azureswitch.tasks import end_tasks
from bench.soak._documents import write_settings

LIMIT = 0.05


async def go_on() -> None:
    """Ignore cancellation, as a loop does that swallows `CancelledError`."""
    while True:
        try:
            await asyncio.sleep(3_600.0)
        except asyncio.CancelledError:
            continue


class TestEnd:
    """Tasks that do not end are abandoned."""

    def test_task_that_ignores_cancellation(self) -> None:
        """A task that ignores its cancellation does not keep the process running."""
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
        """Cleanup code of an abandoned task does not run after the event loop is closed."""
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
    """Ignore cancellation, and record whether cleanup runs."""
    try:
        await go_on()
    finally:
        cleaned.append("slow")


def test_loaded_objects_are_frozen(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Loaded objects are excluded from garbage collection, which stays enabled for later ones."""
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
    # The program disables collection while it loads, because collections would slow down loading.
    gc.disable()
    try:
        assert _program.main() == _program.EXIT_OK
    finally:
        gc.enable()
        gc.unfreeze()
    assert collecting == [True]
    assert kept[0] > len(gc.get_objects()) // 2


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (AddressUnavailableError(detail="in use"), _program.EXIT_START),
        (OSError(24, "Too many open files"), _program.EXIT_FAILED),
        (MemoryError(), _program.EXIT_FAILED),
        (SystemExit(0), _program.EXIT_FAILED),
    ],
)
def test_last_line_says_why(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    error: BaseException,
    code: int,
) -> None:
    """A process that ends by itself says why, and an address in use is told from other errors."""
    settings = tmp_path / "edge.toml"
    write_settings(
        settings, name="h1", ip="127.0.0.1", zone="z1", ports=23_400, store="127.0.0.1:1"
    )
    monkeypatch.setenv("AZURESWITCH_SETTINGS", str(settings))
    monkeypatch.setattr(_program, "start_logs", lambda *, host: StringIO())

    def fail(work: Coroutine[object, object, None]) -> None:
        work.close()
        raise error

    monkeypatch.setattr(_program, "run_to_end", fail)
    assert _program.main() == code
    assert [record for record in caplog.records if record.levelname == "ERROR"]
