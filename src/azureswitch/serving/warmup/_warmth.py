"""Until when each target is cold, as known to this host for the target's latest start.

The sources are a target's entry, the first observation of a new start, and the end of an
evacuation.  A later report replaces an earlier one; where neither is later, the longer cold phase
holds.  Reports do not expire: without a new one a cold target becomes warm by this host's clock.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import Enum
from math import inf

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import PlaceName, ServiceName, TargetName
from azureswitch.inventory import Place, Target, Warmup

READ_LAG_SECONDS = 0.6
"""Seconds after the end of an evacuation in which an entry that is read may be older than it.

It is the longest time between two checks of a mirror; the two kinds are mirrored separately.
"""

MAX_UNLISTED_TARGETS = 1_024
"""Upper bound of remembered targets that are no longer listed.

While the store is down an entry may be missing for some seconds.
"""


class EvidenceSource(Enum):
    """How a host has learned that a target is cold or warm."""

    ENTRY = "entry"
    START = "start"
    RESTORED = "restored"


class Warmth(Struct, frozen=True, kw_only=True):
    """What is known of the cold phase of one start of a target.

    Attributes:
        started: The start, or zero where it is unknown.
        version: The version of the entry that was read last.
        cold: The seconds that this entry names, or None.
        until: When the cold phase ends or ended, in seconds of this host's clock.
        source: Where ``until`` comes from.
        at: When it was learned.
    """

    started: int
    version: int
    cold: float | None
    until: float = -inf
    source: EvidenceSource = EvidenceSource.ENTRY
    at: float


class WarmthTracker:
    """Tracks the cold phase of each target."""

    def __init__(self) -> None:
        self._known: dict[TargetName, Warmth] = {}
        self._evacuated: frozenset[PlaceName] = frozenset()
        self._restored: dict[PlaceName, float] = {}
        self._listed = False

    def get(self, target: TargetName) -> Warmth | None:
        """Return what is known of a target."""
        return self._known.get(target)

    def adopt(
        self,
        targets: Collection[Target],
        *,
        warmups: Mapping[ServiceName, Warmup],
        places: Iterable[Place],
        now: float,
    ) -> None:
        """Apply a listing of targets and failure domains.

        Args:
            targets: The entries in force.
            warmups: How the targets of services that are limited while cold behave.
            places: The failure domains.
            now: When the listing is read.
        """
        restored = self._adopt_places(places, now=now)
        limited = [target for target in targets if target.service in warmups]
        for target in limited:
            warmup = warmups[target.service]
            known = self._read(target, seconds=warmup.seconds, now=now)
            if target.place in restored and now + warmup.seconds > known.until:
                known = replace(
                    known, until=now + warmup.seconds, source=EvidenceSource.RESTORED, at=now
                )
            self._known[target.name] = known
        self._listed = self._listed or bool(limited)
        self._evict_unlisted({target.name for target in limited})

    def _adopt_places(self, places: Iterable[Place], *, now: float) -> frozenset[PlaceName]:
        """Return the failure domains whose evacuation has ended since the last listing."""
        listed = {place.name: place.evacuation is not None for place in places}
        evacuated = frozenset(name for name, is_evacuated in listed.items() if is_evacuated)
        restored = frozenset(n for n in self._evacuated if n in listed and n not in evacuated)
        # A failure domain that is missing from a listing counts as still evacuated.
        missing = frozenset(name for name in self._evacuated if name not in listed)
        self._evacuated = evacuated | missing
        self._restored.update(dict.fromkeys(restored, now))
        return restored

    def _read(self, target: Target, *, seconds: float, now: float) -> Warmth:
        """Return what is known of a target after its entry was read."""
        known = self._known.get(target.name)
        if known is None or (0 < known.started < target.started):
            return self._read_new(target, known, seconds=seconds, now=now)
        if 0 < target.started < known.started:
            return known
        if (target.entry_version, target.cold) == (known.version, known.cold):
            return known if known.started else replace(known, started=target.started)
        read = replace(
            known,
            started=target.started or known.started,
            version=target.entry_version,
            cold=target.cold,
        )
        if target.cold is None:
            return read
        until = _phase_end(target.cold, before=known.until, now=now)
        later = target.entry_version > known.version and not self._may_be_older(target, now=now)
        if not later and until <= known.until:
            return read
        return replace(read, until=until, source=EvidenceSource.ENTRY, at=now)

    def _read_new(
        self, target: Target, before: Warmth | None, *, seconds: float, now: float
    ) -> Warmth:
        """Return what is known of a target that is new, or of a new start of a known one."""
        last = -inf if before is None else before.until
        source = EvidenceSource.ENTRY
        until = last
        if target.cold is not None:
            until = _phase_end(target.cold, before=last, now=now)
        elif self._listed:
            until, source = now + seconds, EvidenceSource.START
        if self._may_be_older(target, now=now) and until < last:
            until = last
        return Warmth(
            started=target.started,
            version=target.entry_version,
            cold=target.cold,
            until=until,
            source=source,
            at=now,
        )

    def _may_be_older(self, target: Target, *, now: float) -> bool:
        """Return whether an entry read now may be older than the end of an evacuation."""
        return now - self._restored.get(target.place, -inf) <= READ_LAG_SECONDS

    def _evict_unlisted(self, listed: Collection[TargetName]) -> None:
        unlisted = [name for name in self._known if name not in listed]
        for name in unlisted[: max(0, len(unlisted) - MAX_UNLISTED_TARGETS)]:
            del self._known[name]


def _phase_end(cold: float, *, before: float, now: float) -> float:
    """Return when a cold phase ends according to an entry.

    An entry with zero seconds ends the phase when it is read, unless it has ended before.
    """
    return now + cold if cold > 0.0 else min(before, now)
