"""How fast an accepted change is in force everywhere, and what that costs the store.

`records` runs real objects over in-memory peers in virtual time, so that its figures are the same
in each run.  ``python -m bench.configuration [PROCESSES]`` starts real processes on one machine and
measures with its clock.
"""

import sys
from asyncio import Event, current_task, gather, get_running_loop, run, sleep, timeout
from asyncio.subprocess import DEVNULL, Process, create_subprocess_exec
from collections import Counter
from collections.abc import Iterable
from functools import partial
from random import Random
from signal import SIGTERM
from statistics import median
from time import monotonic

from azureswitch.coordination.configuration import Changes
from azureswitch.core import HostName
from azureswitch.exceptions import PeerError
from azureswitch.peers import PeerNetwork
from azureswitch.platform import HttpStore
from azureswitch.ports import HostStatus, ListedHost
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from azureswitch_standins.hosts import HostListStandin
from azureswitch_standins.store import StoreFake, StoreModel, StoreStandin
from bench.node import NodeAdopted, NodeAsk, NodeFigures, NodeNoted, NodeStarted
from bench.records import Direction, Record

BODY_BYTES = 200_000
"""Bytes of a configuration of 600 engines and 380 customers, about."""

CHANGES = 5
OUTAGE_SECONDS = 3_600.0
OUTAGE_HOSTS = 9
REPLACED = 6
AFTER_SECONDS = 60.0
PROCESSES = 200
PLACES = 11
SETTLE_SECONDS = 15.0
PROCESS_SETTLE_SECONDS = 75.0
"""Seconds until the news of all processes having started at once has gone round."""

MEASURED_SECONDS = 20.0


def _record(name: str, value: float, unit: str, bound: float | None = None) -> Record:
    direction = Direction.NONE if bound is None else Direction.AT_MOST
    return Record(
        name=f"configuration.{name}", value=value, unit=unit, bound=bound, direction=direction
    )


async def _accept(changes: Changes, revision: int) -> None:
    body = _body(revision)
    await changes.propose(base=revision - 1, body=body, author="bench", change=f"c{revision}")


def _body(revision: int) -> bytes:
    """Return as many bytes as an inventory has, which compress about as well."""
    random = Random(revision)
    entry = '{{"name":"engine-{0:03d}","place":"zone-{1}","key_hash":"{2:064x}","weight":1.0}}'
    lines = (
        entry.format(number, number % PLACES, random.getrandbits(256))
        for number in range(BODY_BYTES // len(entry.format(1, 1, 1)))
    )
    return "\n".join(lines).encode()


# --- Virtual time ---------------------------------------------------------------------------------


async def _started(size: int, places: int) -> tuple[FleetFake, Changes]:
    fleet = FleetFake(places=places, configured=True)
    changes = Changes(store=StoreFake(model=fleet.model))
    await _accept(changes, 1)
    fleet.add(size)
    await until(lambda: fleet.in_force(1) and fleet.complete(), limit=120.0)
    await sleep(SETTLE_SECONDS)
    return fleet, changes


async def _measure_spread(size: int, places: int) -> list[Record]:
    fleet, changes = await _started(size, places)
    watches = Counter(host.place for host in fleet.watchers)
    before = fleet.model.counters
    seconds = []
    for revision in range(2, 2 + CHANGES):
        await _accept(changes, revision)
        seconds.append(await until(partial(fleet.in_force, revision), limit=30.0, step=0.01))
        await sleep(2.0)
    after = fleet.model.counters
    gets = (after.gets - before.gets) / CHANGES
    return [
        _record(f"{size}.in_force_p100", max(seconds), "s", 2.0),
        _record(f"{size}.watches_per_place", max(watches.values()), "watches", 2.0),
        _record(f"{size}.reads_per_change", gets, "calls", 2.0 * places + 2.0),
    ]


async def _measure_outage() -> list[Record]:
    fleet, changes = await _started(OUTAGE_HOSTS, 3)
    fleet.set_store(down=True)
    began = int(get_running_loop().time())
    joined = []
    for _ in range(2):
        await sleep(OUTAGE_SECONDS / 2)
        joined.append(await _replace(fleet))
    ended = int(get_running_loop().time()) + 1
    fleet.set_store(down=False)
    await _accept(changes, 2)
    in_force = await until(lambda: fleet.in_force(2), limit=120.0)
    await sleep(AFTER_SECONDS)
    tries = fleet.tries
    during = sum(count for second, count in tries.items() if began <= second < ended)
    after = [count for second, count in tries.items() if second >= ended]
    return [
        _record("outage.tries_a_minute", during * 60.0 / (ended - began), "calls/min", 30.0),
        _record("outage.join_from_peers_p100", max(joined), "s", 15.0),
        _record("outage.in_force_after", in_force, "s", 30.0),
        _record("outage.reverted", _reverted(fleet.hosts), "hosts", 0.0),
        _record("outage.calls_in_first_minute", sum(after), "calls", 60.0),
        _record("outage.calls_in_worst_second", max(after), "calls", 10.0),
    ]


async def _replace(fleet: FleetFake) -> float:
    for host in fleet.hosts[:REPLACED]:
        fleet.kill(host)
    fleet.add(REPLACED)
    return await until(lambda: fleet.in_force(1), limit=60.0)


def _reverted(hosts: Iterable[FleetHost]) -> int:
    return sum(host.adopted != sorted(set(host.adopted)) for host in hosts)


def records() -> list[Record]:
    """Measure today's fleet and larger ones, and an hour without the store."""
    results = []
    for size, places in ((9, 3), (50, 3), (200, PLACES)):
        results += run_virtual(_measure_spread(size, places))
    return results + run_virtual(_measure_outage())


# --- Real processes -------------------------------------------------------------------------------


class _Nodes:
    """Real processes, and what they report."""

    def __init__(self, *, count: int) -> None:
        self._count = count
        self._peers = PeerNetwork(address="127.0.0.1:0", connections=16)
        self._model = StoreModel()
        self._store = StoreStandin(model=self._model)
        self._hosts = HostListStandin(lag=0.0)
        self._processes: list[Process] = []
        self._addresses: dict[HostName, str] = {}
        self._adopted: dict[int, dict[HostName, float]] = {}
        self._changed = Event()
        self._peers.handle(NodeStarted, self._note_started)
        self._peers.handle(NodeAdopted, self._note_adopted)

    @property
    def model(self) -> StoreModel:
        """The objects of the store and its counters."""
        return self._model

    @property
    def store(self) -> HttpStore:
        """A client of the store."""
        return HttpStore(address=self._store.address)

    async def start(self) -> None:
        """Start everything around the nodes."""
        await gather(self._peers.start(), self._store.start(), self._hosts.start())

    async def start_nodes(self) -> None:
        """Start the nodes, ten at a time."""
        for first in range(0, self._count, 10):
            numbers = range(first, min(first + 10, self._count))
            self._processes += await gather(*(self._start(number) for number in numbers))
            await sleep(0.3)
        async with timeout(120.0):
            while len(self._addresses) < self._count:
                await sleep(0.1)

    async def in_force(self, revision: int, *, since: float, limit: float) -> list[float]:
        """Return after how many seconds a revision was in force on each node."""
        async with timeout(limit):
            while len(self._adopted.get(revision, {})) < self._count:
                self._changed.clear()
                await self._changed.wait()
        return sorted(at - since for at in self._adopted[revision].values())

    async def figures(self) -> dict[HostName, NodeFigures]:
        """Ask every node what it has used."""
        found = {}
        for name, address in self._addresses.items():
            try:
                found[name] = await self._peers.call(
                    address=address, request=NodeAsk(), reply=NodeFigures, timeout=5.0
                )
            except PeerError as error:
                print(f"{name}: {error}", flush=True)
        return found

    async def stop(self) -> None:
        """End the processes that were started here."""
        for process in self._processes:
            if process.returncode is None:
                process.terminate()
        await gather(*(process.wait() for process in self._processes))
        await gather(self._peers.close(), self._store.stop(), self._hosts.stop())

    async def _start(self, number: int) -> Process:
        return await create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.node",
            f"--name=node-{number:03d}",
            f"--place=zone-{number % min(PLACES, max(self._count // 3, 1))}",
            f"--store={self._store.address}",
            f"--hosts={self._hosts.address}",
            f"--report={self._peers.address}",
            stdout=DEVNULL,
        )

    async def _note_started(self, started: NodeStarted) -> NodeNoted:
        self._addresses[started.name] = started.address
        self._hosts.list.put(
            host=ListedHost(
                name=started.name,
                place=started.place,
                address=started.address,
                status=HostStatus.LIVE,
            )
        )
        return NodeNoted()

    async def _note_adopted(self, adopted: NodeAdopted) -> None:
        self._adopted.setdefault(adopted.revision, {})[adopted.name] = adopted.at
        self._changed.set()


async def _measure_processes(count: int) -> list[Record]:
    nodes = _Nodes(count=count)
    task = current_task()
    assert task is not None
    # The processes must not outlive a benchmark that is told to stop.
    get_running_loop().add_signal_handler(SIGTERM, task.cancel)
    await nodes.start()
    try:
        changes = Changes(store=nodes.store)
        await _accept(changes, 1)
        began = monotonic()
        await nodes.start_nodes()
        await nodes.in_force(1, since=began, limit=120.0)
        await sleep(PROCESS_SETTLE_SECONDS)
        idle = await _measure_idle(nodes, count)
        return idle + await _measure_changes(nodes, changes, count)
    finally:
        await nodes.stop()


async def _measure_idle(nodes: _Nodes, count: int) -> list[Record]:
    before = await nodes.figures()
    await sleep(MEASURED_SECONDS)
    after = await nodes.figures()
    pairs = [(before[name], item) for name, item in after.items() if name in before]
    shares = [
        (late.processor - early.processor) / (late.at - early.at) * 100 for early, late in pairs
    ]
    rates = [
        (late.sent + late.received - early.sent - early.received) / (late.at - early.at)
        for early, late in pairs
    ]
    return [
        _record(
            f"processes.{count}.members_least", min(i.members for i in after.values()), "hosts"
        ),
        _record(f"processes.{count}.processor_median", median(shares), "% of core"),
        _record(f"processes.{count}.processor_most", max(shares), "% of core"),
        _record(f"processes.{count}.bytes_median", median(rates), "bytes/s"),
        _record(f"processes.{count}.bytes_most", max(rates), "bytes/s"),
        _record(
            f"processes.{count}.memory_most",
            max(item.memory for item in after.values()) / 1e6,
            "MB",
        ),
        _record(
            f"processes.{count}.watching", sum(item.watching for item in after.values()), "hosts"
        ),
        _record(f"processes.{count}.watches", nodes.model.counters.waiting, "watches"),
        _record(f"processes.{count}.watches_most", nodes.model.counters.most_waiting, "watches"),
    ]


async def _measure_changes(nodes: _Nodes, changes: Changes, count: int) -> list[Record]:
    seconds: list[float] = []
    reads = nodes.model.counters.gets
    for revision in range(2, 2 + CHANGES):
        since = monotonic()
        await _accept(changes, revision)
        seconds += await nodes.in_force(revision, since=since, limit=30.0)
        await sleep(2.0)
    reads = nodes.model.counters.gets - reads
    await sleep(10.0)
    known = await nodes.figures()
    seconds.sort()
    return [
        _record(f"processes.{count}.in_force_p50", median(seconds), "s"),
        _record(f"processes.{count}.in_force_p100", seconds[-1], "s"),
        _record(f"processes.{count}.reads_per_change", reads / CHANGES, "calls"),
        _record(
            f"processes.{count}.status_shows_least",
            min(item.in_force for item in known.values()),
            "hosts",
        ),
    ]


def main(counts: list[int]) -> None:
    """Measure real processes and print the figures."""
    for count in counts:
        for record in run(_measure_processes(count)):
            print(f"{record.name:48} {record.value:12.3f} {record.unit}", flush=True)


if __name__ == "__main__":
    main([int(item) for item in sys.argv[1:]] or [PROCESSES])
