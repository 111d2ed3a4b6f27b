"""A host's view of the fleet."""

from random import Random

from msgspec.structs import replace

from azureswitch.coordination.membership._gossip import GossipQueue, RevisionReports
from azureswitch.coordination.membership._limits import (
    PROBE_PERIOD,
    SYNC_JOIN_PERIOD,
)
from azureswitch.coordination.membership._messages import RevisionReport, Update
from azureswitch.coordination.membership._model import Member, MemberStatus
from azureswitch.coordination.membership._probe import LocalHealth, Probe, ProbeOrder, RelayedProbe
from azureswitch.coordination.membership._suspicion import Suspicions
from azureswitch.coordination.membership._table import MemberTable
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.ports import ListedHost


class MembershipState:
    """The state of the membership reducer; only `reduce` and its helpers write to it.

    Args:
        myself: This process.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        random: The seeded source of every random choice.
    """

    def __init__(
        self, *, myself: Incarnation, place: PlaceName, address: str, random: Random
    ) -> None:
        self._random = random
        self._host = myself.host
        self._table = MemberTable()
        self._gossip = GossipQueue(random=random)
        self._reports = RevisionReports()
        self._suspicions = Suspicions()
        self._order = ProbeOrder(random=random)
        self._health = LocalHealth()
        self._probe: Probe | None = None
        self._relays: dict[int, RelayedProbe] = {}
        self._disputed: set[HostName] = set()
        self._died_at: dict[HostName, float] = {}
        self._listed: tuple[ListedHost, ...] = ()
        self._listing_read = False
        self._sequence = 0
        self._last_tick: float | None = None
        self._next_probe_at = random.random() * PROBE_PERIOD
        self._next_sync_at = random.random() * SYNC_JOIN_PERIOD
        self._next_listing_at = 0.0
        self._sync_lost_next = False
        self._sync_count = 0
        self._changed = False
        self._stalls = 0
        self._urgent: list[Update] = []
        me = Update(
            host=myself.host,
            started=myself.started,
            version=1,
            place=place,
            address=address,
        )
        self._table.put(me)
        self._gossip.add(me)

    @property
    def members(self) -> tuple[Member, ...]:
        """Members that are not dead, this host included, by host name."""
        return self._table.members

    @property
    def dead(self) -> tuple[HostName, ...]:
        """Hosts that are dead and not yet forgotten."""
        return self._table.dead

    @property
    def unknown(self) -> tuple[ListedHost, ...]:
        """Listed hosts that are not in the table."""
        return tuple(item for item in self._listed if self._table.get(item.name) is None)

    @property
    def fleet_size(self) -> int | None:
        """Upper bound of the number of hosts, dead ones included; None before others are known.

        After its start a host knows no other until it has read the host list or synced with a peer.
        """
        if not self._listing_read and not self._sync_count:
            return None
        return self._table.size + len(self.dead) + len(self.unknown)

    @property
    def health(self) -> int:
        """The local health score; zero if this host is healthy."""
        return self._health.score

    @property
    def stalls(self) -> int:
        """Number of detected pauses of this process."""
        return self._stalls

    @property
    def me(self) -> Update:
        """This host's update on itself."""
        me = self._table.get(self._host)
        assert me is not None
        return me

    def piggyback(self, *, first: Update | None = None) -> tuple[Update, ...]:
        """Choose the updates for the next datagram."""
        return self._gossip.take(size=self._table.size, first=first)

    def report(self) -> RevisionReport:
        """Choose the revision report for the next datagram."""
        return self._reports.take(size=self._table.size)

    def update_self(self, **changes: object) -> None:
        """Change and gossip this host's update on itself."""
        me = replace(self.me, **changes)
        self._table.put(me)
        self._gossip.add(me)

    def set_revision(self, *, host: HostName, revision: int) -> None:
        """Record the revision in force on a host; a smaller one changes nothing."""
        known = self._table.get(host)
        if known is None or known.status is MemberStatus.DEAD or revision <= known.revision:
            return
        self._table.put(replace(known, revision=revision))
