"""Tests that bytes without end neither end a host nor hold it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import pytest

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError
from azureswitch.platform import header_names
from azureswitch_standins.store import StoreStandin
from bench.soak._documents import DESK, HOST_HEADER, Layout, configuration, target_entry
from tests.gateway.fixtures import FakeTarget, Fleet
from tests.platform.endless import (
    Endless,
    EndlessAnswer,
    EndlessRequest,
    EndlessTarget,
    send_endlessly,
)
from tests.platform.processes import NETWORK, edge, run, until_metric

MEMORY_MB = 300
"""Memory of a small host, beyond which the platform kills it."""

WATCH_SECONDS = 0.02
"""Seconds between two looks at a host's memory."""

SOUND_TARGETS = 2

DEADLINE_MILLISECONDS = 5_000

MAX_SECONDS = 2.5
"""Longest time that a request may take; far from its deadline, which must not be what ends it."""

CALLERS = 6
REQUESTS = 4
"""Requests of each caller, one after the other on a kept connection."""

MAX_REQUEST_BYTES = 24_000_000
"""Bytes after which a caller without end gives up."""

MAX_TAKEN_BYTES = 16_000_000
"""Bytes that a host and the sockets on the way may take of a request without end.

The greatest body has 4.2 MB, as many are passed over so that the refusal is read, and the sockets
hold some 3 MB on either side.
"""


@dataclass(slots=True, kw_only=True)
class Host:
    """An edge process."""

    callers: str
    readiness: str
    process: asyncio.subprocess.Process

    @property
    def peak_megabytes(self) -> float:
        """The most memory that it has used."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1_024.0

    @property
    def running(self) -> bool:
        """Whether it runs."""
        return self.process.returncode is None


async def kill_over_limit(host: Host) -> None:
    """Kill a host that exceeds its memory, as the platform does."""
    while host.running and host.peak_megabytes <= MEMORY_MB:
        await asyncio.sleep(WATCH_SECONDS)
    if host.running:
        host.process.kill()


@asynccontextmanager
async def serving(folder: Path, *, ip: str, endless: EndlessAnswer | None) -> AsyncIterator[Host]:
    """Run a host before sound targets, and one that sends without end if its answer is given."""
    fleet = Fleet()
    targets: list[FakeTarget | EndlessTarget] = [
        FakeTarget(name=f"i-{number}", fleet=fleet, streams=False)
        for number in range(SOUND_TARGETS)
    ]
    if endless is not None:
        targets.append(EndlessTarget(answer=endless))
    async with AsyncExitStack() as stack:
        store = StoreStandin()
        await store.start()
        stack.push_async_callback(store.stop)
        value = configuration(version=1, extra=False, layout=Layout())
        await store.store.create(kind="config", name="main", value=value)
        for number, target in enumerate(targets):
            await target.start()
            stack.callback(target.stop)
            name = f"i-{number}"
            await store.store.create(
                kind="servers",
                name=name,
                value=target_entry(service=DESK, address=target.address, place="z1"),
            )
        callers, process = await stack.enter_async_context(
            edge(folder, ip=ip, store=store.address, name="h1")
        )
        await until_metric(ip, "azureswitch_targets_serving", len(targets))
        port = int(callers.rpartition(":")[2])
        host = Host(callers=callers, readiness=f"{ip}:{port + 1}", process=process)
        watch = asyncio.create_task(kill_over_limit(host))
        stack.callback(watch.cancel)
        yield host


async def book(client: HttpClient, id: str) -> int:
    """Send a booking and return its status, or zero where its connection ended without one."""
    headers = (
        ("host", HOST_HEADER),
        (header_names.ID, id),
        (header_names.KEY, "Bearer key-ann"),
        (header_names.MILLISECONDS_LEFT, str(DEADLINE_MILLISECONDS)),
    )
    try:
        answer = await client.request(
            method="POST", path=f"/book/{id}", headers=headers, body=b"a" * 200, timeout=8.0
        )
    except HttpError:
        return 0
    return answer.head.status


async def book_in_turn(host: Host, name: str) -> list[tuple[int, float]]:
    """Send bookings on a kept connection; return the status of each and the seconds it took."""
    client = HttpClient(address=host.callers)
    results = []
    for number in range(REQUESTS):
        begun = monotonic()
        status = await book(client, f"{name}-{number}")
        results.append((status, monotonic() - begun))
    client.close()
    return results


class TestAnswersWithoutEnd:
    """A target that sends without end costs its own requests, at once, and nothing else."""

    @pytest.mark.parametrize(("number", "endless"), list(enumerate(Endless)))
    def test_host_serves_on(self, tmp_path: Path, number: int, endless: Endless) -> None:
        """The host stays within its memory and answers all, long before their deadlines."""

        async def scenario() -> None:
            ip = f"{NETWORK}.{60 + number}"
            async with serving(tmp_path, ip=ip, endless=endless.value) as host:
                callers = (book_in_turn(host, f"c{caller}") for caller in range(CALLERS))
                results = [result for caller in await asyncio.gather(*callers) for result in caller]
                assert host.running, "The host exceeded its memory and was killed."
                assert {status for status, _ in results} == {200, 502}
                assert max(seconds for _, seconds in results) < MAX_SECONDS

        run(scenario)


class TestRequestsWithoutEnd:
    """A caller that sends without end is refused at a bound on bytes."""

    @pytest.mark.parametrize(("number", "endless"), list(enumerate(EndlessRequest)))
    def test_caller_is_cut(self, tmp_path: Path, number: int, endless: EndlessRequest) -> None:
        """The host takes few bytes of each of many such callers, and serves the others."""

        async def scenario() -> None:
            ip = f"{NETWORK}.{80 + number}"
            async with serving(tmp_path, ip=ip, endless=None) as host:
                calls = (
                    send_endlessly(host.callers, endless.value, most=MAX_REQUEST_BYTES)
                    for _ in range(CALLERS)
                )
                taken = await asyncio.gather(*calls)
                assert max(taken) < MAX_TAKEN_BYTES
                assert [status for status, _ in await book_in_turn(host, "after")] == [200] * 4
                assert host.running, "The host exceeded its memory and was killed."

        run(scenario)
