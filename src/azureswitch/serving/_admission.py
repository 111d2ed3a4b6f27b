"""Decides at once whether a call is admitted, and if not, when to come back."""

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
from azureswitch.serving._fleet import Pool
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._spreading import MOST_PARTS
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState
from azureswitch.serving._throttling import lane_for, limit_refusal

SHORT_QUEUE_SECONDS = 4.0
"""Seconds that a short prompt may be expected to wait here before it is refused."""

BUSY_FILL = 0.5
"""Prefill seconds a second that a busy engine manages beside decoding."""

RETRY_MOST = 60.0
"""Seconds after which a refused caller is told to come back, at most."""

TURNED_SECONDS = 2.3
"""Seconds after which callers of a leaving host have been sent elsewhere by the balancer.

Until then it must take them: the balancer asks once a second and needs two misses.
"""

LATE_MARGIN = 2.5
"""Times its prediction that a call may take which a leaving host begins after that."""

RESTART_SECONDS = 1.5
"""Seconds after which a caller is told to come back where all hosts are leaving.

A process that has ended serves again 1.0 to 1.2 s later, 0.4 s of which it loads the program.
"""

LEAVING_SECONDS = 0.05
"""Seconds after which a caller is told to come back, to another host; a connection takes 10 ms."""

NO_TARGET_SECONDS = 2.0
"""Seconds after which a caller is told to come back where no target is up, at least."""


def refusal(state: ServingState, call: Call, *, now: float) -> AzureswitchError | None:
    """Return why a call is refused, or None where it is admitted."""
    wrong = _wrong(state, call, now=now)
    if wrong is not None:
        return wrong
    held_back = state.crashes.quarantine_seconds(call, now=now)
    if held_back:
        return QuarantinedError(seconds=held_back)
    pool = state.fleet.pool(service=call.service, model=call.model)
    targets = [] if pool is None else state.fleet.states(pool)
    if pool is None or not any(target.usable(now) for target in targets):
        return NoTargetError(seconds=_jittered(state, _until_usable(targets, now=now)))
    limited = limit_refusal(state, call, pool, now=now)
    if limited is not None:
        return limited
    long = level_of(call, state.rules) is not Level.SHORT
    wait = state.fairness.wait(call.customer, long=long, now=now)
    if wait > 0.0:
        return LimitExceededError(seconds=_jittered(state, wait))
    return _too_late(state, call, pool, now=now)


def _wrong(state: ServingState, call: Call, *, now: float) -> AzureswitchError | None:
    if state.snapshot is None:
        return NotConfiguredError()
    if now >= state.closes_at:
        return LeavingError()
    if not state.fleet.has_service(call.service):
        return UnknownServiceError(service=call.service)
    if call.prompt_tokens > state.rules.longest_prompt:
        return PromptTooLongError(tokens=call.prompt_tokens, limit=state.rules.longest_prompt)
    if call.model and state.fleet.pool(service=call.service, model=call.model) is None:
        return UnknownModelError(model=call.model)
    return None


def _until_usable(targets: Iterable[TargetState], *, now: float) -> float:
    """Return the seconds until one of some targets may be used that has asked to be left alone."""
    waits = [t.unusable_until - now for t in targets if t.usable(max(now, t.unusable_until))]
    return max(NO_TARGET_SECONDS, min(waits, default=0.0))


def _too_late(state: ServingState, call: Call, pool: Pool, *, now: float) -> RefusedError | None:
    cost = expected_cost(state, call, pool)
    if now + cost.most(margin=_stop_margin(state, now=now)) > state.stops_at:
        # Here it would be broken off as the host ends.
        return LeavingError(seconds=_jittered(state, _elsewhere(state)))
    level = level_of(call, state.rules)
    allowed = call.deadline - now - cost.likely
    if level is Level.SHORT:
        allowed = min(allowed, SHORT_QUEUE_SECONDS)
    wait = expected_wait(state, call, pool, level=level, now=now)
    if wait <= allowed:
        return None
    return DeadlineUnreachableError(seconds=_jittered(state, max(1.0, wait - allowed)))


def _stop_margin(state: ServingState, *, now: float) -> float:
    """Return how many times its prediction a call that a leaving host begins may take."""
    return LATE_MARGIN if now > state.leaving_since + TURNED_SECONDS else DURATION_MARGIN


def _elsewhere(state: ServingState) -> float:
    """Return the seconds after which another host may take a call that this one does not begin."""
    return LEAVING_SECONDS if state.fairness.hosts > 1 else RESTART_SECONDS


def expected_cost(state: ServingState, call: Call, pool: Pool) -> Cost:
    """Return what a call is expected to cost at the targets of its pool."""
    if pool.pace is None:
        return state.costs.predict(call)
    engines = min(MOST_PARTS, len(pool.targets))
    return state.costs.predict_paced(call, pace=pool.pace, engines=engines)


def expected_wait(
    state: ServingState, call: Call, pool: Pool, *, level: Level, now: float
) -> float:
    """Estimate how long a call would wait in this host's queue.

    The host's part of the pool is shared among the customers that wait, by weight, so that a
    customer with many calls waits behind its own.
    """
    lane = lane_for(call, level)
    waiting = set(state.queue.customers(lane))
    if not waiting:
        return 0.0
    engines = len(pool.targets)
    if level is not Level.SHORT:
        engines = state.split.count(
            service=call.service,
            model=call.model,
            engines=engines,
            hosts=state.fairness.hosts,
            now=now,
        )
    rate = engines * BUSY_FILL / state.fairness.hosts
    weights = {name: state.fairness.weight(name) for name in waiting | {call.customer}}
    share = weights[call.customer] / sum(weights.values())
    return state.queue.seconds(lane, call.customer) / max(1e-6, rate * share)


def _jittered(state: ServingState, seconds: float) -> float:
    return min(RETRY_MOST, seconds) * state.random.uniform(1.0, 1.25)
