"""The cold phase of a target: it is slow, and crashes under more requests than it bears."""

from collections import deque

from azureswitch_standins.target._model import TargetPlan

COLD_SLOWDOWN = 3.0
"""Factor by which a cold target takes longer; the platform publishes none."""

WINDOW_SECONDS = 1.0
"""Seconds in which the requests to a cold target are counted."""


class ColdPhase:
    """The cold phase of a target, which can begin again at any time.

    Args:
        plan: What the target is; without `TargetPlan.cold_seconds` it is never cold, and without
            `TargetPlan.cold_rate` it bears any number of requests.
    """

    def __init__(self, *, plan: TargetPlan) -> None:
        self._plan = plan
        self._until = 0.0
        self._times: deque[float] = deque()

    def begin(self, now: float) -> None:
        """Become cold for the time in the plan."""
        self._until = now + self._plan.cold_seconds
        self._times.clear()

    def left(self, now: float) -> float:
        """Return the seconds for which the target stays cold."""
        return max(0.0, self._until - now)

    def slowdown(self, now: float) -> float:
        """Return the factor by which the target takes longer now."""
        return COLD_SLOWDOWN if self.left(now) else 1.0

    def count(self, now: float) -> bool:
        """Count a request that arrives, and return whether the target crashes under it."""
        if not self.left(now) or not self._plan.cold_rate:
            return False
        self._times.append(now)
        while now - self._times[0] >= WINDOW_SECONDS:
            self._times.popleft()
        bound = self._plan.cold_rate * self._plan.cold_excess + self._plan.cold_slack
        return len(self._times) > bound
