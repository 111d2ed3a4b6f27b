"""What a configuration costs: its size as it is stored and sent, and the time to read it.

The fleet is that of two years from now, with names, addresses and hashes that differ.
"""

from hashlib import sha256
from time import process_time

from azureswitch.core import CustomerName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import (
    Customer,
    Inventory,
    Place,
    Rules,
    Service,
    ServiceKind,
    Target,
    decode,
    encode,
)
from bench.records import Direction, Record

PLACES = 11
REGIONS = 3
ENGINES = 600
CUSTOMERS = 380

CHANGES_A_DAY = 420
SECONDS_A_DAY = 86_400

SIZE_BOUND = 40_000
"""Bytes; 4% of what the store holds in one value."""

RATE_BOUND = 250.0
"""Bytes a second that the bodies of a day's changes cost one host; 4% of its 6 KB."""

ROUNDS = 20


def fleet(*, engines: int = ENGINES, customers: int = CUSTOMERS) -> Inventory:
    """Return an inventory of a given size."""
    return Inventory(
        places=tuple(
            Place(name=PlaceName(f"place-{i:02}"), region=f"region-{i % REGIONS}")
            for i in range(PLACES)
        ),
        services=(Service(name=ServiceName("lm"), kind=ServiceKind.MODEL),),
        targets=tuple(_engine(i) for i in range(engines)),
        customers=tuple(_customer(i) for i in range(customers)),
    )


def _engine(number: int) -> Target:
    place = number % PLACES
    return Target(
        name=TargetName(f"lm-{number:03}"),
        service=ServiceName("lm"),
        place=PlaceName(f"place-{place:02}"),
        address=f"10.{place}.{number // 250}.{number % 250}:8000",
        models=("model-a", "model-b", "model-c"),
        memory=400_000 + number,
    )


def _customer(number: int) -> Customer:
    return Customer(
        name=CustomerName(f"customer-{number:03}"),
        key_hash=sha256(str(number).encode()).hexdigest(),
        weight=1 + number % 7,
    )


def _decode_ratio() -> float:
    """Return the processor time of a whole decoding over that of the same for today's size."""
    large = encode(inventory=fleet(), rules=Rules())
    small = encode(inventory=fleet(engines=20, customers=10), rules=Rules())
    return _decode_time(large) / _decode_time(small)


def _decode_time(body: bytes) -> float:
    started = process_time()
    for revision in range(ROUNDS):
        decode(body, revision=revision)
    return process_time() - started


def records() -> list[Record]:
    """Measure size and rate with bounds, and the time as a ratio without."""
    size = len(encode(inventory=fleet(), rules=Rules()))
    rate = size * CHANGES_A_DAY / SECONDS_A_DAY
    at_most = Direction.AT_MOST
    return [
        Record(
            name="inventory.body", value=size, unit="bytes", bound=SIZE_BOUND, direction=at_most
        ),
        Record(
            name="inventory.bodies_per_host",
            value=rate,
            unit="bytes/s",
            bound=RATE_BOUND,
            direction=at_most,
        ),
        Record(name="inventory.decode_large_over_today", value=_decode_ratio(), unit="ratio"),
    ]
