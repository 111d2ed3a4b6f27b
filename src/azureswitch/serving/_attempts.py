"""The life of a call's attempts, from the first try to the one final answer."""

from functools import partial

from azureswitch.core import Effect, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    OutcomeLostError,
    Ran,
    RetriesExhaustedError,
    TargetBrokenError,
)
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import TargetStart
from azureswitch.serving._effects import (
    ClaimOutcome,
    Observation,
    PrioritizeAttempt,
    StartAttempt,
)
from azureswitch.serving._ending import (
    cancel_others,
    finish,
    observe,
    release,
    run_isolated,
    run_step,
)
from azureswitch.serving._events import AttemptEnd, AttemptEnded, TokensArrived
from azureswitch.serving._fleet import MAX_EJECTION_SECONDS, MAX_UNSHARED_EJECTION_SECONDS
from azureswitch.serving._length import Level, ageing_period, priority
from azureswitch.serving._queue import Lane
from azureswitch.serving._retries import (
    HEDGE_COST,
    MAX_RETRIES,
    backoff,
    hedge_delay,
    max_queue_seconds,
    silence_timeouts,
)
from azureswitch.serving._routing import choose
from azureswitch.serving._state import Attempt, CallRecord, Phase, ServingState, TimerKind
from azureswitch.serving._termination import end_quarantined, give_up
from azureswitch.serving._throttling import all_limited, count_held_back, lane_for

BLOCK_SECONDS = {Level.SHORT: 0.02, Level.MIDDLE: 0.1, Level.LONG: 0.25}
"""Seconds for which a lane is not looked at again once no target had room for it."""

PERMIT_CREDIT = 4
"""Calls by which a customer that sends few may go before one that sends many, for a permit.

What waits for one is refused soon, so that its turn would be lost each time.
"""

AT_ONCE_SECONDS = 0.001
"""A target that answers sooner than this had the answer, so that it tells nothing of costs."""


def lane_of(record: CallRecord) -> Lane:
    """Return the queue that a call waits in."""
    return lane_for(record.call, record.level)


def dispatch(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Send a call to a target, or let it wait for one that has room."""
    if state.crashes.quarantine_seconds(record.call, now=now):
        return end_quarantined(state, record, now=now)
    lane = lane_of(record)
    others = any(True for _ in state.queue.customers(lane))
    choice = None if others else choose(state, record, now=now)
    if choice is not None:
        return start(state, record, choice, now=now)
    floor = min((state.fairness.served(n) for n in state.queue.customers(lane)), default=0.0)
    if all_limited(state, record.pool, now=now):
        floor -= PERMIT_CREDIT * record.cost.total
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
    return drain(state, lane, now=now) if others else []


def drain(state: ServingState, lane: Lane, *, now: float) -> list[Effect]:
    """Send waiting calls while targets have room, the least served customer's first.

    A lane without room is not looked at again for a while, so that many events cost little.
    """
    effects: list[Effect] = []
    while state.queue.has_ready(lane, now=now):
        started = _start_next(state, lane, now=now)
        if not started:
            state.queue.block(lane, until=now + BLOCK_SECONDS[lane.level])
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
    choice = choose(state, record, now=now)
    if choice is None:
        return []
    state.queue.remove(record.call.id)
    return start(state, record, choice, now=now)


def drain_all(state: ServingState, *, now: float) -> list[Effect]:
    """Send waiting calls of every lane, and none of one where that fails."""
    return [
        effect
        for lane in state.queue.lanes
        for effect in run_isolated(partial(drain, state, lane, now=now), name="The queue")
    ]


def start(state: ServingState, record: CallRecord, choice: Choice, *, now: float) -> list[Effect]:
    """Start the next attempt of a call."""
    call = record.call
    record.attempt_count += 1
    record.phase = Phase.RUNNING
    prefill = record.cost.prefill
    level = priority(
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
        priority=level,
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
    if call.model and record.pool.pace is None:
        _set_ageing(state, record, attempt, now=now)
        _set_hedge(state, record, choice, now=now)
    silence = silence_timeouts(call, first_token=choice.first_token)
    return [
        StartAttempt(
            call=call.id,
            attempt=attempt.number,
            targets=choice.targets,
            priority=level,
            resume_from=record.tokens,
            timeout=max(0.0, call.deadline - now),
            reserved=choice.reserved,
            first_token=choice.first_token,
            accounts=state.ledger.accounts,
            first_output_timeout=silence.first,
            output_gap_timeout=silence.gap,
            held_back=held_back,
        )
    ]


def _set_ageing(state: ServingState, record: CallRecord, attempt: Attempt, *, now: float) -> None:
    state.timers.set(
        at=now + ageing_period(record.cost.prefill),
        kind=TimerKind.AGE,
        call=record.call.id,
        attempt=attempt.number,
    )


def _set_hedge(state: ServingState, record: CallRecord, choice: Choice, *, now: float) -> None:
    """Hedge the first attempt at a short prompt, where its target stays silent for long."""
    if record.level is not Level.SHORT or record.attempt_count > 1:
        return
    expected = choice.wait + choice.work.seconds * max(1.0, record.cost.stretch)
    state.timers.set(
        at=now + hedge_delay(expected), kind=TimerKind.HEDGE, call=record.call.id, attempt=1
    )


def hedge(state: ServingState, record: CallRecord, number: int, *, now: float) -> list[Effect]:
    """Start a second attempt beside a silent one, where another target has room at once."""
    silent = record.attempts.get(number)
    if silent is None or len(record.attempts) > 1 or record.first_token is not None:
        return []
    if not record.may_run_beside(1) or state.crashes.quarantine_seconds(record.call, now=now):
        return []
    record.failed.update(silent.targets)
    choice = choose(state, record, now=now)
    record.failed.difference_update(silent.targets)
    if choice is None or choice.wait or choice.targets == silent.targets:
        return []
    if not state.retries.take(HEDGE_COST):
        return []
    return [observe(record, Observation.HEDGED), *start(state, record, choice, now=now)]


def age(state: ServingState, record: CallRecord, number: int, *, now: float) -> list[Effect]:
    """Raise the priority of an attempt that has waited long for its first token."""
    attempt = record.attempts.get(number)
    if attempt is None or attempt.first_token is not None:
        return []
    _set_ageing(state, record, attempt, now=now)
    level = priority(
        record.call,
        state.rules,
        prefill=record.cost.prefill,
        waited=now - record.arrived,
        demoted=state.fairness.exceeds(record.call.customer, now=now),
    )
    if level == attempt.priority:
        return []
    attempt.priority = level
    return [
        PrioritizeAttempt(call=record.call.id, attempt=number, target=name, priority=level)
        for name in attempt.targets
    ]


def first_token(
    state: ServingState, record: CallRecord, number: int, *, now: float
) -> list[Effect]:
    """Note the first token of an attempt; it ends the others, started as a hedge."""
    attempt = record.attempts.get(number)
    if attempt is None or attempt.first_token is not None:
        return []
    attempt.first_token = now
    state.fleet.prefilled(attempt.counted, work=attempt.work)
    state.ledger.read(call=record.call.id, attempt=number)
    effects = cancel_others(state, record, keep=number)
    alone = attempt.alone and not attempt.restarted
    if alone and now - attempt.started > AT_ONCE_SECONDS:
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


def progress(record: CallRecord, event: TokensArrived) -> None:
    """Note how much output a call has."""
    if event.attempt in record.attempts:
        record.tokens = max(record.tokens, event.tokens)


def ended(state: ServingState, record: CallRecord, event: AttemptEnded) -> list[Effect]:
    """Act on the end of an attempt: finish the call or try again."""
    # An attempt that was called off also tells how far the answer has come.
    record.tokens = max(record.tokens, event.tokens)
    attempt = record.attempts.pop(event.attempt, None)
    if attempt is None:
        return []
    now = event.now
    release(state, record, attempt)
    if event.end is AttemptEnd.COMPLETE:
        effects = _complete(state, record, attempt, event)
    elif event.end is AttemptEnd.REJECTED:
        effects = _rejected(state, record, event)
    else:
        effects = _failed(state, record, attempt, event)
    return effects + drain_all(state, now=now)


def _complete(
    state: ServingState, record: CallRecord, attempt: Attempt, event: AttemptEnded
) -> list[Effect]:
    for target in attempt.counted:
        state.fleet.succeeded(target)
    state.crashes.answered(record.call)
    since = attempt.started if attempt.first_token is None else attempt.first_token
    if record.attempt_count == 1:
        state.costs.observe_end(call=record.call, tokens=event.tokens, seconds=event.now - since)
    _correct_charge(state, record, event)
    return finish(state, record, error=None, outcome=ClaimOutcome.DONE, now=event.now)


def _correct_charge(state: ServingState, record: CallRecord, event: AttemptEnded) -> None:
    """Charge the customer for what the call took in place of what was predicted."""
    call = record.call
    if not call.model:
        return
    prefill = state.costs.prefill_seconds(
        model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=event.cached_tokens
    )
    decode = state.costs.decode_seconds(event.tokens)
    state.fairness.charge(call.customer, prefill + decode - record.cost.total, now=event.now)


def _rejected(state: ServingState, record: CallRecord, event: AttemptEnded) -> list[Effect]:
    error: AzureswitchError | None = event.error
    others_ran = record.may_have_run or bool(record.attempts)
    if error is None or (error.ran is Ran.NOT_RUN and others_ran):
        error = RetriesExhaustedError(attempts=record.attempt_count)
    not_run = error.ran is Ran.NOT_RUN
    outcome = ClaimOutcome.NOT_RUN if not_run else ClaimOutcome.UNKNOWN
    return finish(state, record, error=error, outcome=outcome, now=event.now)


def _failed(
    state: ServingState, record: CallRecord, attempt: Attempt, event: AttemptEnded
) -> list[Effect]:
    now = event.now
    refused = event.end is AttemptEnd.REFUSED
    record.may_have_run = record.may_have_run or not refused
    record.run_count += 0 if refused else 1
    _blame(state, record, attempt, event)
    if isinstance(event.error, TargetBrokenError):
        start = TargetStart(target=attempt.targets[0], started=attempt.start)
        state.crashes.record_crash(record.call, start, now=now)
    if not record.call.repeatable and not refused:
        error = OutcomeLostError()
        return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
    if record.attempts:
        return []
    return retry(state, record, now=now)


def _blame(
    state: ServingState,
    record: CallRecord,
    attempt: Attempt,
    event: AttemptEnded,
) -> None:
    """Keep a target that failed out of use; one that is merely full says when to come back.

    Of several the one that is said to be at fault is meant, and else the first, which answers.  The
    failure of a start that is over says nothing of the one that runs now.
    """
    if len(attempt.targets) > 1 and record.pool.pace is None:
        return
    target = event.at_fault or attempt.targets[0]
    if target in attempt.restarted:
        return
    if event.retry_after is not None and event.end is AttemptEnd.REFUSED:
        record.failed.add(target)
        state.fleet.full(target, seconds=event.retry_after, now=event.now)
    else:
        mark_failed(state, record, target, now=event.now)


def mark_failed(state: ServingState, record: CallRecord, target: TargetName, *, now: float) -> None:
    """Keep a target that failed out of use for a while, and this call away from it."""
    record.failed.add(target)
    longest = MAX_UNSHARED_EJECTION_SECONDS if record.call.unshared else MAX_EJECTION_SECONDS
    state.fleet.failed(target, now=now, longest=longest)


def retry(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Try a call again after a pause, or give it up at once where no retry is permitted."""
    if state.crashes.quarantine_seconds(record.call, now=now):
        return end_quarantined(state, record, now=now)
    record.retry_count += 1
    pause = _pause(state, record)
    in_time = now + pause < state.ends_by(record.call)
    more_runs = record.run_count < record.call.runs
    permitted = record.retry_count <= MAX_RETRIES and in_time and more_runs
    if not permitted or not state.retries.take():
        return give_up(state, record, now=now)
    retried = observe(record, Observation.RETRIED)
    if not pause:
        return [retried, *dispatch(state, record, now=now)]
    record.phase = Phase.BACKING_OFF
    state.timers.set(at=now + pause, kind=TimerKind.RETRY, call=record.call.id)
    return [retried]


def _pause(state: ServingState, record: CallRecord) -> float:
    """Return the seconds before a retry.

    The first one of a call that has an objective goes to another target at once: a pause of 25 to
    100 ms is more than such calls, and pauses in streams, can spare.
    """
    if record.retry_count == 1 and record.call.objective:
        return 0.0
    return backoff(record.retry_count, random=state.random)
