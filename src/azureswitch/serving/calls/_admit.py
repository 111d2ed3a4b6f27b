"""Admits calls, refuses them, and ends those whose claim another host holds."""

from azureswitch.core import CallId, Effect
from azureswitch.exceptions import AzureswitchError
from azureswitch.serving._admission import expected_cost
from azureswitch.serving._dispatch import dispatch
from azureswitch.serving._effects import (
    ClaimCall,
    ClaimOutcome,
    FinishCall,
    Observation,
    Observe,
)
from azureswitch.serving._ending import finish, observe, observe_cold_refusal
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._state import ServingState
from azureswitch.serving.calls._records import CallRecord, Phase
from azureswitch.serving.calls._timers import TimerKind


def refuse(call: Call, error: AzureswitchError) -> list[Effect]:
    """Refuse a call that was not admitted."""
    refused = Observe(
        what=Observation.REFUSED, customer=call.customer, prompt_tokens=call.prompt_tokens
    )
    return [FinishCall(call=call.id, error=error), refused, *observe_cold_refusal(call, error)]


def admit(state: ServingState, call: Call, *, now: float) -> list[Effect]:
    """Admit a call, and send it unless it must be claimed first."""
    pool = state.fleet.pool(service=call.service, model=call.model)
    assert pool is not None  # refusal() rejects calls without targets.
    cost = expected_cost(state, call, pool)
    level = level_of(call, state.rules)
    record = CallRecord(
        call=call, arrived=now, heard_at=now, pool=pool, cost=cost, level=level, tokens=call.offset
    )
    state.calls[call.id] = record
    state.retries.admitted()
    if call.model:
        state.fairness.charge(call.customer, cost.total, now=now)
        short = level is Level.SHORT and not state.fairness.exceeds(call.customer, now=now)
        state.split.record_admitted(call, seconds=cost.prefill, short=short, now=now)
    state.timers.set(at=state.ends_at(call), kind=TimerKind.DEADLINE, call=call.id)
    state.timers.set(
        at=call.deadline - cost.prefill - cost.answer / 2.0,
        kind=TimerKind.LATEST_START,
        call=call.id,
    )
    admitted = observe(record, Observation.ADMITTED)
    if call.repeatable or call.unshared:
        return [admitted, *dispatch(state, record, now=now)]
    record.phase = Phase.CLAIMING
    claim = ClaimCall(
        call=call.id,
        customer=call.customer,
        key=call.idempotency_key or call.id,
        fingerprint=call.fingerprint,
        deadline=call.deadline,
    )
    return [admitted, claim]


def finish_unclaimed(
    state: ServingState, call: CallId, *, error: AzureswitchError | None, now: float
) -> list[Effect]:
    """Finish a call whose claim was denied or replayed."""
    record = state.calls.get(call)
    if record is None or record.phase is not Phase.CLAIMING:
        state.take_abandoned_claim(call)
        return []
    record.phase = Phase.WAITING
    return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)
