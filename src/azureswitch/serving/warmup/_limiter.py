"""What this host may send to the targets that are cold or have just become warm."""

from collections.abc import Collection, Iterable
from math import inf

from msgspec import Struct

from azureswitch.core import HostName, PlaceName, ServiceName, TargetName
from azureswitch.inventory import Place, Service, Target, Warmup
from azureswitch.serving.warmup._rate import RAMP_SECONDS, current_rate, seconds_until_rate
from azureswitch.serving.warmup._shares import Shares
from azureswitch.serving.warmup._warmth import EvidenceSource, WarmthTracker


class WarmthChange(Struct, frozen=True, kw_only=True):
    """A target has become cold or warm, as far as this host knows.

    Attributes:
        target: The target.
        place: Its failure domain.
        started: Its start, or zero where it is unknown.
        seconds: For how long it stays cold; zero if it is warm.
        source: How the host has learned of the cold phase.
    """

    target: TargetName
    place: PlaceName
    started: int
    seconds: float
    source: EvidenceSource


class WarmupLimiter:
    """Limits what this host sends to targets that are cold or have just become warm.

    Args:
        host: This host.
        fleet_hosts: Assumed number of hosts until the others are known.
    """

    def __init__(self, *, host: HostName, fleet_hosts: int) -> None:
        self._tracker = WarmthTracker()
        self._shares = Shares(host=host, fleet_hosts=fleet_hosts)
        self._warmups: dict[ServiceName, Warmup] = {}
        self._targets: dict[TargetName, Target] = {}
        self._limited: frozenset[TargetName] = frozenset()
        self._cold: frozenset[TargetName] = frozenset()

    @property
    def any(self) -> bool:
        """Whether any target may be limited; else there is nothing to check."""
        return bool(self._limited)

    def adopt(
        self,
        *,
        targets: Collection[Target],
        services: Iterable[Service],
        places: Iterable[Place],
        now: float,
    ) -> list[WarmthChange]:
        """Apply a listing of targets, and return the targets that became cold or warm by it."""
        self._warmups = {
            service.name: service.warmup
            for service in services
            if service.warmup is not None and service.warmup.rate > 0.0
        }
        self._targets = {t.name: t for t in targets if t.service in self._warmups}
        self._tracker.adopt(targets, warmups=self._warmups, places=places, now=now)
        self._limited = frozenset(
            name for name in self._targets if self._until(name) + RAMP_SECONDS > now
        )
        return self.refresh(now=now)

    def set_hosts(self, hosts: tuple[HostName, ...], *, fleet_hosts: int, now: float) -> None:
        """Replace the live hosts and the fleet size, which includes hosts considered dead."""
        self._shares.set_hosts(hosts, fleet_hosts=fleet_hosts)
        self._refill(now=now)

    def refresh(self, *, now: float) -> list[WarmthChange]:
        """Refill the buckets as time passes, and return the targets that became cold or warm."""
        if not self._limited and not self._cold:
            return []
        self._limited = frozenset(n for n in self._limited if self.rate(n, now=now) is not None)
        self._shares.keep(self._limited)
        self._refill(now=now)
        cold = frozenset(name for name in self._limited if self.seconds_cold(name, now=now))
        changed = sorted(cold ^ self._cold)
        self._cold = cold
        return [self._change(name, now=now) for name in changed if name in self._targets]

    def cold_targets(self, *, now: float) -> dict[TargetName, float]:
        """Return the cold targets, with the seconds for which each of them stays cold."""
        found = {name: self.seconds_cold(name, now=now) for name in sorted(self._limited)}
        return {name: seconds for name, seconds in found.items() if seconds}

    def seconds_cold(self, target: TargetName, *, now: float) -> float:
        """Return the seconds for which a target stays cold; zero if it is warm."""
        return max(0.0, self._until(target) - now) if target in self._limited else 0.0

    def is_cold(self, target: TargetName, *, now: float) -> bool:
        """Return whether a target is cold."""
        return self.seconds_cold(target, now=now) > 0.0

    def rate(self, target: TargetName, *, now: float) -> float | None:
        """Return the requests per second that a target takes from all hosts, or None for any."""
        if target not in self._limited:
            return None
        return current_rate(self._cold_rate(target), until=self._until(target), now=now)

    def host_rate(self, target: TargetName, *, now: float) -> float:
        """Return the requests per second that this host may send to a target in the long run."""
        rate = self.rate(target, now=now)
        if rate is None:
            return inf
        if not self._shares.is_sender(target, rate=rate):
            return 0.0
        return self._shares.refill_rate(rate)

    def may_send(self, target: TargetName, *, now: float) -> bool:
        """Return whether this host may send a request to a target now."""
        rate = self.rate(target, now=now)
        return rate is None or self._shares.may_send(target, rate=rate, now=now)

    def take(self, target: TargetName, *, now: float) -> None:
        """Take a token, if one is needed, for a request that is sent to a target."""
        if self.rate(target, now=now) is not None:
            self._shares.take(target)

    def wait(self, target: TargetName, *, now: float) -> float:
        """Return the seconds until this host may send to a target."""
        rate = self.rate(target, now=now)
        if rate is None:
            return 0.0
        open_in = self._until(target) + RAMP_SECONDS - now
        least = max(rate, self._shares.least_rate(target))
        joins = seconds_until_rate(
            self._cold_rate(target), least, until=self._until(target), now=now
        )
        joins = 0.0 if self._shares.is_sender(target, rate=rate) else joins
        return min(open_in, joins + self._shares.wait(target, rate=least, now=now))

    def _refill(self, *, now: float) -> None:
        for name in self._limited:
            rate = self.rate(name, now=now)
            if rate is not None:
                self._shares.refill(name, rate=rate, now=now)

    def _until(self, target: TargetName) -> float:
        known = self._tracker.get(target)
        return -inf if known is None else known.until

    def _cold_rate(self, target: TargetName) -> float:
        return self._warmups[self._targets[target].service].rate

    def _change(self, name: TargetName, *, now: float) -> WarmthChange:
        known = self._tracker.get(name)
        return WarmthChange(
            target=name,
            place=self._targets[name].place,
            started=0 if known is None else known.started,
            seconds=self.seconds_cold(name, now=now),
            source=EvidenceSource.ENTRY if known is None else known.source,
        )
