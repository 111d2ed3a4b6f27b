"""When a failed attempt may be followed by another one."""

from random import Random

RETRY_SHARE = 0.1
"""Retries permitted per admitted call."""

RETRY_FLOOR = 20.0
"""Retries permitted beside that, so that a quiet host may still retry."""

HEDGE_FACTOR = 5.0
"""Times its expected time to the first token after which a short prompt is hedged."""

HEDGE_LEAST = 2.0
"""Seconds without a first token before a hedge, at least."""

HEDGE_COST = 2.0
"""Retries of the budget that a hedge takes, so that hedges end before retries do."""

LOST_SECONDS = 1.5
"""Seconds without an answer to any poll after which a target's attempts are started elsewhere."""

STUCK_SECONDS = 1.0
"""Seconds for which requests wait at an engine that runs none before they are taken back."""

MOST_RETRIES = 8
"""Retries of one call, at most."""

BACKOFF_FIRST = 0.05
"""Seconds before the first retry, at the middle of its jitter."""

BACKOFF_MOST = 5.0
"""Seconds that a backoff reaches at most."""


class RetryBudget:
    """A budget of retries as a share of live traffic."""

    def __init__(self) -> None:
        self._tokens = RETRY_FLOOR

    def admitted(self) -> None:
        """Count an admitted call."""
        self._tokens = min(RETRY_FLOOR, self._tokens + RETRY_SHARE)

    def take(self, cost: float = 1.0) -> bool:
        """Take retries out of the budget and return whether there were as many."""
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True


def hedge_after(expected: float) -> float:
    """Return the seconds without a first token after which a call is hedged.

    Args:
        expected: Seconds to the first token that were expected.
    """
    return max(HEDGE_LEAST, HEDGE_FACTOR * expected)


def backoff(retry: int, *, random: Random) -> float:
    """Return the seconds to wait before a retry.

    Args:
        retry: Counts retries of the call from 1.
        random: The source of the jitter.
    """
    most = min(BACKOFF_MOST, BACKOFF_FIRST * 2.0**retry)
    return random.uniform(0.25, 1.0) * most
