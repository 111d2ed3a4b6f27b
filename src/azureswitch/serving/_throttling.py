"""Which targets may get a request within the limits that they have named."""

from math import inf

from azureswitch.exceptions import LimitReachedError
from azureswitch.serving._events import Call
from azureswitch.serving._fleet import Pool
from azureswitch.serving._length import Level, level_of
from azureswitch.serving._queue import Lane
from azureswitch.serving._retries import max_queue_seconds
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState

ASKED_MOST = 4
"""Targets of which a host asks for permits at once, where no other target can serve."""

UNHEARD_SECONDS = 3.0
"""Seconds without an answer after which a limited target is tried, as its limit may have ended."""

RETURN_SPREAD = 2.0
"""Times the wait for a permit within which callers that are refused come back, each at another
time.
"""


def permitted(state: ServingState, targets: list[TargetState], *, now: float) -> list[TargetState]:
    """Return the targets that may get a request now, and ask for permits for some of the others.

    While others can serve, one at a time is asked for, which a later request can use.
    """
    usable = [target for target in targets if target.usable(now)]
    if not state.limits.any:
        return usable
    allowed = [target for target in usable if _may_send(state, target, now=now)]
    held_back = [target for target in usable if not _may_send(state, target, now=now)]
    if not held_back:
        return allowed
    near = [target for target in held_back if not target.nearness]
    asked = near if allowed and near else held_back
    count = 1 if allowed else ASKED_MOST
    for target in state.random.sample(asked, min(count, len(asked))):
        state.permits.request(target.target.name, now=now)
    # A permit that this host hands out itself is there at once.
    return allowed + [target for target in held_back if _may_send(state, target, now=now)]


def count_held_back(state: ServingState, pool: Pool, *, now: float) -> int:
    """Return how many targets of a pool are left aside, as their limits permit no request now."""
    if not state.limits.any:
        return 0
    usable = (target for target in state.fleet.states(pool) if target.usable(now))
    return sum(not _may_send(state, target, now=now) for target in usable)


def is_limited(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether a target names a limit."""
    return state.limits.any and state.limits.rate(target.target.name, now=now) is not None


def is_unheard(state: ServingState, target: TargetState, *, now: float) -> bool:
    """Return whether a target that named a limit is to be tried, as nobody has heard it lately."""
    if not is_limited(state, target, now=now):
        return False
    return state.limits.unheard(target.target.name, now=now) > UNHEARD_SECONDS


def limit_refusal(
    state: ServingState, call: Call, pool: Pool, *, now: float
) -> LimitReachedError | None:
    """Return why a call that arrives is refused, where all targets for it name limits.

    It waits only where a permit may come in time, and for each customer no more calls do than may
    get one: the one that sends most would take all the places.
    """
    if not all_limited(state, pool, now=now):
        return None
    rate = _whole_rate(state, pool, now=now)
    hold = max_queue_seconds(call)
    wait = seconds_until_permitted(state, pool, now=now)
    lane = lane_for(call, level_of(call, state.rules))
    places = 1 + int(rate * hold / state.fairness.hosts)
    if wait <= hold and state.queue.count(lane, call.customer) < places:
        return None
    return limit_reached(state, pool, now=now)


def limit_reached(state: ServingState, pool: Pool, *, now: float) -> LimitReachedError:
    """Return the refusal of a call, with a time to come back that differs from others'."""
    rate = _whole_rate(state, pool, now=now)
    wait = max(seconds_until_permitted(state, pool, now=now), 1.0 / rate)
    return LimitReachedError(seconds=wait * state.random.uniform(1.0, RETURN_SPREAD))


def all_limited(state: ServingState, pool: Pool, *, now: float) -> bool:
    """Return whether each target of a pool that may be used names a limit."""
    return state.limits.any and _whole_rate(state, pool, now=now) < inf


def seconds_until_permitted(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return after how many seconds one of the targets of a pool may perhaps get a request."""
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
    """Return the queue that a call waits in, whose prompt is so long."""
    return Lane(service=call.service, model=call.model, level=level)


def _whole_rate(state: ServingState, pool: Pool, *, now: float) -> float:
    """Return how many requests a second the targets of a pool take, or infinity for any number."""
    usable = [target for target in state.fleet.states(pool) if target.usable(now)]
    rates = [state.limits.rate(target.target.name, now=now) for target in usable]
    return sum(inf if rate is None else rate for rate in rates) if rates else inf


def _may_send(state: ServingState, target: TargetState, *, now: float) -> bool:
    return state.permits.may_send(target.target.name, now=now)
