"""Which targets have said in an answer that they leave, whatever the store lists them as.

The store may be away for long, and tells of a leave only once the target's entry is written.
"""

from collections.abc import Iterable

from msgspec.structs import replace

from azureswitch.core import TargetName
from azureswitch.inventory import Target, TargetRole

REMEMBERED_MOST = 1_024
"""Targets that are remembered at most; those that said so first are forgotten first.

By then a fleet of 600 has been replaced more than once.
"""


class Departures:
    """The starts of targets that have said that they leave; it is never taken back."""

    def __init__(self) -> None:
        self._started: dict[TargetName, int] = {}

    def add(self, target: TargetName, *, started: int) -> None:
        """Note that a start of a target leaves; zero where it is not known which."""
        self._started[target] = max(started, self._started.pop(target, 0))
        if len(self._started) > REMEMBERED_MOST:
            del self._started[next(iter(self._started))]

    def apply(self, targets: Iterable[Target]) -> tuple[Target, ...]:
        """Return targets with those as draining that have said that they leave."""
        if not self._started:
            return tuple(targets)
        return tuple(
            replace(target, role=TargetRole.DRAINING) if self._leaves(target) else target
            for target in targets
        )

    def _leaves(self, target: Target) -> bool:
        """Return whether the start of an entry is not later than the one that has said so."""
        started = self._started.get(target.name)
        if started is None:
            return False
        return not started or not target.started or target.started <= started
