"""Admission control: admits a call on arrival, or refuses it with a time to retry."""

from collections.abc import Iterable

from azureswitch.exceptions import (
    AzureswitchError,
    DeadlineUnreachableError,
    LeavingError,
    LimitExceededError,
    NoTargetError,
    NotConfiguredError,
    PromptTooLongError,
    QuarantinedError,
    RefusedError,
    UnknownModelError,
    UnknownServiceError,
)
from azureswitch.serving._cost import DURATION_MARGIN, Cost
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._spreading import MAX_PARTS
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState
from azureswitch.serving._throttling import lane_for, limit_refusal
from azureswitch.serving.evacuation._apply import count_in_use, is_evacuated, service_evacuated
from azureswitch.serving.targets import Pool

SHORT_QUEUE_SECONDS = 4.0
"""Maximum predicted queueing time of a short prompt; above it, the call is refused."""

BUSY_PREFILL_SHARE = 0.5
"""Prefill seconds per second that a busy engine achieves beside decoding."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Maximum retry time that a refused caller is given, before jitter."""

BALANCER_SECONDS = 2.3
"""Seconds until the load balancer has stopped sending callers to a host that is leaving.

Until then the host must accept them: the balancer checks once a second and needs two failures.
"""

LEAVING_MARGIN = 2.5
"""Factor on a call's predicted duration at a host that has been leaving for `BALANCER_SECONDS`."""

RESTART_SECONDS = 1.5
"""Retry time for callers if this host is leaving and there is no other one.

A process that has ended serves again after 1.0 to 1.2 s, 0.4 s of which is spent loading the
program.
"""

LEAVING_SECONDS = 0.05
"""Retry time for callers that another host can serve; a connection takes 10 ms."""

NO_TARGET_SECONDS = 2.0
"""Minimum retry time for callers if no target is up."""


def refusal(state: ServingState, call: Call, *, now: float) -> AzureswitchError | None:
    """Return the error with which a call is refused, or None if it is admitted."""
    error = _request_refusal(state, call, now=now)
    if error is not None:
        return error
    quarantine = state.crashes.quarantine_seconds(call, now=now)
    if quarantine:
        return QuarantinedError(seconds=quarantine)
    pool = state.fleet.pool(service=call.service, model=call.model)
    targets = [] if pool is None else state.fleet.states(pool)
    if pool is not None and is_evacuated(state, pool, now=now):
        return service_evacuated(state)
    if pool is None or not any(target.usable(now) for target in targets):
        return NoTargetError(seconds=_jittered(state, _until_usable(targets, now=now)))
    limited = limit_refusal(state, call, pool, now=now)
    if limited is not None:
        return limited
    long = level_of(call, state.rules) is not Level.SHORT
    wait = state.fairness.wait(call.customer, long=long, now=now)
    if wait > 0.0:
        return LimitExceededError(seconds=_jittered(state, wait))
    return _deadline_refusal(state, call, pool, now=now)


def _request_refusal(state: ServingState, call: Call, *, now: float) -> AzureswitchError | None:
    if state.snapshot is None:
        return NotConfiguredError()
    if now >= state.closes_at:
        return LeavingError()
    if not state.fleet.has_service(call.service):
        return UnknownServiceError(service=call.service)
    if call.prompt_tokens > state.rules.longest_prompt:
        return PromptTooLongError(tokens=call.prompt_tokens, limit=state.rules.longest_prompt)
    if _is_unknown_model(state, call):
        return UnknownModelError(model=call.model)
    return None


def _is_unknown_model(state: ServingState, call: Call) -> bool:
    """Return whether the targets of a service serve other models alone; not while all are lost."""
    if not call.model or state.fleet.pool(service=call.service, model=call.model) is not None:
        return False
    return state.fleet.has_models(call.service)


def _until_usable(targets: Iterable[TargetState], *, now: float) -> float:
    """Return the seconds until the first paused target is usable again.

    They are at least `NO_TARGET_SECONDS`, also if no target is paused.
    """
    waits = [t.unusable_until - now for t in targets if t.usable(max(now, t.unusable_until))]
    return max(NO_TARGET_SECONDS, min(waits, default=0.0))


def _deadline_refusal(
    state: ServingState, call: Call, pool: Pool, *, now: float
) -> RefusedError | None:
    cost = expected_cost(state, call, pool)
    if now + cost.upper_bound(margin=_stop_margin(state, now=now)) > state.stops_at:
        # The call would be cut off when this host stops.
        return LeavingError(seconds=_jittered(state, _leaving_retry_seconds(state)))
    level = level_of(call, state.rules)
    allowed = call.deadline - now - cost.expected_seconds
    if level is Level.SHORT:
        allowed = min(allowed, SHORT_QUEUE_SECONDS)
    wait = expected_wait(state, call, pool, level=level, now=now)
    if wait <= allowed:
        return None
    return DeadlineUnreachableError(seconds=_jittered(state, max(1.0, wait - allowed)))


def _stop_margin(state: ServingState, *, now: float) -> float:
    """Return the factor on a call's predicted duration for the check against the host's stop."""
    return LEAVING_MARGIN if now > state.leaving_since + BALANCER_SECONDS else DURATION_MARGIN


def _leaving_retry_seconds(state: ServingState) -> float:
    """Return the retry time for a call that this host refuses because it is leaving."""
    return LEAVING_SECONDS if state.fairness.hosts > 1 else RESTART_SECONDS


def expected_cost(state: ServingState, call: Call, pool: Pool) -> Cost:
    """Return the predicted cost of a call at the targets of its pool."""
    if pool.pace is None:
        return state.costs.predict(call)
    engines = min(MAX_PARTS, count_in_use(state, pool))
    return state.costs.predict_paced(call, pace=pool.pace, engines=engines)


def expected_wait(
    state: ServingState, call: Call, pool: Pool, *, level: Level, now: float
) -> float:
    """Estimate the seconds that a call would wait in this host's queue.

    The host's share of the pool is divided among the waiting customers by weight, so that a
    customer with many calls waits behind its own.
    """
    lane = lane_for(call, level)
    waiting = set(state.queue.customers(lane))
    if not waiting:
        return 0.0
    engines = count_in_use(state, pool)
    if level is not Level.SHORT:
        engines = state.split.count(
            service=call.service,
            model=call.model,
            engines=engines,
            hosts=state.fairness.hosts,
            now=now,
        )
    rate = engines * BUSY_PREFILL_SHARE / state.fairness.hosts
    weights = {name: state.fairness.weight(name) for name in waiting | {call.customer}}
    share = weights[call.customer] / sum(weights.values())
    return state.queue.seconds(lane, call.customer) / max(1e-6, rate * share)


def _jittered(state: ServingState, seconds: float) -> float:
    return min(MAX_RETRY_AFTER_SECONDS, seconds) * state.random.uniform(1.0, 1.25)
