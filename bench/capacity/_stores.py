"""Store calls and engine reads of claims, the journal, the sweep and orders, by load and size."""

from bench import claims as claims_bench
from bench import journal as journal_bench
from bench import memory as memory_bench
from bench import orders as orders_bench
from bench.capacity._series import ENGINES, HOSTS, Series, series

CLAIM_RATES = (10, 50, 100, 200, 400)
CLAIM_SIZE = 400.0
"""Calls a second that may not repeat; an assumption, as no size is given for them."""

LONG_RATES = (10.0, 50.0, 134.0, 300.0)
LONG_SIZE = 134.0
"""Long requests a second: one in fifty of 6,700."""

SWEEP_HOSTS = (3, 6, 9, 18)
ORDER_ENGINES = (6, 12, 24, 48)


def claims() -> list[Series]:
    """Measure claims by calls a second."""
    seen = {rate: claims_bench.measure(rate=rate) for rate in CLAIM_RATES}
    writes = {rate: item.writes / item.calls * rate for rate, item in seen.items()}
    size = {rate: item.written / item.calls * rate for rate, item in seen.items()}
    return [
        series("claims.writes", unit="1/s", by="calls/s", size=CLAIM_SIZE, points=writes),
        series("claims.bytes", unit="bytes/s", by="calls/s", size=CLAIM_SIZE, points=size),
    ]


def journal() -> list[Series]:
    """Measure the journal by long requests a second of the fleet."""
    seen = {rate: journal_bench.built(rate=rate) for rate in LONG_RATES}
    writes = {rate: cost.writes for rate, cost in seen.items()}
    size = {rate: cost.bytes for rate, cost in seen.items()}
    return [
        series("journal.writes", unit="1/s", by="long/s", size=LONG_SIZE, points=writes),
        series("journal.bytes", unit="bytes/s", by="long/s", size=LONG_SIZE, points=size),
    ]


def sweep() -> list[Series]:
    """Measure the sweep by engines to each host."""
    engines = memory_bench.ENGINES
    size = round(ENGINES / HOSTS, 3)
    reads = {engines / hosts: memory_bench.reads(hosts=hosts) for hosts in SWEEP_HOSTS}
    sent = {engines / hosts: memory_bench.message_bytes(hosts=hosts) for hosts in SWEEP_HOSTS}
    return [
        series("sweep.reads", unit="1/s", by="engines/host", size=size, points=reads),
        series("sweep.bytes", unit="bytes/s", by="engines/host", size=size, points=sent),
    ]


def orders() -> list[Series]:
    """Measure quiet orders by engines."""
    seen = {size: orders_bench.quiet(engines=size) for size in ORDER_ENGINES}
    return [
        series(
            "orders.lease_writes",
            unit="1/s",
            by="engines",
            size=ENGINES,
            points={size: item[0] for size, item in seen.items()},
        ),
        series(
            "orders.calls_per_engine",
            unit="1/s",
            by="engines",
            size=ENGINES,
            points={size: item[1] for size, item in seen.items()},
        ),
    ]
