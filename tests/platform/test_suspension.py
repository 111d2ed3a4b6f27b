"""A suspended host accounts for the time that its monotonic clock does not count."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from time import monotonic

import pytest

from azureswitch.client import HttpAnswer
from azureswitch.platform import header_names
from azureswitch_standins.store import StoreStandin
from tests.gateway.fixtures import Act, FakeTarget, Fleet
from tests.platform.callers import ask
from tests.platform.processes import LOG, NETWORK, edge, run, until_listening, until_metric
from tests.platform.test_quarantine import fill
from tests.waiting import reach

SUSPENDED = "suspended"
"""The file that holds the total seconds for which the process was suspended."""

CLOCK = f"""\
import time
from pathlib import Path

COUNTED = time.clock_gettime
SUSPENDED = Path(__file__).with_name("{SUSPENDED}")

def clock_gettime(clock):
    now = COUNTED(clock)
    if clock != time.CLOCK_BOOTTIME or not SUSPENDED.exists():
        return now
    return now + float(SUSPENDED.read_text())

time.clock_gettime = clock_gettime
"""
"""Executed at interpreter start; makes only the boot-time clock include suspensions."""

DEADLINE_SECONDS = 5.0

EARLY_SECONDS = 2.0
"""Seconds within which a request ends if its deadline passed during the suspension."""


@asynccontextmanager
async def hung(tmp_path: Path, ip: str) -> AsyncIterator[tuple[str, asyncio.subprocess.Process]]:
    """Start a host with a target that never responds; yield the callers' address and process."""
    (tmp_path / "sitecustomize.py").write_text(CLOCK, encoding="utf-8")
    store = StoreStandin()
    await store.start()
    target = FakeTarget(name="i-0", fleet=Fleet(acts=[Act.HANG] * 10), streams=False)
    await target.start()
    await fill(store, [target])
    path = str(tmp_path)
    async with edge(tmp_path, ip=ip, store=store.address, PYTHONPATH=path) as (callers, process):
        await until_listening(callers)
        await until_metric(ip, "azureswitch_targets_serving", 1)
        yield callers, process
    target.stop()
    await store.stop()


def suspend(tmp_path: Path, seconds: float) -> None:
    """Advance only the boot-time clock."""
    (tmp_path / SUSPENDED).write_text(str(seconds), encoding="utf-8")


async def timed(callers: str, path: str) -> tuple[HttpAnswer, float]:
    """Send a request, and return the response and the seconds taken by the monotonic clock."""
    began = monotonic()
    left = (header_names.MILLISECONDS_LEFT, str(int(DEADLINE_SECONDS * 1_000)))
    answer = await ask(callers, path, headers=(left,))
    return answer, monotonic() - began


class TestSuspended:
    """Requests in progress while their host is suspended."""

    @pytest.mark.parametrize(
        ("ip", "path", "seconds", "early"),
        [
            pytest.param(f"{NETWORK}.50", "/look/1", 10.0, True, id="idempotent"),
            pytest.param(f"{NETWORK}.51", "/book/1", 10.0, True, id="once"),
            pytest.param(f"{NETWORK}.52", "/book/1", 0.2, False, id="a short time"),
        ],
    )
    def test_deadline(
        self, tmp_path: Path, ip: str, path: str, seconds: float, early: bool
    ) -> None:
        """A request whose deadline passed meanwhile ends at once, others at their deadline."""

        async def scenario() -> None:
            async with hung(tmp_path, ip) as (callers, _):
                asking = asyncio.create_task(timed(callers, path))
                await asyncio.sleep(0.5)
                suspend(tmp_path, seconds)
                answer, took = await asking
                # It is logged in the next step of the program, up to 50 ms after the response.
                log = tmp_path / LOG
                await reach(lambda: "Host was suspended." in log.read_text(encoding="utf-8"))
            assert answer.head.status == 504
            assert (took < EARLY_SECONDS) is early

        run(scenario)

    def test_stop(self, tmp_path: Path) -> None:
        """The grace period of a stopping host includes the time for which it is suspended."""

        async def scenario() -> None:
            async with hung(tmp_path, f"{NETWORK}.53") as (callers, process):
                asking = asyncio.create_task(timed(callers, "/book/1"))
                await asyncio.sleep(0.5)
                process.terminate()
                await asyncio.sleep(0.5)
                suspend(tmp_path, 7.5)
                began = monotonic()
                answer, _ = await asking
                await process.wait()
            # The outcome of the request is unknown, and it is not retried.
            assert answer.head.status in (502, 504)
            assert monotonic() - began < EARLY_SECONDS

        run(scenario)
