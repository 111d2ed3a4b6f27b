"""The evidence: at which starts of targets each cause was interrupted, and what cleared it.

Both are sets that only grow until a cause is forgotten, so that reports may be lost, arrive twice
or overtake each other.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from math import inf

from msgspec import Struct, field

from azureswitch.serving._digests import TargetStart
from azureswitch.serving.quarantine._causes import Cause
from azureswitch.serving.quarantine._changes import QuarantineStage
from azureswitch.serving.quarantine._schedule import (
    QUARANTINE_CRASHES,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
)

MAX_SUSPECTS = 2_048
"""Upper bound of causes remembered; a crash interrupts as many requests as an engine has slots."""

MAX_CLEARED_CRASHES = 64
"""Upper bound of cleared crashes that are remembered and reported per cause."""


class Suspect(Struct, kw_only=True):
    """A cause that was interrupted at a target.

    Attributes:
        newest: When it was last interrupted, in seconds of the monotonic clock.
        crashes: The starts of targets at which it was interrupted, with the time of each; those of
            which it was cleared are left out.
        cleared: The crashes of which it was cleared, oldest first.
        trial_at: When a host last sent a request to find out whether the cause still crashes
            targets, or minus infinity for never.
        seen_here: Whether this host observed one of its crashes.
        answered_here: Whether an answer to an attempt of this host has cleared it.
        answers: Number of such answers since it was suspected.
        stage: What was announced last.
        incidents: Number of its incidents then.
    """

    newest: float
    crashes: dict[TargetStart, float] = field(default_factory=dict)
    cleared: dict[TargetStart, None] = field(default_factory=dict)
    trial_at: float = -inf
    seen_here: bool = False
    answered_here: bool = False
    answers: int = 0
    stage: QuarantineStage = QuarantineStage.FREE
    incidents: int = 0

    @property
    def trial_failed(self) -> bool:
        """Whether a target crashed under it after a trial was sent."""
        return -inf < self.trial_at <= self.newest

    @property
    def trial_outstanding(self) -> bool:
        """Whether the outcome of a trial is unknown."""
        return self.trial_at > self.newest and bool(self.crashes)


class Suspects:
    """The causes that were interrupted at targets, by cause and by crash."""

    def __init__(self) -> None:
        self._suspects: dict[Cause, Suspect] = {}
        self._by_crash: defaultdict[TargetStart, set[Cause]] = defaultdict(set)

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[tuple[Cause, Suspect]]:
        return iter(self._suspects.items())

    def get(self, cause: Cause) -> Suspect | None:
        """Return what is known of a cause, or None for nothing."""
        return self._suspects.get(cause)

    def interrupted_by(self, start: TargetStart) -> frozenset[Cause]:
        """Return the causes that were interrupted by a crash and are not cleared of it."""
        return frozenset(self._by_crash.get(start, ()))

    def find_or_add(self, cause: Cause, *, now: float) -> Suspect:
        """Return what is known of a cause; where it is new, another one may be evicted."""
        suspect = self._suspects.get(cause)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self.forget(min(self._suspects, key=self._value))
            suspect = self._suspects[cause] = Suspect(newest=now)
        return suspect

    def add(self, cause: Cause, suspect: Suspect, start: TargetStart, *, at: float) -> bool:
        """Count a crash against a cause and return whether it was unknown before."""
        if start in suspect.cleared:
            return False
        known = suspect.crashes.get(start)
        suspect.crashes[start] = at if known is None else min(known, at)
        if known is not None:
            return False
        self._by_crash[start].add(cause)
        return True

    def clear(self, cause: Cause, suspect: Suspect, starts: Iterable[TargetStart]) -> bool:
        """Clear a cause of crashes and return whether one of them was counted before."""
        changed = False
        for start in starts:
            suspect.cleared[start] = None
            if start in suspect.crashes:
                del suspect.crashes[start]
                self._unlink(cause, start)
                changed = True
        while len(suspect.cleared) > MAX_CLEARED_CRASHES:
            del suspect.cleared[next(iter(suspect.cleared))]
        return changed

    def forget(self, cause: Cause) -> None:
        """Remove all that is known of a cause."""
        for start in self._suspects.pop(cause).crashes:
            self._unlink(cause, start)

    def expired(self, now: float) -> list[Cause]:
        """Return the causes whose last crash is too old to count."""
        return [
            cause
            for cause, suspect in self._suspects.items()
            if now >= suspect.newest + _retention_seconds(suspect)
        ]

    def _value(self, cause: Cause) -> tuple[bool, float]:
        """Order causes by how much their loss would matter: held ones, and recent ones, most."""
        suspect = self._suspects[cause]
        return len(suspect.crashes) >= QUARANTINE_CRASHES, suspect.newest

    def _unlink(self, cause: Cause, start: TargetStart) -> None:
        causes = self._by_crash[start]
        causes.discard(cause)
        if not causes:
            del self._by_crash[start]


def _retention_seconds(suspect: Suspect) -> float:
    """Return the seconds for which a cause is remembered after its last crash."""
    return QUARANTINE_SECONDS if len(suspect.crashes) >= QUARANTINE_CRASHES else SUSPECT_SECONDS
