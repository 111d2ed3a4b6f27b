"""Timers of an attempt that waits for its first token: its priority rises, and it may be hedged."""

from azureswitch.core import Effect
from azureswitch.serving._choice import Choice
from azureswitch.serving._effects import PrioritizeAttempt
from azureswitch.serving._length import Level, ageing_period, priority
from azureswitch.serving._retries import hedge_delay
from azureswitch.serving._state import ServingState
from azureswitch.serving.calls import Attempt, CallRecord, TimerKind


def set_aging_timer(
    state: ServingState, record: CallRecord, attempt: Attempt, *, now: float
) -> None:
    """Schedule the next update of an attempt's priority."""
    state.timers.set(
        at=now + ageing_period(record.cost.prefill),
        kind=TimerKind.AGE,
        call=record.call.id,
        attempt=attempt.number,
    )


def set_hedge_timer(state: ServingState, record: CallRecord, choice: Choice, *, now: float) -> None:
    """Schedule a hedge in case the first attempt at a short prompt has no output for long."""
    if record.level is not Level.SHORT or record.attempt_count > 1:
        return
    expected = choice.wait + choice.work.seconds * max(1.0, record.cost.stretch)
    state.timers.set(
        at=now + hedge_delay(expected), kind=TimerKind.HEDGE, call=record.call.id, attempt=1
    )


def age(state: ServingState, record: CallRecord, number: int, *, now: float) -> list[Effect]:
    """Update the priority of an attempt that still waits for its first token."""
    attempt = record.attempts.get(number)
    if attempt is None or attempt.first_token is not None:
        return []
    set_aging_timer(state, record, attempt, now=now)
    attempt_priority = priority(
        record.call,
        state.rules,
        prefill=record.cost.prefill,
        waited=now - record.arrived,
        demoted=state.fairness.exceeds(record.call.customer, now=now),
    )
    if attempt_priority == attempt.priority:
        return []
    attempt.priority = attempt_priority
    return [
        PrioritizeAttempt(
            call=record.call.id, attempt=number, target=name, priority=attempt_priority
        )
        for name in attempt.targets
    ]
