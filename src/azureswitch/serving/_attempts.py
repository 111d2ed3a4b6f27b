"""The life of a call's attempts, from the first try to the one final answer."""

from azureswitch.core import Effect, TargetName
from azureswitch.exceptions import (
    AzureswitchError,
    DeadlineExceededBeforeRunError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    HostStoppedError,
    LeavingError,
    NoTargetError,
    OutcomeLostError,
    Ran,
    RetriesExhaustedError,
)
from azureswitch.serving._choice import Choice
from azureswitch.serving._effects import (
    CancelAttempt,
    ClaimOutcome,
    FinishCall,
    Observation,
    Observe,
    PrioritizeAttempt,
    SettleClaim,
    StartAttempt,
)
from azureswitch.serving._events import AttemptEnd, AttemptEnded, TokensArrived
from azureswitch.serving._fleet import EJECT_MOST, PACED_EJECT_MOST
from azureswitch.serving._length import Level, ageing_period, priority
from azureswitch.serving._queue import Lane
from azureswitch.serving._retries import (
    HEDGE_COST,
    MOST_RETRIES,
    backoff,
    hedge_after,
    hold_seconds,
    longest_backoff,
    patience,
)
from azureswitch.serving._routing import choose
from azureswitch.serving._state import Attempt, CallRecord, Phase, ServingState, TimerKind

BLOCK_SECONDS = {Level.SHORT: 0.02, Level.MIDDLE: 0.1, Level.LONG: 0.25}
"""Seconds for which a lane is not looked at again once no target had room for it."""

FULL_SECONDS = 1.0
"""Seconds for which an engine whose memory others hold gets no new work."""

AT_ONCE_SECONDS = 0.001
"""A target that answers sooner than this had the answer, so that it tells nothing of costs."""


def lane_of(record: CallRecord) -> Lane:
    """Return the queue that a call waits in."""
    return Lane(service=record.call.service, model=record.call.model, level=record.level)


def dispatch(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Send a call to a target, or let it wait for one that has room."""
    lane = lane_of(record)
    others = any(True for _ in state.queue.customers(lane))
    choice = None if others else choose(state, record, now=now)
    if choice is not None:
        return start(state, record, choice, now=now)
    floor = min((state.fairness.served(n) for n in state.queue.customers(lane)), default=0.0)
    state.fairness.lift(record.call.customer, floor)
    record.phase = Phase.WAITING
    if record.call.unshared:
        at = now + hold_seconds(record.call)
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
    while state.queue.open(lane, now=now):
        started = _start_next(state, lane, now=now)
        if not started:
            state.queue.block(lane, until=now + BLOCK_SECONDS[lane.level])
        effects += started
    return effects


def _start_next(state: ServingState, lane: Lane, *, now: float) -> list[Effect]:
    for call in state.queue.heads(lane, state.fairness.served):
        record = state.calls[call]
        choice = choose(state, record, now=now)
        if choice is not None:
            state.queue.remove(call)
            return start(state, record, choice, now=now)
    return []


def drain_all(state: ServingState, *, now: float) -> list[Effect]:
    """Send waiting calls of every lane."""
    return [effect for lane in state.queue.lanes for effect in drain(state, lane, now=now)]


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
    )
    record.attempts[attempt.number] = attempt
    if choice.occupancies:
        state.ledger.add(call=call.id, attempt=attempt.number, occupancies=choice.occupancies)
    else:
        state.fleet.add(choice.targets, work=choice.work, now=now)
    state.fairness.serve(call.customer, choice.work.seconds * len(choice.targets))
    for target in choice.targets:
        state.affinity.sent(target, call.prefix)
    if call.model and record.pool.pace is None:
        _set_ageing(state, record, attempt, now=now)
        _set_hedge(state, record, choice, now=now)
    silence = patience(call, first_token=choice.first_token)
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
            first_patience=silence.first,
            gap_patience=silence.gap,
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
        at=now + hedge_after(expected), kind=TimerKind.HEDGE, call=record.call.id, attempt=1
    )


def hedge(state: ServingState, record: CallRecord, number: int, *, now: float) -> list[Effect]:
    """Start a second attempt beside a silent one, where another target has room at once."""
    silent = record.attempts.get(number)
    if silent is None or len(record.attempts) > 1 or record.first_token is not None:
        return []
    record.failed.update(silent.targets)
    choice = choose(state, record, now=now)
    record.failed.difference_update(silent.targets)
    if choice is None or choice.wait or choice.targets == silent.targets:
        return []
    if not state.retries.take(HEDGE_COST):
        return []
    return [observe(record, Observation.HEDGED), *start(state, record, choice, now=now)]


def lose(state: ServingState, target: TargetName, *, now: float) -> list[Effect]:
    """Start the attempts at a target that answers no poll any more elsewhere.

    A call that may not repeat, or has no further attempt or no other target, stays: its answer may
    still come.
    """
    effects: list[Effect] = []
    for record in list(state.calls.values()):
        at = [a.number for a in record.attempts.values() if target in a.targets]
        if not at or not _may_follow(state, record, now=now):
            continue
        if not _has_other(state, record, target, now=now):
            continue
        record.failed.add(target)
        for number in at:
            effects += _cancel(state, record, number)
        if not record.attempts:
            effects += retry(state, record, now=now)
    return effects


def withdraw(state: ServingState, target: TargetName, *, now: float) -> list[Effect]:
    """Take back what waits at an engine whose memory others hold, to send it elsewhere.

    Two hosts may have sent to the same free memory at once.  What waits for it may stand before the
    very request that would free it, so that neither would ever run.
    """
    effects: list[Effect] = []
    state.fleet.full(target, seconds=FULL_SECONDS, now=now)
    for record in list(state.calls.values()):
        at = [
            attempt.number
            for attempt in record.attempts.values()
            if attempt.targets == (target,) and attempt.first_token is None
        ]
        if not at or not record.call.repeatable:
            continue
        for number in at:
            effects += _cancel(state, record, number)
        if not record.attempts:
            effects += dispatch(state, record, now=now)
    return effects


def silent(state: ServingState, record: CallRecord, number: int, *, now: float) -> list[Effect]:
    """Go on elsewhere with a call whose target writes nothing, where another attempt may follow.

    Where none may, the target is waited for until the caller leaves or its deadline comes.  Engines
    that read a prompt larger than one engine's memory write nothing for 1 to 2 s and then go on;
    broken off after the last permitted attempt, callers got neither the rest of an answer nor a
    refusal: two streams on a day of planned restarts, at engines that were alive.
    """
    attempt = record.attempts.get(number)
    if attempt is None or not _may_follow(state, record, now=now):
        return []
    if not _finds_target(state, record, attempt, now=now):
        return []
    effects = _cancel(state, record, number)
    _mark_failed(state, record, attempt.targets[0], now=now)
    if record.attempts:
        return effects
    return effects + retry(state, record, now=now)


def _may_follow(state: ServingState, record: CallRecord, *, now: float) -> bool:
    """Return whether another attempt is permitted if one that runs is called off."""
    pause = longest_backoff(record.retry_count + 1)
    in_time = now + pause < state.ends_by(record.call)
    more_runs = record.run_count + 1 < record.call.runs
    more_retries = record.retry_count < MOST_RETRIES and state.retries.permits()
    return record.call.repeatable and in_time and more_runs and more_retries


def _has_other(state: ServingState, record: CallRecord, target: TargetName, *, now: float) -> bool:
    """Return whether a call has a sound target beside one; each failed poll asks again."""
    return any(
        other.preferred(now) and other.target.name != target
        for other in state.fleet.states(record.pool)
    )


def _finds_target(state: ServingState, record: CallRecord, attempt: Attempt, *, now: float) -> bool:
    """Return whether a call would be sent at once, and not to the target that answers now."""
    if any(True for _ in state.queue.customers(lane_of(record))):
        return False
    left_out = set(attempt.targets) - record.failed
    record.failed.update(left_out)
    choice = choose(state, record, now=now)
    record.failed.difference_update(left_out)
    return choice is not None and choice.targets[0] != attempt.targets[0]


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
    state.fleet.prefilled(attempt.targets, work=attempt.work)
    state.ledger.read(call=record.call.id, attempt=number)
    effects = cancel_others(state, record, keep=number)
    if attempt.alone and now - attempt.started > AT_ONCE_SECONDS:
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


def observe(record: CallRecord, what: Observation, value: float = 1.0) -> Observe:
    """Return the effect that records a metric for a call."""
    return Observe(
        what=what,
        customer=record.call.customer,
        prompt_tokens=record.call.prompt_tokens,
        value=value,
    )


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
    _release(state, record, attempt)
    if event.end is AttemptEnd.COMPLETE:
        effects = _complete(state, record, attempt, event)
    elif event.end is AttemptEnd.REJECTED:
        effects = _rejected(state, record, event)
    else:
        effects = _failed(state, record, attempt, event)
    return effects + drain_all(state, now=now)


def _release(state: ServingState, record: CallRecord, attempt: Attempt) -> None:
    if attempt.first_token is None:
        state.fleet.prefilled(attempt.targets, work=attempt.work)
    state.fleet.remove(attempt.targets, work=attempt.work)
    state.ledger.remove(call=record.call.id, attempt=attempt.number)


def _complete(
    state: ServingState, record: CallRecord, attempt: Attempt, event: AttemptEnded
) -> list[Effect]:
    for target in attempt.targets:
        state.fleet.succeeded(target)
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
    _blame(state, record, attempt.targets, event)
    if not record.call.repeatable and not refused:
        error = OutcomeLostError()
        return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
    if record.attempts:
        return []
    return retry(state, record, now=now)


def _blame(
    state: ServingState,
    record: CallRecord,
    targets: tuple[TargetName, ...],
    event: AttemptEnded,
) -> None:
    """Keep a target that failed out of use; one that is merely full says when to come back.

    Of several the one that is said to be at fault is meant, and else the first, which answers.
    """
    if len(targets) > 1 and record.pool.pace is None:
        return
    target = event.at_fault or targets[0]
    if event.retry_after is not None and event.end is AttemptEnd.REFUSED:
        record.failed.add(target)
        state.fleet.full(target, seconds=event.retry_after, now=event.now)
    else:
        _mark_failed(state, record, target, now=event.now)


def _mark_failed(
    state: ServingState, record: CallRecord, target: TargetName, *, now: float
) -> None:
    record.failed.add(target)
    longest = PACED_EJECT_MOST if record.call.unshared else EJECT_MOST
    state.fleet.failed(target, now=now, longest=longest)


def retry(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Try a call again after a pause, or give it up at once where no retry is permitted."""
    record.retry_count += 1
    pause = _pause(state, record)
    in_time = now + pause < state.ends_by(record.call)
    more_runs = record.run_count < record.call.runs
    permitted = record.retry_count <= MOST_RETRIES and in_time and more_runs
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


def give_up(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Answer a call whose attempts are used up, at once and with the time to come back."""
    seconds = backoff(record.retry_count + 3, random=state.random)
    if record.may_have_run:
        error: AzureswitchError = RetriesExhaustedError(
            attempts=record.attempt_count, seconds=seconds
        )
        return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
    error = NoTargetError(seconds=seconds)
    return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)


def out_of_time(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call whose deadline has come."""
    if record.attempts or record.may_have_run:
        error: AzureswitchError = DeadlineExceededError()
        return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)
    error = DeadlineExceededBeforeRunError()
    return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)


def too_late(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """Give up on a waiting call that could no longer finish in its time."""
    if record.may_have_run:
        return give_up(state, record, now=now)
    error = DeadlineUnreachableError(seconds=backoff(5, random=state.random))
    return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)


def stop(state: ServingState, record: CallRecord, *, now: float) -> list[Effect]:
    """End a call that is open as this host stops, and say truly whether it may have run."""
    seconds = backoff(1, random=state.random)
    if not record.attempts and not record.may_have_run:
        error: AzureswitchError = LeavingError(seconds=seconds)
        return finish(state, record, error=error, outcome=ClaimOutcome.NOT_RUN, now=now)
    error = HostStoppedError(seconds=seconds) if record.call.repeatable else OutcomeLostError()
    return finish(state, record, error=error, outcome=ClaimOutcome.UNKNOWN, now=now)


def cancel_others(
    state: ServingState, record: CallRecord, *, keep: int | None = None
) -> list[Effect]:
    """Cancel the attempts of a call but one."""
    effects: list[Effect] = []
    for number in [number for number in record.attempts if number != keep]:
        effects += _cancel(state, record, number)
    return effects


def _cancel(state: ServingState, record: CallRecord, number: int) -> list[Effect]:
    attempt = record.attempts.pop(number)
    record.may_have_run = True
    record.run_count += 1
    _release(state, record, attempt)
    return [CancelAttempt(call=record.call.id, attempt=number, targets=attempt.targets)]


def finish(
    state: ServingState,
    record: CallRecord,
    *,
    error: AzureswitchError | None,
    outcome: ClaimOutcome,
    now: float,
) -> list[Effect]:
    """Give a call its one final answer and free what it holds."""
    call = record.call
    del state.calls[call.id]
    state.queue.remove(call.id)
    state.fleet.unsave(call.id)
    effects = cancel_others(state, record)
    if record.phase is Phase.CLAIMING:
        state.abandon_claim(call.id, now=now)
    if record.claimed:
        effects.append(SettleClaim(call=call.id, outcome=outcome))
    if error is not None and error.ran is Ran.NOT_RUN:
        state.fairness.charge(call.customer, -record.cost.total, now=now)
    effects.append(FinishCall(call=call.id, error=error))
    effects.append(observe(record, Observation.FINISHED if error is None else Observation.FAILED))
    return effects
