"""Reading targets from store entries, and reporting invalid ones."""

import asyncio
from typing import Any

import msgspec
import pytest

from azureswitch.core import HostName, PlaceName
from azureswitch.gateway import Deployment
from azureswitch.inventory import Place, Target, TargetRole
from azureswitch.metrics import Metrics
from azureswitch.platform import Fault, Foreign, HttpStore, TargetReader, decode_deployment
from azureswitch.platform._foreign import (
    LINES_WINDOW_SECONDS,
    MAX_DETAIL_CHARACTERS,
    MAX_LINES,
    MAX_LISTED,
    MAX_NAME_CHARACTERS,
    ForeignTracker,
)
from azureswitch.platform._roster import ROSTER_KIND, HostEntry, StoreHostList
from azureswitch.ports import StoredObject
from azureswitch_standins.store import StoreStandin
from bench.soak._documents import Layout, configuration
from tests.platform.foreign import NO_TARGET, PLACE, UNREADABLE, USED, spec
from tests.waiting import PATIENCE

PLACES = (Place(name=PlaceName(PLACE), region="r"),)


def stored(name: str, value: bytes, version: int = 1) -> StoredObject:
    """Return an entry with a name and a version."""
    return StoredObject(kind="servers", name=name, version=version, value=value)


def deployment() -> Deployment:
    """Return a configuration that defines the service."""
    value = configuration(version=1, extra=False, layout=Layout())
    return decode_deployment(StoredObject(kind="config", name="main", version=1, value=value))


def names(targets: tuple[Target, ...]) -> list[str]:
    """Return the names of targets."""
    return [target.name for target in targets]


class TestReader:
    """`TargetReader`."""

    @pytest.mark.parametrize(
        ("value", "fault"), [pytest.param(*row, id=name) for name, row in NO_TARGET.items()]
    )
    def test_foreign(self, value: bytes, fault: Fault) -> None:
        """An invalid entry is reported as foreign; the other entries are used."""
        items = [stored("a", spec()), stored("b", value, version=7), stored("c", spec())]
        found = TargetReader(places=PLACES).read(items, deployment=deployment())
        assert names(found.targets) == ["a", "c"]
        assert [(item.name, item.version, item.fault) for item in found.foreign] == [
            ("b", 7, fault)
        ]

    @pytest.mark.parametrize("name", ["a b", "a\r\nb", "\x00", "ä", "a" * 257])
    def test_name(self, name: str) -> None:
        """An entry whose name is invalid in a header is foreign."""
        found = TargetReader().read([stored(name, spec())], deployment=None)
        assert [item.fault for item in found.foreign] == [Fault.NAME]

    @pytest.mark.parametrize(
        ("fields", "role", "started"),
        [
            ({}, TargetRole.SERVING, 0),
            ({"State": "draining"}, TargetRole.DRAINING, 0),
            ({"born": 0}, TargetRole.SERVING, 0),
            ({"born": 1_764_726_000_123}, TargetRole.SERVING, 1_764_726_000_123),
            ({"Born": 5}, TargetRole.SERVING, 0),
            ({"Address": "255.255.255.255:1"}, None, 0),
            ({"Address": "223.255.255.255:65535"}, TargetRole.SERVING, 0),
            ({"Unknown": {"x": [1]}}, TargetRole.SERVING, 0),
        ],
    )
    def test_whole(self, fields: dict[str, Any], role: TargetRole | None, started: int) -> None:
        """Known fields are decoded, and unknown fields are ignored."""
        found = TargetReader(places=PLACES).read([stored("a", spec(**fields))], deployment=None)
        expected = [] if role is None else [(role, started)]
        assert [(target.role, target.started) for target in found.targets] == expected

    @pytest.mark.parametrize(
        ("told", "untold", "foreign"),
        [(0, 3, 0), (1, 3, 0), (2, 2, 2), (3, 3, 3), (3, 2, 2), (5, 1, 1), (1, 0, 0)],
    )
    def test_missing_start(self, told: int, untold: int, foreign: int) -> None:
        """An entry without a start is foreign where half of the entries or more have one."""
        items = [stored(f"t{n}", spec(born=5)) for n in range(told)]
        items += [stored(f"u{n}", spec()) for n in range(untold)]
        found = TargetReader().read(items, deployment=None)
        assert len(found.targets) == told + untold - foreign
        assert sorted(item.name for item in found.foreign) == [f"u{n}" for n in range(foreign)]

    @pytest.mark.parametrize("foreign", [1, 3, 9])
    @pytest.mark.parametrize("field", USED)
    def test_missing_field(self, field: str, foreign: int) -> None:
        """An entry that lacks a required field is foreign, however many others lack it."""
        items = [stored(f"t{n}", spec()) for n in range(3)]
        items += [stored(f"u{n}", spec(**{field: None})) for n in range(foreign)]
        found = TargetReader().read(items, deployment=None)
        assert names(found.targets) == ["t0", "t1", "t2"]
        assert sorted(item.name for item in found.foreign) == [f"u{n}" for n in range(foreign)]

    def test_missing_field_beside_foreign(self) -> None:
        """Entries that are foreign for another reason do not count for the start."""
        items = [stored(f"f{n}", spec(State="x", born=5)) for n in range(9)]
        items += [stored("a", spec()), stored("b", spec()), stored("c", spec(born=5))]
        assert names(TargetReader().read(items, deployment=None).targets) == ["a", "b", "c"]

    def test_service_of_route(self) -> None:
        """A service is known from the list or a route; without a configuration any is accepted."""
        value = msgspec.json.encode(
            {"Version": 1, "Routes": [{"Host": "h", "Service": "x"}], "Services": [{"Name": "y"}]}
        )
        known = decode_deployment(stored("main", value))
        items = [stored(name, spec(Service=name)) for name in ("x", "y", "z")]
        reader = TargetReader()
        assert names(reader.read(items, deployment=None).targets) == ["x", "y", "z"]
        assert names(reader.read(items, deployment=known).targets) == ["x", "y"]

    def test_changed(self) -> None:
        """An entry that becomes foreign is dropped, and one that becomes valid is added."""
        reader = TargetReader(places=PLACES)
        for version, (value, left) in enumerate([(spec(), ["a"]), (b"{}", []), (spec(), ["a"])]):
            found = reader.read([stored("a", value, version)], deployment=deployment())
            assert names(found.targets) == left


class TestTracker:
    """`ForeignTracker`."""

    @staticmethod
    def tracker(now: list[float]) -> tuple[ForeignTracker, Metrics]:
        """Return a tracker with a clock set by the test, and its metrics."""
        metrics = Metrics()
        return ForeignTracker(metrics=metrics, kinds=("servers",), clock=lambda: now[0]), metrics

    @staticmethod
    def foreign(name: str, version: int = 1, detail: str = "d") -> Foreign:
        """Return a foreign entry."""
        return Foreign(name=name, version=version, fault=Fault.ADDRESS, detail=detail)

    def test_once(self, caplog: pytest.LogCaptureFixture) -> None:
        """Each version is logged once, with its name and fault."""
        tracker, _ = self.tracker([0.0])
        for version in (1, 1, 2, 2):
            tracker.set_entries("servers", [self.foreign("i-1", version, "nowhere")])
        lines = [record.getMessage() for record in caplog.records]
        assert len(lines) == 2
        assert all("'i-1'" in line and "address: nowhere" in line for line in lines)

    def test_bounded(self, caplog: pytest.LogCaptureFixture) -> None:
        """Log lines are limited in number and length, and suppressed ones are counted."""
        now = [0.0]
        tracker, _ = self.tracker(now)
        tracker.set_entries(
            "servers", [self.foreign(f"{n}" * 99, 1, "x" * 9_999) for n in range(999)]
        )
        assert len(caplog.records) == MAX_LINES
        now[0] = LINES_WINDOW_SECONDS
        tracker.set_entries("servers", [self.foreign("last")])
        assert f"({999 - MAX_LINES} others" in caplog.records[-1].getMessage()
        assert max(len(record.getMessage()) for record in caplog.records) < 400

    def test_unnamed(self, caplog: pytest.LogCaptureFixture) -> None:
        """Unnamed entries are logged once, however often they are listed."""
        tracker, metrics = self.tracker([0.0])
        for _ in range(3):
            tracker.update_unnamed("servers", ("w", "w", "v"), True)
        assert len(caplog.records) == 2
        text = metrics.text()[0].decode()
        assert 'azureswitch_foreign_entries{fault="unnamed",kind="servers"} 3' in text

    def test_counted(self) -> None:
        """The gauge shows the current number of foreign entries."""
        tracker, metrics = self.tracker([0.0])
        line = 'azureswitch_foreign_entries{fault="address",kind="servers"} '
        for count in (2, 1, 0):
            tracker.set_entries("servers", [self.foreign(f"{n}") for n in range(count)])
            assert f"{line}{count}" in metrics.text()[0].decode()


class TestReport:
    """`ForeignTracker.report`."""

    @pytest.mark.parametrize(
        ("named", "unnamed", "total", "listed"),
        [
            (0, 0, 0, 0),
            (1, 0, 1, 1),
            (0, 2, 2, 0),
            (3, 2, 5, 3),
            (MAX_LISTED, 0, MAX_LISTED, MAX_LISTED),
            (MAX_LISTED + 7, 1, MAX_LISTED + 8, MAX_LISTED),
        ],
    )
    def test_bounded(self, named: int, unnamed: int, total: int, listed: int) -> None:
        """The list is limited, and the totals count all entries."""
        tracker, _ = TestTracker.tracker([0.0])
        tracker.set_entries(
            "servers", [TestTracker.foreign(f"i-{number:05}") for number in range(named)]
        )
        tracker.update_unnamed("servers", ("odd",) * unnamed, True)
        found = tracker.report()
        assert [(part.collection, part.total, part.unnamed) for part in found] == (
            [("servers", total, unnamed)] if total else []
        )
        entries = [entry.name for part in found for entry in part.entries]
        assert entries == [f"i-{number:05}" for number in range(listed)]

    @pytest.mark.parametrize(
        ("name", "detail", "told_name", "told_detail"),
        [
            ("i-1", "d", "i-1", "d"),
            ("n" * 5_000, "d", "n" * MAX_NAME_CHARACTERS, "d"),
            ("i-1", "d" * 5_000, "i-1", "d" * MAX_DETAIL_CHARACTERS),
            ("\ud800", "\ud800", "?", "?"),
        ],
    )
    def test_quoted(self, name: str, detail: str, told_name: str, told_detail: str) -> None:
        """Quoted text is truncated, and can be encoded whatever it contains."""
        tracker, _ = TestTracker.tracker([0.0])
        tracker.set_entries("servers", [TestTracker.foreign(name, detail=detail)])
        ((entry,),) = (part.entries for part in tracker.report())
        assert (entry.name, entry.detail) == (told_name, told_detail)
        assert (entry.version, entry.fault) == (1, "address")
        msgspec.json.encode(entry)

    def test_repaired(self) -> None:
        """An entry that becomes valid or is removed is no longer reported."""
        tracker, _ = TestTracker.tracker([0.0])
        tracker.set_entries("servers", [TestTracker.foreign("i-1")])
        tracker.set_entries("servers", [])
        assert tracker.report() == ()


class TestHostList:
    """`StoreHostList`."""

    @pytest.mark.parametrize("own", [None, b'{"place":7}', b"\xff", b""])
    def test_foreign(self, own: bytes | None) -> None:
        """Hosts are found beside foreign entries, even if this host's own entry was foreign."""

        async def run() -> None:
            standin = StoreStandin()
            await standin.start()
            seat = b'{"place":"p","address":"10.0.0.1:7"}'
            await standin.store.create(kind=ROSTER_KIND, name="h0", value=seat)
            if own is not None:
                await standin.store.create(kind=ROSTER_KIND, name="h1", value=own)
            for number, (entry, _) in enumerate(UNREADABLE.values()):
                standin.plant(kind=ROSTER_KIND, name=f"i{number}", entry=entry)
            for value in (seat.replace(b'"p"', b'""'), seat.replace(b"10.0", b"nowhere"), b"{}"):
                await standin.store.create(kind=ROSTER_KIND, name=f"j{value!r}", value=value)
            hosts = StoreHostList(
                store=HttpStore(address=standin.address, timeout=PATIENCE),
                host=HostName("h1"),
                entry=HostEntry(place=PlaceName("p"), address="10.0.0.2:7"),
                foreign=ForeignTracker(metrics=Metrics(), kinds=(ROSTER_KIND,), clock=lambda: 0.0),
            )
            found = [(host.name, host.address) for host in await hosts.hosts()]
            assert found == [("h0", "10.0.0.1:7"), ("h1", "10.0.0.2:7")]
            await standin.stop()

        asyncio.run(run())
