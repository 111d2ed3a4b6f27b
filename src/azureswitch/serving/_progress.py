"""Progress of a call's attempts: ageing of their priority, first tokens and further ones."""

from azureswitch.core import Effect
from azureswitch.serving._attempts import drain_all, set_aging_timer
from azureswitch.serving._effects import Observation, PrioritizeAttempt
from azureswitch.serving._ending import cancel_others, observe
from azureswitch.serving._events import TokensArrived
from azureswitch.serving._length import priority
from azureswitch.serving._state import CallRecord, ServingState

MIN_COST_SAMPLE_SECONDS = 0.001
"""Seconds to the first token up to which an answer was cached and is no sample of the cost."""


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


def record_first_token(
    state: ServingState, record: CallRecord, number: int, *, now: float
) -> list[Effect]:
    """Record the first token of an attempt, and cancel the call's other, hedged attempts."""
    attempt = record.attempts.get(number)
    if attempt is None or attempt.first_token is not None:
        return []
    attempt.first_token = now
    state.fleet.prefilled(attempt.counted, work=attempt.work)
    state.ledger.read(call=record.call.id, attempt=number)
    effects = cancel_others(state, record, keep=number)
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
