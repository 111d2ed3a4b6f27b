"""Chooses the engines that together hold a prompt larger than one engine's memory."""

from azureswitch.core import TargetName
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState
from azureswitch.serving._throttling import within_cold_limit
from azureswitch.serving.calls import CallRecord

MAX_EXTRA_ENGINES = 2
"""Maximum engines beyond the minimum that a prompt is spread over if memory is scarce."""

MAX_SPAN_FILL = 0.9
"""Maximum share of an engine's memory that a span may fill."""


def choose_spans(
    state: ServingState, record: CallRecord, *, now: float
) -> tuple[TargetName, ...] | None:
    """Choose the smallest set of engines that can hold equal spans of a prompt now.

    All hosts try the engines in the same order.  Two hosts that compete for a set therefore mostly
    conflict at its first engine, which refuses one of them immediately.

    Returns:
        The engines in order of name, or None if too few have enough memory.
    """
    call = record.call
    tokens = call.prompt_tokens + call.output_tokens
    states = [state.fleet.state(name) for name in record.pool.targets]
    up = [t for t in states if t is not None and t.usable(now)]
    usable = [t for t in up if within_cold_limit(state, t, now=now)]
    usable = [t for t in usable if t.target.name not in record.failed]
    allowed = [
        t for t in usable if state.fleet.accepts_long_prompts(t.target.name, call=call.id, now=now)
    ]
    fewest = max(2, -(-tokens // max(1, int(record.pool.longest * MAX_SPAN_FILL))))
    for count in range(fewest, min(len(allowed), fewest + MAX_EXTRA_ENGINES) + 1):
        fitting = [t for t in allowed if t.free_tokens() >= -(-tokens // count)]
        if len(fitting) >= count:
            state.fleet.release_memory(call.id)
            return tuple(sorted(t.target.name for t in fitting[:count]))
    _reserve(state, record, allowed, fewest, now=now)
    return None


def _reserve(
    state: ServingState,
    record: CallRecord,
    allowed: list[TargetState],
    count: int,
    *,
    now: float,
) -> None:
    """Reserve the engines with the most free memory, so that other long prompts avoid them."""
    if not state.fleet.may_reserve_memory(now=now):
        state.fleet.release_memory(record.call.id)
        return
    most_free = sorted(allowed, key=lambda t: (-t.free_tokens(), t.target.name))[:count]
    reserved = [t.target.name for t in most_free]
    state.fleet.release_memory(record.call.id)
    state.fleet.reserve_memory(reserved, call=record.call.id, now=now)
