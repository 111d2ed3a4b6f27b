"""Chooses the engines that together hold a prompt larger than one engine's memory."""

from azureswitch.core import TargetName
from azureswitch.serving._state import CallRecord, ServingState
from azureswitch.serving._target import TargetState

MORE_MEMBERS = 2
"""Engines over the fewest that a prompt is spread over where memory is short."""

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
    allowed = [
        t for t in usable if state.fleet.accepts_long_prompts(t.target.name, call=call.id, now=now)
    ]
    fewest = max(2, -(-tokens // max(1, int(record.pool.longest * SPAN_FILL))))
    for count in range(fewest, min(len(allowed), fewest + MORE_MEMBERS) + 1):
        fitting = [t for t in allowed if t.free_tokens() >= -(-tokens // count)]
        if len(fitting) >= count:
            state.fleet.release_memory(call.id)
            return tuple(sorted(t.target.name for t in fitting[:count]))
    _save(state, record, allowed, fewest, now=now)
    return None


def _save(
    state: ServingState,
    record: CallRecord,
    allowed: list[TargetState],
    count: int,
    *,
    now: float,
) -> None:
    """Keep long prompts off the engines that are nearest to having room."""
    if not state.fleet.may_reserve_memory(now=now):
        state.fleet.release_memory(record.call.id)
        return
    emptiest = sorted(allowed, key=lambda t: (-t.free_tokens(), t.target.name))[:count]
    saved = [t.target.name for t in emptiest]
    state.fleet.release_memory(record.call.id)
    state.fleet.reserve_memory(saved, call=record.call.id, now=now)
