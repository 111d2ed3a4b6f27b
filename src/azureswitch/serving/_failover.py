"""Moves attempts off targets that are unreachable, out of memory, or have restarted.

An attempt that may be running is cancelled only if another one may follow.  Otherwise the caller's
answer would be cut off although its target may still continue.
"""

from collections.abc import Callable
from functools import partial

from azureswitch.core import Effect, TargetName
from azureswitch.serving._attempts import retry
from azureswitch.serving._dispatch import dispatch
from azureswitch.serving._effects import Observation
from azureswitch.serving._ending import cancel, observe, run_step
from azureswitch.serving._state import ServingState
from azureswitch.serving.calls import CallRecord
from azureswitch.serving.evacuation._apply import is_evacuated
from azureswitch.serving.silence._beside import choose_other, may_follow

FULL_SECONDS = 1.0
"""Seconds for which an engine gets no new work if requests wait there for memory."""


def leave_unreachable(state: ServingState, target: TargetName, *, now: float) -> list[Effect]:
    """Move attempts off a target that no longer answers polls.

    A call stays if it may not be repeated, if no further attempt is permitted, or if no other
    healthy target has room for it: its answer may still arrive.
    """
    return _for_each(state, partial(_lose, target=target), now=now)


def _lose(
    state: ServingState, record: CallRecord, *, target: TargetName, now: float
) -> list[Effect]:
    at = [a.number for a in record.attempts.values() if target in a.targets]
    if not at or not may_follow(state, record, now=now, runs=len(record.attempts)):
        return []
    if not _has_other(state, record, target, now=now):
        return []
    if choose_other(state, record, now=now) is None:
        return []
    record.failed.add(target)
    effects = [effect for number in at for effect in cancel(state, record, number)]
    if record.attempts:
        return effects
    return effects + retry(state, record, now=now)


def restart_attempts(
    state: ServingState, targets: frozenset[TargetName], *, now: float
) -> list[Effect]:
    """Replace attempts at targets that have restarted by new ones, there or elsewhere.

    A call stays if it may not be repeated, if no further attempt is permitted, if no target has
    room for it, or if its answer has begun.  The state of its connection then decides, whenever the
    restart became known: the connection to a process that has ended breaks at once.  If a slow or
    unavailable store delayed the notice of the restart, the attempt may have reached the new
    process, whose answer arrives.  Only the connection to a machine that is gone stays silent,
    which is handled like any other silence; a call that may not be repeated then ends at its
    deadline.
    """
    return _for_each(state, partial(_resend, targets=targets), now=now)


def _resend(
    state: ServingState, record: CallRecord, *, targets: frozenset[TargetName], now: float
) -> list[Effect]:
    """Cancel the lost attempts of a call, and retry at once if no other attempt runs."""
    record.failed -= targets
    for attempt in record.attempts.values():
        attempt.restarted |= targets.intersection(attempt.targets)
    lost = [attempt.number for attempt in record.attempts.values() if attempt.lost]
    if not lost or not record.call.repeatable:
        return []
    others = [attempt for attempt in record.attempts.values() if not attempt.lost]
    if others and all(attempt.first_token is None for attempt in others):
        # One that has sent no output may still be refused, or fail.
        return []
    if not others and not may_follow(state, record, now=now, runs=len(lost)):
        return []
    if not others and choose_other(state, record, now=now) is None:
        # The attempt may be running at the new process.
        return []
    effects = [effect for number in lost for effect in cancel(state, record, number)]
    if others:
        return effects
    record.retry_count += 1
    state.retries.take()
    retried = observe(record, Observation.RETRIED)
    return [*effects, retried, *dispatch(state, record, now=now)]


def withdraw(state: ServingState, target: TargetName, *, now: float) -> list[Effect]:
    """Cancel attempts that wait at an engine whose memory is taken, and send them elsewhere.

    Two hosts may have sent to the same free memory at once.  An attempt that waits for memory may
    be queued ahead of the request that would free it, and neither would ever run: a deadlock.

    Whether the attempt has begun is uncertain, so it counts as a run, and the last run that the
    route permits is awaited.
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
    if not others and is_evacuated(state, record.pool, now=now):
        # No other target may take the call, so that it would be ended while it may still run.
        return []
    effects = [effect for number in at for effect in cancel(state, record, number)]
    if others:
        return effects
    return effects + dispatch(state, record, now=now)


def _for_each(
    state: ServingState, step: Callable[..., list[Effect]], *, now: float
) -> list[Effect]:
    """Run a step for each open call and return all effects."""
    return [
        effect
        for record in list(state.calls.values())
        for effect in run_step(state, record, partial(step, state, record, now=now), now=now)
    ]


def _has_other(state: ServingState, record: CallRecord, target: TargetName, *, now: float) -> bool:
    """Return whether a call has another healthy target; checked again on each failed poll."""
    return any(
        other.preferred(now) and other.target.name != target
        for other in state.fleet.states(record.pool)
    )
