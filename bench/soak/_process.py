"""Programs as processes of their own, which are ended by their ids alone."""

import asyncio
import os
import re
import sys
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals, pidfd_send_signal
from threading import Timer

PROGRAMS = Path(sys.executable).parent
"""Where the programs of this environment are installed."""

_MASKS = re.compile(r"^Sig(?:Blk|Cgt):\s*([0-9a-f]+)$", re.MULTILINE)


class ManagedProcess:
    """One process, which may be started again and again.

    Args:
        command: The program and its arguments.
        log: Where standard error goes, and standard output unless its lines are taken.
        environment: Environment variables beside those of this process.
        take: Called with each line of standard output.
    """

    def __init__(
        self,
        *,
        command: Sequence[str],
        log: Path,
        environment: Mapping[str, str] | None = None,
        take: Callable[[bytes], None] | None = None,
    ) -> None:
        self._command = tuple(command)
        self._log = log
        self._environment = environment
        self._take = take
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._asked = False

    @property
    def pid(self) -> int | None:
        """The id of the process, or None where it does not run."""
        process = self._process
        return process.pid if process is not None and process.returncode is None else None

    @property
    def running(self) -> bool:
        """Whether it runs, or stands still."""
        return self._process is not None and self._process.returncode is None

    @property
    def failed(self) -> bool:
        """Whether it has ended of itself."""
        return self._process is not None and not self.running and not self._asked

    async def start(self, command: Sequence[str] = ()) -> None:
        """Start it, with another command from now on if one is given."""
        self._command = tuple(command) or self._command
        self._asked = False
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=asyncio.subprocess.PIPE if self._take else log,
                stderr=log,
                env=self._environment,
            )
        if self._take is not None:
            self._reading = asyncio.create_task(self._read())

    async def kill(self) -> None:
        """End it at once."""
        if self._process is None:
            return
        self._asked = True
        self._send(SIGKILL)
        await self._process.wait()
        await self._drained()

    async def terminate(self, *, timeout: float) -> int | None:
        """Ask it to stop, and end it by force some seconds later, as a platform does.

        A thread keeps the time, as this program's event loop may be late beside much else.

        Returns:
            Its exit code, or None where it had to be ended by force.
        """
        assert self._process is not None
        handle = self._open_handle()
        self.ask_to_stop()
        timer = Timer(timeout, _kill, (handle,))
        timer.start()
        try:
            code = await self._process.wait()
        finally:
            timer.cancel()
            timer.join()
            if handle is not None:
                os.close(handle)
        await self._drained()
        return None if code == -SIGKILL else code

    def _open_handle(self) -> int | None:
        """Return what stands for the process even once its id is given to another one."""
        assert self._process is not None
        try:
            return os.pidfd_open(self._process.pid)
        except ProcessLookupError:
            # It has ended, which is about to be told.
            return None

    def ask_to_stop(self) -> None:
        """Ask it to stop, and do not wait."""
        self._asked = True
        self._send(SIGTERM)

    def pause(self) -> None:
        """Let it stand still."""
        self._send(SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self._send(SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings may have changed, unless it cannot know of signals yet.

        Before Python itself has started, no program can keep a signal from ending its process.
        """
        if self.running and self._has_taken(SIGHUP):
            self._send(SIGHUP)

    def _send(self, number: Signals) -> None:
        if self.running:
            assert self._process is not None
            # `Process.send_signal` asks for the exit code first, and the event loop, which would
            # find none any more, would tell 255.
            with suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def _has_taken(self, number: Signals) -> bool:
        """Return whether it holds a signal back or handles it, as its kernel says."""
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        except FileNotFoundError:
            # It has ended, which is about to be told.
            return False
        masks = [int(mask, base=16) for mask in _MASKS.findall(status)]
        return any(mask >> (number - 1) & 1 for mask in masks)

    async def _read(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        assert self._take is not None
        while line := await self._process.stdout.readline():
            self._take(line)

    async def _drained(self) -> None:
        """Wait until the last line has been taken."""
        if self._reading is not None:
            await self._reading


def _kill(handle: int | None) -> None:
    if handle is not None:
        with suppress(ProcessLookupError):
            pidfd_send_signal(handle, SIGKILL)
