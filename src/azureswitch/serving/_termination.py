"""Ends calls that are not sent again, with an error that states whether they may have run."""

from azureswitch.core import Effect
from azureswitch.exceptions import (
    AzureswitchError,
    DeadlineExceededBeforeRunError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    HostStoppedError,
    LeavingError,
    NoTargetError,
    OutcomeLostError,
    QuarantinedError,
    RefusedError,
    RetriesExhaustedError,
)
from azureswitch.serving._effects import ClaimOutcome
from azureswitch.serving._ending import finish
from azureswitch.serving._retries import backoff
from azureswitch.serving._state import ServingState
from azureswitch.serving._throttling import all_limited, limit_reached
from azureswitch.serving.calls import CallRecord


def give_up(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call that may not be retried, with an error that says when the caller may retry."""
    seconds = backoff(record.retry_count + 3, random=state.random)
    return end_refused(state, record, NoTargetError(seconds=seconds), now=now)


def end_quarantined(
    state: ServingState, record: CallRecord, *, seconds: float, now: float
) -> list[Effect]:
    """End a call because targets crashed while running it, or prompts with one of its parts.

    It is sent to no other target.

    Args:
        state: The state.
        record: The call.
        seconds: Seconds after which the caller may try again.
        now: The time, in seconds of the monotonic clock.
    """
    return end_refused(state, record, QuarantinedError(seconds=seconds), now=now)


def end_limited(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call that gets no permit in time, as all of its targets have a rate limit."""
    return end_refused(state, record, limit_reached(state, record.pool, now=now), now=now)


def end_refused(
    state: ServingState, record: CallRecord, refusal: RefusedError, *, now: float
) -> list[Effect]:
    """End a call with a refusal if it has not run, and else with a failure.

    Both carry the same time after which the caller may retry.
    """
    if not record.may_have_run:
        return finish(state, record, error=refusal, outcome=ClaimOutcome.NOT_RUN, now=now)
    error = RetriesExhaustedError(attempts=record.attempt_count, seconds=refusal.seconds)
    return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)


def end_expired(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call at its deadline."""
    if record.attempts or record.may_have_run:
        error: AzureswitchError = DeadlineExceededError()
        return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
    error = DeadlineExceededBeforeRunError()
    return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)


def end_unfinishable(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a queued call that can no longer finish in time or has been queued for too long."""
    if record.may_have_run:
        return give_up(state, record, now=now)
    if all_limited(state, record.pool, now=now):
        return end_limited(state, record, now=now)
    error = DeadlineUnreachableError(seconds=backoff(5, random=state.random))
    return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)


def end_stopped(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call that is still open when this host stops."""
    seconds = backoff(1, random=state.random)
    if not record.attempts and not record.may_have_run:
        error: AzureswitchError = LeavingError(seconds=seconds)
        return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)
    error = HostStoppedError(seconds=seconds) if record.call.repeatable else OutcomeLostError()
    return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
