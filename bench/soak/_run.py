"""One run: everything starts, faults come, calm returns, and the promises are checked."""

import asyncio
import shutil
from collections import Counter
from pathlib import Path
from time import monotonic

import msgspec
from msgspec import Struct

from azureswitch.client import HttpClient
from azureswitch.exceptions import HttpError
from azureswitch_standins.target import REPORT_PATH, Report
from bench.soak._checks import check
from bench.soak._clients import DEADLINE, Caller
from bench.soak._documents import MEMORY
from bench.soak._ends import crossed
from bench.soak._evacuations import CONTRACT, Evacuations
from bench.soak._faults import Faults
from bench.soak._fleet import START_SECONDS, Fleet, Target
from bench.soak._floods import Floods
from bench.soak._foreign import Foreign
from bench.soak._keepers import OVERTIME, Keeper
from bench.soak._limits import Limited
from bench.soak._logs import read_log
from bench.soak._memory import enforce
from bench.soak._partitions import Partitions
from bench.soak._parts import FatalParts
from bench.soak._planned import Planned
from bench.soak._platform import Platform
from bench.soak._records import EVERYWHERE, Records, Window
from bench.soak._restarts import Restarts
from bench.soak._silences import Silences
from bench.soak._trace import trace

SETTLE_SECONDS = 5.0
"""Seconds of calm before everything must be served again."""

CALM_SECONDS = 3.0
"""Seconds for which it then is."""

SERVED_SHARE = 0.95
"""Share of the requests of the calm end that must be answered with success.

The rest leaves room for a target that is avoided for up to 4 s after it failed.  Prompts larger
than one engine's memory are left out where they are refused as not run: four engines hold one or
two of them at a time, and seed 7 sends up to three.
"""

FREE_SECONDS = 4.5
"""Seconds after the last request in which all memory of engines must be free again."""

LOOK_SECONDS = 0.05
"""Seconds between two looks whether this process runs."""

STALL_SECONDS = 0.5
"""Seconds by which a look is late from which the machine is taken to have stood still."""

PROGRAM_ERROR = b'"level": "ERROR"'
"""Marks a line of a host's log that tells of a fault of the program."""


class Plan(Struct, frozen=True, kw_only=True):
    """The size of a run.

    Attributes:
        seed: Draws everything.
        hosts: Entry hosts.
        engines: Model engines.
        desks: Targets of the plain service.
        callers: Callers.
        seconds: Seconds in which faults begin.
        faults: How many faults.
        only: The one kind of fault, or nothing for all.
        keepers: Callers who use their connections to the end.
        planned: Planned works beside the faults.
        restarts: Targets that start again under their names, beside the faults.
        foreign: Sets of foreign entries in the store.
        limits: Limits that targets name.
        partitions: Cuts between hosts and all targets.
        parts: Parts of prompts that crash engines.
        silences: Series of silences of targets beside configurations.
        floods: Targets, callers and entries that send without end.
        evacuations: Evacuations of failure domains, which hosts are set up for where there are any.
    """

    seed: int
    hosts: int = 3
    engines: int = 4
    desks: int = 2
    callers: int = 12
    seconds: float = 12.0
    faults: int = 10
    only: str = ""
    keepers: int = 6
    planned: int = 2
    restarts: int = 2
    foreign: int = 0
    limits: int = 0
    evacuations: int = 0
    partitions: int = 0
    parts: int = 0
    silences: int = 0
    floods: int = 0


class Result(Struct, frozen=True, kw_only=True):
    """What a run gave.

    Attributes:
        seed: Its seed.
        calls: Requests.
        served: Requests that were answered with success.
        faults: Faults by kind.
        broken: A line for each broken promise.
        crossed: Requests that crossed a close unread, and those of them that may not repeat.
        traces: Lines on the calls that broken promises name.
    """

    seed: int
    calls: int
    served: int
    faults: Counter[str]
    broken: tuple[str, ...]
    crossed: tuple[int, int] = (0, 0)
    traces: tuple[str, ...] = ()


async def run(plan: Plan, *, folder: Path) -> Result:
    """Run once.

    Args:
        plan: Its size.
        folder: Where settings, logs and the findings are left.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    records = Records()
    fleet = Fleet(
        seed=plan.seed,
        hosts=plan.hosts,
        engines=plan.engines,
        desks=plan.desks,
        records=records,
        folder=folder,
        contracts=(CONTRACT,) if plan.evacuations else (),
    )
    platform = Platform(fleet=fleet, records=records)
    tasks: list[asyncio.Task[None]] = []
    try:
        if not await _started(fleet, platform):
            return Result(
                seed=plan.seed, calls=0, served=0, faults=Counter(), broken=(_unstarted(fleet),)
            )
        tasks += [asyncio.create_task(job()) for job in (platform.reap, platform.look)]
        tasks.append(asyncio.create_task(notice_stalls(records)))
        tasks.append(asyncio.create_task(enforce(fleet, records)))
        await platform.until_ready(seconds=START_SECONDS, say=records.findings.append)
        await _play(plan, fleet, platform, records)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()
    broken = check(records)
    traces = trace(broken, records=records, logs=[host.log for host in fleet.hosts])
    (folder / "findings.txt").write_text("\n".join(broken), encoding="utf-8")
    (folder / "records.json").write_bytes(msgspec.json.encode(records, enc_hook=repr))
    return Result(
        seed=plan.seed,
        calls=len(records.calls),
        served=sum(call.status == 200 for call in records.calls.values()),
        faults=Counter(window.kind for window in records.windows),
        broken=tuple(broken),
        crossed=crossed(records),
        traces=traces,
    )


async def _started(fleet: Fleet, platform: Platform) -> bool:
    """Start all processes, and return whether they started in time."""
    try:
        async with asyncio.timeout(START_SECONDS):
            await fleet.start()
            await platform.change()
    except TimeoutError:
        return False
    return True


def _unstarted(fleet: Fleet) -> str:
    """Return the line of a run whose processes did not start in time."""
    waited = ", ".join(fleet.unstarted) or "the store, for the first configuration"
    return f"START: after {START_SECONDS:g} s still waited for {waited}"


async def _play(plan: Plan, fleet: Fleet, platform: Platform, records: Records) -> None:
    faults = Faults(fleet=fleet, platform=platform, records=records, seed=plan.seed)
    planned = Planned(
        fleet=fleet, platform=platform, records=records, seed=plan.seed, away=faults.away
    )
    restarts = Restarts(fleet=fleet, records=records, seed=plan.seed, away=faults.away)
    foreign = Foreign(
        fleet=fleet, platform=platform, records=records, seed=plan.seed, away=faults.away
    )
    limited = Limited(fleet=fleet, records=records, seed=plan.seed)
    partitions = Partitions(fleet=fleet, records=records, seed=plan.seed, away=faults.away)
    evacuations = Evacuations(fleet=fleet, records=records, seed=plan.seed)
    parts = FatalParts(fleet=fleet, hosts=platform.ready_hosts, records=records, seed=plan.seed)
    silences = Silences(fleet=fleet, platform=platform, records=records, seed=plan.seed)
    floods = Floods(fleet=fleet, records=records, seed=plan.seed)
    stop, calm_begins = asyncio.Event(), asyncio.Event()
    callers = [
        asyncio.create_task(
            Caller(
                name=f"{plan.seed}-{number}",
                hosts=platform.ready_hosts,
                records=records,
                seed=plan.seed,
            ).run(stop=stop)
        )
        for number in range(plan.callers)
    ]
    callers += [
        asyncio.create_task(
            Keeper(
                name=f"{plan.seed}-k{number}",
                hosts=platform.ready_processes,
                records=records,
                seed=plan.seed,
                polite=number % 2 == 0,
                lengthy=number % 3 == 0,
            ).run(stop=calm_begins)
        )
        for number in range(plan.keepers)
    ]
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(restarts.run(count=plan.restarts, seconds=plan.seconds))
            group.create_task(foreign.run(count=plan.foreign, seconds=plan.seconds))
            group.create_task(limited.run(count=plan.limits, seconds=plan.seconds))
            group.create_task(evacuations.run(count=plan.evacuations, seconds=plan.seconds))
            group.create_task(parts.run(count=plan.parts, seconds=plan.seconds))
            group.create_task(partitions.run(count=plan.partitions, seconds=plan.seconds))
            group.create_task(silences.run(count=plan.silences, seconds=plan.seconds))
            group.create_task(floods.run(count=plan.floods, seconds=plan.seconds))
            group.create_task(planned.run(count=plan.planned, seconds=plan.seconds))
            group.create_task(faults.run(count=plan.faults, seconds=plan.seconds, only=plan.only))
        calm_begins.set()
        records.findings += foreign.unready()
        await platform.until_ready(seconds=START_SECONDS, say=records.findings.append)
        await asyncio.sleep(SETTLE_SECONDS)
        calm = monotonic()
        await asyncio.sleep(CALM_SECONDS)
        stop.set()
        async with asyncio.timeout(DEADLINE + 2.0 * OVERTIME):
            await asyncio.gather(*callers)
    finally:
        for caller in callers:
            caller.cancel()
    records.findings += unserved(records, since=calm)
    await asyncio.sleep(FREE_SECONDS)
    live = [target for target in fleet.targets if target.process.running]
    for line in await asyncio.gather(*(_held(target) for target in live)):
        records.findings += line
    records.findings += [
        f"EXIT: {host.name} ended of itself" for host in fleet.hosts if host.process.failed
    ]
    codes = await fleet.stop_hosts()
    records.findings += [f"GRACE: a host ended with {code}" for code in codes if code != 0]
    records.findings += _failed(fleet)
    for host in fleet.hosts:
        read_log(host.log, starts=host.log_starts, host=host.name, records=records)


async def notice_stalls(records: Records) -> None:
    """Note when this process did not run for long; those that it watches did not either.

    With 25 processes waiting for 8 cores all stood still for 0.8 to 5 s at a time, and hosts were
    blamed for it in 5 of 47 runs.  The same seeds broke nothing beside less.
    """
    seen = monotonic()
    while True:
        await asyncio.sleep(LOOK_SECONDS)
        now = monotonic()
        if now - seen > LOOK_SECONDS + STALL_SECONDS:
            records.windows.append(
                Window(kind="machine stood still", subject=EVERYWHERE, begin=seen, end=now)
            )
        seen = now


def unserved(records: Records, *, since: float) -> list[str]:
    """Return a line where too many of the requests that were sent since a time have failed."""
    calls = [
        call
        for call in records.calls.values()
        if call.sent >= since and call.left is None and call.status != 401
        if call.status != 503 or call.tokens <= MEMORY
    ]
    failed = [call for call in calls if call.status != 200]
    if len(failed) <= (1.0 - SERVED_SHARE) * len(calls) + 1:
        return []
    some = ", ".join(f"{call.id} {call.status}" for call in failed[:5])
    return [f"RECOVER: {len(failed)} of {len(calls)} requests fail in calm: {some}"]


async def _held(target: Target) -> list[str]:
    client = HttpClient(address=target.listen)
    try:
        answer = await client.request(method="GET", path=REPORT_PATH, timeout=2.0)
    except HttpError:
        return [f"LEAK: {target.plan.name} does not answer at the end"]
    finally:
        client.close()
    report = msgspec.json.decode(answer.body, type=Report)
    if report.tickets or report.running:
        held = f"{report.running} requests, tickets {', '.join(report.tickets)}"
        return [f"LEAK: {target.plan.name} still has {held}"]
    return []


def _failed(fleet: Fleet) -> list[str]:
    """Return which programs told of faults of their own, also as they stopped."""
    lines: list[str] = []
    for host in fleet.hosts:
        with host.log.open("rb") as log:
            errors = [line for line in log if PROGRAM_ERROR in line]
        lines += [f"ERROR: {host.name}: {line.decode()[:300]}" for line in errors[:3]]
    return lines
