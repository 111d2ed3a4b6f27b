"""What the log says of the process itself, and of processes that ended without a stop."""

import asyncio
import time

import pytest

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.gateway import HostChanges
from azureswitch.gateway import _process as process
from azureswitch.gateway._host_log import HostsLost, LoopHeld, MemoryShort
from azureswitch.gateway._process import ProcessWatch
from azureswitch.metrics import Metrics
from tests.gateway.fixtures import RecordingLog

ALIVE, SUSPECT, LEAVING = MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.LEAVING


def member(started: int, status: MemberStatus) -> Member:
    """Return a host's member."""
    return Member(
        incarnation=Incarnation(host=HostName("h2"), started=started),
        place=PlaceName("z1"),
        address="127.0.0.1:1",
        status=status,
    )


class TestHostChanges:
    """A process that is replaced by another one has stopped, or ended by itself."""

    @pytest.mark.parametrize(
        ("seen", "lost"),
        [
            (((1, ALIVE), (2, ALIVE)), True),
            (((1, ALIVE), (1, SUSPECT), (2, ALIVE)), True),
            (((1, ALIVE), None, (2, ALIVE)), True),
            (((1, ALIVE), (1, LEAVING), (2, ALIVE)), False),
            (((1, LEAVING), None, (2, ALIVE)), False),
            (((1, LEAVING), (2, ALIVE), (3, ALIVE)), True),
            (((1, ALIVE), (1, ALIVE)), False),
            (((0, ALIVE), (1, ALIVE)), False),
            (((2, ALIVE), (1, ALIVE)), False),
        ],
    )
    def test_lost(self, seen: tuple[tuple[int, MemberStatus] | None, ...], lost: bool) -> None:
        """It is logged where no stop was heard of before."""
        log = RecordingLog()
        changes = HostChanges(log=log)
        for item in seen:
            changes.note_processes(() if item is None else (member(*item),))
        assert bool([entry for entry in log.entries if isinstance(entry, HostsLost)]) is lost


class TestProcessWatch:
    """A process that stands still, or is short of memory, says so."""

    def test_held(self) -> None:
        """A turn of the loop that takes half a second is logged."""

        async def scenario() -> list[LoopHeld]:
            log = RecordingLog()
            task = asyncio.create_task(watch(log).run())
            await asyncio.sleep(0.02)
            time.sleep(0.6)
            await asyncio.sleep(0.02)
            task.cancel()
            return [entry for entry in log.entries if isinstance(entry, LoopHeld)]

        (entry,) = asyncio.run(scenario())
        assert entry.seconds >= 0.5

    def test_memory(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Each share of the limit is logged once, as it is reached."""
        used = 0
        monkeypatch.setattr(process, "peak_memory", lambda: used)

        async def scenario() -> list[float]:
            nonlocal used
            log = RecordingLog()
            task = asyncio.create_task(watch(log).run())
            for used in (600, 750, 750, 950):  # noqa: B007
                await asyncio.sleep(0.1)
            task.cancel()
            return [entry.share for entry in log.entries if isinstance(entry, MemoryShort)]

        assert asyncio.run(scenario()) == [0.7, 0.8, 0.9]


def watch(log: RecordingLog) -> ProcessWatch:
    """Return a watch of a process with a limit of 1,000 bytes."""
    return ProcessWatch(
        tick=lambda: None,
        seconds=0.01,
        memory=1_000,
        open_requests=lambda: 0,
        metrics=Metrics(),
        log=log,
        clock=time.monotonic,
    )
