"""Takes attempts away from targets that are silent, unreachable, full, or have started again.

An attempt that may run is called off only where another one may follow: else a caller's answer
would be broken off in the middle, though its target may be about to go on.
"""

from collections.abc import Callable
from functools import partial

from azureswitch.core import Effect, TargetName
from azureswitch.serving._attempts import dispatch, lane_of, mark_failed, retry
from azureswitch.serving._effects import Observation
from azureswitch.serving._ending import cancel, observe, run_step
from azureswitch.serving._retries import MAX_RETRIES, max_backoff
from azureswitch.serving._routing import choose
from azureswitch.serving._state import Attempt, CallRecord, ServingState

FULL_SECONDS = 1.0
"""Seconds for which an engine whose memory others hold gets no new work."""


def replace_silent(
    state: ServingState, record: CallRecord, number: int, *, now: float
) -> list[Effect]:
    """Go on elsewhere with a call whose target writes nothing, where another attempt may follow.

    Where none may, the target is waited for until the caller leaves or its deadline comes: engines
    that read a prompt larger than one engine's memory write nothing for 1 to 2 s and then go on.
    """
    attempt = record.attempts.get(number)
    if attempt is None or not _may_follow(state, record, now=now):
        return []
    if not _finds_target(state, record, attempt, now=now):
        return []
    effects = cancel(state, record, number)
    if not attempt.restarted:
        mark_failed(state, record, attempt.targets[0], now=now)
    if record.attempts:
        return effects
    return effects + retry(state, record, now=now)


def leave_unreachable(state: ServingState, target: TargetName, *, now: float) -> list[Effect]:
    """Start the attempts at a target that answers no poll any more elsewhere.

    A call that may not repeat, or has no further attempt or no other target, stays: its answer may
    still come.
    """
    return _for_each(state, partial(_lose, target=target), now=now)


def _lose(
    state: ServingState, record: CallRecord, *, target: TargetName, now: float
) -> list[Effect]:
    at = [a.number for a in record.attempts.values() if target in a.targets]
    if not at or not _may_follow(state, record, now=now):
        return []
    if not _has_other(state, record, target, now=now):
        return []
    record.failed.add(target)
    effects = [effect for number in at for effect in cancel(state, record, number)]
    if record.attempts:
        return effects
    return effects + retry(state, record, now=now)


def restart_attempts(
    state: ServingState, targets: frozenset[TargetName], *, now: float
) -> list[Effect]:
    """Start the attempts at targets that have started again anew, there or elsewhere.

    A call that may not repeat stays, and so does one for which no further try is permitted or
    whose answer has begun: its connection tells the truth, whenever the new start was told.  Of a
    process that was ended it breaks off by itself, at once.  Told late, by a store that is slow or
    down, the attempt may have reached the start that runs now, and its answer comes.  Only the
    connection to a machine that is gone stays silent, which is noticed as any silence is; a call
    that may not repeat ends at its deadline.
    """
    return _for_each(state, partial(_resend, targets=targets), now=now)


def _resend(
    state: ServingState, record: CallRecord, *, targets: frozenset[TargetName], now: float
) -> list[Effect]:
    """Cancel the lost attempts of a call, and try again at once where no other one runs."""
    record.failed -= targets
    for attempt in record.attempts.values():
        attempt.restarted |= targets.intersection(attempt.targets)
    lost = [attempt.number for attempt in record.attempts.values() if attempt.lost]
    if not lost or not record.call.repeatable:
        return []
    others = len(record.attempts) > len(lost)
    if not others and not _may_follow(state, record, now=now, runs=len(lost)):
        return []
    effects = [effect for number in lost for effect in cancel(state, record, number)]
    if others:
        return effects
    record.retry_count += 1
    state.retries.take()
    retried = observe(record, Observation.RETRIED)
    return [*effects, retried, *dispatch(state, record, now=now)]


def withdraw(state: ServingState, target: TargetName, *, now: float) -> list[Effect]:
    """Take back what waits at an engine whose memory others hold, to send it elsewhere.

    Two hosts may have sent to the same free memory at once.  What waits for it may stand before the
    very request that would free it, so that neither would ever run.

    Whether it has begun is not known for sure, so it counts as a run, and the last one that the
    route permits is waited for.
    """
    state.fleet.full(target, seconds=FULL_SECONDS, now=now)
    return _for_each(state, partial(_withdraw, target=target), now=now)


def _withdraw(
    state: ServingState, record: CallRecord, *, target: TargetName, now: float
) -> list[Effect]:
    at = [
        attempt.number
        for attempt in record.attempts.values()
        if attempt.targets == (target,) and attempt.first_token is None
    ]
    others = len(record.attempts) > len(at)
    if not at or not (others or record.may_run_beside(len(at))):
        return []
    effects = [effect for number in at for effect in cancel(state, record, number)]
    if others:
        return effects
    return effects + dispatch(state, record, now=now)


def _for_each(
    state: ServingState, step: Callable[..., list[Effect]], *, now: float
) -> list[Effect]:
    """Take a step for each open call."""
    return [
        effect
        for record in list(state.calls.values())
        for effect in run_step(state, record, partial(step, state, record, now=now), now=now)
    ]


def _may_follow(state: ServingState, record: CallRecord, *, now: float, runs: int = 1) -> bool:
    """Return whether another attempt is permitted if so many that run are called off."""
    pause = max_backoff(record.retry_count + 1)
    in_time = now + pause < state.ends_by(record.call)
    more_retries = record.retry_count < MAX_RETRIES and state.retries.permits()
    held_back = state.crashes.quarantine_seconds(record.call, now=now) > 0.0
    return record.may_run_beside(runs) and in_time and more_retries and not held_back


def _has_other(state: ServingState, record: CallRecord, target: TargetName, *, now: float) -> bool:
    """Return whether a call has a sound target beside one; each failed poll asks again."""
    return any(
        other.preferred(now) and other.target.name != target
        for other in state.fleet.states(record.pool)
    )


def _finds_target(state: ServingState, record: CallRecord, attempt: Attempt, *, now: float) -> bool:
    """Return whether a call would be sent at once, and not to the target that answers now.

    Where one of its targets has started again, that explains the silence, and all may be used.
    """
    if any(True for _ in state.queue.customers(lane_of(record))):
        return False
    if attempt.restarted:
        return choose(state, record, now=now) is not None
    left_out = set(attempt.targets) - record.failed
    record.failed.update(left_out)
    choice = choose(state, record, now=now)
    record.failed.difference_update(left_out)
    return choice is not None and choice.targets[0] != attempt.targets[0]
