"""Selection of targets within their rate limits, and refusal of calls that exceed them."""

from math import inf

from azureswitch.exceptions import LimitReachedError
from azureswitch.serving._events import Call
from azureswitch.serving._fleet import Pool
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._queue import Lane
from azureswitch.serving._retries import max_queue_seconds
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState

MAX_ASKED_TARGETS = 4
"""Targets for which a host requests permits at once, if no other target can serve."""

PROBE_SECONDS = 3.0
"""Seconds without an answer after which a limited target is probed, as its limit may have ended."""

MAX_RETRY_JITTER = 2.0
"""Upper bound of the jitter of a refusal's retry time, as a multiple of the wait for a permit."""


def permitted(state: ServingState, targets: list[TargetState], *, now: float) -> list[TargetState]:
    """Return the targets that may get a request now, and request permits for some of the others.

    If some may, a permit is requested for only one more, for a later call to use.
    """
    usable = [target for target in targets if target.usable(now)]
    if not state.limits.any:
        return usable
    allowed = [target for target in usable if _may_send(state, target, now=now)]
    blocked = [target for target in usable if not _may_send(state, target, now=now)]
    if not blocked:
        return allowed
    near = [target for target in blocked if not target.nearness]
    asked = near if allowed and near else blocked
    count = 1 if allowed else MAX_ASKED_TARGETS
    for target in state.random.sample(asked, min(count, len(asked))):
        state.permits.request(target.target.name, now=now)
    # A permit that this host issues itself may be valid at once.
    return allowed + [target for target in blocked if _may_send(state, target, now=now)]


def count_held_back(state: ServingState, pool: Pool, *, now: float) -> int:
    """Return how many usable targets of a pool may get no request now due to their limits."""
    if not state.limits.any:
        return 0
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    return sum(not _may_send(state, target, now=now) for target in usable)


def is_limited(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether a target has a limit."""
    return state.limits.any and state.limits.rate(target.target.name, now=now) is not None


def needs_probe(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether to probe a limited target, as no host has observed it lately."""
    if not is_limited(state, target, now=now):
        return False
    return state.limits.seconds_unobserved(target.target.name, now=now) > PROBE_SECONDS


def limit_refusal(
    state: ServingState, call: Call, pool: Pool, *, now: float
) -> LimitReachedError | None:
    """Return the error to refuse a new call with, or None if it may be served or queued.

    If all of its targets have limits, a call is queued only while a permit may come in time, and
    per customer only as many as may get one: otherwise the customer that sends most would fill the
    queue.
    """
    if not all_limited(state, pool, now=now):
        return None
    rate = _total_rate(state, pool, now=now)
    max_wait = max_queue_seconds(call)
    wait = seconds_until_permitted(state, pool, now=now)
    lane = lane_for(call, level_of(call, state.rules))
    places = 1 + int(rate * max_wait / state.fairness.hosts)
    if wait <= max_wait and state.queue.count(lane, call.customer) < places:
        return None
    return limit_reached(state, pool, now=now)


def limit_reached(state: ServingState, pool: Pool, *, now: float) -> LimitReachedError:
    """Return the error to refuse a call with, whose retry time has jitter."""
    rate = _total_rate(state, pool, now=now)
    wait = max(seconds_until_permitted(state, pool, now=now), 1.0 / rate)
    return LimitReachedError(seconds=wait * state.random.uniform(1.0, MAX_RETRY_JITTER))


def all_limited(state: ServingState, pool: Pool, *, now: float) -> bool:
    """Return whether all usable targets of a pool have limits."""
    return state.limits.any and _total_rate(state, pool, now=now) < inf


def seconds_until_permitted(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return the seconds until the earliest time at which a target of a pool may get a request."""
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    waits = (
        (
            state.permits.wait(target.target.name, now=now)
            if is_limited(state, target, now=now)
            else 0.0
        )
        for target in usable
    )
    return min(waits, default=0.0)


def lane_for(call: Call, level: Level) -> Lane:
    """Return the queue for a call with a prompt of a level."""
    return Lane(service=call.service, model=call.model, level=level)


def _total_rate(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return the total rate of the usable targets of a pool, or infinity if one is unlimited."""
    usable = [target for target in state.fleet.states(pool) if target.usable(now)]
    rates = [state.limits.rate(target.target.name, now=now) for target in usable]
    return sum(inf if rate is None else rate for rate in rates) if rates else inf


def _may_send(state: ServingState, target: TargetState, *, now: float) -> bool:
    return state.permits.may_send(target.target.name, now=now)
