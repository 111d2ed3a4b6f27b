"""Digests of serving as hosts send them to each other: a quarter of the bytes of the data class."""

from msgspec import Struct

from azureswitch.core import CustomerName, HostName, ServiceName, TargetName
from azureswitch.serving import CustomerUse, Demand, Digest, Occupancy, TargetLoad

SCALE = 1_000
"""Parts of a second in which times travel."""


class PackedLoad(Struct, frozen=True, kw_only=True, array_like=True):
    """A `TargetLoad` in milliseconds."""

    target: TargetName
    urgent: int
    middle: int
    total: int
    tokens: int


class PackedOccupancy(Struct, frozen=True, kw_only=True, array_like=True):
    """An `Occupancy` in milliseconds."""

    target: TargetName
    reading: int
    short_reading: int
    streams: int
    long_streams: int
    tokens: int


class PackedUse(Struct, frozen=True, kw_only=True, array_like=True):
    """A `CustomerUse` in milliseconds."""

    customer: CustomerName
    used: int


class PackedDemand(Struct, frozen=True, kw_only=True, array_like=True):
    """A `Demand`, exact, since small ones count too."""

    service: ServiceName
    model: str
    short: float
    long: float


class PackedDigest(Struct, frozen=True, kw_only=True, array_like=True):
    """A `Digest` without field names."""

    host: HostName
    sequence: int
    started: int
    loads: tuple[PackedLoad, ...]
    uses: tuple[PackedUse, ...]
    suspects: tuple[TargetName, ...]
    demands: tuple[PackedDemand, ...]
    saved: tuple[TargetName, ...]
    occupancies: tuple[PackedOccupancy, ...] = ()


def pack_digest(digest: Digest) -> PackedDigest:
    """Return a digest to send."""
    return PackedDigest(
        host=digest.host,
        sequence=digest.sequence,
        started=digest.started,
        loads=tuple(_pack_load(load) for load in digest.loads),
        uses=tuple(
            PackedUse(customer=use.customer, used=round(use.seconds * SCALE)) for use in digest.uses
        ),
        suspects=digest.suspects,
        demands=tuple(
            PackedDemand(service=item.service, model=item.model, short=item.short, long=item.long)
            for item in digest.demands
        ),
        saved=digest.saved,
        occupancies=tuple(_pack_occupancy(item) for item in digest.occupancies),
    )


def unpack_digest(packed: PackedDigest) -> Digest:
    """Return the digest that was sent, with times to the millisecond."""
    return Digest(
        host=packed.host,
        sequence=packed.sequence,
        started=packed.started,
        loads=tuple(_unpack_load(load) for load in packed.loads),
        uses=tuple(
            CustomerUse(customer=use.customer, seconds=use.used / SCALE) for use in packed.uses
        ),
        suspects=packed.suspects,
        demands=tuple(
            Demand(service=item.service, model=item.model, short=item.short, long=item.long)
            for item in packed.demands
        ),
        saved=packed.saved,
        occupancies=tuple(_unpack_occupancy(item) for item in packed.occupancies),
    )


def _pack_load(load: TargetLoad) -> PackedLoad:
    return PackedLoad(
        target=load.target,
        urgent=round(load.urgent * SCALE),
        middle=round(load.middle * SCALE),
        total=round(load.total * SCALE),
        tokens=load.tokens,
    )


def _unpack_load(packed: PackedLoad) -> TargetLoad:
    return TargetLoad(
        target=packed.target,
        urgent=packed.urgent / SCALE,
        middle=packed.middle / SCALE,
        total=packed.total / SCALE,
        tokens=packed.tokens,
    )


def _pack_occupancy(item: Occupancy) -> PackedOccupancy:
    return PackedOccupancy(
        target=item.target,
        reading=round(item.reading * SCALE),
        short_reading=round(item.short_reading * SCALE),
        streams=item.streams,
        long_streams=item.long_streams,
        tokens=item.tokens,
    )


def _unpack_occupancy(packed: PackedOccupancy) -> Occupancy:
    return Occupancy(
        target=packed.target,
        reading=packed.reading / SCALE,
        short_reading=packed.short_reading / SCALE,
        streams=packed.streams,
        long_streams=packed.long_streams,
        tokens=packed.tokens,
    )
