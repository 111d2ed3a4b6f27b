"""Ends calls and attempts, releases their resources, and contains exceptions to one call.

An event may concern several calls.  Where handling it raises for one of them, the exception is
logged and the event is still handled for the others.  The call itself is answered with an error,
unless it has attempts that run on and the step was not to end it.
"""

from collections.abc import Callable

from absl import logging

from azureswitch.core import Effect
from azureswitch.exceptions import AzureswitchError, Ran, TargetsColdError
from azureswitch.serving._effects import (
    CancelAttempt,
    ClaimOutcome,
    FinishCall,
    Observation,
    Observe,
    SettleClaim,
)
from azureswitch.serving._events import Call
from azureswitch.serving._state import ServingState
from azureswitch.serving.calls import Attempt, CallRecord, Phase


def run_step(
    state: ServingState,
    record: CallRecord,
    step: Callable[[], list[Effect]],
    *,
    now: float,
    final: bool = False,
) -> list[Effect]:
    """Run one step of a call's handling, and end the call with an error if the step raises.

    A call with attempts that the step did not end goes on with these instead, unless ``final`` is
    set.

    Args:
        state: The state.
        record: The call.
        step: Returns the effects of the step.
        now: The time, in seconds of the monotonic clock.
        final: Whether the step was to end the call.

    Returns:
        The effects of the step, or those that end the call where it raised.
    """
    before = dict(record.attempts)
    try:
        return step()
    except Exception:
        logging.exception("serving: Handling an event for call %s failed.", record.call.id)
    running = before.keys() & record.attempts.keys()
    if running and record.call.id in state.calls and not final:
        return _run_on(state, record, before)
    return _fail(state, record, before, now=now)


def _run_on(state: ServingState, record: CallRecord, before: dict[int, Attempt]) -> list[Effect]:
    """Keep the attempts of a call that a failed step left, and drop what it added or ended.

    Its effects are lost: what it added was not sent, and what it ended may have to be cancelled.
    """
    for number in record.attempts.keys() - before.keys():
        release(state, record, record.attempts.pop(number))
    return [_cancelled(record, before[n]) for n in before.keys() - record.attempts.keys()]


def _fail(
    state: ServingState, record: CallRecord, before: dict[int, Attempt], *, now: float
) -> list[Effect]:
    """End a call with an internal error and cancel all of its attempts.

    Args:
        state: The state.
        record: The call.
        before: Its attempts before the step that raised.
        now: The time, in seconds of the monotonic clock.
    """
    known = {**before, **record.attempts}
    removed = [
        _cancelled(record, known[number]) for number in known.keys() - record.attempts.keys()
    ]
    error = AzureswitchError()
    state.calls[record.call.id] = record
    try:
        return [
            *removed,
            *finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now),
        ]
    except Exception:
        logging.exception("serving: Releasing the resources of call %s failed.", record.call.id)
    state.calls.pop(record.call.id, None)
    effects: list[Effect] = [_cancelled(record, attempt) for attempt in known.values()]
    if record.claimed:
        effects.append(SettleClaim(call=record.call.id, outcome=ClaimOutcome.UNKNOWN))
    return [
        *effects,
        FinishCall(call=record.call.id, error=error),
        observe(record, Observation.FAILED),
    ]


def run_isolated(step: Callable[[], list[Effect]], *, name: str) -> list[Effect]:
    """Run a step that belongs to no single call, and log an exception that it raises.

    The effects that the same event has had on calls are kept.

    Args:
        step: Returns the effects of the step.
        name: Names the step in the log.

    Returns:
        The effects of the step, or none where it raised.
    """
    try:
        return step()
    except Exception:
        logging.exception("serving: %s failed.", name)
        return []


def observe(record: CallRecord, what: Observation, value: float = 1.0) -> Observe:
    """Return the effect that records a metric for a call."""
    return Observe(
        what=what,
        customer=record.call.customer,
        prompt_tokens=record.call.prompt_tokens,
        value=value,
    )


def observe_cold_refusal(call: Call, error: AzureswitchError | None) -> list[Effect]:
    """Return the effect that counts a call that is refused because of cold targets, if it is."""
    if not isinstance(error, TargetsColdError):
        return []
    what = Observation.COLD_REFUSED
    return [Observe(what=what, customer=call.customer, prompt_tokens=call.prompt_tokens)]


def release(state: ServingState, record: CallRecord, attempt: Attempt) -> None:
    """Remove an attempt that has ended from the load of its targets and from the ledger."""
    if attempt.first_token is None:
        state.fleet.prefilled(attempt.counted, work=attempt.work)
    state.fleet.remove(attempt.counted, work=attempt.work)
    state.ledger.remove(call=record.call.id, attempt=attempt.number)


def cancel_others(
    state: ServingState, record: CallRecord, *, keep: int | None = None
) -> list[Effect]:
    """Cancel all attempts of a call, except for attempt ``keep`` where it is given."""
    effects: list[Effect] = []
    for number in [number for number in record.attempts if number != keep]:
        effects += cancel(state, record, number)
    return effects


def cancel(state: ServingState, record: CallRecord, number: int) -> list[Effect]:
    """Cancel an attempt; it counts as one that may have run."""
    attempt = record.attempts.pop(number)
    record.may_have_run = True
    record.run_count += 1
    release(state, record, attempt)
    return [_cancelled(record, attempt)]


def _cancelled(record: CallRecord, attempt: Attempt) -> CancelAttempt:
    return CancelAttempt(call=record.call.id, attempt=attempt.number, targets=attempt.targets)


def finish(
    state: ServingState,
    record: CallRecord,
    *,
    error: AzureswitchError | None,
    outcome: ClaimOutcome,
    now: float,
) -> list[Effect]:
    """End a call with its one final answer and release its resources.

    Args:
        state: The state.
        record: The call.
        error: The caller's answer, or None where the call succeeded or its answer is replayed.
        outcome: Outcome to record for the call's claim, if it has one.
        now: The time, in seconds of the monotonic clock.
    """
    call = record.call
    del state.calls[call.id]
    state.queue.remove(call.id)
    state.fleet.release_memory(call.id)
    effects = cancel_others(state, record)
    if record.phase is Phase.CLAIMING:
        state.abandon_claim(call.id, now=now)
    if record.claimed:
        effects.append(SettleClaim(call=call.id, outcome=outcome))
    if error is not None and error.ran is Ran.NOT_RUN:
        state.fairness.charge(call.customer, -record.cost.total, now=now)
    effects.append(FinishCall(call=call.id, error=error))
    effects.append(observe(record, Observation.FINISHED if error is None else Observation.FAILED))
    return effects + observe_cold_refusal(call, error)
