"""Handles targets that fall silent during an attempt, and those that go on."""

from azureswitch.core import Effect
from azureswitch.serving._ending import cancel_others
from azureswitch.serving._fleet import MAX_EJECTION_SECONDS, MAX_UNSHARED_EJECTION_SECONDS
from azureswitch.serving._state import ServingState
from azureswitch.serving.calls import Attempt, CallRecord
from azureswitch.serving.silence._beside import start_beside


def fall_silent(
    state: ServingState, record: CallRecord, number: int, *, path_lost: bool = False, now: float
) -> list[Effect]:
    """Start another attempt beside one that sends no data, if one may follow.

    The silent target is avoided then, until it sends output, unless only the path to it is lost.

    If none may follow, the target is awaited until the caller disconnects or the deadline passes:
    engines that prefill a prompt larger than the memory of one send nothing for 1 to 2 s and then
    continue.
    """
    attempt = record.attempts.get(number)
    if attempt is None:
        return []
    attempt.silent = True
    blamed = not attempt.restarted and not path_lost
    if blamed:
        state.crashes.record_silence(
            record.call,
            attempt.target_start,
            now=now,
            output_seconds=attempt.output_seconds(now),
        )
    effects = start_beside(state, record, now=now)
    if effects and blamed:
        _avoid(state, record, attempt, now=now)
    return effects


def go_on(state: ServingState, record: CallRecord, attempt: Attempt, *, now: float) -> list[Effect]:
    """Keep an attempt that has sent output, and cancel the others of its call.

    What was concluded from a silence of its target is taken back.
    """
    record.heard_at = now
    if attempt.silent:
        attempt.silent = False
        target = attempt.targets[0]
        record.failed.discard(target)
        state.fleet.resume(target, now=now)
        state.crashes.resumed(attempt.target_start)
    return cancel_others(state, record, keep=attempt.number) if len(record.attempts) > 1 else []


def _avoid(state: ServingState, record: CallRecord, attempt: Attempt, *, now: float) -> None:
    """Exclude a silent target from further attempts, and eject it for a while."""
    target = attempt.targets[0]
    record.failed.add(target)
    longest = MAX_UNSHARED_EJECTION_SECONDS if record.call.unshared else MAX_EJECTION_SECONDS
    state.fleet.eject_silent(target, now=now, longest=longest)
