"""What work takes on engines whose pace is published."""

from azureswitch.inventory import EnginePace


def read_seconds(pace: EnginePace, tokens: int) -> float:
    """Return the seconds that one engine needs to read a prompt beside nothing else."""
    return tokens / pace.read_rate + pace.pair * tokens * tokens / 2.0


def pass_seconds(pace: EnginePace) -> float:
    """Return the seconds of a pass in which an engine writes, and reads nothing."""
    return pace.step * pace.stride
