"""When a failed attempt may be followed by another one."""

from math import inf
from random import Random

from msgspec import Struct

from azureswitch.serving._events import Call

RETRY_SHARE = 0.1
"""Retries permitted per admitted call."""

RETRY_BURST = 20.0
"""Retries permitted beside that, so that a quiet host may still retry."""

HEDGE_DELAY_FACTOR = 5.0
"""Times its expected time to the first token after which a short prompt is hedged."""

MIN_HEDGE_DELAY_SECONDS = 2.0
"""Seconds without a first token before a hedge, at least."""

HEDGE_COST = 2.0
"""Retries of the budget that a hedge takes, so that hedges end before retries do."""

LOST_SECONDS = 1.5
"""Seconds without an answer to any poll after which a target's attempts are started elsewhere."""

STUCK_SECONDS = 1.0
"""Seconds for which requests wait at an engine that runs none before they are taken back."""

MAX_RETRIES = 8
"""Retries of one call, at most."""

FIRST_BACKOFF_SECONDS = 0.05
"""Seconds before the first retry, at the middle of its jitter."""

MAX_BACKOFF_SECONDS = 5.0
"""Seconds that a backoff reaches at most."""


MIN_BURST = 1.0
"""Retries that a host may save up at least; with a share below one it could never retry at all."""


class RetryBudget:
    """A budget of retries as a share of live traffic.

    What was taken is given back by later calls.  So a host that learns how many others share the
    burst has its part of it at once, less what it has taken, and a host that starts among many
    cannot spend more than its part before it knows of them.

    Args:
        share: Retries permitted per admitted call.
        burst: Retries permitted beside that, for this host.
        fleet_burst: The same for all hosts together, which they share evenly, or None.
    """

    def __init__(
        self,
        *,
        share: float = RETRY_SHARE,
        burst: float = RETRY_BURST,
        fleet_burst: float | None = None,
    ) -> None:
        self._share = share
        self._burst = burst
        self._fleet_burst = fleet_burst
        self._taken = 0.0

    def set_hosts(self, count: int) -> None:
        """Share the burst of the fleet among so many hosts."""
        if self._fleet_burst is not None:
            self._burst = self._fleet_burst / max(1, count)

    def admitted(self) -> None:
        """Count an admitted call."""
        # Below zero only where the burst is less than one retry, up to which a host may save.
        least = min(0.0, self._burst - MIN_BURST)
        self._taken = max(least, self._taken - self._share)

    def permits(self, cost: float = 1.0) -> bool:
        """Return whether there are as many retries in the budget."""
        return self._burst - self._taken >= cost

    def take(self, cost: float = 1.0) -> bool:
        """Take retries out of the budget and return whether there were as many."""
        if not self.permits(cost):
            return False
        self._taken += cost
        return True


MIN_FIRST_OUTPUT_SECONDS = 0.8
"""Seconds without a first token before another target is tried, at least.

Callers leave after 2 s.
"""

FIRST_OUTPUT_FACTOR = 3.0
"""Times the predicted time to the first token after which another target is tried."""

MIN_OUTPUT_GAP_SECONDS = 1.2
"""Seconds without output midway before another target is tried, at least.

A pass that reads a part of a long prompt lasts 0.5 s; callers leave after 2 s.
"""

OUTPUT_GAP_FACTOR = 3.0
"""Times the objective for pauses after which another target is tried."""


class SilenceTimeouts(Struct, frozen=True, kw_only=True):
    """How long an attempt may be silent, in seconds, before another target is tried.

    Attributes:
        first: Before its first output.
        gap: Between two outputs.
    """

    first: float = inf
    gap: float = inf


def silence_timeouts(call: Call, *, first_token: float) -> SilenceTimeouts:
    """Return how long an attempt may be silent before another target is tried.

    Args:
        call: The call; one that must not run twice is waited for whatever happens.
        first_token: Predicted seconds to the first token, or zero where there is no prediction.
    """
    if not call.repeatable or not first_token:
        return SilenceTimeouts()
    first = max(MIN_FIRST_OUTPUT_SECONDS, FIRST_OUTPUT_FACTOR * first_token)
    return SilenceTimeouts(
        first=first, gap=max(MIN_OUTPUT_GAP_SECONDS, OUTPUT_GAP_FACTOR * call.gap_objective)
    )


MIN_QUEUE_SECONDS = 0.5
"""Seconds for which a call that can come back waits for a target, at least: one may be replaced."""

QUEUE_OBJECTIVE_SHARE = 0.25
"""Share of its objective for which it does so; from there on waiting here counts against us."""


def max_queue_seconds(call: Call) -> float:
    """Return for how long a call waits here that its caller can send to another host."""
    return max(MIN_QUEUE_SECONDS, QUEUE_OBJECTIVE_SHARE * call.objective)


def hedge_delay(expected: float) -> float:
    """Return the seconds without a first token after which a call is hedged.

    Args:
        expected: Seconds to the first token that were expected.
    """
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * expected)


def backoff(retry: int, *, random: Random) -> float:
    """Return the seconds to wait before a retry.

    Args:
        retry: Counts retries of the call from 1.
        random: The source of the jitter.
    """
    return random.uniform(0.25, 1.0) * max_backoff(retry)


def max_backoff(retry: int) -> float:
    """Return the most seconds to wait before a retry, which count from 1."""
    return min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0**retry)
