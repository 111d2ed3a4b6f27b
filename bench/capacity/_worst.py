"""How long membership takes over the worst of a day, and what that costs a host, by hosts."""

from asyncio import sleep

from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, until
from bench.capacity._fleets import MEASURED_SECONDS, SETTLE_SECONDS, traffic
from bench.capacity._series import HOSTS, PLACES, Series, series

SIZES = (11, 22, 44, 88)
REGION_PLACES = 4
"""Failure domains of a region that is cut off."""

CUT_SECONDS = 120.0
REPLACED_SHARE = 270 / 420
"""Part of the hosts that are replaced, one after the other."""

REPLACE_PAUSE = 2.0
LIMIT = 240.0


async def _started(size: int) -> FleetFake:
    fleet = FleetFake(places=PLACES)
    fleet.add(size)
    await until(fleet.complete, limit=LIMIT)
    await sleep(SETTLE_SECONDS)
    return fleet


async def _domain(size: int) -> tuple[float, float]:
    """Lose a failure domain; return seconds until all know, and bytes a second meanwhile."""
    fleet = await _started(size)
    lost = [host for host in fleet.hosts if host.place == "zone-0"]
    for host in lost:
        fleet.kill(host)
    before = traffic(fleet.hosts)
    seconds = await until(fleet.complete, limit=LIMIT)
    await sleep(max(0.0, MEASURED_SECONDS - seconds))
    spent = (traffic(fleet.hosts) - before) / max(MEASURED_SECONDS, seconds)
    return seconds, spent / len(fleet.hosts)


async def _region(size: int) -> float:
    """Cut off a region for two minutes; return seconds until all know all again."""
    fleet = await _started(size)
    cut = {f"zone-{number}" for number in range(REGION_PLACES)}
    fleet.network.partition([host.address for host in fleet.hosts if host.place in cut])
    await sleep(CUT_SECONDS)
    fleet.network.heal()
    return await until(fleet.complete, limit=LIMIT)


async def _replaced(size: int) -> tuple[float, float]:
    """Replace most hosts; return seconds until all know, and bytes a second meanwhile."""
    fleet = await _started(size)
    old = fleet.hosts[: round(size * REPLACED_SHARE)]
    before, spent = {host.name: traffic([host]) for host in fleet.hosts}, 0.0
    for host in old:
        fleet.kill(host)
        fleet.add()
        await sleep(REPLACE_PAUSE)
    stayed = [host for host in fleet.hosts if host.name in before]
    spent = sum(traffic([host]) - before[host.name] for host in stayed)
    rate = spent / len(stayed) / (REPLACE_PAUSE * len(old))
    return await until(fleet.complete, limit=LIMIT), rate


def worst() -> list[Series]:
    """Measure a lost failure domain, a region that is cut off, and replaced hosts."""
    domain = {size: run_virtual(_domain(size)) for size in SIZES}
    region = {size: run_virtual(_region(size)) for size in SIZES}
    replaced = {size: run_virtual(_replaced(size)) for size in SIZES}
    columns = {
        ("worst.domain_known", "s"): {size: item[0] for size, item in domain.items()},
        ("worst.domain_bytes", "bytes/s"): {size: item[1] for size, item in domain.items()},
        ("worst.region_healed", "s"): region,
        ("worst.replaced_known", "s"): {size: item[0] for size, item in replaced.items()},
        ("worst.replaced_bytes", "bytes/s"): {size: item[1] for size, item in replaced.items()},
    }
    return [
        series(name, unit=unit, by="hosts", size=HOSTS, points=points)
        for (name, unit), points in columns.items()
    ]
