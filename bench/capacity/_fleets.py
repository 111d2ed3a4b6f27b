"""What parts of coordination cost a host, by hosts, in virtual time over in-memory peers."""

from asyncio import sleep
from collections.abc import Iterable
from time import process_time

from azureswitch.coordination.configuration import Changes
from azureswitch.inventory import Rules, encode
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.fleet import FleetFake, FleetHost, until
from azureswitch_standins.store import StoreFake
from bench.capacity._series import HOSTS, PLACES, Series, series
from bench.inventory import fleet as inventory_of
from bench.sharing import IP_BYTES, Figures
from bench.sharing import measure as measure_sharing

MEMBERSHIP_SIZES = (9, 25, 50, 100, 200)
CONFIGURATION_SIZES = (9, 18, 27, 33, 66)
SHARING_SIZES = (9, 50, 100, 200, 420)
SETTLE_SECONDS = 60.0
SETTLE_SECONDS_PER_HOST = 0.6
MEASURED_SECONDS = 30.0
CHANGES = 3
CONFIGURATION_KINDS = frozenset({"RevisionNews", "RevisionAsk", "BodyPull", "BodyReply"})
"""Messages of the configuration."""

CONFIGURATION_KINDS = frozenset({"RevisionNews", "RevisionAsk", "BodyPull", "BodyReply"})
"""Messages of the configuration."""

BODY = bytes(range(256)) * 100
"""A body of about the 24 KB that an inventory of the size to design for has."""


def traffic(hosts: Iterable[FleetHost], *, kinds: frozenset[str] = frozenset()) -> float:
    """Return all bytes sent and received of some kinds, or of all, IP headers included."""
    return float(
        sum(
            item.sent_bytes
            + item.received_bytes
            + IP_BYTES * (item.sent_messages + item.received_messages)
            for host in hosts
            for item in host.peers.traffic
            if not kinds or item.kind in kinds
        )
    )


async def _membership(size: int) -> tuple[float, float]:
    fleet = FleetFake(places=PLACES)
    fleet.add(size)
    await until(fleet.complete, limit=120.0)
    await sleep(SETTLE_SECONDS + SETTLE_SECONDS_PER_HOST * size)
    before, used = traffic(fleet.hosts), process_time()
    await sleep(MEASURED_SECONDS)
    used = process_time() - used
    share = 1.0 / MEASURED_SECONDS / size
    return (traffic(fleet.hosts) - before) * share, used * share * 100.0


def membership() -> list[Series]:
    """Measure an idle membership."""
    found = {size: run_virtual(_membership(size)) for size in MEMBERSHIP_SIZES}
    return [
        _by_hosts("membership.bytes", "bytes/s", {size: item[0] for size, item in found.items()}),
        _by_hosts(
            "membership.processor", "% of core", {size: item[1] for size, item in found.items()}
        ),
    ]


def _body(revision: int) -> bytes:
    """Return a body of the size to design for that differs by revision."""
    rules = Rules(longest_prompt=1_000_000 + revision)
    return encode(inventory=inventory_of(), rules=rules)


def _places(size: int) -> int:
    return min(PLACES, max(3, size // 3))


async def _configuration(size: int) -> tuple[float, ...]:
    fleet = FleetFake(places=_places(size), configured=True)
    changes = Changes(store=StoreFake(model=fleet.model))
    await changes.propose(base=0, body=_body(1), author="bench", change="c1")
    fleet.add(size)
    await until(lambda: fleet.in_force(1) and fleet.complete(), limit=120.0)
    await sleep(SETTLE_SECONDS)
    idle = traffic(fleet.hosts, kinds=CONFIGURATION_KINDS)
    await sleep(MEASURED_SECONDS)
    before, reads, seconds = (
        traffic(fleet.hosts, kinds=CONFIGURATION_KINDS),
        fleet.model.counters.gets,
        0.0,
    )
    idle = (before - idle) / MEASURED_SECONDS
    for revision in range(2, 2 + CHANGES):
        body = _body(revision)
        await changes.propose(base=revision - 1, body=body, author="bench", change=f"c{revision}")
        wanted = revision
        spread = await until(lambda: fleet.in_force(wanted), limit=30.0, step=0.01)  # noqa: B023
        seconds = max(seconds, spread)
        await sleep(MEASURED_SECONDS - spread)
    more = traffic(fleet.hosts, kinds=CONFIGURATION_KINDS) - before
    more -= idle * MEASURED_SECONDS * CHANGES
    reads = fleet.model.counters.gets - reads
    watching = float(len(fleet.watchers))
    return seconds, more / CHANGES / size, idle / size, reads / CHANGES, watching


def configuration() -> list[Series]:
    """Measure changes of configuration."""
    found = {size: run_virtual(_configuration(size)) for size in CONFIGURATION_SIZES}
    by_hosts = (
        ("configuration.in_force", "s"),
        ("configuration.bytes_per_change", "bytes"),
        ("configuration.idle_bytes", "bytes/s"),
    )
    by_places = (("configuration.reads_per_change", "calls"), ("configuration.watches", "watches"))
    columns = [
        _by_hosts(name, unit, {size: item[at] for size, item in found.items()})
        for at, (name, unit) in enumerate(by_hosts)
    ]
    return columns + [
        series(
            name,
            unit=unit,
            by="places",
            size=PLACES,
            points={_places(size): item[at] for size, item in found.items()},
        )
        for at, (name, unit) in enumerate(by_places, len(by_hosts))
    ]


def sharing() -> list[Series]:
    """Measure the sharing of load reports and digests."""
    found = {size: measure_sharing(size) for size in SHARING_SIZES}

    def column(name: str, unit: str) -> Series:
        return _by_hosts(
            f"sharing.{name}", unit, {size: _value(found[size], name) for size in found}
        )

    return [
        column("bytes", "bytes/s"),
        column("messages", "1/s"),
        column("polls", "1/s"),
        column("age", "s"),
        column("age_median", "s"),
        column("processor", "% of core"),
    ]


def _value(figures: Figures, name: str) -> float:
    value: float = getattr(figures, name)
    return value


def _by_hosts(name: str, unit: str, points: dict[int, float]) -> Series:
    return series(name, unit=unit, by="hosts", size=HOSTS, points=points)
