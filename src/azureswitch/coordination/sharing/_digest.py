"""Digests of serving in their encoding between hosts, a quarter of the bytes of the data class."""

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.serving import (
    CrashReport,
    CustomerUse,
    Demand,
    Digest,
    DomainTotals,
    LimitReport,
    Occupancy,
    TargetLoad,
    TargetStart,
)

MILLISECONDS_PER_SECOND = 1_000
"""Milliseconds in a second; times are sent in milliseconds."""


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
    """A `Demand`, unrounded, as small values matter too."""

    service: ServiceName
    model: str
    short: float
    long: float


class PackedCrashes(Struct, frozen=True, kw_only=True, array_like=True):
    """A `CrashReport` with starts as pairs of target and milliseconds, and ages in milliseconds."""

    customer: CustomerName
    fingerprint: str
    crashes: tuple[tuple[TargetName, int], ...]
    cleared: tuple[tuple[TargetName, int], ...]
    age: int
    ages: tuple[int, ...] = ()
    trial_age: int | None = None


class PackedLimit(Struct, frozen=True, kw_only=True, array_like=True):
    """A `LimitReport` with its age in milliseconds; the rate is not rounded."""

    target: TargetName
    started: int
    rate: float | None
    age: int


class PackedDigest(Struct, frozen=True, kw_only=True, array_like=True):
    """A `Digest` without field names.

    The starts of targets are one column parallel to the distinct names in the digest, each in
    milliseconds after the start of the host, which takes fewer bytes than an absolute time.  The
    column is empty if no start is known.  Hosts of an older version omit the last fields when they
    send and ignore them when they receive.
    """

    host: HostName
    sequence: int
    started: int
    loads: tuple[PackedLoad, ...]
    uses: tuple[PackedUse, ...]
    suspects: tuple[TargetName, ...]
    demands: tuple[PackedDemand, ...]
    saved: tuple[TargetName, ...]
    occupancies: tuple[PackedOccupancy, ...] = ()
    starts: tuple[int | None, ...] = ()
    crashes: tuple[PackedCrashes, ...] = ()
    limits: tuple[PackedLimit, ...] = ()


class PackedTotals(Struct, frozen=True, kw_only=True, array_like=True):
    """`DomainTotals` without field names."""

    place: PlaceName
    occupancies: tuple[PackedOccupancy, ...]


def pack_totals(totals: DomainTotals) -> PackedTotals:
    """Encode totals."""
    return PackedTotals(
        place=totals.place, occupancies=tuple(map(_pack_occupancy, totals.occupancies))
    )


def unpack_totals(packed: PackedTotals) -> DomainTotals:
    """Decode totals; times are rounded to milliseconds."""
    return DomainTotals(
        place=packed.place, occupancies=tuple(map(_unpack_occupancy, packed.occupancies))
    )


def pack_limit(report: LimitReport) -> PackedLimit:
    """Encode what is known of a limit."""
    return PackedLimit(
        target=report.target,
        started=report.started,
        rate=report.rate,
        age=round(report.age * MILLISECONDS_PER_SECOND),
    )


def unpack_limit(packed: PackedLimit) -> LimitReport:
    """Decode what is known of a limit."""
    return LimitReport(
        target=packed.target,
        started=packed.started,
        rate=packed.rate,
        age=max(0, packed.age) / MILLISECONDS_PER_SECOND,
    )


def pack_digest(digest: Digest) -> PackedDigest:
    """Encode a digest."""
    return PackedDigest(
        host=digest.host,
        sequence=digest.sequence,
        started=digest.started,
        loads=tuple(_pack_load(load) for load in digest.loads),
        uses=tuple(
            PackedUse(customer=use.customer, used=round(use.seconds * MILLISECONDS_PER_SECOND))
            for use in digest.uses
        ),
        suspects=digest.suspects,
        demands=tuple(
            PackedDemand(service=item.service, model=item.model, short=item.short, long=item.long)
            for item in digest.demands
        ),
        saved=digest.saved,
        occupancies=tuple(_pack_occupancy(item) for item in digest.occupancies),
        starts=_pack_starts(digest),
        crashes=tuple(_pack_crashes(report) for report in digest.crashes),
        limits=tuple(map(pack_limit, digest.limits)),
    )


def unpack_digest(packed: PackedDigest) -> Digest:
    """Decode a digest; times are rounded to milliseconds."""
    digest = Digest(
        host=packed.host,
        sequence=packed.sequence,
        started=packed.started,
        loads=tuple(_unpack_load(load) for load in packed.loads),
        uses=tuple(
            CustomerUse(customer=use.customer, seconds=use.used / MILLISECONDS_PER_SECOND)
            for use in packed.uses
        ),
        suspects=packed.suspects,
        demands=tuple(
            Demand(service=item.service, model=item.model, short=item.short, long=item.long)
            for item in packed.demands
        ),
        saved=packed.saved,
        occupancies=tuple(_unpack_occupancy(item) for item in packed.occupancies),
        crashes=tuple(_unpack_crashes(report) for report in packed.crashes),
        limits=tuple(map(unpack_limit, packed.limits)),
    )
    return (
        replace(digest, starts=_unpack_starts(digest, packed.starts)) if packed.starts else digest
    )


def _pack_starts(digest: Digest) -> tuple[int | None, ...]:
    if not digest.starts:
        return ()
    after = {item.target: item.started - digest.started for item in digest.starts}
    return tuple(after.get(name) for name in digest.targets)


def _unpack_starts(digest: Digest, packed: tuple[int | None, ...]) -> tuple[TargetStart, ...]:
    return tuple(
        TargetStart(target=name, started=digest.started + after)
        for name, after in zip(digest.targets, packed, strict=False)
        if after is not None
    )


def _pack_crashes(report: CrashReport) -> PackedCrashes:
    return PackedCrashes(
        customer=report.customer,
        fingerprint=report.fingerprint,
        crashes=tuple((start.target, start.started) for start in report.crashes),
        cleared=tuple((start.target, start.started) for start in report.cleared),
        age=round(report.age * MILLISECONDS_PER_SECOND),
        ages=tuple(round(age * MILLISECONDS_PER_SECOND) for age in report.ages),
        trial_age=(
            None if report.trial_age is None else round(report.trial_age * MILLISECONDS_PER_SECOND)
        ),
    )


def _unpack_crashes(packed: PackedCrashes) -> CrashReport:
    return CrashReport(
        customer=packed.customer,
        fingerprint=packed.fingerprint,
        crashes=tuple(TargetStart(target=name, started=at) for name, at in packed.crashes),
        cleared=tuple(TargetStart(target=name, started=at) for name, at in packed.cleared),
        age=packed.age / MILLISECONDS_PER_SECOND,
        ages=tuple(age / MILLISECONDS_PER_SECOND for age in packed.ages),
        trial_age=None if packed.trial_age is None else packed.trial_age / MILLISECONDS_PER_SECOND,
    )


def _pack_load(load: TargetLoad) -> PackedLoad:
    return PackedLoad(
        target=load.target,
        urgent=round(load.urgent * MILLISECONDS_PER_SECOND),
        middle=round(load.middle * MILLISECONDS_PER_SECOND),
        total=round(load.total * MILLISECONDS_PER_SECOND),
        tokens=load.tokens,
    )


def _unpack_load(packed: PackedLoad) -> TargetLoad:
    return TargetLoad(
        target=packed.target,
        urgent=packed.urgent / MILLISECONDS_PER_SECOND,
        middle=packed.middle / MILLISECONDS_PER_SECOND,
        total=packed.total / MILLISECONDS_PER_SECOND,
        tokens=packed.tokens,
    )


def _pack_occupancy(item: Occupancy) -> PackedOccupancy:
    return PackedOccupancy(
        target=item.target,
        reading=round(item.reading * MILLISECONDS_PER_SECOND),
        short_reading=round(item.short_reading * MILLISECONDS_PER_SECOND),
        streams=item.streams,
        long_streams=item.long_streams,
        tokens=item.tokens,
    )


def _unpack_occupancy(packed: PackedOccupancy) -> Occupancy:
    return Occupancy(
        target=packed.target,
        reading=packed.reading / MILLISECONDS_PER_SECOND,
        short_reading=packed.short_reading / MILLISECONDS_PER_SECOND,
        streams=packed.streams,
        long_streams=packed.long_streams,
        tokens=packed.tokens,
    )
