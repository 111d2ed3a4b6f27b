"""Suspicions, and the time in which a suspected member can refute them."""

from collections.abc import Iterator
from math import log, log10

from msgspec import Struct, field

from azureswitch.coordination.membership._limits import (
    CONFIRMATIONS,
    MAX_SUSPICION_FACTOR,
    PROBE_PERIOD,
    SUSPICION_PERIODS,
)
from azureswitch.core import HostName


def min_duration(size: int) -> float:
    """Return the duration in seconds of a confirmed suspicion in a fleet of a size."""
    return SUSPICION_PERIODS * max(1.0, log10(max(size, 1))) * PROBE_PERIOD


class _Suspicion(Struct, kw_only=True):
    since: float
    min_duration: float
    accusers: set[str] = field(default_factory=set)

    @property
    def ends(self) -> float:
        """When the member is declared dead, unless it refutes the suspicion before."""
        share = log(len(self.accusers)) / log(CONFIRMATIONS + 1)
        factor = MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * min(share, 1.0)
        return self.since + self.min_duration * factor


class Suspicions:
    """The suspicions known to this host."""

    def __init__(self) -> None:
        self._suspicions: dict[HostName, _Suspicion] = {}

    def add(self, *, host: HostName, accuser: str, now: float, size: int) -> bool:
        """Suspect a member, or confirm the suspicion.

        Returns:
            Whether the accuser was added.
        """
        suspicion = self._suspicions.get(host)
        if suspicion is None:
            suspicion = _Suspicion(since=now, min_duration=min_duration(size))
            self._suspicions[host] = suspicion
        if accuser in suspicion.accusers or len(suspicion.accusers) > CONFIRMATIONS:
            return False
        suspicion.accusers.add(accuser)
        return True

    def confirmed(self, host: HostName) -> bool:
        """Return whether a suspicion has all confirmations that shorten it."""
        suspicion = self._suspicions.get(host)
        return suspicion is not None and len(suspicion.accusers) > CONFIRMATIONS

    def clear(self, host: HostName) -> None:
        """Remove the suspicion of a member."""
        self._suspicions.pop(host, None)

    def expired(self, *, now: float) -> tuple[HostName, ...]:
        """Return the members that did not refute their suspicion in time."""
        return tuple(host for host, item in self._suspicions.items() if item.ends <= now)

    def restart(self, *, now: float) -> None:
        """Restart all suspicions with one accuser each, after a pause of this host."""
        for suspicion in self._all():
            suspicion.since = now
            suspicion.accusers = set(sorted(suspicion.accusers)[:1])

    def _all(self) -> Iterator[_Suspicion]:
        yield from self._suspicions.values()
