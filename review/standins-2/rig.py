"""Starts the store, engines and the project's own hosts as processes, and sends requests.

All on loopback addresses and the real clock.  The hosts are started with the command of
`deploy/system.toml`, with `target/deps` on Python's path.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
BEAT_MS = 1_200
MOST_SECONDS = 115
"""Seconds after which a case is called off."""


class CannotRun(Exception):
    """The case could not run."""


class Rig:
    """The processes of one case, and its record."""

    def __init__(self, folder: Path, *, title: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.record_path = folder / "record.txt"
        self.record = self.record_path.open("w")
        self.processes: list[subprocess.Popen] = []
        self.begun = time.monotonic()
        self.net = self._network()
        self.store = f"{self.net}.1:{self._port(f'{self.net}.1')}"
        self.ports = self._port_block()
        self.note(f"{title}; TROUBLE={'1' if self.trouble else '0'}")

    def now(self) -> float:
        return time.monotonic() - self.begun

    def note(self, text: str) -> None:
        self.record.write(f"{self.now():8.3f} {text}\n")

    def note_runs(self, pattern: str) -> None:
        """Note what the engines have run, by their own output."""
        runs = []
        for log in self.temporary.glob(pattern):
            runs += [json.loads(line) for line in log.read_text().splitlines() if line[:1] == "{"]
        for run in sorted(runs, key=lambda run: run["at"]):
            at = run["at"] - self.begun
            self.note(f"at {at:.3f} {run['by']}: {run['what']} {run['id']} {run['path']}")

    @staticmethod
    def _network() -> str:
        """Return a part of the loopback range in which nothing of ours listens."""
        pick = random.Random(os.getpid())
        return f"127.{pick.randint(30, 120)}.{pick.randint(1, 250)}"

    @staticmethod
    def _port(ip: str) -> int:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]

    def _port_block(self) -> int:
        """Return the first of six ports that are free on the addresses of the hosts."""
        for first in range(21_000, 29_000, 10):
            try:
                for offset in range(6):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.11", first + offset))
                return first
            except OSError:
                continue
        raise CannotRun("no free ports")

    def start(self, name: str, command: list[str], **environment: str) -> subprocess.Popen:
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = (self.temporary / f"{name}.log").open("ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env={**kept, **environment}, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        return process

    async def start_store(self) -> None:
        self.start("store", [sys.executable, str(HERE / "store.py"), self.store, str(BEAT_MS)])
        await self.until(lambda: listens(self.store), "the store listens")

    def host_ip(self, number: int) -> str:
        return f"{self.net}.{10 + number}"

    def front(self, number: int) -> str:
        return f"{self.host_ip(number)}:{self.ports}"

    def ready_address(self, number: int) -> str:
        return f"{self.host_ip(number)}:{self.ports + 1}"

    def start_host(self, number: int, *, zones: list[str], contracts: list[str]) -> subprocess.Popen:
        """Start a host, with the command of the deploy file."""
        zone = zones[(number - 1) % len(zones)]
        settings = self.temporary / f"host-{number}.toml"
        zone_lines = "\n".join(f'{name} = "region"' for name in zones)
        settings.write_text(
            f'''NodeName = "edge-{zone}-{number}"
Role = "edge"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{self.host_ip(number)}"
Zone = "{zone}"
Region = "region"
InternalPorts = [{self.ports + 3},{self.ports + 5}]
SeedNodes = []
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = {BEAT_MS}
ActiveContracts = {json.dumps(contracts)}
[Zones]
{zone_lines}
[ListenAddrs]
Front = "{self.front(number)}"
Ready = "{self.ready_address(number)}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
StabilityWindowMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
BudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 100
RecoveryS = 12
HoldMaxMs = 20000
FreeMs = 4000
IdleMaxMs = 9000
[Platform]
Address = "{self.store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
'''
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["edge"]["run"].replace(
            "{{ListenAddrs.Front}}", self.front(number)
        )
        return self.start(
            f"host-{number}",
            command.split(" "),
            AZURESWITCH_SETTINGS=str(settings),
            PYTHONPATH=str(ROOT / "target" / "deps"),
        )

    async def until_ready(self, numbers: range) -> None:
        for number in numbers:
            await self.until(lambda: self.ready(number), f"host {number} is ready")

    async def ready(self, number: int) -> bool:
        try:
            status, _, _ = await exchange(self.ready_address(number), "GET", "/api/readiness")
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    async def until(self, holds, what: str, seconds: float = 20.0) -> None:
        end = time.monotonic() + seconds
        while not await holds():
            if time.monotonic() > end:
                raise CannotRun(f"not within {seconds:g} s: {what}")
            await asyncio.sleep(0.05)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object of the store, as the operator does."""
        body = json.dumps({"Metadata": {"Name": name}, "Spec": spec}).encode()
        status, _, _ = await exchange(self.store, "POST", f"/api/objects/{kind}", body=body)
        if status == 409:
            await exchange(self.store, "PUT", f"/api/objects/{kind}/{name}", body=body)

    def end(self) -> None:
        """End all processes that were started, and nothing else."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


async def listens(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return int(head[0].split(" ")[1]), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the whole body; raises IncompleteReadError where it ends early."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


async def exchange(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return its whole answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {"Host": "x"}).items()]
            writer.write("\r\n".join((*lines, "", "")).encode() + body)
            status, found = await read_head(reader)
            return status, found, await read_body(reader, found)
        finally:
            writer.close()


def called_off(number: int, frame: object) -> None:
    """End the case, and with it all processes that it started."""
    sys.exit(2)


def main(case, folder: Path, *, title: str) -> int:
    """Run a case: 1 where the rule was broken, 0 where it held, 2 where it could not run."""
    rig = Rig(folder, title=title)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, called_off)
    signal.alarm(MOST_SECONDS)
    try:
        broken = asyncio.run(case(rig))
    except CannotRun as error:
        rig.note(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    except Exception as error:  # noqa: BLE001
        rig.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGALRM):
            signal.signal(number, signal.SIG_IGN)
        rig.end()
    return 1 if broken else 0
