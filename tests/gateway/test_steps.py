"""Unit tests of a stop: when a host stops listening, ends open requests, and exits."""

from dataclasses import dataclass, field

import pytest

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.gateway._stopping import (
    CLOSE_MARGIN,
    FLUSH_SECONDS,
    LINGER_SECONDS,
    CloseIdle,
    CloseListener,
    EndRequests,
    Neighbours,
    Phase,
    StopObserved,
    advance,
    begin_stop,
    neighbours_of,
)

GRACE = 8.0
STEP = 0.05
LATER = 3.0
"""Seconds after which the neighbours' state may change."""

OTHERS_SERVE = Neighbours(known=2, ready=2)


@dataclass(slots=True, kw_only=True)
class Trace:
    """The time of each effect of a stop, in seconds after it began."""

    steps: dict[type, float] = field(default_factory=dict)
    over: float = 0.0


def simulate(
    neighbours: Neighbours,
    *,
    busy_until: float = 0.0,
    grace: float = GRACE,
    requests: int = 0,
    later: Neighbours | None = None,
    held: float = 0.0,
) -> Trace:
    """Simulate a stop with one connection that is open until ``busy_until``.

    Args:
        neighbours: The observed neighbours.
        busy_until: When the last connection is closed.
        grace: Seconds until the process would be killed.
        requests: Requests that stay open until they are ended.
        later: The neighbours observed from `LATER` on, if different.
        held: Seconds by which the stop order was delayed.
    """
    trace = Trace()
    stop = begin_stop(now=0.0, grace=grace, told=-held)
    now = 0.0
    while stop.phase is not Phase.OVER:
        event = StopObserved(
            now=now,
            connections=int(now < busy_until),
            open_requests=requests if EndRequests not in trace.steps else 0,
            neighbours=later if later is not None and now >= LATER else neighbours,
        )
        for effect in advance(stop, event):
            trace.steps.setdefault(type(effect), now)
        trace.over = now
        now = round(now + STEP, 6)
    return trace


class TestListening:
    """A leaving host listens while it may receive callers and its grace period permits."""

    @pytest.mark.parametrize(
        ("neighbours", "closes"),
        [
            (OTHERS_SERVE, LINGER_SECONDS),
            (Neighbours(known=8, ready=5), LINGER_SECONDS),
            (Neighbours(), LINGER_SECONDS),
            (Neighbours(known=2, ready=0, after=2), LINGER_SECONDS),
            (Neighbours(known=2, ready=1, after=1), LINGER_SECONDS),
            (Neighbours(known=2, ready=0, before=1, after=1), GRACE - 0.4 - CLOSE_MARGIN),
            (Neighbours(known=2, ready=1, before=1), GRACE - 0.4 - CLOSE_MARGIN),
            (Neighbours(known=8, ready=2, before=1), GRACE - 0.4 - CLOSE_MARGIN),
            (Neighbours(known=2, ready=0, before=0, after=0), GRACE - 0.4 - CLOSE_MARGIN),
        ],
    )
    def test_closes(self, neighbours: Neighbours, closes: float) -> None:
        """It closes early if half its domain is ready, otherwise in turn or at the latest time."""
        trace = simulate(neighbours)
        assert trace.steps[CloseListener] == pytest.approx(closes, abs=STEP)

    @pytest.mark.parametrize(
        ("neighbours", "later", "closes"),
        [
            (
                Neighbours(known=1, before=1),
                Neighbours(known=0),
                GRACE - 0.4 - CLOSE_MARGIN,
            ),
            (
                Neighbours(known=4, ready=2, before=2),
                Neighbours(known=3, ready=2, before=1),
                GRACE - 0.4 - CLOSE_MARGIN,
            ),
            (Neighbours(known=1, before=1), Neighbours(known=1, ready=1), LATER),
            (Neighbours(known=2, before=2), Neighbours(known=1, ready=1), LATER),
        ],
    )
    def test_others_gone(self, neighbours: Neighbours, later: Neighbours, closes: float) -> None:
        """A neighbour that has exited, and whose next process is starting, still counts."""
        trace = simulate(neighbours, later=later)
        assert trace.steps[CloseListener] == pytest.approx(closes, abs=STEP)

    @pytest.mark.parametrize("grace", [0.0, 0.3, 1.0, 3.0])
    def test_short_grace(self, grace: float) -> None:
        """With a short grace period it listens for at most half of it, and exits in time."""
        trace = simulate(Neighbours(known=2, before=2), busy_until=100.0, grace=grace)
        assert trace.steps[CloseListener] <= grace / 2.0 + STEP
        assert trace.over <= max(grace - 0.4, 0.0) + FLUSH_SECONDS + 2 * STEP

    @pytest.mark.parametrize(
        ("neighbours", "held", "closes"),
        [
            (OTHERS_SERVE, 1.0, LINGER_SECONDS),
            (Neighbours(known=1, before=1), 1.0, GRACE - 0.4 - CLOSE_MARGIN - 1.0),
            (OTHERS_SERVE, 4.5, GRACE - 0.4 - CLOSE_MARGIN - 4.5),
            (OTHERS_SERVE, 7.0, 0.0),
            (OTHERS_SERVE, 60.0, 0.0),
        ],
    )
    def test_held(self, neighbours: Neighbours, held: float, closes: float) -> None:
        """A delayed stop order leaves less time, and open requests are ended within it."""
        trace = simulate(neighbours, busy_until=100.0, requests=1, held=held)
        assert trace.steps[CloseListener] == pytest.approx(closes, abs=STEP)
        decided = max(0.0, GRACE - 0.4 - held)
        assert trace.steps[EndRequests] == pytest.approx(decided, abs=STEP)
        assert trace.over <= decided + FLUSH_SECONDS + 2 * STEP


class TestEnding:
    """A stop ends once nothing is open, and ends open requests when the grace period expires."""

    @pytest.mark.parametrize("until", [0.0, 4.0, 7.0])
    def test_nothing_open(self, until: float) -> None:
        """If all requests are answered, none is ended by force and the process exits at once."""
        trace = simulate(OTHERS_SERVE, busy_until=until)
        assert EndRequests not in trace.steps
        assert trace.over == pytest.approx(max(until, LINGER_SECONDS), abs=2 * STEP)

    @pytest.mark.parametrize(("busy_until", "requests"), [(100.0, 0), (100.0, 3), (0.0, 1)])
    def test_decided(self, busy_until: float, requests: int) -> None:
        """Open requests are ended once, early enough for their answers to be sent."""
        trace = simulate(OTHERS_SERVE, busy_until=busy_until, requests=requests)
        assert trace.steps[EndRequests] == pytest.approx(GRACE - 0.4, abs=STEP)
        assert trace.over <= GRACE - 0.4 + FLUSH_SECONDS + 2 * STEP
        assert trace.steps[CloseIdle] == trace.steps[CloseListener]


class TestLastCaller:
    """A caller whose connection is pending when the host stops listening."""

    @pytest.mark.parametrize(("connections", "requests"), [(1, 0), (1, 1), (0, 1)])
    def test_taken(self, connections: int, requests: int) -> None:
        """The process does not exit before an observation made after the listener closed."""
        stop = begin_stop(now=0.0, grace=GRACE)
        before = StopObserved(
            now=LINGER_SECONDS, connections=0, open_requests=0, neighbours=OTHERS_SERVE
        )
        assert CloseListener() in advance(stop, before)
        assert stop.phase is Phase.CLOSING
        after = StopObserved(
            now=LINGER_SECONDS + STEP,
            connections=connections,
            open_requests=requests,
            neighbours=OTHERS_SERVE,
        )
        advance(stop, after)
        assert stop.phase is Phase.CLOSING


class TestNeighbours:
    """Counts of the other hosts of a failure domain."""

    def test_counted(self) -> None:
        """This host and other domains are excluded; leaving hosts are ordered by name."""
        statuses = {
            "h1": MemberStatus.LEAVING,
            "h2": MemberStatus.ALIVE,
            "h3": MemberStatus.LEAVING,
            "h4": MemberStatus.LEAVING,
            "h5": MemberStatus.SUSPECT,
            "h6": MemberStatus.DEAD,
        }
        members = [
            Member(
                incarnation=Incarnation(host=HostName(name), started=1),
                place=PlaceName("p1"),
                address=name,
                status=status,
            )
            for name, status in statuses.items()
        ]
        elsewhere = Member(
            incarnation=Incarnation(host=HostName("h0"), started=1),
            place=PlaceName("p2"),
            address="h0",
            status=MemberStatus.LEAVING,
        )
        found = neighbours_of(HostName("h3"), PlaceName("p1"), [elsewhere, *members])
        assert found == Neighbours(known=5, ready=2, before=1, after=1)
