"""How long a suspected member has to speak up."""

from collections.abc import Iterator
from math import log, log10

from msgspec import Struct, field

from azureswitch.coordination.membership._limits import (
    CONFIRMATIONS,
    PROBE_PERIOD,
    SUSPICION_PERIODS,
    SUSPICION_STRETCH,
)
from azureswitch.core import HostName


def shortest(size: int) -> float:
    """Return the seconds that a suspicion lasts which others share, in a fleet of a size."""
    return SUSPICION_PERIODS * max(1.0, log10(max(size, 1))) * PROBE_PERIOD


class _Suspicion(Struct, kw_only=True):
    since: float
    shortest: float
    accusers: set[str] = field(default_factory=set)

    @property
    def ends(self) -> float:
        """When the member counts as dead, unless it spoke up before."""
        share = log(len(self.accusers)) / log(CONFIRMATIONS + 1)
        stretch = SUSPICION_STRETCH - (SUSPICION_STRETCH - 1.0) * min(share, 1.0)
        return self.since + self.shortest * stretch


class Suspicions:
    """All suspicions that this host shares."""

    def __init__(self) -> None:
        self._suspicions: dict[HostName, _Suspicion] = {}

    def add(self, *, host: HostName, accuser: str, now: float, size: int) -> bool:
        """Suspect a member, or confirm the suspicion.

        Returns:
            Whether this accuser is news.
        """
        suspicion = self._suspicions.get(host)
        if suspicion is None:
            suspicion = _Suspicion(since=now, shortest=shortest(size))
            self._suspicions[host] = suspicion
        if accuser in suspicion.accusers or len(suspicion.accusers) > CONFIRMATIONS:
            return False
        suspicion.accusers.add(accuser)
        return True

    def shared(self, host: HostName) -> bool:
        """Whether as many share a suspicion as can shorten it."""
        suspicion = self._suspicions.get(host)
        return suspicion is not None and len(suspicion.accusers) > CONFIRMATIONS

    def clear(self, host: HostName) -> None:
        """Suspect a member no longer."""
        self._suspicions.pop(host, None)

    def expired(self, *, now: float) -> tuple[HostName, ...]:
        """Return members that did not speak up in time."""
        return tuple(host for host, item in self._suspicions.items() if item.ends <= now)

    def restart(self, *, now: float) -> None:
        """Give every suspected member its whole time again, after this host was paused."""
        for suspicion in self._all():
            suspicion.since = now
            suspicion.accusers = set(sorted(suspicion.accusers)[:1])

    def _all(self) -> Iterator[_Suspicion]:
        yield from self._suspicions.values()
