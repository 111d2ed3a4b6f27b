"""Cost functions for a choice of engines: lateness of the call and pauses of other streams.

The unit of all costs is one late short stream.  An engine prefills a prompt within its decode
passes, so that every stream on it pauses for as long; this matters if many long prompts share
engines with many short streams.
"""

from math import inf

from msgspec import Struct

from azureswitch.core import ServiceName
from azureswitch.inventory import EnginePace
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._pace import pass_seconds

ON_TIME_SHARE = 0.7
"""Share of the first-token objective up to which a predicted first token counts as on time."""

SAFE_PAUSE_SHARE = 0.85
"""Share of a stream's pause objective up to which a predicted pause costs nothing."""

LATE_CREDIT_SHARE = 0.25
"""Share of its credit that a late answer keeps."""

ABANDONED_COST = 1.0
"""Additional cost, beside lateness, of a caller that disconnects before the first token.

It covers the remaining credit and the wasted work.
"""

MIN_PATIENCE_SECONDS = 2.0
"""Minimum seconds without a first token after which callers disconnect."""

PATIENCE_FACTOR = 4.0
"""Multiple of its first-token objective after which a caller disconnects, above that minimum."""

PAUSE_PATIENCE_FACTOR = 8.0
"""Multiple of its pause objective after which a caller disconnects, above that minimum."""

SAFE_PATIENCE_SHARE = 0.5
"""Share of the time until the caller disconnects up to which a first token carries no risk."""

LATENCY_WEIGHT = 0.1
"""Weight of latency, measured as a share of the objective, relative to being on time."""

SHORT_STREAM_TOKENS = 10_000
"""Prompt tokens of a long prompt that weigh as much as one short stream."""

PAUSE_TTL_SECONDS = 60.0
"""Seconds after which a pause objective expires that no call has declared since.

Routes and their objectives change at run time.
"""


class PauseLimits(Struct, frozen=True, kw_only=True):
    """Longest pauses, in seconds, with which streams are on time; infinite if not known.

    Attributes:
        short: Streams of short prompts.
        long: Streams of longer ones.
    """

    short: float = inf
    long: float = inf


class PauseTracker:
    """Tracks the tightest pause objectives that recent calls of each service have declared.

    Routes declare the objectives.  A host has no other information on how much prefill the streams
    of its peers tolerate.
    """

    def __init__(self) -> None:
        self._declared_at: dict[tuple[ServiceName, bool], dict[float, float]] = {}

    def observe(self, call: Call, *, short: bool, now: float) -> None:
        """Record the pause objective of a call."""
        if call.gap_objective:
            self._declared_at.setdefault((call.service, short), {})[call.gap_objective] = now

    def limits(self, service: ServiceName, *, now: float) -> PauseLimits:
        """Return the tightest pause objectives of a service, for short and long prompts."""
        return PauseLimits(
            short=self._tightest(service, short=True, now=now),
            long=self._tightest(service, short=False, now=now),
        )

    def tightest(self, service: ServiceName, *, now: float) -> float:
        """Return the tightest pause objective of a service, in seconds; infinite if not known."""
        limits = self.limits(service, now=now)
        return min(limits.short, limits.long)

    def _tightest(self, service: ServiceName, *, short: bool, now: float) -> float:
        declared_at = self._declared_at.get((service, short), {})
        return min(
            (gap for gap, at in declared_at.items() if now - at <= PAUSE_TTL_SECONDS), default=inf
        )


def patience_seconds(call: Call) -> float:
    """Return the seconds without output after which the caller of a stream disconnects."""
    return max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_FACTOR * call.objective,
        PAUSE_PATIENCE_FACTOR * call.gap_objective,
    )


def lateness_cost(call: Call, first: float, *, now: float) -> float:
    """Return the expected loss from a late first token, as a share of a call's credit and work."""
    left = min(call.deadline - now, max(MIN_PATIENCE_SECONDS, PATIENCE_FACTOR * call.objective))
    lost = (1.0 - LATE_CREDIT_SHARE) * _ramp(first, ON_TIME_SHARE * call.objective, call.objective)
    return lost + ABANDONED_COST * _ramp(first, SAFE_PATIENCE_SHARE * left, left)


def latency_cost(call: Call, first: float) -> float:
    """Return the cost of the latency itself, also within the objective.

    Without an objective the latency is measured in seconds instead of objectives.
    """
    return LATENCY_WEIGHT * first / call.objective if call.objective else LATENCY_WEIGHT * first


def long_weight(tokens: int) -> float:
    """Return the weight of a long prompt, in short streams."""
    return tokens / SHORT_STREAM_TOKENS


def pause_cost(
    occupancy: Occupancy, pace: EnginePace, *, reading: float, pauses: PauseLimits
) -> float:
    """Return the cost of additional prefill on an engine to the streams that it serves.

    Args:
        occupancy: The present occupancy of the engine.
        pace: The engine's pace.
        reading: Seconds of prefill to be added.
        pauses: Longest pauses that streams tolerate.
    """
    pause = pass_seconds(pace) + occupancy.reading + occupancy.short_reading + reading
    cost = occupancy.streams * _late_share(pause, pauses.short)
    if occupancy.long_streams:
        lost = (1.0 - LATE_CREDIT_SHARE) * long_weight(occupancy.tokens)
        cost += lost * _late_share(pause, pauses.long)
    return cost


def _late_share(pause: float, bound: float) -> float:
    return 0.0 if bound == inf else _ramp(pause, SAFE_PAUSE_SHARE * bound, bound)


def _ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to ``low``, 1 from ``high`` on, and a linear interpolation in between."""
    if value <= low:
        return 0.0
    return 1.0 if value >= high else (value - low) / (high - low)
