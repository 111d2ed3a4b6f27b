"""Which connections end where there are too many."""

from dataclasses import dataclass, field
from resource import RLIM_INFINITY
from sys import maxsize

import pytest

from azureswitch.machine import machine_descriptors
from azureswitch.shedding import ConnectionLimit, DescriptorShares, descriptor_shares
from azureswitch.shedding._connections import CROWDED_SHARE, MAX_LOOKS, SILENT_SECONDS

LIMIT = 4


@dataclass(kw_only=True, eq=False)
class Connection:
    """A connection that notes whether it was dropped."""

    dropped: bool = False
    has_unread: bool = False

    def drop(self) -> None:
        """Note it."""
        self.dropped = True


@dataclass(slots=True, kw_only=True)
class Bed:
    """A full listener at a time that tests set.

    Attributes:
        now: The time.
        slow: Unfinished requests that may be shed.
        limit: The limit.
        connections: The connections that are open.
    """

    now: float = 0.0
    slow: int = 0
    limit: ConnectionLimit = field(init=False)
    connections: list[Connection] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.limit = ConnectionLimit(
            limit=LIMIT, clock=lambda: self.now, shed_slowest=self.shed_slowest
        )
        for _ in range(LIMIT):
            self.connections.append(Connection())
            assert self.limit.admit(self.connections[-1])
            self.now += 0.01

    def shed_slowest(self) -> bool:
        """Shed a request if there is a slow one."""
        self.slow -= 1
        return self.slow >= 0

    @property
    def dropped(self) -> list[int]:
        """Which connections were dropped, by their order."""
        return [number for number, one in enumerate(self.connections) if one.dropped]


class TestAdmit:
    """`ConnectionLimit.admit`."""

    @pytest.mark.parametrize(
        ("waited", "heard", "admitted", "dropped"),
        [
            (0.0, (), False, []),
            (SILENT_SECONDS, (), True, [0]),
            (SILENT_SECONDS, (0, 1), True, [2]),
            (SILENT_SECONDS, (0, 1, 2, 3), False, []),
        ],
        ids=["fresh", "silent", "some used", "all used"],
    )
    def test_full(
        self, waited: float, heard: tuple[int, ...], admitted: bool, dropped: list[int]
    ) -> None:
        """The connection that has been silent for longest gives way, and no fresh or used one."""
        bed = Bed()
        for number in heard:
            bed.limit.heard(bed.connections[number])
        bed.now += waited
        assert bed.limit.admit(Connection()) is admitted
        assert bed.dropped == dropped
        assert bed.limit.open == LIMIT

    def test_unread(self) -> None:
        """After a pause of the process, a connection stays whose first bytes wait to be read."""
        bed = Bed()
        bed.connections[0].has_unread = True
        bed.now += SILENT_SECONDS
        assert bed.limit.admit(Connection())
        assert bed.dropped == [1]

    def test_unread_ones_hide_no_other(self) -> None:
        """However many connections have bytes to be read, the silent ones behind them give way."""
        times = [0.0]
        limit = ConnectionLimit(limit=MAX_LOOKS + 1, clock=lambda: times[-1])
        connections = [Connection(has_unread=n < MAX_LOOKS) for n in range(MAX_LOOKS + 1)]
        assert all(limit.admit(connection) for connection in connections)
        times.append(SILENT_SECONDS)
        assert [limit.admit(Connection()) for _ in range(2)] == [False, True]
        assert connections[-1].dropped

    def test_slow_request_ends(self) -> None:
        """Where no connection is silent, a slow request ends for those that come next."""
        bed = Bed(slow=1)
        assert not bed.limit.admit(Connection())
        assert bed.slow == 0

    def test_closed_one_leaves_room(self) -> None:
        """A connection that has ended leaves its place to another."""
        bed = Bed()
        bed.limit.discard(bed.connections[2])
        assert bed.limit.admit(Connection())
        assert not bed.limit.admit(Connection())

    @pytest.mark.parametrize(("open", "crowded"), [(LIMIT, True), (LIMIT * CROWDED_SHARE, False)])
    def test_crowded(self, open: float, crowded: bool) -> None:
        """Callers are told not to keep their connections once most are taken."""
        bed = Bed()
        for connection in bed.connections[int(open) :]:
            bed.limit.discard(connection)
        assert bed.limit.crowded is crowded


class TestShares:
    """`DescriptorShares`."""

    @pytest.mark.parametrize("sockets", [64, 200, 4_000, 1_048_576])
    def test_rest_is_left(self, sockets: int) -> None:
        """All listeners together leave descriptors to targets, the store and tunnels."""
        shares = DescriptorShares(sockets=sockets)
        assert shares.callers + shares.peers + 2 * shares.pages < sockets
        assert min(shares.callers, shares.peers, shares.pages) > 0

    @pytest.mark.parametrize(
        ("limit", "files", "sockets"), [(4_200, 200, 4_000), (200, 200, 64), (32, 64, 64)]
    )
    def test_of_a_process(self, limit: int, files: int, sockets: int) -> None:
        """What files need is left to them, and no listener is without a connection."""
        assert descriptor_shares(limit, files=files) == DescriptorShares(sockets=sockets)

    @pytest.mark.parametrize(("soft", "limit"), [(1_024, 1_024), (RLIM_INFINITY, maxsize)])
    def test_no_limit(self, monkeypatch: pytest.MonkeyPatch, soft: int, limit: int) -> None:
        """A process without a limit is not taken for one without descriptors."""
        monkeypatch.setattr("azureswitch.machine.getrlimit", lambda _: (soft, soft))
        assert machine_descriptors() == limit
