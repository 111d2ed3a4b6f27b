"""When a failed attempt may be followed by another one."""

from random import Random

RETRY_SHARE = 0.1
"""Retries permitted per admitted call."""

RETRY_FLOOR = 20.0
"""Retries permitted beside that, so that a quiet host may still retry."""

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

    def take(self) -> bool:
        """Take one retry out of the budget and return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(retry: int, *, random: Random) -> float:
    """Return the seconds to wait before a retry.

    Args:
        retry: Counts retries of the call from 1.
        random: The source of the jitter.
    """
    most = min(BACKOFF_MOST, BACKOFF_FIRST * 2.0**retry)
    return random.uniform(0.25, 1.0) * most
