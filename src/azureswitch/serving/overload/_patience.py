"""When a caller gives up on a call."""

from azureswitch.serving._events import Call
from azureswitch.serving._penalties import MIN_PATIENCE_SECONDS, PATIENCE_FACTOR

PAUSE_PATIENCE_FACTOR = 8.0
"""Multiple of its longest pause after which a caller disconnects, if that is later."""


def seconds_until_left(call: Call, *, now: float) -> float:
    """Return the seconds without an event after which the caller has left."""
    gap = max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_FACTOR * call.objective,
        PAUSE_PATIENCE_FACTOR * call.gap_objective,
    )
    return min(call.deadline - now, gap)
