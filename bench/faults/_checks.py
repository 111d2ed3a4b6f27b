"""What must hold under the faults, by what callers saw and stand-ins counted.

A caller whose own entry host is killed loses its connection, and one whose entry host is paused
waits for as long as the pause: these two are told apart by the times of the faults, and nothing
else is excused.
"""

from collections.abc import Iterable, Iterator

from azureswitch_load import Attempt, End, Outcome, Promise, Violation
from bench.faults._windows import Fault, Windows

SLACK = 1.0
"""Seconds that the way to the caller may add."""

PAUSES = frozenset({Fault.ENTRY_PAUSED, Fault.ENTRY_KILLED})


def lost_connections(*, outcomes: Iterable[Outcome], windows: Windows) -> int:
    """Return how many requests lost their connection because their entry host was killed."""
    return sum(
        attempt.end is End.BROKEN and _killed(attempt, windows)
        for outcome in outcomes
        for attempt in outcome.attempts
    )


def check_callers(*, outcomes: Iterable[Outcome], windows: Windows) -> Iterator[Violation]:
    """Yield where a caller waited too long, or got a cut answer or another one's."""
    for outcome in outcomes:
        for attempt in outcome.attempts:
            yield from _check(attempt, windows)


def _check(attempt: Attempt, windows: Windows) -> Iterator[Violation]:
    if attempt.end is End.WRONG:
        yield Violation(promise=Promise.WHOLE, detail=_describe(attempt))
    if attempt.end is End.BROKEN and not _killed(attempt, windows):
        yield Violation(promise=Promise.WHOLE, detail=_describe(attempt))
    if attempt.seconds > attempt.timeout + _paused(attempt, windows) + SLACK:
        yield Violation(promise=Promise.IN_TIME, detail=_describe(attempt))


def _killed(attempt: Attempt, windows: Windows) -> bool:
    found = windows.overlapping(
        subject=attempt.entry,
        faults=(Fault.ENTRY_KILLED,),
        begin=attempt.sent,
        end=attempt.sent + attempt.seconds,
    )
    return bool(found)


def _paused(attempt: Attempt, windows: Windows) -> float:
    found = windows.overlapping(
        subject=attempt.entry,
        faults=PAUSES,
        begin=attempt.sent,
        end=attempt.sent + attempt.seconds,
    )
    return sum(window.end - window.begin for window in found)


def _describe(attempt: Attempt) -> str:
    return (
        f"request {attempt.request or '-'} at {attempt.entry}, sent at {attempt.sent:.2f} s, "
        f"{attempt.end.value} {attempt.code} after {attempt.seconds:.2f} of {attempt.timeout:.2f} s"
    )
