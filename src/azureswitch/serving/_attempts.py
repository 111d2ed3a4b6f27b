"""Outcomes of attempts: first tokens, completion, failures and retries."""

from azureswitch.core import Effect, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    OutcomeLostError,
    PathLostError,
    Ran,
    RetriesExhaustedError,
    TargetBrokenError,
    TargetEvacuatedError,
    TargetUnreachableError,
)
from azureswitch.serving._dispatch import dispatch, drain_all
from azureswitch.serving._effects import (
    ClaimOutcome,
    Observation,
)
from azureswitch.serving._ending import (
    finish,
    observe,
    release,
)
from azureswitch.serving._events import AttemptEnd, AttemptEnded, TokensArrived
from azureswitch.serving._fleet import MAX_EJECTION_SECONDS, MAX_UNSHARED_EJECTION_SECONDS
from azureswitch.serving._retries import (
    MAX_RETRIES,
    retry_delay,
)
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import end_quarantined, give_up
from azureswitch.serving.calls import Attempt, CallRecord, Phase, TimerKind
from azureswitch.serving.quarantine import ONSET_SECONDS
from azureswitch.serving.silence._apply import go_on
from azureswitch.serving.silence._beside import retry_beside

MIN_COST_SAMPLE_SECONDS = 0.001
"""Seconds to the first token up to which an answer was cached and is no sample of the cost."""


def record_first_token(
    state: ServingState, record: CallRecord, number: int, *, now: float
) -> list[Effect]:
    """Record output of an attempt, most of all its first, and cancel the call's other attempts."""
    attempt = record.attempts.get(number)
    if attempt is None:
        return []
    effects = go_on(state, record, attempt, now=now)
    if attempt.first_token is not None:
        _record_output(state, record, attempt, now=now)
        return effects
    attempt.first_token = now
    state.crashes.refute(attempt.target_start, sent=attempt.started)
    state.fleet.prefilled(attempt.counted, work=attempt.work)
    state.ledger.read(call=record.call.id, attempt=number)
    alone = attempt.alone and not attempt.restarted
    if alone and now - attempt.started > MIN_COST_SAMPLE_SECONDS:
        state.costs.observe_first_token(
            call=record.call,
            target=attempt.targets[0],
            cached_tokens=attempt.cached_tokens,
            seconds=now - attempt.started,
        )
    if record.first_token is None:
        record.first_token = now
        state.costs.observe_stretch(
            call=record.call, expected=attempt.work.seconds, seconds=now - attempt.started
        )
        effects += _observe_first_token(record, now=now)
    return effects + drain_all(state, now=now)


def _record_output(
    state: ServingState, record: CallRecord, attempt: Attempt, *, now: float
) -> None:
    """Record that the output of an attempt continues, which speaks for what it runs."""
    if not attempt.continued and attempt.output_seconds(now) >= ONSET_SECONDS:
        attempt.continued = True
        state.crashes.output_continues(record.call)


def _observe_first_token(record: CallRecord, *, now: float) -> list[Effect]:
    waited = now - record.arrived
    effects: list[Effect] = [observe(record, Observation.FIRST_TOKEN, waited)]
    if record.cost.prefill > 0.0:
        effects.append(observe(record, Observation.SLOWDOWN, waited / record.cost.prefill))
    return effects


def record_progress(record: CallRecord, event: TokensArrived) -> None:
    """Record how many output tokens a call has."""
    if event.attempt in record.attempts:
        record.tokens = max(record.tokens, event.tokens)


def handle_attempt_end(
    state: ServingState, record: CallRecord, event: AttemptEnded
) -> list[Effect]:
    """Finish or retry a call after one of its attempts has ended."""
    # A cancelled attempt, no longer in the record, also reports how many tokens the caller has.
    record.tokens = max(record.tokens, event.tokens)
    attempt = record.attempts.pop(event.attempt, None)
    if attempt is None:
        return []
    now = event.now
    release(state, record, attempt)
    if event.end is AttemptEnd.COMPLETE:
        effects = _complete(state, record, attempt, event)
    elif event.end is AttemptEnd.REJECTED:
        effects = _rejected(state, record, event)
    elif isinstance(event.error, TargetEvacuatedError):
        # Nothing was sent, so that the target is not charged.
        effects = _send_again(state, record, now=now)
    elif isinstance(event.error, TargetUnreachableError) and not event.error.witnessed:
        effects = _find_other_target(state, record, attempt, event.error, now=now)
    else:
        effects = _failed(state, record, attempt, event)
    return effects + drain_all(state, now=now)


def _find_other_target(
    state: ServingState,
    record: CallRecord,
    attempt: Attempt,
    error: TargetUnreachableError,
    *,
    now: float,
) -> list[Effect]:
    """Send a call elsewhere whose target no path of this host leads to.

    Nothing was sent, so that the retry budget is not charged, and nothing is known of the target,
    so that other hosts are not told.
    """
    target = attempt.targets[0]
    state.fleet.lose_paths(record.pool.targets if error.isolated else (target,), now=now)
    if not error.isolated:
        mark_failed(state, record, target, tell=False, now=now)
    return _send_again(state, record, now=now)


def _send_again(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Send a call again whose last attempt was not sent, or start another beside silent ones.

    Only the latter is charged to the retry budget.
    """
    if record.attempts:
        return retry_beside(state, record, now=now)
    return dispatch(state, record, now=now)


def _complete(
    state: ServingState, record: CallRecord, attempt: Attempt, event: AttemptEnded
) -> list[Effect]:
    for target in attempt.counted:
        state.fleet.succeeded(target)
    state.crashes.answered(record.call)
    since = attempt.started if attempt.first_token is None else attempt.first_token
    if record.attempt_count == 1:
        state.costs.observe_end(call=record.call, tokens=event.tokens, seconds=event.now - since)
    _correct_charge(state, record, event)
    return finish(state, record, error=None, outcome=ClaimOutcome.DONE, now=event.now)


def _correct_charge(state: ServingState, record: CallRecord, event: AttemptEnded) -> None:
    """Replace the predicted cost that the customer was charged with the actual cost."""
    call = record.call
    if not call.model:
        return
    prefill = state.costs.prefill_seconds(
        model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=event.cached_tokens
    )
    decode = state.costs.decode_seconds(event.tokens)
    state.fairness.charge(call.customer, prefill + decode - record.cost.total, now=event.now)


def _rejected(state: ServingState, record: CallRecord, event: AttemptEnded) -> list[Effect]:
    error: AzureswitchError | None = event.error
    others_ran = record.may_have_run or bool(record.attempts)
    if error is None or (error.ran is Ran.NOT_RUN and others_ran):
        error = RetriesExhaustedError(attempts=record.attempt_count)
    not_run = error.ran is Ran.NOT_RUN
    outcome = ClaimOutcome.NOT_RUN if not_run else ClaimOutcome.UNKNOWN
    return finish(state, record, error=error, outcome=outcome, now=event.now)


def _failed(
    state: ServingState, record: CallRecord, attempt: Attempt, event: AttemptEnded
) -> list[Effect]:
    now = event.now
    refused = event.end is AttemptEnd.REFUSED
    record.may_have_run = record.may_have_run or not refused
    record.run_count += 0 if refused else 1
    _record_failure(state, record, attempt, event)
    if isinstance(event.error, TargetBrokenError):
        state.crashes.record_crash(
            record.call,
            attempt.target_start,
            now=now,
            output_seconds=attempt.output_seconds(now),
        )
    if not record.call.repeatable and not refused:
        error = OutcomeLostError()
        return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
    if record.attempts:
        return retry_beside(state, record, now=now)
    return retry(state, record, now=now)


def _record_failure(
    state: ServingState,
    record: CallRecord,
    attempt: Attempt,
    event: AttemptEnded,
) -> None:
    """Eject the target of a failed attempt, or back off from it as long as it asked for.

    If the attempt has several targets, this concerns the one reported at fault, or else the first
    one, which sends the answer; without a published pace, it concerns none.  Nothing is recorded
    for a target that has restarted since, as the failure was that of its previous start, nor for
    one whose path was lost.
    """
    if len(attempt.targets) > 1 and record.pool.pace is None:
        return
    target = event.at_fault or attempt.targets[0]
    if target in attempt.restarted:
        return
    if isinstance(event.error, PathLostError):
        return
    if event.retry_after is not None and event.end is AttemptEnd.REFUSED:
        record.failed.add(target)
        state.fleet.full(target, seconds=event.retry_after, now=event.now)
    else:
        mark_failed(state, record, target, now=event.now)


def mark_failed(
    state: ServingState, record: CallRecord, target: TargetName, *, tell: bool = True, now: float
) -> None:
    """Eject a failed target for a while, and exclude it from further attempts at this call.

    Other hosts are told to suspect it if ``tell`` is set.
    """
    record.failed.add(target)
    max_ejection = MAX_UNSHARED_EJECTION_SECONDS if record.call.unshared else MAX_EJECTION_SECONDS
    state.fleet.failed(target, now=now, longest=max_ejection, tell=tell)


def retry(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Retry a call after its backoff, or end it at once if no retry is permitted."""
    seconds = state.crashes.quarantine_seconds(record.call, now=now)
    if seconds:
        return end_quarantined(state, record, seconds=seconds, now=now)
    record.retry_count += 1
    delay = retry_delay(record.call, record.retry_count, random=state.random)
    in_time = now + delay < state.ends_by(record.call)
    more_runs = record.run_count < record.call.runs
    permitted = record.retry_count <= MAX_RETRIES and in_time and more_runs
    if not permitted or not state.retries.take():
        return give_up(state, record, now=now)
    retried = observe(record, Observation.RETRIED)
    if not delay:
        return [retried, *dispatch(state, record, now=now)]
    record.phase = Phase.BACKING_OFF
    state.timers.set(at=now + delay, kind=TimerKind.RETRY, call=record.call.id)
    return [retried]
