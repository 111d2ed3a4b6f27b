"""Hosts as processes, what they hold, and the ordinary callers that they must answer."""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from resource import RLIMIT_NOFILE, setrlimit

import httpx

from azureswitch.coordination.configuration import Changes
from azureswitch.platform import HttpStore, header_names
from azureswitch_standins.engine import CostModel, EngineSettings, EngineStandin
from azureswitch_standins.hosts import HostListStandin
from azureswitch_standins.store import StoreStandin
from bench.soak._documents import (
    DESK,
    HOST_HEADER,
    HostLimits,
    Layout,
    configuration,
    target_entry,
)
from tests.crowds.crowd import Crowd, connected
from tests.entry.rig import KEY
from tests.entry.rig import configuration as entry_configuration
from tests.entry.test_program import settings_file
from tests.entry.test_survival import body
from tests.gateway.fixtures import FakeTarget, Fleet
from tests.platform.processes import METRICS_PORT, PORTS, edge, until_listening, until_metric
from tests.waiting import PATIENCE

MEGABYTE = 1_048_576

FILES = 200
"""Descriptors of the platform's ``MaxFds`` that are reserved for files."""

PEERS_PORT, TUNNELS_PORT = PORTS + 3, PORTS + 4

SETTLE_SECONDS = 2.0
"""Seconds that a crowd stands still before an ordinary caller comes."""

TRIES = 5
"""Tries of an ordinary caller, which comes again as it is told."""

RETRY_SECONDS = 1.0
"""Seconds after which it comes again, as refusals say."""

TRY_SECONDS = 6.0
"""Seconds after which an ordinary caller gives a try up."""


@dataclass(slots=True, kw_only=True)
class Host:
    """A host as a process.

    Attributes:
        listeners: ``IP:PORT`` of each listener, by its name.
        process: The process.
        memory: Bytes that it may use.
        descriptors: Descriptors that it may have open.
        ask: Sends an ordinary request with a body of so many bytes and returns its status.
    """

    listeners: dict[str, str]
    process: asyncio.subprocess.Process
    memory: int
    descriptors: int
    ask: Callable[[int], Awaitable[int]]

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self.process.returncode is None

    @property
    def peak_memory(self) -> int:
        """The most bytes that it has used, with those that it has received and not read."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1_024 + self._received_unread

    @property
    def open_descriptors(self) -> int:
        """The descriptors that it has open."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    @property
    def _received_unread(self) -> int:
        ports = {int(address.rpartition(":")[2]) for address in self.listeners.values()}
        text = Path("/proc/net/tcp").read_text(encoding="ascii")
        total = 0
        for line in text.splitlines()[1:]:
            fields = line.split()
            if int(fields[1].rpartition(":")[2], 16) in ports:
                total += int(fields[4].rpartition(":")[2], 16)
        return total


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """What became of a host while a crowd stayed connected.

    Attributes:
        running: Whether the process lives.
        memory: The most bytes that it held.
        descriptors: The most descriptors that were seen open.
        statuses: What each try of the ordinary caller got; zero for no answer.
    """

    running: bool
    memory: int
    descriptors: int
    statuses: tuple[int, ...]

    @property
    def answered(self) -> bool:
        """Whether the ordinary caller was served in the end."""
        return 200 in self.statuses


async def meet(host: Host, crowd: Crowd, *, listener: str, size: int) -> Outcome:
    """Let a crowd meet a host and have an ordinary caller ask while it stays connected."""
    statuses: list[int] = []
    descriptors = 0
    async with connected(crowd, address=host.listeners[listener]):
        await asyncio.sleep(SETTLE_SECONDS)
        if host.running:
            descriptors = host.open_descriptors
        while host.running and len(statuses) < TRIES and 200 not in statuses:
            statuses.append(await host.ask(size))
            if statuses[-1] != 200:
                await asyncio.sleep(RETRY_SECONDS)
        outcome = Outcome(
            running=host.running,
            memory=host.peak_memory if host.running else 0,
            descriptors=max(descriptors, host.open_descriptors if host.running else 0),
            statuses=tuple(statuses),
        )
    print(outcome)
    return outcome


async def _get(url: str) -> int:
    async with httpx.AsyncClient() as client:
        return (await client.get(url)).status_code


async def _status(url: str, *, content: bytes, headers: dict[str, str]) -> int:
    """Send a request on a connection of its own and return its status, or zero for no answer."""
    try:
        async with httpx.AsyncClient(timeout=TRY_SECONDS) as client:
            return (await client.post(url, content=content, headers=headers)).status_code
    except httpx.HTTPError:
        return 0


@asynccontextmanager
async def platform_host(folder: Path, *, ip: str, limits: HostLimits) -> AsyncIterator[Host]:
    """Run a host of the platform before one sound target."""
    target = FakeTarget(name="i-0", fleet=Fleet(), streams=False)
    async with AsyncExitStack() as stack:
        store = StoreStandin()
        await store.start()
        stack.push_async_callback(store.stop)
        value = configuration(version=1, extra=False, layout=Layout())
        await store.store.create(kind="config", name="main", value=value)
        await target.start()
        stack.callback(target.stop)
        entry = target_entry(service=DESK, address=target.address, place="z1")
        await store.store.create(kind="servers", name="i-0", value=entry)
        callers, process = await stack.enter_async_context(
            edge(folder, ip=ip, store=store.address, limits=limits)
        )
        await until_metric(ip, "azureswitch_targets_serving", 1)
        numbers = iter(range(TRIES))

        async def ask(size: int) -> int:
            headers = {
                "host": HOST_HEADER,
                header_names.ID: f"ordinary-{next(numbers)}",
                header_names.KEY: "Bearer key-ann",
            }
            return await _status(f"http://{callers}/look/1", content=bytes(size), headers=headers)

        yield Host(
            listeners={
                "callers": callers,
                "readiness": f"{ip}:{PORTS + 1}",
                "metrics": f"{ip}:{METRICS_PORT}",
                "peers": f"{ip}:{PEERS_PORT}",
                "tunnels": f"{ip}:{TUNNELS_PORT}",
            },
            process=process,
            memory=limits.memory_mb * MEGABYTE,
            descriptors=limits.descriptors - FILES,
            ask=ask,
        )


@asynccontextmanager
async def entry_host(
    folder: Path, *, ip: str, limits: HostLimits, settings: str
) -> AsyncIterator[Host]:
    """Run a host of the product's own interface before one engine.

    Args:
        folder: Where its files are written.
        ip: Its IP address.
        limits: What the process may use.
        settings: The ``[limits]`` of its settings file.
    """
    engine = EngineStandin(
        settings=EngineSettings(name="engine-0", cost=CostModel(decode_base=0.002))
    )
    store, listed = StoreStandin(), HostListStandin()
    async with AsyncExitStack() as stack:
        for standin in (engine, store, listed):
            await standin.start()
            stack.push_async_callback(standin.stop)
        await Changes(store=HttpStore(address=store.address)).propose(
            base=0,
            body=entry_configuration([engine], body_limit=33_554_432),
            author="operator",
            change="first",
        )
        listeners = {
            name: f"{ip}:{PORTS + number}"
            for number, name in enumerate(("callers", "operations", "peers"))
        }
        file = settings_file(folder, store=store.address, hosts=listed.address)
        text = file.read_text()
        for name, address in listeners.items():
            text = text.replace(f"{name} = 127.0.0.1:0", f"{name} = {address}")
        file.write_text(f"{text}[limits]\n{settings}\n")
        log = folder / "log"
        process = await _start_entry(file, log=log, descriptors=limits.descriptors)
        stack.push_async_callback(_end, process)
        callers = listeners["callers"]
        await _until_ready(process, log=log, callers=callers)

        async def ask(size: int) -> int:
            headers = {"authorization": f"Bearer {KEY}"}
            content = httpx.Request("POST", callers, json=body("a" * size, 1, stream=False)).content
            return await _status(
                f"http://{callers}/v1/completions", content=content, headers=headers
            )

        yield Host(
            listeners=listeners,
            process=process,
            memory=limits.memory_mb * MEGABYTE,
            descriptors=limits.descriptors,
            ask=ask,
        )


async def _start_entry(file: Path, *, log: Path, descriptors: int) -> asyncio.subprocess.Process:
    program = "import sys; from azureswitch.entry import main; sys.exit(main())"
    with log.open("wb") as output:
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", program, "--settings", str(file)),
            stderr=output,
            preexec_fn=lambda: setrlimit(RLIMIT_NOFILE, (descriptors, descriptors)),
        )


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def _until_ready(process: asyncio.subprocess.Process, *, log: Path, callers: str) -> None:
    async with asyncio.timeout(PATIENCE):
        await until_listening(callers)
        while await _get(f"http://{callers}/readyz") != 200:
            assert process.returncode is None, log.read_text()
            await asyncio.sleep(0.05)
