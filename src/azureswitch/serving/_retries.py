"""Retry budget, backoff, hedging delay and silence timeouts of attempts."""

from math import inf
from random import Random

from msgspec import Struct

from azureswitch.serving._events import Call

RETRY_SHARE = 0.1
"""Retries that each admitted call adds to the budget."""

RETRY_BURST = 20.0
"""Retries permitted beyond that share, so that a host with little traffic can still retry."""

HEDGE_DELAY_FACTOR = 5.0
"""Delay before a short prompt is hedged, as a multiple of its expected time to first token."""

MIN_HEDGE_DELAY_SECONDS = 2.0
"""Lower bound of the delay before a hedge."""

HEDGE_COST = 2.0
"""Retries that a hedge takes from the budget, so that hedging stops before retries do."""

LOST_SECONDS = 1.5
"""Seconds without an answer to any poll after which a target's attempts move to other targets."""

STUCK_SECONDS = 1.0
"""Seconds after which requests waiting at an engine that runs none are withdrawn from it."""

MAX_RETRIES = 8
"""Upper bound of the retries of one call."""

BASE_BACKOFF_SECONDS = 0.05
"""Base of the exponential backoff; its upper bound is twice this before the first retry."""

MAX_BACKOFF_SECONDS = 5.0
"""Upper bound of any backoff."""

MIN_BURST = 1.0
"""Retries that any host can accumulate; with a burst below one it could otherwise never retry."""


class RetryBudget:
    """A retry budget in proportion to live traffic.

    The budget counts the retries taken, and each admitted call lowers the count.  The count is
    kept when the burst of this host changes, so that a host which learns how many hosts share the
    fleet's burst has its part of it at once, less what it has taken already, and that a host
    which has just started cannot spend more than its part before it knows of the others.

    Args:
        share: Retries that each admitted call adds to the budget.
        burst: Retries permitted beyond that on this host.
        fleet_burst: Retries permitted beyond that on all hosts together, or None.  `set_hosts`
            divides them evenly and puts this host's part in place of ``burst``.
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
        """Divide the burst of the fleet among ``count`` hosts."""
        if self._fleet_burst is not None:
            self._burst = self._fleet_burst / max(1, count)

    def admitted(self) -> None:
        """Count an admitted call."""
        # Negative only where the burst is below MIN_BURST, to which the host may then accumulate.
        floor = min(0.0, self._burst - MIN_BURST)
        self._taken = max(floor, self._taken - self._share)

    @property
    def left(self) -> float:
        """Retries that the budget holds."""
        return self._burst - self._taken

    def permits(self, cost: float = 1.0) -> bool:
        """Return whether the budget holds ``cost`` retries."""
        return self.left >= cost

    def permits_hedge(self) -> bool:
        """Return whether a retry may be spent on a call whose attempts have not failed.

        The last one is kept for calls whose attempts have, unless the budget never holds two.
        """
        return self.left >= min(HEDGE_COST, max(MIN_BURST, self._burst))

    def take(self, cost: float = 1.0) -> bool:
        """Take ``cost`` retries from the budget; return False and take none if it holds fewer."""
        if not self.permits(cost):
            return False
        self._taken += cost
        return True


MIN_FIRST_OUTPUT_SECONDS = 0.8
"""Lower bound of the timeout for the first output of an attempt.

Callers disconnect after 2 s, so that another target must be tried well before that.
"""

FIRST_OUTPUT_FACTOR = 3.0
"""Timeout for the first output, as a multiple of the predicted time to first token."""

MIN_OUTPUT_GAP_SECONDS = 1.2
"""Lower bound of the timeout between two outputs of an attempt.

An engine pass that prefills a part of another, long prompt delays outputs by 0.5 s; callers
disconnect after 2 s.
"""

OUTPUT_GAP_FACTOR = 3.0
"""Timeout between two outputs, as a multiple of the call's objective for such gaps."""


class SilenceTimeouts(Struct, frozen=True, kw_only=True):
    """How long an attempt may be silent, in seconds, before another target is tried.

    Attributes:
        first: Timeout for its first output.
        gap: Timeout between two outputs.
    """

    first: float = inf
    gap: float = inf


def silence_timeouts(call: Call, *, first_token: float) -> SilenceTimeouts:
    """Return how long an attempt may be silent before another target is tried.

    Args:
        call: The call.  One that must not run twice has no timeouts.
        first_token: Predicted seconds to the first token, or zero where there is no prediction,
            and then there are no timeouts either.
    """
    if not call.repeatable or not first_token:
        return SilenceTimeouts()
    first = max(MIN_FIRST_OUTPUT_SECONDS, FIRST_OUTPUT_FACTOR * first_token)
    return SilenceTimeouts(
        first=first, gap=max(MIN_OUTPUT_GAP_SECONDS, OUTPUT_GAP_FACTOR * call.gap_objective)
    )


MIN_QUEUE_SECONDS = 0.5
"""Lower bound, in seconds, of the queue time of a call that its caller can send to another host.

It leaves time for a failed target to be replaced.
"""

QUEUE_OBJECTIVE_SHARE = 0.25
"""The same queue time as a share of the call's objective for its first output.

Waiting here for longer would count against the objective.
"""


def max_queue_seconds(call: Call) -> float:
    """Return the most seconds in the queue for a call that its caller can send to another host."""
    return max(MIN_QUEUE_SECONDS, QUEUE_OBJECTIVE_SHARE * call.objective)


def hedge_delay(expected: float) -> float:
    """Return the seconds without a first token after which a call is hedged.

    Args:
        expected: Expected seconds to the first token.
    """
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FACTOR * expected)


def backoff(retry: int, *, random: Random) -> float:
    """Return the seconds to wait before a retry, with jitter.

    Args:
        retry: Number of the retry, counted from 1 for each call.
        random: The source of the jitter.
    """
    return random.uniform(0.25, 1.0) * max_backoff(retry)


def retry_delay(call: Call, retry: int, *, random: Random) -> float:
    """Return the seconds to wait before a retry of a call.

    The first retry of a call with an objective is sent at once: a backoff of 25 to 100 ms is too
    long for its time to first output and for the gaps in its stream.

    Args:
        call: The call.
        retry: Number of the retry, counted from 1.
        random: The source of the jitter.
    """
    return 0.0 if retry == 1 and call.objective else backoff(retry, random=random)


def max_backoff(retry: int) -> float:
    """Return the upper bound of the backoff before a retry; retries are numbered from 1."""
    return min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2.0**retry)
