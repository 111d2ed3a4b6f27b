"""The order of probes, open probes and the local health score."""

from random import Random

from msgspec import Struct, field

from azureswitch.coordination.membership._limits import MAX_HEALTH_SCORE
from azureswitch.coordination.membership._messages import Update
from azureswitch.core import HostName


class ProbeOrder:
    """Rounds of all members, each in a new random order."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._order: list[HostName] = []
        self._known: set[HostName] = set()
        self._prioritized: dict[HostName, None] = {}

    def add(self, host: HostName) -> None:
        """Add a new member at a random position of the current round."""
        if host in self._known:
            return
        self._known.add(host)
        self._order.insert(self._random.randint(0, len(self._order)), host)

    def discard(self, host: HostName) -> None:
        """Remove a host; one that was prioritized is still probed once."""
        self._known.discard(host)

    def prioritize(self, host: HostName) -> None:
        """Probe a host next, once."""
        self._prioritized[host] = None

    def next(self) -> HostName | None:
        """Return the host to probe next, or None if there is none."""
        if self._prioritized:
            host = next(iter(self._prioritized))
            del self._prioritized[host]
            return host
        while self._order:
            host = self._order.pop()
            if host in self._known:
                return host
        self._order = sorted(self._known)
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None


class Probe(Struct, kw_only=True):
    """The probe of the current period.

    Attributes:
        target: The update on the member when the probe began.
        sequence: The sequence number of the ping.
        indirect_at: When other members are asked to probe it.
        ends_at: When the probe fails.
        helpers: The addresses of the members that were asked.
        nacks: Number of these that answered with a `Nack`.
        answered: Whether the member has answered.
    """

    target: Update
    sequence: int
    indirect_at: float
    ends_at: float
    helpers: tuple[str, ...] = ()
    nacks: int = 0
    answered: bool = False


class RelayedProbe(Struct, kw_only=True):
    """A probe on behalf of another member."""

    address: str
    sequence: int
    target: HostName
    ends_at: float


class LocalHealth(Struct, kw_only=True):
    """A score of this host's own health, which slows down the probes of an unhealthy host.

    So a host that was paused or disconnected suspects others later.

    Attributes:
        score: From 0, healthy, to `MAX_HEALTH_SCORE`.
    """

    score: int = field(default=0)

    @property
    def factor(self) -> int:
        """Factor by which the probe period and its time-outs are extended."""
        return 1 + self.score

    def add(self, points: int) -> None:
        """Add points to the score; negative points improve the health."""
        self.score = min(max(self.score + points, 0), MAX_HEALTH_SCORE)
