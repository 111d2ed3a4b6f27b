"""Cost of additional prefill to an engine's streams, and the pause objectives behind it."""

from math import inf

import pytest

from azureswitch.core import CallId, CustomerName, ServiceName, TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving import Call, Occupancy
from azureswitch.serving._penalties import PAUSE_TTL_SECONDS, PauseLimits, PauseTracker, pause_cost

SERVICE = ServiceName("pool")
TARGET = TargetName("e1")
PACE = EnginePace(step=0.001, read_rate=200_000.0, stride=50, slots=8, memory=200_000)
PAUSES = PauseLimits(short=0.25, long=0.6)


def call(gap: float) -> Call:
    """Return a call with a pause objective in seconds."""
    return Call(
        id=CallId("c1"),
        customer=CustomerName(""),
        service=SERVICE,
        deadline=10.0,
        gap_objective=gap,
    )


class TestPauseCost:
    """Cost of additional prefill on an engine."""

    @pytest.mark.parametrize(
        ("streams", "long", "tokens", "reading", "pauses", "least", "most"),
        [
            pytest.param(5, 0, 25_000, 0.1, PAUSES, 0.0, 0.0, id="they bear it"),
            pytest.param(5, 0, 25_000, 0.3, PAUSES, 5.0, 5.0, id="each is late"),
            pytest.param(5, 0, 25_000, 0.3, PauseLimits(), 0.0, 0.0, id="nothing is known"),
            pytest.param(0, 1, 100_000, 0.3, PAUSES, 0.0, 0.0, id="long ones bear more"),
            pytest.param(0, 1, 100_000, 0.7, PAUSES, 7.5, 7.5, id="long ones by their worth"),
            pytest.param(5, 0, 25_000, 0.18, PAUSES, 0.5, 4.5, id="between"),
        ],
    )
    def test_cost(
        self,
        streams: int,
        long: int,
        tokens: int,
        reading: float,
        pauses: PauseLimits,
        least: float,
        most: float,
    ) -> None:
        """The cost grows with the streams whose pause exceeds their objective."""
        there = Occupancy(target=TARGET, streams=streams, long_streams=long, tokens=tokens)
        assert least <= pause_cost(there, PACE, reading=reading, pauses=pauses) <= most


class TestPauseTracker:
    """Pause objectives of the streams of a service."""

    @pytest.mark.parametrize(
        ("seen", "now", "expected"),
        [
            ([], 0.0, PauseLimits()),
            ([(0.0, 0.25, True)], 1.0, PauseLimits(short=0.25)),
            ([(0.0, 1.0, False), (0.0, 0.6, False)], 1.0, PauseLimits(long=0.6)),
            ([(0.0, 0.25, True)], PAUSE_TTL_SECONDS + 1.0, PauseLimits()),
            ([(0.0, 0.0, True)], 1.0, PauseLimits(short=inf)),
        ],
    )
    def test_limits(
        self, seen: list[tuple[float, float, bool]], now: float, expected: PauseLimits
    ) -> None:
        """The tightest recent objective applies."""
        tracker = PauseTracker()
        for at, gap, short in seen:
            tracker.observe(call(gap), short=short, now=at)
        assert tracker.limits(SERVICE, now=now) == expected
