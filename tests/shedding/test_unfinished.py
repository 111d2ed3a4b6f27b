"""Which unfinished requests end where there is no room, and when."""

from dataclasses import dataclass, field

import pytest

from azureswitch.buffers import BufferBudget
from azureswitch.exceptions import RequestShedError
from azureswitch.shedding import UnfinishedRequests
from azureswitch.shedding._unfinished import (
    MAX_LOOKS,
    MAX_SHED,
    PROGRESS_BYTES,
    SLOW_SECONDS,
    UNFINISHED_SHARE,
)

ROOM = 100
"""Requests of `SIZE` bytes that have room."""

SIZE = 1_000
LIMIT = int(ROOM * SIZE / UNFINISHED_SHARE)


@dataclass(kw_only=True, eq=False)
class Connection:
    """A connection that notes how its request was shed."""

    errors: list[RequestShedError] = field(default_factory=list)
    has_unread: bool = False

    def shed(self, error: RequestShedError) -> None:
        """Note an error."""
        self.errors.append(error)


@dataclass(slots=True, kw_only=True)
class Bed:
    """Unfinished requests at a time that tests set."""

    now: float = 0.0
    budget: BufferBudget = field(default_factory=lambda: BufferBudget(limit=LIMIT))
    requests: UnfinishedRequests = field(init=False)

    def __post_init__(self) -> None:
        self.requests = UnfinishedRequests(budget=self.budget, clock=lambda: self.now)

    def fill(self, count: int = ROOM) -> list[Connection]:
        """Add requests."""
        connections = [Connection() for _ in range(count)]
        assert all(self.requests.keep(one, size=SIZE, received=1) for one in connections)
        return connections


class TestRoom:
    """`UnfinishedRequests.keep`."""

    @pytest.mark.parametrize(
        ("waited", "kept", "shed"),
        [(0.0, False, 0), (0.9 * SLOW_SECONDS, False, 0), (SLOW_SECONDS, True, 1)],
    )
    def test_slow_one_gives_way(self, waited: float, kept: bool, shed: int) -> None:
        """The slowest request ends for a new one, but none that makes progress."""
        bed = Bed()
        connections = bed.fill()
        bed.now += waited
        assert bed.requests.keep(Connection(), size=SIZE, received=1) is kept
        assert [len(one.errors) for one in connections] == [shed] + [0] * (ROOM - 1)
        assert bed.requests.held == ROOM * SIZE

    def test_in_calm_none_ends(self) -> None:
        """However slow a request is, it stays while there is room."""
        bed = Bed()
        connections = bed.fill(ROOM - 1)
        bed.now += 100 * SLOW_SECONDS
        assert bed.requests.keep(Connection(), size=SIZE, received=1)
        assert not any(one.errors for one in connections)

    def test_one_alone_has_room(self) -> None:
        """A request that is the only one may be larger than the share."""
        assert Bed().requests.keep(Connection(), size=LIMIT, received=1)

    @pytest.mark.parametrize(("received", "stays"), [(PROGRESS_BYTES, True), (100, False)])
    def test_progress(self, received: int, stays: bool) -> None:
        """A request stays by as many bytes as count, and not by a few now and then."""
        bed = Bed()
        first, *_ = bed.fill()
        bed.now += 0.9 * SLOW_SECONDS
        assert bed.requests.keep(first, size=SIZE, received=received)
        bed.now += 0.2 * SLOW_SECONDS
        assert bed.requests.keep(Connection(), size=SIZE, received=1)
        assert (not first.errors) is stays

    def test_unread(self) -> None:
        """After a pause of the process, a request stays whose bytes wait to be read."""
        bed = Bed()
        first, second, *_ = bed.fill()
        first.has_unread = True
        bed.now += SLOW_SECONDS
        assert bed.requests.keep(Connection(), size=SIZE, received=1)
        assert (len(first.errors), len(second.errors)) == (0, 1)

    def test_unread_ones_hide_no_other(self) -> None:
        """However many requests have bytes to be read, the slow ones behind them give way."""
        bed = Bed(budget=BufferBudget(limit=10 * LIMIT))
        connections = bed.fill(10 * ROOM)
        for connection in connections[:MAX_LOOKS]:
            connection.has_unread = True
        bed.now += SLOW_SECONDS
        kept = [bed.requests.keep(Connection(), size=SIZE, received=1) for _ in range(2)]
        assert kept == [False, True]
        assert [n for n, one in enumerate(connections) if one.errors] == [MAX_LOOKS]

    def test_whole_request_is_forgotten(self) -> None:
        """A request that is whole by now does not end for others."""
        bed = Bed()
        first, second, *_ = bed.fill()
        bed.requests.discard(first)
        bed.now += SLOW_SECONDS
        assert bed.requests.keep(Connection(), size=2 * SIZE, received=1)
        assert (len(first.errors), len(second.errors)) == (0, 1)

    def test_bounded_turn(self) -> None:
        """No more than so many requests end for one other."""
        bed = Bed(budget=BufferBudget(limit=10 * LIMIT))
        connections = bed.fill(10 * ROOM)
        bed.now += SLOW_SECONDS
        bed.requests.keep(Connection(), size=9 * ROOM * SIZE, received=1)
        assert sum(len(one.errors) for one in connections) == MAX_SHED


class Holder(Connection):
    """A connection whose unfinished request holds a part of the budget."""

    def __init__(self, *, budget: BufferBudget) -> None:
        super().__init__()
        self.lease = budget.lease()
        self.lease.resize(SIZE)

    def shed(self, error: RequestShedError) -> None:
        """Note an error and hold nothing."""
        Connection.shed(self, error)
        self.lease.release()


class TestBudget:
    """`UnfinishedRequests.try_grow`."""

    @pytest.mark.parametrize(
        ("accepted", "grown", "shed"),
        [(0, True, 0), (LIMIT - ROOM * SIZE, True, 1), (LIMIT, False, 0)],
        ids=["room", "room once one ends", "no room though all ended"],
    )
    def test_accepted_work_stays(self, accepted: int, grown: bool, shed: int) -> None:
        """Slow requests end for what is read, unless accepted work alone leaves no room."""
        bed = Bed()
        holders = [Holder(budget=bed.budget) for _ in range(ROOM)]
        for holder in holders:
            assert bed.requests.keep(holder, size=SIZE, received=1)
        bed.now += SLOW_SECONDS
        bed.budget.take(accepted)
        lease = bed.budget.lease()
        assert bed.requests.try_grow(lease, SIZE, share=1.0, holder=Connection()) is grown
        assert sum(len(holder.errors) for holder in holders) == shed
