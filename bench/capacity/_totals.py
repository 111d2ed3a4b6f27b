"""What the figures come to for one node and for the store, at the size to design for."""

from collections.abc import Callable, Iterator

from msgspec import Struct

from azureswitch.entry._caches import CACHE_READS_MOST
from bench.capacity._series import HOSTS, Series

CHANGES_A_DAY = 420
DAY = 86_400.0
CALLS = 6_700 / HOSTS
"""Requests a second of one host."""

REPORTS_HEARD = 0.75 * 1_500 / 45
"""Reports a second that a host hears at most: the budget for them over the bytes of one."""

TICKS = 20.0
"""`Ticked` events a second."""

NEEDED = frozenset(
    {"claims.writes", "configuration.watches", "journal.writes", "membership.bytes"}
    | {"memory.by_hosts", "orders.lease_writes", "serving.tick", "sharing.bytes"}
    | {"sweep.reads", "wire.load"}
)
"""Series without which there are no totals."""

BYTES_BUDGET, PROCESSOR_BUDGET, MEMORY_BUDGET = 6_000.0, 3.3, 128.0
"""Bytes a second, percent of a core, and megabytes of control a node."""


At = Callable[..., float]
"""Returns the value of a series at the size to design for, by its name and what it counts."""


class Cost(Struct, frozen=True, kw_only=True):
    """One line of a total."""

    role: str
    value: float


def _table(name: str, unit: str, costs: list[Cost], budget: float | None) -> Iterator[str]:
    yield f"-- {name}, {unit}"
    for cost in costs:
        yield f"{cost.role:44} {cost.value:12.3f}"
    total = sum(cost.value for cost in costs)
    verdict = "" if budget is None else f" of {budget:g} ({total / budget:.2f} of the budget)"
    yield f"{'in all':44} {total:12.3f}{verdict}"


def lines(found: list[Series]) -> Iterator[str]:
    """Yield the series and the totals as lines of text."""
    for item in found:
        points = " ".join(f"{point.x:g}:{point.y:.4g}" for point in item.points)
        how = "measured" if item.measured else "on the line"
        yield (
            f"{item.name:32} by {item.by:13} {points}  slope {item.slope:.4g}"
            f"  at {item.size:g}: {item.there:.4g} {item.unit} ({how})"
        )
    known = {(item.name, item.by): item for item in found}
    if missing := NEEDED - {item.name for item in found}:
        yield f"no totals yet; not measured: {', '.join(sorted(missing))}"
        return

    def at(name: str, by: str = "hosts") -> float:
        return known[name, by].there

    yield from _bytes(known, at)
    yield from _processor(at)
    memory = [
        Cost(role="modules and libraries (whole process)", value=at("memory.modules", "process")),
        Cost(role="serving state by hosts, 600 engines", value=at("memory.by_hosts")),
    ]
    yield from _table("memory of a node", "MB", memory, MEMORY_BUDGET)
    writes = [
        Cost(role="claims at 400 calls/s", value=at("claims.writes", "calls/s")),
        Cost(role="journal", value=at("journal.writes", "long/s")),
        Cost(role="leases of orders", value=at("orders.lease_writes", "engines")),
        Cost(role="configuration, 5 calls a change", value=5 * CHANGES_A_DAY / DAY),
    ]
    yield from _table("writes of the whole fleet to the store", "1/s", writes, None)
    reads = at("configuration.reads_per_change", "places")
    yield from _table(
        "reads of the whole fleet from the store",
        "1/s",
        [
            Cost(role="configuration after changes", value=reads * CHANGES_A_DAY / DAY),
            Cost(role="configuration, checks each 300 s", value=HOSTS / 300.0),
            Cost(
                role="watches, renewed each 60 s",
                value=at("configuration.watches", "places") / 60,
            ),
        ],
        None,
    )


def _bytes(known: dict[tuple[str, str], Series], at: At) -> Iterator[str]:
    poll, cache, holdings = (
        known[f"wire.{kind}", "polls"].slope for kind in ("load", "cache", "holdings")
    )
    costs = [
        Cost(role="membership", value=at("membership.bytes")),
        Cost(role="reports and digests", value=at("sharing.bytes")),
        Cost(role="configuration, idle", value=at("configuration.idle_bytes")),
        Cost(
            role="configuration, changes",
            # A host receives a body once and sends it once on average, which the line overshoots.
            value=2 * at("snapshot.body", "engines") * CHANGES_A_DAY / DAY,
        ),
        Cost(role="sweep, questions", value=at("sweep.bytes", "engines/host")),
    ]
    yield from _table("bytes of a node between hosts", "bytes/s", costs, BYTES_BUDGET)
    engines = [
        Cost(role="polls of the load", value=at("sharing.polls") * poll),
        Cost(role="cache events", value=CACHE_READS_MOST * cache),
        Cost(role="sweep, reads", value=at("sweep.reads", "engines/host") * holdings),
    ]
    yield from _table("bytes of a node to engines", "bytes/s", engines, BYTES_BUDGET)


def _processor(at: At) -> Iterator[str]:
    def percent(microseconds: float, rate: float) -> float:
        return microseconds * rate / 1e4

    control = [
        Cost(role="membership, fakes included", value=at("membership.processor")),
        Cost(role="reports, digests, fakes included", value=at("sharing.processor")),
        Cost(role="reducer, ticks", value=percent(at("serving.tick", "customers"), TICKS)),
        Cost(
            role="reducer, reports",
            value=percent(at("serving.report", "engines"), REPORTS_HEARD),
        ),
    ]
    yield from _table("processor of a node for control", "% of core", control, PROCESSOR_BUDGET)
    calls = percent(at("serving.call", "engines"), CALLS)
    yield f"reducer, calls (not control): {calls:.3f} % of core"
