"""Checks of what must always hold, by what callers saw and stand-ins counted."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import Enum

from msgspec import Struct

from azureswitch_load._outcome import Attempt, End, Outcome
from azureswitch_standins.engine import EngineCounters
from azureswitch_standins.service import ServiceCounters

TIME_SLACK = 1.0
"""Seconds that the way to the caller may add to a request's time."""


class Promise(Enum):
    """What must always hold."""

    IN_TIME = "finishes_or_fails_in_time"
    MEMORY = "engine_memory_returned"
    WHOLE = "whole_answer_to_own_request"
    NOT_RUN = "not_run_did_not_run"
    ONCE = "non_idempotent_at_most_once"
    LEAVING = "leaving_target_gets_no_new_work"
    GRACEFUL = "graceful_shutdown_cuts_nothing"
    CONFIGURATION = "configuration_in_force_and_kept"


class Violation(Struct, frozen=True, kw_only=True):
    """A promise that was broken.

    Attributes:
        promise: The promise.
        detail: Where it was.
    """

    promise: Promise
    detail: str


class Runs(Struct, frozen=True, kw_only=True):
    """What stand-ins ran.

    Attributes:
        by_request: Runs by request id, over all engines and service targets.
        by_key: Runs by Idempotency-Key, over all service targets.
    """

    by_request: Mapping[str, int]
    by_key: Mapping[str, int]


def sum_runs(*, engines: Iterable[EngineCounters], services: Iterable[ServiceCounters]) -> Runs:
    """Return what stand-ins ran together."""
    requests: Counter[str] = Counter()
    keys: Counter[str] = Counter()
    for engine in engines:
        requests.update(engine.runs)
    for service in services:
        requests.update(service.by_request)
        keys.update(service.by_key)
    return Runs(by_request=requests, by_key=keys)


def check_outcomes(*, outcomes: Sequence[Outcome]) -> Iterator[Violation]:
    """Yield where a caller waited too long, or got neither its own whole answer nor a failure."""
    for attempt in _attempts(outcomes):
        if attempt.seconds > attempt.timeout + TIME_SLACK:
            yield Violation(promise=Promise.IN_TIME, detail=_describe(attempt))
        elif attempt.end in (End.WRONG, End.BROKEN):
            yield Violation(promise=Promise.WHOLE, detail=_describe(attempt))


def check_runs(*, outcomes: Sequence[Outcome], runs: Runs) -> Iterator[Violation]:
    """Yield where a request ran that a caller was told did not, or ran more than once."""
    for attempt in _attempts(outcomes):
        if attempt.ran == "not_run" and runs.by_request.get(attempt.request, 0):
            yield Violation(promise=Promise.NOT_RUN, detail=_describe(attempt))
    for outcome in outcomes:
        count = runs.by_key.get(outcome.key, 0) if outcome.key else 0
        if count > 1 or (count == 0 and outcome.key and outcome.whole):
            detail = f"{outcome.key} ran {count} times, {_describe(outcome.last)}"
            yield Violation(promise=Promise.ONCE, detail=detail)


def check_engines(*, engines: Mapping[str, EngineCounters]) -> Iterator[Violation]:
    """Yield the idle engines whose memory is not free."""
    for name, engine in engines.items():
        if engine.memory_used or engine.holdings:
            detail = f"{name} holds {engine.memory_used} tokens in {engine.holdings} holdings"
            yield Violation(promise=Promise.MEMORY, detail=detail)


def count_violations(*, violations: Iterable[Violation]) -> dict[str, int]:
    """Return how often each promise was broken, zero included."""
    counts = Counter(violation.promise for violation in violations)
    return {promise.value: counts[promise] for promise in Promise}


def _attempts(outcomes: Sequence[Outcome]) -> Iterator[Attempt]:
    for outcome in outcomes:
        yield from outcome.attempts


def _describe(attempt: Attempt) -> str:
    return (
        f"request {attempt.request or '-'} at {attempt.entry}, sent at {attempt.sent:.2f} s: "
        f"{attempt.end.value} {attempt.code} after {attempt.seconds:.2f} of {attempt.timeout:.2f} s"
    )
