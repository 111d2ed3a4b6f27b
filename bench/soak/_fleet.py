"""The processes of a run: the store, entry hosts, targets, each behind a proxy."""

import asyncio
import os
from itertools import count
from pathlib import Path
from time import monotonic

import msgspec

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError
from azureswitch.platform import HttpStore
from azureswitch_standins.target import (
    FAULTS_PATH,
    LIMIT_PATH,
    SILENCE_PATH,
    Note,
    NoteKind,
    TargetFaults,
    TargetPlan,
)
from bench.soak._cuts import HostCuts
from bench.soak._documents import (
    CLERK,
    DESK,
    GRACE_SECONDS,
    MEMORY,
    POOL,
    SCRIBE,
    STREAMING,
    ZONES,
    write_settings,
)
from bench.soak._process import PROGRAMS, ManagedProcess
from bench.soak._proxy import FaultProxy
from bench.soak._records import Records

EDGE = Path(__file__).resolve().parents[2] / "deploy" / "edge.py"
"""The program as the deploy file starts it."""

LAUNCH = Path(__file__).with_name("_launch.py")

FIRST_PORT = 21_100
"""Port of a host for callers; its others follow."""

TARGET_PORT = 21_000

WORK = {SCRIBE: 0.5, CLERK: 9.0}
"""Seconds that slow targets take for an event, or an answer: longer than the 8 s of grace."""

USUAL_WORK = 0.02

STORE_NUMBER = 250
FIRST_TARGET_NUMBER = 100
"""Hosts, targets and the store are told apart by the last number of their IP addresses."""

START_SECONDS = 20.0
"""Seconds that all processes may take to start, beside a busy machine."""

CONTROL_TIMEOUT = 10.0
"""Seconds until a stand-in must have taken what goes wrong, also beside a busy machine."""


_RUNS = count(1)


def _new_network() -> str:
    """Return the first three numbers of IP addresses that no other run has, here or beside.

    A port that is free there stays so, and two soaks may run on one machine.
    """
    return f"127.{10 + os.getpid() % 200}.{next(_RUNS) % 250}"


async def _tell(address: str, path: str, message: object) -> None:
    """Tell a stand-in something; store and targets take what goes wrong at the same path."""
    client = HttpClient(address=address, connect_timeout=CONTROL_TIMEOUT)
    try:
        await client.request(
            method="POST",
            path=path,
            body=msgspec.json.encode(message),
            timeout=CONTROL_TIMEOUT,
        )
    finally:
        client.close()


class Host:
    """One entry host.

    Args:
        number: Counts the hosts of a run.
        network: The first three numbers of the run's IP addresses.
        store: ``IP:PORT`` of the store.
        folder: Where settings and logs are written.
        contracts: The parts of the users' rules that are in force.
    """

    def __init__(
        self,
        *,
        number: int,
        network: str,
        store: str,
        folder: Path,
        contracts: tuple[str, ...] = (),
    ) -> None:
        self.name = f"h{number}"
        self._zone = ZONES[number % len(ZONES)]
        self._ip = f"{network}.{number + 1}"
        self._settings = folder / f"{self.name}.toml"
        self._contracts = contracts
        self.front = FaultProxy(behind=f"{self._ip}:{FIRST_PORT}")
        self.stores = tuple(FaultProxy(behind=store) for _ in range(2))
        self._store = 0
        environment = {**os.environ, "AZURESWITCH_SETTINGS": str(self._settings)}
        self.log = folder / f"{self.name}.log"
        self.process = ManagedProcess(
            command=(str(PROGRAMS / "python"), str(EDGE)), log=self.log, environment=environment
        )
        self.starts = 0
        self.log_starts: list[int] = []
        self.started = 0.0

    @property
    def callers(self) -> str:
        """``IP:PORT`` for callers, with no proxy before it."""
        return f"{self._ip}:{FIRST_PORT}"

    @property
    def readiness(self) -> str:
        """``IP:PORT`` of its readiness."""
        return f"{self._ip}:{FIRST_PORT + 1}"

    @property
    def metrics(self) -> str:
        """``IP:PORT`` of its metrics."""
        return f"{self._ip}:9464"

    async def open(self) -> None:
        """Start its proxies."""
        for proxy in (self.front, *self.stores):
            await proxy.start()
        self.write_settings()

    async def start(self, *, offset: float = 0.0) -> None:
        """Start its process, whose time of day is off by so many seconds."""
        self.starts += 1
        self.log_starts.append(self.log.stat().st_size if self.log.exists() else 0)
        self.started = monotonic()
        program = [str(EDGE), self.callers]
        skewed = [str(LAUNCH), str(offset)] if offset else []
        await self.process.start([str(PROGRAMS / "python"), *skewed, *program])

    def move_store(self) -> None:
        """Write settings by which the store is reached another way."""
        self._store = 1 - self._store
        self.write_settings()

    def write_settings(self) -> None:
        """Write its settings file."""
        write_settings(
            self._settings,
            name=self.name,
            ip=self._ip,
            zone=self._zone,
            ports=FIRST_PORT,
            store=self.stores[self._store].address,
            contracts=self._contracts,
        )


class Target:
    """One target.

    Args:
        plan: What it is; where it is listed follows from its proxy.
        proxy: The proxy before it.
        listen: ``IP:PORT`` that it listens on.
        records: Takes its notes.
        folder: Where its log is written.
    """

    def __init__(
        self, *, plan: TargetPlan, proxy: FaultProxy, listen: str, records: Records, folder: Path
    ) -> None:
        self.plan = msgspec.structs.replace(plan, address=proxy.address)
        self.proxy = proxy
        self.listen = listen
        self._records = records
        self.listed = asyncio.Event()
        command = (
            str(PROGRAMS / "azureswitch-standin-target"),
            *("--plan", msgspec.json.encode(self.plan).decode()),
            *("--listen", listen),
        )
        self.process = ManagedProcess(
            command=command, log=folder / f"{plan.name}.log", take=self._take
        )

    async def set_faults(self, faults: TargetFaults) -> None:
        """Change what goes wrong."""
        await _tell(self.listen, FAULTS_PATH, faults)

    async def fall_silent(self, seconds: float) -> None:
        """Let it be silent for some seconds and go on."""
        await _tell(self.listen, SILENCE_PATH, seconds)

    async def name_limit(self, limit: str | None) -> bool:
        """Let it name a limit in its answers, or none; return whether it heard of that."""
        try:
            await _tell(self.listen, LIMIT_PATH, limit)
        except HttpError:
            return False
        return True

    def _take(self, line: bytes) -> None:
        note = msgspec.json.decode(line, type=Note)
        self._records.notes.append(note)
        if note.kind is NoteKind.LISTED:
            self.listed.set()


class Fleet:
    """All processes of a run.

    Args:
        seed: The run's seed.
        hosts: Entry hosts.
        engines: Model engines.
        desks: Targets of the plain service.
        records: Takes the targets' notes.
        folder: Where settings and logs are written.
        contracts: The parts of the users' rules that are in force at hosts.
    """

    def __init__(
        self,
        *,
        seed: int,
        hosts: int,
        engines: int,
        desks: int,
        records: Records,
        folder: Path,
        contracts: tuple[str, ...] = (),
    ) -> None:
        self._seed = seed
        self._contracts = contracts
        self._sizes = (hosts, engines, desks)
        self._records = records
        self._folder = folder
        self._names = count(1)
        self._network = _new_network()
        self._address = f"{self._network}.{STORE_NUMBER}:{TARGET_PORT}"
        self.store_proxy = FaultProxy(behind=self._address)
        self.store_process = ManagedProcess(
            command=(
                str(PROGRAMS / "azureswitch-standin-store"),
                *("--host", f"{self._network}.{STORE_NUMBER}"),
                *("--port", str(TARGET_PORT)),
            ),
            log=folder / "store.log",
        )
        self.cuts = HostCuts()
        self.hosts: list[Host] = []
        self.targets: list[Target] = []

    @property
    def store(self) -> HttpStore:
        """The store as operators reach it."""
        return HttpStore(address=self.store_proxy.address, timeout=CONTROL_TIMEOUT)

    @property
    def store_address(self) -> str:
        """``IP:PORT`` of the store itself, behind no proxy."""
        return self._address

    @property
    def unstarted(self) -> tuple[str, ...]:
        """The processes that `start` still waits for; targets count as such until listed."""
        if not self.targets:
            return ("the store",)
        unlisted = [target.plan.name for target in self.targets if not target.listed.is_set()]
        if unlisted or self.hosts:
            return tuple(unlisted)
        return ("the hosts",)

    async def start(self) -> None:
        """Start the store and all targets, and then the hosts."""
        hosts, engines, desks = self._sizes
        await self.store_process.start()
        await self.store_proxy.start()
        for service in (*[POOL] * engines, *[DESK] * desks, SCRIBE, CLERK, CLERK):
            await self.add_target(service=service)
        await asyncio.gather(*(target.listed.wait() for target in self.targets))
        for number in range(hosts):
            host = Host(
                number=number,
                network=self._network,
                store=self.store_proxy.address,
                folder=self._folder,
                contracts=self._contracts,
            )
            await host.open()
            self.hosts.append(host)
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def add_target(
        self, *, service: str, listen: str = "", proxy: FaultProxy | None = None
    ) -> Target:
        """Start one more target, at a free address or at that of one which is gone."""
        number = next(self._names)
        plan = TargetPlan(
            name=f"i-{self._seed}-{number}",
            service=service,
            place=ZONES[number % len(ZONES)],
            store=self.store_proxy.address,
            streams=service in STREAMING,
            work=WORK.get(service, USUAL_WORK),
            memory=MEMORY,
        )
        listen = listen or f"{self._network}.{FIRST_TARGET_NUMBER + number}:{TARGET_PORT}"
        if proxy is None:
            proxy = FaultProxy(behind=listen, cuts=self.cuts)
            await proxy.start()
        target = Target(
            plan=plan, proxy=proxy, listen=listen, records=self._records, folder=self._folder
        )
        self.targets.append(target)
        self._records.services[plan.name] = service
        self._records.places[plan.name] = plan.place
        await target.process.start()
        return target

    async def set_store_faults(self, **faults: object) -> None:
        """Change what goes wrong with the store."""
        await _tell(self._address, FAULTS_PATH, faults)

    async def stop(self) -> None:
        """End all processes that were started here."""
        processes = [host.process for host in self.hosts]
        processes += [target.process for target in self.targets]
        for process in processes:
            process.resume()
        await asyncio.gather(*(p.kill() for p in (*processes, self.store_process)))
        for host in self.hosts:
            for proxy in (host.front, *host.stores):
                proxy.stop()
        for proxy in {self.store_proxy, *(target.proxy for target in self.targets)}:
            proxy.stop()

    async def stop_hosts(self) -> list[int | None]:
        """Ask all hosts to stop and return their exit codes."""
        return await asyncio.gather(
            *(host.process.terminate(timeout=GRACE_SECONDS) for host in self.hosts)
        )
