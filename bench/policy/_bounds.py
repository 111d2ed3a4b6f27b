"""The regression bounds of the policy benchmark.

A bound is the aim where the policy meets it with room to spare, and else what was measured with
about a fifth added, since a change of one decision moves the others' arrivals a little.  The note
on the benchmark lists the aims beside the figures.
"""

from bench.records import Direction

Bound = tuple[float, Direction]

_MOST, _LEAST = Direction.AT_MOST, Direction.AT_LEAST

BOUNDS: dict[str, Bound] = {
    "cascade.short_slowdown_p95": (1.35, _MOST),
    "cascade.ttft_p95.1k": (0.40, _MOST),
    "cascade.ttft_p95.10k": (1.75, _MOST),
    "cascade.ttft_p95.100k": (36.0, _MOST),
    "cascade.ttft_p95.1m": (95.0, _MOST),
    "cascade.peak_ttft_p95.under_100k": (1.4, _MOST),
    "cascade.peak_token_interval_p95": (0.066, _MOST),
    "cascade.long_finished": (0.97, _LEAST),
    "cascade.long_stretch_p50": (1.6, _MOST),
    "cascade.fairness_jain": (0.97, _LEAST),
    "cascade.flood_ttft_ratio": (1.8, _MOST),
    "cascade.overload_goodput": (0.95, _LEAST),
    "cascade.half_deaths.recovery": (10.0, _MOST),
    "cascade.half_deaths.attempts": (1.3, _MOST),
    "cascade.violations": (0.0, _MOST),
    "ruamjai.short_slowdown_p95": (1.35, _MOST),
    "ruamjai.ttft_p95.1k": (0.46, _MOST),
    "ruamjai.ttft_p95.10k": (1.9, _MOST),
    "ruamjai.ttft_p95.100k": (32.0, _MOST),
    "ruamjai.ttft_p95.1m": (125.0, _MOST),
    "ruamjai.peak_ttft_p95.under_100k": (1.75, _MOST),
    "ruamjai.peak_token_interval_p95": (0.066, _MOST),
    "ruamjai.long_finished": (0.97, _LEAST),
    "ruamjai.long_stretch_p50": (1.6, _MOST),
    "ruamjai.fairness_jain": (0.95, _LEAST),
    "ruamjai.flood_ttft_ratio": (1.3, _MOST),
    "ruamjai.overload_goodput": (0.95, _LEAST),
    "ruamjai.half_deaths.recovery": (10.0, _MOST),
    "ruamjai.half_deaths.attempts": (1.3, _MOST),
    "ruamjai.violations": (0.0, _MOST),
}
"""Bounds by record."""
