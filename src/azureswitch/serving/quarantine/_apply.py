"""Announces quarantines, and ends the calls that they concern."""

from functools import partial

from azureswitch.core import Effect
from azureswitch.serving._effects import AnnounceQuarantine
from azureswitch.serving._ending import run_step
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import end_quarantined
from azureswitch.serving.calls import Phase


def begin_quarantines(state: ServingState, *, now: float) -> list[Effect]:
    """Announce changed quarantines, and end quarantined calls that wait to be sent."""
    changes = state.crashes.pop_changes(now=now)
    if not changes:
        return []
    effects: list[Effect] = [AnnounceQuarantine(change=change) for change in changes]
    for record in list(state.calls.values()):
        waiting = record.phase in (Phase.WAITING, Phase.BACKING_OFF)
        seconds = state.crashes.quarantine_seconds(record.call, now=now) if waiting else 0.0
        if seconds:
            step = partial(end_quarantined, state, record, seconds=seconds, now=now)
            effects += run_step(state, record, step, now=now)
    return effects
