"""Which start of each target is known here: what is told of an earlier one no longer counts."""

from collections.abc import Iterable, Mapping

from msgspec import Struct
from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Target, latest
from azureswitch.serving._digests import TargetStart

GONE_MOST = 1_024
"""Targets that are listed no more whose starts are remembered, at most.

An entry may be missing for some seconds while the store is down and come back with a later start.
"""


class StartsAdopted(Struct, frozen=True, kw_only=True):
    """What a list of targets says of their starts.

    Attributes:
        targets: The entries that hold, of the latest starts known.
        restarted: Targets of which an earlier start was known.
        told: Targets whose start was not known before.
    """

    targets: tuple[Target, ...]
    restarted: frozenset[TargetName]
    told: frozenset[TargetName]


class Starts:
    """The latest start known of each target, in milliseconds of its wall clock.

    It never goes back: a start that is told late is over.
    """

    def __init__(self) -> None:
        self._listed: dict[TargetName, Target] = {}
        self._known: dict[TargetName, int] = {}

    def adopt(self, targets: Iterable[Target]) -> StartsAdopted:
        """Take over a list of targets.

        Args:
            targets: The entries as told, some of them perhaps late.

        Returns:
            The entries that hold, and whose start is another one than before.
        """
        held: dict[TargetName, Target] = {}
        restarted: set[TargetName] = set()
        told: set[TargetName] = set()
        for entry in targets:
            name = entry.name
            known = self._known.get(name, 0)
            if entry.started == known:
                held[name] = entry
                continue
            target = latest(self._listed.get(name), entry)
            if target.started > known:
                (restarted if known else told).add(name)
                self._known[name] = target.started
            elif target.started < known:
                # It was listed before, went, and came back with an entry of an earlier start.
                target = replace(target, started=known)
            held[name] = target
        self._listed = held
        self._forget_gone()
        return StartsAdopted(
            targets=tuple(held.values()), restarted=frozenset(restarted), told=frozenset(told)
        )

    def of(self, target: TargetName) -> int:
        """Return the latest start known of a target, or zero where none was told."""
        return self._known.get(target, 0)

    def select(self, targets: Iterable[TargetName]) -> tuple[TargetStart, ...]:
        """Return the starts of targets, each one once; those without a known one are left out."""
        return tuple(
            TargetStart(target=name, started=self._known[name])
            for name in dict.fromkeys(targets)
            if name in self._known
        )

    def is_over(self, target: TargetName, started: int) -> bool:
        """Return whether a start is an earlier one than is known; zero tells nothing."""
        return 0 < started < self._known.get(target, 0)

    def holds(self, target: TargetName, started: int) -> bool:
        """Return whether what is told of a start counts for the one known here.

        What is told of a start that one side does not know counts: hosts of an older version do not
        tell starts, and targets need not say theirs.
        """
        known = self._known.get(target, 0)
        return not started or not known or started == known

    def ended(self, starts: Iterable[TargetStart]) -> frozenset[TargetName]:
        """Return the targets of which another start is meant than the one known here."""
        return frozenset([s.target for s in starts if not self.holds(s.target, s.started)])

    def _forget_gone(self) -> None:
        """Forget starts of targets that are listed no more, those told first, beyond a bound."""
        if len(self._known) - len(self._listed) <= GONE_MOST:
            return
        gone = [name for name in self._known if name not in self._listed]
        for name in gone[:-GONE_MOST]:
            del self._known[name]


def starts_by_target(starts: Iterable[TargetStart]) -> Mapping[TargetName, int]:
    """Return starts by the names of their targets."""
    return {item.target: item.started for item in starts}
