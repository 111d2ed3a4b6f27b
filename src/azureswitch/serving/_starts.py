"""The latest known start of each target; information about an earlier one no longer counts."""

from collections.abc import Iterable, Mapping

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Target, latest
from azureswitch.serving._digests import TargetStart

MAX_UNLISTED_STARTS = 1_024
"""Upper bound of remembered starts of targets that are no longer listed.

While the store is down an entry may be missing for some seconds and come back with a later start.
"""


class StartsAdopted(Struct, frozen=True, kw_only=True):
    """The result of adopting a list of targets.

    Attributes:
        targets: The entries in force, with the latest known starts.
        restarted: Targets with a later start than the one known before.
        learned: Targets whose start was unknown before.
    """

    targets: tuple[Target, ...]
    restarted: frozenset[TargetName]
    learned: frozenset[TargetName]


class Starts:
    """The latest known start of each target, in milliseconds of its wall clock.

    The known start never decreases: an earlier one that is reported late is ignored.
    """

    def __init__(self) -> None:
        self._listed: dict[TargetName, Target] = {}
        self._known: dict[TargetName, int] = {}

    def adopt(self, targets: Iterable[Target]) -> StartsAdopted:
        """Adopt a list of targets.

        Args:
            targets: The entries as listed, some of them possibly outdated.

        Returns:
            The entries in force, and the targets whose known start has changed.
        """
        entries: dict[TargetName, Target] = {}
        restarted: set[TargetName] = set()
        learned: set[TargetName] = set()
        for entry in targets:
            name = entry.name
            known = self._known.get(name, 0)
            if entry.started == known:
                entries[name] = entry
                continue
            target = latest(self._listed.get(name), entry)
            if target.started > known:
                (restarted if known else learned).add(name)
                self._known[name] = target.started
            elif target.started < known:
                # The target was listed before, was removed, and reappeared with an outdated entry.
                target = replace(target, started=known)
            entries[name] = target
        self._listed = entries
        self._evict_unlisted()
        return StartsAdopted(
            targets=tuple(entries.values()),
            restarted=frozenset(restarted),
            learned=frozenset(learned),
        )

    def lists(self, start: TargetStart) -> bool:
        """Return whether a target is listed, and has not restarted since a given start."""
        return start.target in self._listed and self.holds(start.target, start.started)

    def of(self, target: TargetName) -> int:
        """Return the latest known start of a target, or zero where none is known."""
        return self._known.get(target, 0)

    def select(self, targets: Iterable[TargetName]) -> tuple[TargetStart, ...]:
        """Return the known starts of targets without duplicates; unknown ones are left out."""
        return tuple(
            TargetStart(target=name, started=self._known[name])
            for name in dict.fromkeys(targets)
            if name in self._known
        )

    def is_over(self, target: TargetName, started: int) -> bool:
        """Return whether a later start of the target is known; zero stands for an unknown start."""
        return 0 < started < self._known.get(target, 0)

    def holds(self, target: TargetName, started: int) -> bool:
        """Return whether information about a start applies to the latest known one.

        It also applies if either start is unknown: hosts of an older version do not report starts,
        and targets need not announce theirs.
        """
        known = self._known.get(target, 0)
        return not started or not known or started == known

    def ended(self, starts: Iterable[TargetStart]) -> frozenset[TargetName]:
        """Return the targets whose given start differs from the latest known one.

        A target with an unknown start on either side is not among them.
        """
        return frozenset([s.target for s in starts if not self.holds(s.target, s.started)])

    def _evict_unlisted(self) -> None:
        """Evict the first learned starts of targets that are no longer listed, beyond a bound."""
        if len(self._known) - len(self._listed) <= MAX_UNLISTED_STARTS:
            return
        unlisted = [name for name in self._known if name not in self._listed]
        for name in unlisted[:-MAX_UNLISTED_STARTS]:
            del self._known[name]


def starts_by_target(starts: Iterable[TargetStart]) -> Mapping[TargetName, int]:
    """Return starts by target name."""
    return {item.target: item.started for item in starts}
