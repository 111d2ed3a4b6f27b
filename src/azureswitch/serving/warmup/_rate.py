"""The rate of requests that a target takes while it is cold and just after."""

from math import log2

RAMP_SECONDS = 1.5
"""Seconds from the end of the cold phase until a target takes any number of requests.

A restored failure domain must carry its share again within 2 s of becoming warm, and hosts learn
of the warm state up to half a second apart.
"""

DOUBLING_SECONDS = 0.5
"""Seconds in which the rate doubles after the cold phase."""


def current_rate(rate: float, *, until: float, now: float) -> float | None:
    """Return the requests per second that a target takes now from all hosts together.

    Args:
        rate: Requests per second that it sustains while it is cold.
        until: When the cold phase ends, in seconds of the host's clock.
        now: The time, on the same clock.

    Returns:
        The rate, or None if it is not limited.
    """
    if now < until:
        return rate
    since = now - until
    return None if since >= RAMP_SECONDS else float(rate * 2.0 ** (since / DOUBLING_SECONDS))


def seconds_until_rate(rate: float, wanted: float, *, until: float, now: float) -> float:
    """Return the seconds until a target takes a wanted rate, or until it is not limited."""
    if rate >= wanted:
        return 0.0
    ramp = min(RAMP_SECONDS, DOUBLING_SECONDS * log2(wanted / rate))
    return max(0.0, until + ramp - now)
