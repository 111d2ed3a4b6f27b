"""Admits or refuses a call that has arrived."""

from azureswitch.core import Effect
from azureswitch.exceptions import AzureswitchError, OverloadedError
from azureswitch.serving._admission import expected_cost, refusal
from azureswitch.serving._attempts import dispatch
from azureswitch.serving._effects import (
    ClaimCall,
    FinishCall,
    Observation,
    Observe,
    ObserveRank,
)
from azureswitch.serving._ending import observe
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._state import CallRecord, Phase, ServingState, TimerKind
from azureswitch.serving.overload._announce import announce_refusal
from azureswitch.serving.overload._assess import overload_refusal


def arrive(state: ServingState, call: Call, *, now: float) -> list[Effect]:
    """Admit a call and send it, or refuse it."""
    error = refusal(state, call, now=now)
    if error is not None:
        return _refuse(call, error)
    record = _record(state, call, now=now)
    overloaded = overload_refusal(state, record, now=now)
    if overloaded is not None:
        error = OverloadedError(seconds=overloaded.seconds)
        return [*announce_refusal(call, overloaded), *_refuse(call, error)]
    return _admit(state, record, now=now)


def _refuse(call: Call, error: AzureswitchError) -> list[Effect]:
    refused = Observe(
        what=Observation.REFUSED, customer=call.customer, prompt_tokens=call.prompt_tokens
    )
    return [FinishCall(call=call.id, error=error), refused]


def _record(state: ServingState, call: Call, *, now: float) -> CallRecord:
    pool = state.fleet.pool(service=call.service, model=call.model)
    assert pool is not None  # refusal() rejects calls without targets.
    return CallRecord(
        call=call,
        arrived=now,
        pool=pool,
        cost=expected_cost(state, call, pool),
        level=level_of(call, state.rules),
        tokens=call.offset,
    )


def _admit(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    call, cost, level = record.call, record.cost, record.level
    state.calls[call.id] = record
    state.retries.admitted()
    if not call.model and state.overload_control:
        state.fairness.charge(call.customer, cost.total, now=now)
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
    admitted: list[Effect] = [observe(record, Observation.ADMITTED)]
    if state.overload_control:
        admitted.append(ObserveRank(rank=call.rank))
    if call.repeatable or call.unshared:
        return [*admitted, *dispatch(state, record, now=now)]
    record.phase = Phase.CLAIMING
    claim = ClaimCall(
        call=call.id,
        customer=call.customer,
        key=call.idempotency_key or call.id,
        fingerprint=call.fingerprint,
        deadline=call.deadline,
    )
    return [*admitted, claim]
