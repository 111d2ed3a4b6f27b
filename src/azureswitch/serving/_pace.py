"""Durations of work on engines whose pace is published."""

from azureswitch.inventory import EnginePace


def read_seconds(pace: EnginePace, tokens: int) -> float:
    """Return the seconds that one otherwise idle engine takes to prefill a prompt."""
    return tokens / pace.read_rate + pace.pair * tokens * tokens / 2.0


def pass_seconds(pace: EnginePace) -> float:
    """Return the seconds of a decode pass without prefill."""
    return pace.step * pace.stride
