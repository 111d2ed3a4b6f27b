"""What must hold, checked by what callers saw and what targets did."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from azureswitch_standins.target import answer_body, event, event_count
from bench.soak._documents import (
    APPLY_SECONDS,
    EXTRA_KEY,
    KEYS,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW,
)
from bench.soak._ends import check_crossed, check_endless, check_lost
from bench.soak._evacuations import kept as kept_evacuations
from bench.soak._limits import kept
from bench.soak._partitions import served_alike
from bench.soak._parts import few_sends
from bench.soak._records import REPEATABLE, STORE, STREAMS, CallRecord, Change, Records
from bench.soak._runs import LEAVE_SECONDS, SLACK, Runs
from bench.soak._use import check_drain, check_gone, check_unused

PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that say that a request has not run and never will."""

MOST_RUNS = 2
"""Targets that may run one request, by the configuration."""

Check = Callable[[Records, Runs], Iterable[str]]


def check(records: Records) -> list[str]:
    """Return a line for each promise that was broken."""
    runs = Runs(records)
    return [*records.findings, *(line for one in CHECKS for line in one(records, runs))]


def _twice(records: Records, runs: Runs) -> Iterator[str]:
    for call in records.calls.values():
        count = len(runs.runs[call.id])
        if call.kind not in REPEATABLE and count > 1:
            yield f"TWICE: {call.id} ran {count} times"


def _attempts(records: Records, runs: Runs) -> Iterator[str]:
    for call in records.calls.values():
        count = len(runs.targets(call))
        calm = not records.disturbed(runs.targets(call), begin=call.sent, end=call.ended)
        if call.kind in STREAMS and count > MOST_RUNS and calm:
            yield f"ATTEMPTS: {call.id} ran at {count} targets"


def _refused(records: Records, runs: Runs) -> Iterator[str]:
    for call in records.calls.values():
        if call.kind not in REPEATABLE and call.status in PROMISES and runs.runs[call.id]:
            yield f"REFUSED: {call.id} got {call.status} and ran"


def _unasked(records: Records, runs: Runs) -> Iterator[str]:
    holders = {key: name for name, key in KEYS.items()} | {EXTRA_KEY: "ann"}
    for notes in runs.runs.values():
        for note in notes:
            call = records.calls.get(note.id)
            if call is None:
                yield f"UNASKED: {note.id} ran and nobody sent it"
            elif note.digest != call.digest:
                yield f"UNASKED: {note.id} ran with another method, path or body"
            elif note.customer != holders[call.key] or note.keyed:
                yield f"UNASKED: {note.id} ran as {note.customer!r}, key passed: {note.keyed}"
            elif note.left > call.deadline - call.sent + LEAVE_SECONDS:
                yield f"UNASKED: {note.id} was given {note.left:.1f} s"


def _mixed(records: Records, runs: Runs) -> Iterator[str]:
    for call in records.calls.values():
        if call.status == HTTPStatus.OK:
            if call.seal not in runs.seals(call) or call.body != _expected(call):
                yield f"MIXED: {call.id} got {len(call.body)} bytes that are not its answer"
        elif call.status and call.seal and not runs.runs[call.id]:
            yield f"MIXED: {call.id} got {call.status} with a seal and did not run"
        elif not call.status and not _expected(call).startswith(call.body):
            yield f"ORDER: {call.id} got events that are not its own before it broke off"


def _expected(call: CallRecord) -> bytes:
    if call.kind not in STREAMS:
        return answer_body(call.id)
    return b"".join(event(call.id, n) for n in range(1, event_count(call.id) + 1))


def _configuration(records: Records, _: Runs) -> Iterator[str]:
    highest: dict[tuple[str, int], int] = defaultdict(int)
    for sample in records.samples:
        before = highest[sample.host, sample.start]
        if sample.version < before:
            yield f"CONFIG: {sample.host} went from {before} back to {sample.version}"
        highest[sample.host, sample.start] = max(before, sample.version)
        due = _in_force(records, sample.at)
        subjects = (sample.host, f"{sample.host} planned", STORE)
        began = 0.0 if due is None else due.at
        calm = not records.disturbed(subjects, begin=began, end=sample.at)
        if due is not None and sample.version < due.version and calm:
            behind = sample.at - due.at
            yield f"CONFIG: {sample.host} has {sample.version}, {due.version} is {behind:.1f} s old"


def _in_force(records: Records, at: float) -> Change | None:
    """Return the newest change that must be in force everywhere by a time."""
    due = [c for c in records.changes if c.at + APPLY_SECONDS + SLACK <= at]
    return max(due, key=lambda change: change.version, default=None)


def _keys(records: Records, runs: Runs) -> Iterator[str]:
    """The extra key is taken while it is valid, and not while it is not."""
    for call in records.calls.values():
        subjects = (call.host, f"{call.host} planned", STORE)
        due = _in_force(records, call.sent)
        if due is None or records.disturbed(subjects, begin=due.at, end=call.ended):
            continue
        later = [c for c in records.changes if c.version > due.version and c.at <= call.ended + 1]
        valid = due.extra or call.key != EXTRA_KEY
        if any(change.extra != due.extra for change in later):
            continue
        if valid and call.status == HTTPStatus.UNAUTHORIZED:
            yield f"DENIED: {call.id} was refused a key that is valid"
        if not valid and runs.runs[call.id]:
            yield f"ROUTE: {call.id} ran by a key that was taken away"


def _limits(records: Records, _: Runs) -> Iterator[str]:
    """Hosts together keep to the limits that targets name."""
    return kept(records)


def _evacuated(records: Records, _: Runs) -> Iterator[str]:
    """Nothing new reaches an evacuated failure domain, and what runs there is not cut off."""
    return kept_evacuations(records)


def _budget(records: Records, runs: Runs) -> Iterator[str]:
    """Repeated sends stay within the budget that all hosts share."""
    repeats = []
    for id in runs.runs.keys() | runs.refused.keys():
        times = sorted(note.at for note in (*runs.runs[id], *runs.refused[id]))
        repeats.extend(times[1:])
    sent = sorted(call.sent for call in records.calls.values())
    repeats.sort()
    for index, begin in enumerate(repeats):
        inside = sum(at <= begin + RETRY_WINDOW for at in repeats[index:])
        requests = sum(begin - RETRY_WINDOW <= at <= begin + RETRY_WINDOW for at in sent)
        if inside > RETRY_RATIO * requests + RETRY_SLACK:
            yield f"BUDGET: {inside} repeats in {RETRY_WINDOW:.0f} s for {requests} requests"
            return


CHECKS: tuple[Check, ...] = (
    _twice,
    _attempts,
    _refused,
    _unasked,
    _mixed,
    check_endless,
    check_lost,
    check_crossed,
    check_drain,
    check_gone,
    check_unused,
    _configuration,
    _keys,
    _limits,
    _evacuated,
    lambda records, _: (*served_alike(records), *few_sends(records)),
    _budget,
)
