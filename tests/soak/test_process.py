"""How the soak ends processes."""

import asyncio
import sys
from pathlib import Path
from time import monotonic, sleep

import pytest

from bench.soak._process import ManagedProcess
from tests.waiting import reach

STOPS = "import signal, sys\nsignal.signal(signal.SIGTERM, lambda *_: sys.exit(3))\n"
IGNORES = "import signal\nsignal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
WAITS = "print('ready', flush=True)\nimport time\ntime.sleep(60)\n"

SECONDS = 1.0
"""Seconds that a process is given to stop."""


class TestTerminate:
    """Unit tests of `ManagedProcess.terminate`."""

    @pytest.mark.parametrize(("program", "code"), [(STOPS, 3), (IGNORES, None)])
    def test_end(self, tmp_path: Path, program: str, code: int | None) -> None:
        """What does not stop in its time is ended then."""

        async def scenario() -> None:
            process = await _started(tmp_path, program)
            begun = monotonic()
            assert await process.terminate(timeout=SECONDS) == code
            assert (monotonic() - begun >= SECONDS) is (code is None)
            assert not process.running

        asyncio.run(scenario())

    def test_stop_in_time_told_as_late(self, tmp_path: Path) -> None:
        """A process that stops in time has done so, however late the soak looks."""

        async def scenario() -> None:
            process = await _started(tmp_path, STOPS)
            ending = asyncio.create_task(process.terminate(timeout=SECONDS))
            await asyncio.sleep(0.0)
            sleep(1.5 * SECONDS)
            assert await ending == 3

        asyncio.run(scenario())


async def _started(folder: Path, program: str) -> ManagedProcess:
    """Return a process that handles signals."""
    lines: list[bytes] = []
    process = ManagedProcess(
        command=(sys.executable, "-c", program + WAITS), log=folder / "log", take=lines.append
    )
    await process.start()
    await reach(lambda: bool(lines))
    return process
