"""What a choice costs the streams at an engine, and how that is known."""

from math import inf

import pytest

from azureswitch.core import CallId, CustomerName, ServiceName, TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving import Call, Occupancy
from azureswitch.serving._penalties import PAUSE_MEMORY, PauseLimits, PauseTracker, harm

SERVICE = ServiceName("pool")
TARGET = TargetName("e1")
PACE = EnginePace(step=0.001, read_rate=200_000.0, stride=50, slots=8, memory=200_000)
PAUSES = PauseLimits(short=0.25, long=0.6)


def call(gap: float) -> Call:
    """Return a call that bears a pause of so many seconds."""
    return Call(
        id=CallId("c1"),
        customer=CustomerName(""),
        service=SERVICE,
        deadline=10.0,
        gap_objective=gap,
    )


class TestHarm:
    """What it costs to let an engine read for longer."""

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
    def test_harm(
        self,
        streams: int,
        long: int,
        tokens: int,
        reading: float,
        pauses: PauseLimits,
        least: float,
        most: float,
    ) -> None:
        """It grows with the streams there that pause for longer than they bear."""
        there = Occupancy(target=TARGET, streams=streams, long_streams=long, tokens=tokens)
        assert least <= harm(there, PACE, reading=reading, pauses=pauses) <= most


class TestPauseBounds:
    """For how long the streams of a service may pause."""

    @pytest.mark.parametrize(
        ("seen", "now", "expected"),
        [
            ([], 0.0, PauseLimits()),
            ([(0.0, 0.25, True)], 1.0, PauseLimits(short=0.25)),
            ([(0.0, 1.0, False), (0.0, 0.6, False)], 1.0, PauseLimits(long=0.6)),
            ([(0.0, 0.25, True)], PAUSE_MEMORY + 1.0, PauseLimits()),
            ([(0.0, 0.0, True)], 1.0, PauseLimits(short=inf)),
        ],
    )
    def test_bounds(
        self, seen: list[tuple[float, float, bool]], now: float, expected: PauseLimits
    ) -> None:
        """The tightest that calls have asked for lately counts."""
        bounds = PauseTracker()
        for at, gap, short in seen:
            bounds.observe(call(gap), short=short, now=at)
        assert bounds.bounds(SERVICE, now=now) == expected
