"""Whom to probe next, what is being probed, and how far to trust oneself."""

from random import Random

from msgspec import Struct, field

from azureswitch.coordination.membership._limits import HEALTH_LIMIT
from azureswitch.coordination.membership._messages import Update
from azureswitch.core import HostName


class ProbeOrder:
    """Every member once in a random order, then again in another."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._order: list[HostName] = []
        self._known: set[HostName] = set()
        self._first: dict[HostName, None] = {}

    def add(self, host: HostName) -> None:
        """Probe a new member at a random place of this round."""
        if host in self._known:
            return
        self._known.add(host)
        self._order.insert(self._random.randint(0, len(self._order)), host)

    def discard(self, host: HostName) -> None:
        """Probe a host no longer, unless it is asked for."""
        self._known.discard(host)

    def ask(self, host: HostName) -> None:
        """Probe a host next, once."""
        self._first[host] = None

    def next(self) -> HostName | None:
        """Return the host to probe next, or None where there is none."""
        if self._first:
            host = next(iter(self._first))
            del self._first[host]
            return host
        while self._order:
            host = self._order.pop()
            if host in self._known:
                return host
        self._order = sorted(self._known)
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None


class Probe(Struct, kw_only=True):
    """The probe of this period.

    Attributes:
        target: The member, as it was known when the probe began.
        sequence: The number of the ping.
        asks: When others are asked to probe it.
        ends: When the probe has failed.
        helpers: Addresses of those that were asked.
        nacks: How many of them said that it did not answer them either.
        answered: Whether it answered.
    """

    target: Update
    sequence: int
    asks: float
    ends: float
    helpers: tuple[str, ...] = ()
    nacks: int = 0
    answered: bool = False


class Relay(Struct, kw_only=True):
    """A probe that another member asked for."""

    address: str
    sequence: int
    target: HostName
    ends: float


class Health(Struct, kw_only=True):
    """How far this host doubts itself; a host that was paused or cut off accuses others late.

    Attributes:
        score: From 0 to `HEALTH_LIMIT`.
    """

    score: int = field(default=0)

    @property
    def factor(self) -> int:
        """By how much probes are stretched."""
        return 1 + self.score

    def add(self, points: int) -> None:
        """Doubt this host more, or less with negative points."""
        self.score = min(max(self.score + points, 0), HEALTH_LIMIT)
