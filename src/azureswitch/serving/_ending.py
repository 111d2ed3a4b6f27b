"""Ends calls and attempts and frees what they hold, also where this program fails at one of them.

What happens to one call is no decision about another: where a step for a call fails, that call is
answered as failed and a line is logged, and the steps of the same event for others are taken.
"""

from collections.abc import Callable

from absl import logging

from azureswitch.core import Effect
from azureswitch.exceptions import AzureswitchError, Ran
from azureswitch.serving._effects import (
    CancelAttempt,
    ClaimOutcome,
    FinishCall,
    Observation,
    Observe,
    SettleClaim,
)
from azureswitch.serving._state import Attempt, CallRecord, Phase, ServingState


def run_step(
    state: ServingState,
    record: CallRecord,
    step: Callable[[], list[Effect]],
    *,
    now: float,
    final: bool = False,
) -> list[Effect]:
    """Take a step for one call, and answer the call as failed where the step fails.

    Args:
        state: The state.
        record: The call.
        step: The step.
        now: The time, in seconds of the monotonic clock.
        final: Whether the step ends the call.  One that runs goes on otherwise, as it was.
    """
    before = dict(record.attempts)
    try:
        return step()
    except Exception:
        logging.exception("serving: A step for call %s failed.", record.call.id)
    untouched = record.attempts.keys() == before.keys() and record.call.id in state.calls
    if before and untouched and not final:
        return []
    return _fail(state, record, before, now=now)


def _fail(
    state: ServingState, record: CallRecord, before: dict[int, Attempt], *, now: float
) -> list[Effect]:
    """End a call at which this program failed, and call all of its attempts off."""
    known = {**before, **record.attempts}
    taken = [_cancelled(record, known[number]) for number in known.keys() - record.attempts.keys()]
    error = AzureswitchError()
    state.calls[record.call.id] = record
    try:
        return [
            *taken,
            *finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now),
        ]
    except Exception:
        logging.exception("serving: What call %s holds was not freed.", record.call.id)
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
    """Do what is no single call's; where it fails, what was decided for calls stands."""
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


def release(state: ServingState, record: CallRecord, attempt: Attempt) -> None:
    """Strike an attempt that is over out of the accounts."""
    if attempt.first_token is None:
        state.fleet.prefilled(attempt.counted, work=attempt.work)
    state.fleet.remove(attempt.counted, work=attempt.work)
    state.ledger.remove(call=record.call.id, attempt=attempt.number)


def cancel_others(
    state: ServingState, record: CallRecord, *, keep: int | None = None
) -> list[Effect]:
    """Cancel the attempts of a call but one."""
    effects: list[Effect] = []
    for number in [number for number in record.attempts if number != keep]:
        effects += cancel(state, record, number)
    return effects


def cancel(state: ServingState, record: CallRecord, number: int) -> list[Effect]:
    """Call an attempt off; it counts as one that may have run."""
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
    """Give a call its one final answer and free what it holds."""
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
    return effects
