"""Chooses the engines that together hold a prompt larger than one engine's memory."""

from azureswitch.core import TargetName
from azureswitch.serving._state import CallRecord, ServingState

SPAN_FILL = 0.9
"""Share of an engine's memory that a span may fill."""


def choose_spans(
    state: ServingState, record: CallRecord, *, now: float
) -> tuple[TargetName, ...] | None:
    """Choose as few engines as can hold equal spans of a prompt now.

    All hosts go through the engines in the same order, so that two that reach for a set at the
    same time mostly meet at its first engine, where one of them is refused at once.

    Returns:
        The engines in order of name, or None where too few have room.
    """
    call = record.call
    tokens = call.prompt_tokens + call.output_tokens
    states = [state.fleet.state(name) for name in record.pool.targets]
    usable = [t for t in states if t is not None and t.usable(now)]
    usable = [t for t in usable if t.target.name not in record.failed]
    fewest = max(2, -(-tokens // max(1, int(record.pool.longest * SPAN_FILL))))
    for count in range(fewest, len(usable) + 1):
        span = -(-tokens // count)
        fitting = [t for t in usable if t.free_tokens() >= span]
        if len(fitting) >= count:
            return tuple(sorted(t.target.name for t in fitting[:count]))
    return None
