"""Targets that have announced in an answer that they drain, whatever role the store lists.

The store may be unavailable for long, and shows the new role only after the target's entry is
written.
"""

from collections.abc import Iterable

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Target, TargetRole

MAX_REMEMBERED_TARGETS = 1_024
"""Upper bound of targets remembered; the least recently announced are evicted first.

It is large enough for a fleet of 600 targets to be replaced more than once.
"""


class Departures:
    """The starts of targets that have announced that they drain, which is irrevocable."""

    def __init__(self) -> None:
        self._started: dict[TargetName, int] = {}

    def add(self, target: TargetName, *, started: int) -> None:
        """Record that a start of a target drains; zero stands for an unknown start."""
        self._started[target] = max(started, self._started.pop(target, 0))
        if len(self._started) > MAX_REMEMBERED_TARGETS:
            del self._started[next(iter(self._started))]

    def apply(self, targets: Iterable[Target]) -> tuple[Target, ...]:
        """Return targets, with the role draining for those that have announced it."""
        if not self._started:
            return tuple(targets)
        return tuple(
            replace(target, role=TargetRole.DRAINING) if self._drains(target) else target
            for target in targets
        )

    def _drains(self, target: Target) -> bool:
        """Return whether an entry's start is not known to be later than the one that drains."""
        started = self._started.get(target.name)
        if started is None:
            return False
        return not started or not target.started or target.started <= started
