"""What a choice of engines costs: the call itself, and those whose streams are written there.

All costs are in units of one short stream that is late.  They answer the load in which many long
prompts meet many short streams: an engine reads a prompt inside the passes in which it writes, so
that each stream there pauses for as long.
"""

from math import inf

from msgspec import Struct

from azureswitch.core import ServiceName
from azureswitch.inventory import EnginePace
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._pace import pass_seconds

ON_TIME_SHARE = 0.7
"""Share of the objective up to which a predicted first token counts as on time."""

SAFE_PAUSE = 0.85
"""Share of the pause that a stream bears up to which a predicted one does no harm."""

LATE_CREDIT = 0.25
"""Share of its credit that a late answer keeps."""

UNFINISHED = 1.0
"""What it costs beside being late that a caller leaves before the first token.

It is the rest of the credit and the work done in vain.
"""

LEAVE_LEAST = 2.0
"""Seconds without a first token after which callers leave, at least."""

LEAVE_FACTOR = 4.0
"""Times its objective after which a caller leaves."""

SAFE_SHARE = 0.5
"""Share of the time until its caller leaves up to which a first token is safe to come in time."""

HASTE = 0.1
"""Weight of being early at all, beside that of being on time."""

SHORT_TOKENS = 10_000
"""Prompt tokens that weigh as much as one short stream: the worth of long work by its length."""

PAUSE_MEMORY = 60.0
"""Seconds for which a pause that some call bears is remembered: routes change now and then."""


class PauseLimits(Struct, frozen=True, kw_only=True):
    """For how long streams may pause and still be on time, in seconds; infinity where not known.

    Attributes:
        short: Streams of short prompts.
        long: Streams of longer ones.
    """

    short: float = inf
    long: float = inf


class PauseTracker:
    """The tightest pauses that calls of each service have asked for lately.

    Routes declare them.  Nothing else tells how much reading the streams of a peer bear.
    """

    def __init__(self) -> None:
        self._seen: dict[tuple[ServiceName, bool], dict[float, float]] = {}

    def observe(self, call: Call, *, short: bool, now: float) -> None:
        """Note the pause that a call bears."""
        if call.gap_objective:
            self._seen.setdefault((call.service, short), {})[call.gap_objective] = now

    def bounds(self, service: ServiceName, *, now: float) -> PauseLimits:
        """Return the tightest pauses of a service's calls."""
        return PauseLimits(
            short=self._tightest(service, short=True, now=now),
            long=self._tightest(service, short=False, now=now),
        )

    def tightest(self, service: ServiceName, *, now: float) -> float:
        """Return the tightest pause of all of a service's calls, in seconds."""
        bounds = self.bounds(service, now=now)
        return min(bounds.short, bounds.long)

    def _tightest(self, service: ServiceName, *, short: bool, now: float) -> float:
        seen = self._seen.get((service, short), {})
        return min((gap for gap, at in seen.items() if now - at <= PAUSE_MEMORY), default=inf)


def lateness(call: Call, first: float, *, now: float) -> float:
    """Return what a predicted first token loses, as a share of a call's credit and work."""
    left = min(call.deadline - now, max(LEAVE_LEAST, LEAVE_FACTOR * call.objective))
    lost = (1.0 - LATE_CREDIT) * _ramp(first, ON_TIME_SHARE * call.objective, call.objective)
    return lost + UNFINISHED * _ramp(first, SAFE_SHARE * left, left)


def haste(call: Call, first: float) -> float:
    """Return what it is worth to be early at all."""
    return HASTE * first / call.objective if call.objective else HASTE * first


def weight(tokens: int) -> float:
    """Return the worth of long work, in short streams."""
    return tokens / SHORT_TOKENS


def harm(there: Occupancy, pace: EnginePace, *, reading: float, pauses: PauseLimits) -> float:
    """Return what it costs the streams at an engine that it reads for so much longer.

    Args:
        there: What the engine has.
        pace: How fast it works.
        reading: Seconds of reading to be added.
        pauses: For how long streams may pause.
    """
    pause = pass_seconds(pace) + there.reading + there.short_reading + reading
    cost = there.streams * _late_share(pause, pauses.short)
    if there.long_streams:
        lost = (1.0 - LATE_CREDIT) * weight(there.tokens)
        cost += lost * _late_share(pause, pauses.long)
    return cost


def _late_share(pause: float, bound: float) -> float:
    return 0.0 if bound == inf else _ramp(pause, SAFE_PAUSE * bound, bound)


def _ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to a low value, 1 from a high one on, and the share of the way between them."""
    if value <= low:
        return 0.0
    return 1.0 if value >= high else (value - low) / (high - low)
