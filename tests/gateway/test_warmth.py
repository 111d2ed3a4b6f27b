"""Tests what operators see of cold targets: log, status and metrics."""

import asyncio
from asyncio import gather

import pytest
from msgspec.structs import replace

from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.gateway import Gateway
from azureswitch.gateway._log import TargetsChanged
from azureswitch.gateway._warmth import TargetCold, TargetWarm
from azureswitch.inventory import Service, ServiceKind, Target, TargetRole, Warmup
from azureswitch.metrics import Metrics
from azureswitch.serving import Ticked
from tests.gateway.fixtures import PACE, RecordingLog, deployment, listed, make_gateway, serve
from tests.gateway.test_limits import send_at_pace

POOL = ServiceName("pool")

SECONDS = 3.0

ENTRY = Target(
    name=TargetName("e0"),
    service=POOL,
    place=PlaceName("p1"),
    address="127.0.0.1:1",
    models=("m",),
    memory=PACE.memory,
    started=5,
    cold=SECONDS,
    entry_version=1,
)


def configured(log: RecordingLog, metrics: Metrics | None = None) -> Gateway:
    """Return a gateway, not started, of a service whose targets are limited while cold."""
    gateway = make_gateway(log=log, metrics=metrics)
    service = Service(
        name=POOL,
        kind=ServiceKind.MODEL,
        pace=PACE,
        warmup=Warmup(seconds=SECONDS, rate=17.0),
    )
    gateway.adopt(replace(deployment(), services=(service,)))
    return gateway


def shown_cold(metrics: Metrics) -> bool:
    """Return whether the metrics say that one target is cold."""
    return b"azureswitch_targets_cold 1" in metrics.text()[0]


class TestLog:
    """Log entries of a target that becomes cold and warm."""

    def test_heartbeats(self) -> None:
        """Entries in which only the remaining cold time changes write no line each."""
        log = RecordingLog()
        gateway = configured(log)
        for beat in range(4):
            left = SECONDS - 0.6 * beat
            gateway.set_targets((replace(ENTRY, cold=left, entry_version=1 + beat),))
        assert len([item for item in log.entries if isinstance(item, TargetsChanged)]) == 1
        assert len([item for item in log.entries if isinstance(item, TargetCold)]) == 1

    def test_draining(self) -> None:
        """A change of another field is logged although the cold time has changed as well."""
        log = RecordingLog()
        gateway = configured(log)
        gateway.set_targets((ENTRY,))
        left = replace(ENTRY, role=TargetRole.DRAINING, cold=1.0, entry_version=2)
        gateway.set_targets((left,))
        changed = [item for item in log.entries if isinstance(item, TargetsChanged)]
        assert [item.draining for item in changed] == ["", "e0"]

    @pytest.mark.parametrize(
        ("before", "entry", "source"),
        [
            ((), ENTRY, "entry"),
            ((replace(ENTRY, cold=0.0),), replace(ENTRY, entry_version=2), "entry"),
            ((replace(ENTRY, cold=None),), replace(ENTRY, cold=None, started=6), "start"),
        ],
        ids=["listed", "again", "started"],
    )
    def test_cold_and_warm(self, before: tuple[Target, ...], entry: Target, source: str) -> None:
        """A target becomes cold, with the source, and later warm."""
        log = RecordingLog()
        gateway = configured(log)
        gateway.set_targets(before)
        gateway.set_targets((entry,))
        (cold,) = [item for item in log.entries if isinstance(item, TargetCold)]
        assert (cold.target, cold.place, cold.started) == ("e0", "p1", entry.started)
        assert cold.source == source
        assert cold.seconds == pytest.approx(SECONDS, abs=0.2)
        gateway.shell.dispatch(Ticked(now=gateway.shell.now + SECONDS))
        (warm,) = [item for item in log.entries if isinstance(item, TargetWarm)]
        assert (warm.target, warm.source) == ("e0", source)


class TestStatus:
    """Status and metrics."""

    def test_cold_target(self) -> None:
        """The status says for how long a target stays cold, and a metric counts such targets."""
        metrics = Metrics()
        gateway = configured(RecordingLog(), metrics)
        gateway.set_targets((ENTRY,))
        (shown,) = gateway.status.targets or ()
        assert shown.cold == pytest.approx(SECONDS, abs=0.2)
        assert shown_cold(metrics)
        gateway.set_targets((replace(ENTRY, cold=0.0, entry_version=2),))
        (shown,) = gateway.status.targets or ()
        assert shown.cold is None
        assert not shown_cold(metrics)


class TestRequests:
    """Requests to a gateway, over HTTP, whose targets are cold."""

    def test_cold_targets(self) -> None:
        """Cold targets get what one host may send, and callers in excess can come back."""

        async def scenario() -> None:
            metrics: list[bytes] = []
            async with serve(count=2) as bed:
                services = tuple(
                    replace(service, warmup=Warmup(seconds=60.0, rate=17.0))
                    for service in deployment().services
                )
                bed.gateway.adopt(replace(deployment(version=2), services=services))
                entries = tuple(
                    replace(listed(target, name, streams=False), cold=60.0, entry_version=1)
                    for name, target in zip(("s0", "s1"), bed.targets[2:], strict=True)
                )
                bed.gateway.set_targets(entries)
                statuses = await send_at_pace(bed, "/read/", seconds=2.0, pause=0.02)
                # Two targets have room for three at most in the time that a request waits.
                last = await gather(*(bed.ask("/read/", id=f"last {n}") for n in range(8)))
                metrics.append(bed.metrics.text()[0])
                for name in ("s0", "s1"):
                    times = bed.fleet.times[name]
                    assert times
                    assert max(sum(at <= o < at + 1.0 for o in times) for at in times) <= 2
            assert set(statuses) == {200, 503}
            refused = [answer for answer in last if answer.head.status != 200]
            assert len(refused) >= 5
            for answer in refused:
                assert answer.head.status == 503
                assert answer.head.header(name="retry-after") is not None
                assert b"targets_cold" in answer.body
            assert b"azureswitch_cold_refused_total" in metrics[0]

        asyncio.run(scenario())
