"""Edge processes for tests, each with its own IP address."""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from os import getpid
from pathlib import Path

import pytest

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.exceptions import HttpError
from azureswitch.platform._edge import METRICS_PORT
from bench.soak._documents import HOST_LIMITS, HostLimits, write_settings

EDGE = Path(__file__).resolve().parents[2] / "deploy" / "edge.py"

PATIENCE = 20.0
"""Seconds that a test waits for an expected event, even on a busy machine."""

PORTS = 23_400
"""Port of a host for callers; its others follow."""

LOG = "edge.log"
"""The file in a test's folder that captures the output of its process."""

NETWORK = f"127.{210 + getpid() % 40}.{getpid() // 40 % 250}"
"""The first three octets of IP addresses that no other test run uses."""


@asynccontextmanager
async def edge(
    tmp_path: Path,
    *,
    ip: str,
    store: str,
    name: str = "h1",
    contracts: tuple[str, ...] = (),
    limits: HostLimits = HOST_LIMITS,
    **environment: str,
) -> AsyncIterator[tuple[str, asyncio.subprocess.Process]]:
    """Start an edge process, and yield the address for callers and the process."""
    settings = tmp_path / "edge.toml"
    write_settings(
        settings,
        name=name,
        ip=ip,
        zone="z1",
        ports=PORTS,
        store=store,
        contracts=contracts,
        limits=limits,
    )
    callers = f"{ip}:{PORTS}"
    with (tmp_path / LOG).open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, str(EDGE), callers),
            env={"AZURESWITCH_SETTINGS": str(settings), **environment},
            stdout=log,
        )
    try:
        yield callers, process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def listens(address: str) -> bool:
    """Return whether an address accepts connections."""
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def until_listening(address: str) -> None:
    """Wait until an address accepts connections."""
    while not await listens(address):
        await asyncio.sleep(0.002)


async def metric(ip: str, name: str) -> float | None:
    """Return the sum of a metric over its labels, or None while there is none."""
    client = HttpClient(address=f"{ip}:{METRICS_PORT}")
    try:
        answer = await client.request(method="GET", path="/metrics", timeout=PATIENCE)
    except HttpError:
        return None
    finally:
        client.close()
    lines = [line for line in answer.body.decode().splitlines() if line.startswith(name)]
    return sum(float(line.rpartition(" ")[2]) for line in lines) if lines else None


async def page(ip: str, path: str) -> HttpAnswer:
    """Return a page of the metrics and status server."""
    client = HttpClient(address=f"{ip}:{METRICS_PORT}")
    try:
        return await client.request(method="GET", path=path, timeout=PATIENCE)
    finally:
        client.close()


async def until_metric(ip: str, name: str, value: float) -> None:
    """Wait until a metric has a value."""
    seen = None
    try:
        async with asyncio.timeout(PATIENCE):
            while (seen := await metric(ip, name)) != value:
                await asyncio.sleep(0.02)
    except TimeoutError:
        pytest.fail(f"{name} is {seen} and not {value}.")


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(2.0 * PATIENCE):
            await scenario()

    asyncio.run(bounded())
