"""Digests name the starts of targets in few bytes, compatibly with hosts of older versions."""

import pytest
from msgspec import Struct
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from azureswitch.coordination.sharing import (
    EnginePolled,
    EnginesChanged,
    HostsChanged,
    PackedDigest,
    SendReports,
    SharingHost,
    SharingState,
    SharingTicked,
    pack_digest,
    reduce,
    unpack_digest,
)
from azureswitch.coordination.sharing._digest import PackedDemand, PackedLoad, PackedUse
from azureswitch.core import CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import Place, Target
from azureswitch.ports import LoadReport
from azureswitch.serving import CrashReport, Digest, Occupancy, TargetLoad, TargetStart

BORN = 1_790_000_000_000
"""A host's start, in milliseconds of the wall clock."""

DAY = 86_400_000
"""Milliseconds of a day."""

ONE, TWO, THREE = (TargetName(f"i-7f3a91c{index}") for index in range(3))


class EarlierOccupancy(Struct, frozen=True, kw_only=True, array_like=True):
    """An occupancy as hosts of the version before sent it."""

    target: TargetName
    reading: int
    short_reading: int
    streams: int
    long_streams: int
    tokens: int


class EarlierDigest(Struct, frozen=True, kw_only=True, array_like=True):
    """A digest as hosts of the version before sent it."""

    host: HostName
    sequence: int
    started: int
    loads: tuple[PackedLoad, ...]
    uses: tuple[PackedUse, ...]
    suspects: tuple[TargetName, ...]
    demands: tuple[PackedDemand, ...]
    saved: tuple[TargetName, ...]
    occupancies: tuple[EarlierOccupancy, ...] = ()


def digest(*starts: TargetStart) -> Digest:
    """Return a digest that names three targets, two of them twice."""
    return Digest(
        host=HostName("h1"),
        sequence=7,
        started=BORN,
        loads=(TargetLoad(target=TWO, urgent=0.5, total=1.5, tokens=100),),
        suspects=(ONE,),
        occupancies=tuple(Occupancy(target=name, streams=3) for name in (ONE, TWO, THREE)),
        starts=starts,
    )


def start(name: TargetName, started: int) -> TargetStart:
    """Return the start of a target."""
    return TargetStart(target=name, started=started)


class TestStarts:
    """The starts of a digest's targets on the wire."""

    @pytest.mark.parametrize(
        "starts",
        [
            (),
            (start(TWO, BORN + 5), start(ONE, BORN - 3 * DAY), start(THREE, BORN)),
            (start(THREE, 1),),
            (start(ONE, BORN + 1_000 * DAY),),
        ],
    )
    def test_exact(self, starts: tuple[TargetStart, ...]) -> None:
        """Each start is exact to the millisecond, at any time and with other starts unknown."""
        sent = digest(*starts)
        packed = decode(encode(pack_digest(sent)), type=PackedDigest)
        assert unpack_digest(packed) == sent

    @pytest.mark.parametrize(("apart", "most"), [(0, 1), (30_000, 3), (DAY, 5), (20 * DAY, 5)])
    def test_bytes(self, apart: int, most: int) -> None:
        """Starts add at most 5 bytes per named target, and one byte in all."""
        starts = [start(name, BORN - apart) for name in (TWO, ONE, THREE)]
        before = len(encode(pack_digest(digest())))
        assert len(encode(pack_digest(digest(*starts)))) - before <= 3 * most

    def test_to_earlier_version(self) -> None:
        """A host of the previous version decodes the other fields of a digest."""
        sent = digest(start(ONE, BORN), start(TWO, BORN), start(THREE, BORN))
        found = decode(encode(pack_digest(sent)), type=EarlierDigest)
        assert [item.target for item in found.occupancies] == [ONE, TWO, THREE]

    def test_of_earlier_version(self) -> None:
        """A digest of a host of the previous version has no starts."""
        item = EarlierOccupancy(
            target=ONE, reading=0, short_reading=0, streams=3, long_streams=0, tokens=0
        )
        sent = EarlierDigest(
            host=HostName("h1"),
            sequence=7,
            started=BORN,
            loads=(),
            uses=(),
            suspects=(),
            demands=(),
            saved=(),
            occupancies=(item,),
        )
        found = unpack_digest(decode(encode(sent), type=PackedDigest))
        assert found.starts == ()
        assert found.occupancies == (Occupancy(target=ONE, streams=3),)


class TestCrashes:
    """The requests under which targets crashed, on the wire."""

    def test_exact(self) -> None:
        """Crash reports arrive unchanged, next to the starts of other targets."""
        report = CrashReport(
            customer=CustomerName("ann"),
            fingerprint="0f" * 32,
            crashes=(start(ONE, BORN), start(TWO, 0)),
            cleared=(start(THREE, BORN + 5),),
            age=1.25,
        )
        sent = replace(digest(start(ONE, BORN)), crashes=(report, replace(report, crashes=())))
        packed = decode(encode(pack_digest(sent)), type=PackedDigest)
        assert unpack_digest(packed) == sent

    def test_to_earlier_version(self) -> None:
        """A host of the previous version decodes the other fields beside crash reports."""
        report = CrashReport(customer=CustomerName("ann"), fingerprint="0f", crashes=())
        sent = replace(digest(start(ONE, BORN)), crashes=(report,))
        found = decode(encode(pack_digest(sent)), type=EarlierDigest)
        assert [item.target for item in found.occupancies] == [ONE, TWO, THREE]


class TestReports:
    """Reports of an engine that has restarted."""

    @pytest.mark.parametrize(
        ("before", "after", "passed_on"),
        [
            (BORN, BORN + 1, False),
            (BORN, BORN, True),
            (BORN, BORN - 1, True),
            (BORN, 0, True),
            (0, BORN, True),
        ],
    )
    def test_not_passed_on(self, before: int, after: int, passed_on: bool) -> None:
        """Reports of an earlier start are not sent any more."""
        place = PlaceName("p1")
        state = SharingState(host=HostName("h1"), seed=1)
        other = SharingHost(name=HostName("h2"), place=place, address="10.0.0.2:1")
        reduce(state, HostsChanged(now=0.0, place=place, hosts=(other,)))
        places = (Place(name=place, region="r"),)
        reduce(state, EnginesChanged(now=0.1, engines=(engine(before),), places=places))
        reduce(state, EnginePolled(now=0.1, report=report()))
        reduce(state, EnginesChanged(now=0.1, engines=(engine(after),), places=places))
        effects = reduce(state, SharingTicked(now=0.2))
        assert any(isinstance(effect, SendReports) for effect in effects) is passed_on


def engine(started: int) -> Target:
    """Return an engine of a start."""
    return Target(
        name=ONE,
        service=ServiceName("llm"),
        place=PlaceName("p1"),
        address="10.0.1.1:1",
        started=started,
    )


def report() -> LoadReport:
    """Return a report of the engine."""
    return LoadReport(
        target=ONE,
        started=1,
        sequence=1,
        running=3,
        waiting=0,
        waiting_tokens=0,
        urgent_tokens=0,
        memory_used=0,
        memory_total=1,
        models=(),
    )
