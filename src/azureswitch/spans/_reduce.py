"""The reducer of a run: which step comes next, and what a refusal means."""

from functools import singledispatch

from azureswitch.core import Effects
from azureswitch.exceptions import TargetRefusedError
from azureswitch.spans._model import (
    NEWCOMER_PAUSE,
    POLL_PERIOD,
    Fail,
    Pause,
    Reserve,
    SpanBegan,
    SpanEvent,
    StepDone,
    StepFailed,
)
from azureswitch.spans._state import SpanState


def reduce(state: SpanState, event: SpanEvent) -> Effects:
    """Handle one event.

    Args:
        state: The state, updated in place.
        event: What happened.

    Returns:
        The one effect that comes next.
    """
    return _handle(event, state)


@singledispatch
def _handle(event: SpanEvent, state: SpanState) -> Effects:
    raise NotImplementedError(type(event))


@_handle.register
def _(event: SpanBegan, state: SpanState) -> Effects:
    return _pause(state, state._random.uniform(0.0, NEWCOMER_PAUSE))


@_handle.register
def _(event: StepDone, state: SpanState) -> Effects:
    if state._pausing:
        state._pausing = False
        return (state.effect,)
    if event.address:
        state._addresses.append(event.address)
    state._refused_since = None
    state._next += 1
    return (state.effect,)


@_handle.register
def _(event: StepFailed, state: SpanState) -> Effects:
    refused = isinstance(event.error, TargetRefusedError)
    if not refused or not isinstance(state.effect, Reserve):
        return (Fail(error=event.error),)
    if state._refused_since is None:
        state._refused_since = event.now
    # Memory is kept while more is waited for, always in the order of names, so that no two runs
    # wait for each other; not for long, since it serves nobody meanwhile.
    if event.now >= state._refused_since + state._hold:
        return (Fail(error=event.error),)
    return _pause(state, POLL_PERIOD * state._random.uniform(0.5, 1.5))


def _pause(state: SpanState, seconds: float) -> Effects:
    state._pausing = True
    return (Pause(seconds=seconds),)
