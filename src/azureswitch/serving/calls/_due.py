"""What is due when the timer of a call fires."""

from azureswitch.core import Effect
from azureswitch.serving._ageing import age
from azureswitch.serving._dispatch import dispatch, hedge
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import end_expired, end_unfinishable
from azureswitch.serving.calls._records import CallRecord, Phase
from azureswitch.serving.calls._timers import Timer, TimerKind
from azureswitch.serving.silence._beside import start_beside


def handle_timer(
    state: ServingState, record: CallRecord, timer: Timer, *, now: float
) -> list[Effect]:
    """Do what a timer was set for, unless the call has left the state that it was set for."""
    if timer.kind is TimerKind.DEADLINE:
        return end_expired(state, record, now=now)
    if timer.kind is TimerKind.LATEST_START and record.phase is Phase.WAITING:
        return end_unfinishable(state, record, now=now)
    if timer.kind is TimerKind.RETRY and record.phase is Phase.BACKING_OFF:
        return dispatch(state, record, now=now)
    if timer.kind is TimerKind.BESIDE:
        return start_beside(state, record, now=now)
    if timer.kind is TimerKind.HEDGE:
        return hedge(state, record, timer.attempt, now=now)
    if timer.kind is TimerKind.AGE:
        return age(state, record, timer.attempt, now=now)
    return []
