"""Selection of targets within their rate limits, and refusal of calls that exceed them.

There are two kinds of limit, and a request must satisfy both: the limits that targets announce, and
those of cold targets.  The load that this responds to is more requests than such targets take.
"""

from math import inf

from azureswitch.exceptions import LimitReachedError, RefusedError, TargetsColdError
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._queue import Lane
from azureswitch.serving._retries import max_queue_seconds
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState
from azureswitch.serving.targets import Pool

MAX_ASKED_TARGETS = 4
"""Targets for which a host requests permits at once, if no other target can serve."""

PROBE_SECONDS = 3.0
"""Seconds without an answer after which a limited target is probed, as its limit may have ended."""

MAX_RETRY_JITTER = 2.0
"""Upper bound of the jitter of a refusal's retry time, as a multiple of the wait for a permit."""

OTHER_HOST_SECONDS = 1.0
"""Retry time for callers if this host may not send to any of the cold targets for longer than that.

A retry usually reaches another host, and each host that may send to a target gains more than one
request per second.
"""


def permitted(state: ServingState, targets: list[TargetState], *, now: float) -> list[TargetState]:
    """Return the targets that may get a request now, and request permits for some of the others.

    If some may, a permit is requested for only one more, for a later call to use.
    """
    usable = [target for target in targets if target.usable(now)]
    # A permit would expire before a target without a token could get a request.
    usable = [target for target in usable if within_cold_limit(state, target, now=now)]
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


def within_cold_limit(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether a target may get a request now as far as cold targets are limited."""
    return not state.warmup.any or state.warmup.may_send(target.target.name, now=now)


def count_held_back(state: ServingState, pool: Pool, *, now: float) -> int:
    """Return how many usable targets of a pool may get no request now due to their limits."""
    if not _any_limit(state):
        return 0
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    return sum(not _may_send(state, target, now=now) for target in usable)


def is_limited(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether a target has announced a limit."""
    return state.limits.any and state.limits.rate(target.target.name, now=now) is not None


def needs_probe(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether to probe a limited target, as no host has observed it lately."""
    if not is_limited(state, target, now=now):
        return False
    return state.limits.seconds_unobserved(target.target.name, now=now) > PROBE_SECONDS


def is_cold(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether a target is cold and limited while it is."""
    return state.warmup.any and state.warmup.is_cold(target.target.name, now=now)


def limit_refusal(
    state: ServingState, call: Call, pool: Pool, *, now: float
) -> RefusedError | None:
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
    waiting = state.queue.count(lane, call.customer)
    if waiting and cold_limited(state, pool, now=now):
        # Each customer may have one waiting call; a further one waits only if all leave room.
        waiting = sum(state.queue.count(lane, name) for name in state.queue.customers(lane))
    if wait <= max_wait and waiting < places:
        return None
    return limit_reached(state, pool, now=now)


def limit_reached(state: ServingState, pool: Pool, *, now: float) -> RefusedError:
    """Return the error to refuse a call with, whose retry time has jitter."""
    jitter = state.random.uniform(1.0, MAX_RETRY_JITTER)
    wait = seconds_until_permitted(state, pool, now=now)
    rate = _total_rate(state, pool, now=now)
    if not cold_limited(state, pool, now=now):
        return LimitReachedError(seconds=max(wait, 1.0 / rate) * jitter)
    turn = (1 + len(state.queue)) * state.fairness.hosts / rate if rate else inf
    seconds = min(OTHER_HOST_SECONDS, max(wait, turn))
    # Another host has no more permits than this one where targets announce limits as well.
    seconds = max(seconds, 1.0 / _announced_rate(state, pool, now=now))
    return TargetsColdError(seconds=seconds * jitter)


def cold_limited(state: ServingState, pool: Pool, *, now: float) -> bool:
    """Return whether calls are held back because targets are cold or have just become warm.

    All usable targets of the pool are limited then, some of them for this reason.
    """
    if not state.warmup.any or not all_limited(state, pool, now=now):
        return False
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    return any(state.warmup.rate(t.target.name, now=now) is not None for t in usable)


def all_limited(state: ServingState, pool: Pool, *, now: float) -> bool:
    """Return whether all usable targets of a pool have limits."""
    return _any_limit(state) and _total_rate(state, pool, now=now) < inf


def seconds_until_permitted(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return the seconds until the earliest time at which a target of a pool may get a request."""
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    return min((_wait(state, target, now=now) for target in usable), default=0.0)


def lane_for(call: Call, level: Level) -> Lane:
    """Return the queue for a call with a prompt of a level."""
    return Lane(service=call.service, model=call.model, level=level)


def _any_limit(state: ServingState) -> bool:
    return state.limits.any or state.warmup.any


def _wait(state: ServingState, target: TargetState, *, now: float) -> float:
    """Return the seconds until this host may send to a target by both kinds of limit."""
    name = target.target.name
    permit = state.permits.wait(name, now=now) if is_limited(state, target, now=now) else 0.0
    return max(permit, state.warmup.wait(name, now=now))


def _total_rate(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return the total rate of the usable targets of a pool, or infinity if one is unlimited."""
    usable = [target for target in state.fleet.states(pool) if target.usable(now)]
    return sum(_rate(state, target, now=now) for target in usable) if usable else inf


def _announced_rate(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return the total rate that the usable targets announce, or infinity if one has no limit."""
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    rates = [state.limits.rate(target.target.name, now=now) for target in usable]
    return sum(inf if rate is None else rate for rate in rates) or inf


def _rate(state: ServingState, target: TargetState, *, now: float) -> float:
    """Return the rate of a target for all hosts, as far as this host can tell by its own part.

    While a target is cold only some of the hosts may send to it, so this host counts its own part
    for each of the hosts.
    """
    name = target.target.name
    limit = state.limits.rate(name, now=now)
    announced = inf if limit is None else limit
    own = state.warmup.host_rate(name, now=now)
    return min(announced, own * state.fairness.hosts)


def _may_send(state: ServingState, target: TargetState, *, now: float) -> bool:
    permitted_here = state.permits.may_send(target.target.name, now=now)
    return permitted_here and within_cold_limit(state, target, now=now)
