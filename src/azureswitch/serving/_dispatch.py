"""Sends calls to targets: queueing, starting and hedging of their attempts."""

from functools import partial

from azureswitch.core import Effect
from azureswitch.serving._ageing import set_aging_timer, set_hedge_timer
from azureswitch.serving._choice import Choice
from azureswitch.serving._effects import Observation, StartAttempt
from azureswitch.serving._ending import observe, run_isolated, run_step
from azureswitch.serving._length import Level, priority
from azureswitch.serving._queue import Lane
from azureswitch.serving._retries import HEDGE_COST, max_queue_seconds, silence_timeouts
from azureswitch.serving._routing import choose
from azureswitch.serving._state import ServingState
from azureswitch.serving._termination import end_quarantined, give_up
from azureswitch.serving._throttling import all_limited, cold_limited, count_held_back, lane_for
from azureswitch.serving.calls import Attempt, CallRecord, Phase, TimerKind
from azureswitch.serving.evacuation._apply import count_evacuated, end_evacuated, is_evacuated
from azureswitch.serving.quarantine import Hold

LANE_RECHECK_SECONDS = {Level.SHORT: 0.02, Level.MIDDLE: 0.1, Level.LONG: 0.25}
"""Seconds before a lane is drained again after no target had room for its calls."""

PERMIT_CREDIT_CALLS = 4
"""Calls' worth of service that a customer with little traffic is credited when permits are short.

A call that waits for a permit is refused after a short time, so that such a customer would
otherwise lose its turn in the queue each time.
"""

TRIAL_RECHECK_SECONDS = 0.05
"""Seconds after which a call that awaits the outcome of a trial is looked at again."""

MAX_TRIAL_WAIT_SECONDS = 1.0
"""Longest wait for the outcome of a trial; a caller that has waited for longer is refused."""


def lane_of(record: CallRecord) -> Lane:
    """Return the lane of the queue that a call waits in."""
    return lane_for(record.call, record.level)


def dispatch(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Send a call to a target, or queue it until one has room."""
    hold = state.crashes.hold(record.call, now=now)
    if hold is not None:
        return _hold_back(state, record, hold, now=now)
    if is_evacuated(state, record.pool, now=now):
        return end_evacuated(state, record, now=now)
    if not state.fleet.has_path(record.pool, now=now):
        return give_up(state, record, now=now)
    lane = lane_of(record)
    lane_in_use = any(True for _ in state.queue.customers(lane))
    choice = None if lane_in_use else choose(state, record, now=now)
    if choice is not None:
        return start_attempt(state, record, choice, now=now)
    floor = min((state.fairness.served(n) for n in state.queue.customers(lane)), default=0.0)
    if all_limited(state, record.pool, now=now):
        floor -= PERMIT_CREDIT_CALLS * record.cost.total
    cold = cold_limited(state, record.pool, now=now)
    state.fairness.raise_counter(record.call.customer, floor)
    record.phase = Phase.WAITING
    if record.call.unshared:
        at = now + max_queue_seconds(record.call)
        state.timers.set(at=at, kind=TimerKind.LATEST_START, call=record.call.id)
    state.queue.push(
        lane=lane,
        customer=record.call.customer,
        call=record.call.id,
        seconds=record.cost.total,
        first=record.attempt_count > 0,
    )
    waited = [observe(record, Observation.COLD_WAITED)] if cold else []
    return [*waited, *(drain(state, lane, now=now) if lane_in_use else [])]


def _hold_back(state: ServingState, record: CallRecord, hold: Hold, *, now: float) -> list[Effect]:
    """Let a call wait until a trial has shown whether it may be sent, or end it."""
    if record.held_since is None:
        record.held_since = now
    if not hold.brief or now - record.held_since >= MAX_TRIAL_WAIT_SECONDS:
        return end_quarantined(state, record, seconds=hold.seconds, now=now)
    record.phase = Phase.BACKING_OFF
    at = now + min(hold.seconds, TRIAL_RECHECK_SECONDS)
    state.timers.set(at=at, kind=TimerKind.RETRY, call=record.call.id)
    return []


def drain(state: ServingState, lane: Lane, *, now: float) -> list[Effect]:
    """Send the waiting calls of a lane while targets have room, least served customer first.

    Once no target has room, the lane is blocked for `LANE_RECHECK_SECONDS`, so that frequent events
    do not each scan it.
    """
    effects: list[Effect] = []
    while state.queue.has_ready(lane, now=now):
        started = _start_next(state, lane, now=now)
        if not started:
            state.queue.block(lane, until=now + LANE_RECHECK_SECONDS[lane.level])
        effects += started
    return effects


def _start_next(state: ServingState, lane: Lane, *, now: float) -> list[Effect]:
    for call in state.queue.heads(lane, state.fairness.served):
        record = state.calls[call]
        effects = run_step(state, record, partial(_start_waiting, state, record, now=now), now=now)
        if effects:
            return effects
    return []


def _start_waiting(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    if state.crashes.hold(record.call, now=now) is not None:
        return []
    choice = choose(state, record, now=now)
    if choice is None:
        return []
    state.queue.remove(record.call.id)
    return start_attempt(state, record, choice, now=now)


def drain_all(state: ServingState, *, now: float) -> list[Effect]:
    """Send the waiting calls of all lanes; an exception in one is logged and the others go on."""
    return [
        effect
        for lane in state.queue.lanes
        for effect in run_isolated(partial(drain, state, lane, now=now), name="Draining the queue")
    ]


def start_attempt(
    state: ServingState, record: CallRecord, choice: Choice, *, now: float
) -> list[Effect]:
    """Start the next attempt of a call."""
    call = record.call
    record.attempt_count += 1
    record.phase = Phase.RUNNING
    record.held_since = None
    prefill = record.cost.prefill
    attempt_priority = priority(
        call,
        state.rules,
        prefill=prefill,
        waited=now - record.arrived,
        demoted=state.fairness.exceeds(call.customer, now=now),
    )
    attempt = Attempt(
        number=record.attempt_count,
        targets=choice.targets,
        started=now,
        work=choice.work,
        cached_tokens=choice.cached_tokens,
        priority=attempt_priority,
        alone=not choice.wait and not choice.running and len(choice.targets) == 1,
        start=state.starts.of(choice.targets[0]),
    )
    record.attempts[attempt.number] = attempt
    state.crashes.sent(call, now=now)
    if choice.occupancies:
        state.ledger.add(call=call.id, attempt=attempt.number, occupancies=choice.occupancies)
    else:
        state.fleet.add(choice.targets, work=choice.work, now=now)
    state.fairness.record_served(call.customer, choice.work.seconds * len(choice.targets))
    held_back = count_held_back(state, record.pool, now=now)
    for target in choice.targets:
        state.affinity.record_sent(target, call.prefix)
        state.permits.take(target, now=now)
        state.warmup.take(target, now=now)
    if call.model and record.pool.pace is None:
        set_aging_timer(state, record, attempt, now=now)
        set_hedge_timer(state, record, choice, now=now)
    timeouts = silence_timeouts(call, first_token=choice.first_token)
    return [
        StartAttempt(
            call=call.id,
            attempt=attempt.number,
            targets=choice.targets,
            priority=attempt_priority,
            resume_from=record.tokens,
            timeout=max(0.0, call.deadline - now),
            reserved=choice.reserved,
            first_token=choice.first_token,
            known_peers=state.ledger.accounts,
            first_output_timeout=timeouts.first,
            output_gap_timeout=timeouts.gap,
            held_back=held_back,
            evacuated=count_evacuated(state, record.pool, now=now),
        )
    ]


def hedge(state: ServingState, record: CallRecord, number: int, *, now: float) -> list[Effect]:
    """Start a second attempt beside one without output, if another target has room at once."""
    silent = record.attempts.get(number)
    if silent is None or len(record.attempts) > 1 or record.first_token is not None:
        return []
    held = state.crashes.hold(record.call, now=now) is not None
    if held or not record.may_run_beside(1):
        return []
    record.failed.update(silent.targets)
    choice = choose(state, record, now=now)
    record.failed.difference_update(silent.targets)
    if choice is None or choice.wait or choice.targets == silent.targets:
        return []
    if not state.retries.take(HEDGE_COST):
        return []
    return [observe(record, Observation.HEDGED), *start_attempt(state, record, choice, now=now)]
