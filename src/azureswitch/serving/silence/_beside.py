"""Starts another attempt beside those of a call that are silent."""

from azureswitch.core import Effect
from azureswitch.serving._choice import Choice
from azureswitch.serving._dispatch import lane_of, start_attempt
from azureswitch.serving._effects import Observation
from azureswitch.serving._ending import observe
from azureswitch.serving._penalties import patience_seconds
from azureswitch.serving._retries import MAX_RETRIES, max_backoff, retry_delay
from azureswitch.serving._routing import choose
from azureswitch.serving._state import ServingState
from azureswitch.serving.calls import CallRecord, TimerKind


def may_follow(state: ServingState, record: CallRecord, *, now: float, runs: int = 1) -> bool:
    """Return whether another attempt is permitted besides ``runs`` running ones.

    Args:
        state: The state.
        record: The call.
        now: The time, in seconds of the monotonic clock.
        runs: Attempts that are running or are being cancelled now.
    """
    pause = max_backoff(record.retry_count + 1)
    in_time = now + pause < state.ends_by(record.call)
    more_retries = record.retry_count < MAX_RETRIES and state.retries.permits()
    held_back = state.crashes.hold(record.call, now=now) is not None
    return record.may_run_beside(runs) and in_time and more_retries and not held_back


def start_beside(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Start another attempt of a call whose attempts are all silent, if it can be sent at once.

    The silent ones go on, as the new one may still be refused or fail.
    """
    running = record.attempts.values()
    if not running or not all(attempt.silent for attempt in running):
        return []
    if not may_follow(state, record, now=now, runs=len(running)):
        return []
    if not state.retries.permits_hedge():
        return []
    choice = choose_other(state, record, now=now)
    if choice is None or _comes_too_late(record, choice, now=now):
        return []
    record.retry_count += 1
    state.retries.take()
    return [observe(record, Observation.RETRIED), *start_attempt(state, record, choice, now=now)]


def _comes_too_late(record: CallRecord, choice: Choice, *, now: float) -> bool:
    """Return whether the caller would probably leave before the first output of an attempt.

    Nothing is known of the patience of callers whose route has no objective, nor of one that has
    stayed for longer.
    """
    if not record.call.objective:
        return False
    silence = now - record.heard_at
    patience = patience_seconds(record.call)
    return silence <= patience < silence + choice.first_token


def retry_beside(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Start a further attempt beside silent ones after another one has failed.

    It is started at once or after a backoff, like a retry.
    """
    delay = retry_delay(record.call, record.retry_count, random=state.random)
    if not delay:
        return start_beside(state, record, now=now)
    state.timers.set(at=now + delay, kind=TimerKind.BESIDE, call=record.call.id)
    return []


def choose_other(state: ServingState, record: CallRecord, *, now: float) -> Choice | None:
    """Return where a call would be sent at once beside its attempts, or None for nowhere.

    The targets of its attempts are left out, but for those that have restarted since.
    """
    if any(True for _ in state.queue.customers(lane_of(record))):
        return None
    running = {
        name
        for attempt in record.attempts.values()
        for name in attempt.targets
        if name not in attempt.restarted
    }
    added = running - record.failed
    record.failed.update(added)
    choice = choose(state, record, now=now)
    record.failed.difference_update(added)
    if choice is None or running.intersection(choice.targets):
        return None
    return choice
