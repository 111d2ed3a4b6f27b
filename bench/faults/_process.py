"""One entry host as a process of its own."""

import asyncio
import sys
from configparser import ConfigParser
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM, Signals

from msgspec import Struct

PROGRAM = Path(sys.executable).parent / "azureswitch-entry"

DRAIN_NOTICE = 1.0
"""Seconds for which a leaving host answers after its readiness fails."""


class EntryPlan(Struct, frozen=True, kw_only=True):
    """What one entry process is started with.

    Attributes:
        name: Its host name.
        place: Its failure domain.
        region: Its region.
        callers: Where it listens for callers, as ``IP:PORT``.
        peers: Where it listens for other hosts.
        operations: Where it serves its status.
        store: The object store.
        hosts: The host list.
        folder: Where its settings and its log are written.
    """

    name: str
    place: str
    region: str
    callers: str
    peers: str
    operations: str
    store: str
    hosts: str
    folder: Path


class EntryProcess:
    """Starts, pauses, kills and stops one entry host."""

    def __init__(self, *, plan: EntryPlan) -> None:
        self._plan = plan
        self._process: asyncio.subprocess.Process | None = None

    @property
    def plan(self) -> EntryPlan:
        """What it is started with."""
        return self._plan

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._running.pid

    @property
    def _running(self) -> asyncio.subprocess.Process:
        assert self._process is not None
        return self._process

    async def start(self) -> None:
        """Start it; it joins the fleet by itself."""
        settings = self._write_settings()
        with (self._plan.folder / f"{self._plan.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "--settings", str(settings), stdout=log, stderr=log
            )

    async def kill(self) -> None:
        """End it at once."""
        if self._process is None or self._process.returncode is not None:
            return
        self._send(SIGKILL)
        await self._running.wait()

    def pause(self) -> None:
        """Stop it from running until `resume`."""
        self._send(SIGSTOP)

    def resume(self) -> None:
        """Let it run again."""
        self._send(SIGCONT)

    async def terminate(self, *, timeout: float, again: float | None = None) -> int | None:
        """Ask it to stop gracefully.

        Args:
            timeout: Seconds that it may take.
            again: Seconds after which it is asked once more, or None.

        Returns:
            Its exit code, or None where it had not stopped in ``timeout`` seconds.
        """
        self._send(SIGTERM)
        if again is not None:
            await asyncio.sleep(again)
            if self._running.returncode is None:
                self._send(SIGTERM)
        try:
            async with asyncio.timeout(timeout):
                return await self._running.wait()
        except TimeoutError:
            return None

    def _send(self, number: Signals) -> None:
        self._running.send_signal(number)

    def _write_settings(self) -> Path:
        plan = self._plan
        parser = ConfigParser()
        parser["host"] = {"name": plan.name, "place": plan.place, "region": plan.region}
        parser["listen"] = {
            "callers": plan.callers,
            "peers": plan.peers,
            "operations": plan.operations,
        }
        parser["platform"] = {"store": plan.store, "hosts": plan.hosts}
        parser["shutdown"] = {"drain_notice": str(DRAIN_NOTICE)}
        path = plan.folder / f"{plan.name}.ini"
        with path.open("w") as file:
            parser.write(file)
        return path
