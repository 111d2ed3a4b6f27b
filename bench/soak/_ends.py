"""How requests end, checked: in time, and with a whole answer or a refusal once they were read."""

from collections.abc import Iterator
from math import inf

from bench.soak._documents import GRACE_SECONDS
from bench.soak._keepers import OVERTIME, Ending
from bench.soak._records import AWAY, REPEATABLE, STREAMS, CallRecord, Records
from bench.soak._runs import SLACK, Runs

EXIT_SECONDS = 0.6
"""Seconds before the end of the time of grace at which hosts may end what is open: they do so 0.4 s
before it, and SIGTERM was sent a moment before they counted."""

EARLY_SECONDS = 0.1
"""Seconds before a deadline at which a host may end a request: they do so some 15 ms before it."""


def check_endless(records: Records, _: Runs) -> Iterator[str]:
    """A request ends in its time."""
    for call in records.calls.values():
        if call.left is not None or not call.reached:
            continue
        late = call.ended - call.deadline > SLACK
        subjects = (call.host, f"{call.host} planned")
        if late and not records.disturbed(subjects, begin=call.sent, end=call.ended):
            yield f"TIME: {call.id} ended {call.ended - call.deadline:.1f} s after its deadline"


def check_lost(records: Records, runs: Runs) -> Iterator[str]:
    """A request that was read ends with a whole answer or a typed refusal.

    Excused is what happened to its host other than planned work.  A stream that had begun cannot be
    refused any more: it is also excused where its target failed, at its deadline, and where it
    outlasted its host's time of grace, which is known by the time since SIGTERM was sent.  That its
    target was silent excuses nothing, however long it was, nor does it where another one failed.
    """
    for call in records.calls.values():
        if not _unanswered(call) or not _was_read(records, runs, call):
            continue
        faults = [window for window in records.windows if window.kind != AWAY]
        without = Records(windows=faults)
        if without.disturbed((call.host,), begin=call.sent, end=call.ended, after=SLACK):
            continue
        if not (call.begun and _may_break_off(records, runs, call)):
            yield f"LOST: {call.id} was broken off at {call.host}"


def _unanswered(call: CallRecord) -> bool:
    """Return whether a host ended a connection without a whole answer."""
    waited = call.deadline + OVERTIME - SLACK
    return call.status == 0 and call.left is None and call.reached and call.ended < waited


def _was_read(records: Records, runs: Runs, call: CallRecord) -> bool:
    """Return whether a host has read a request: log, target or kernel say so."""
    logged = (call.host, call.id) in records.read
    return logged or bool(runs.runs[call.id]) or call.ending == Ending.READ.value


def _may_break_off(records: Records, runs: Runs, call: CallRecord) -> bool:
    """Return whether a stream that had begun may be broken off."""
    deadline = min(call.deadline, call.sent + records.admitted.get(f"{call.host} {call.id}", inf))
    late = call.ended > deadline - EARLY_SECONDS
    failed = _way_failed(records, runs, call)
    return call.kind in STREAMS and (late or failed or _outlasted(records, call))


def _way_failed(records: Records, runs: Runs, call: CallRecord) -> bool:
    """Return whether a stream was broken off because a target or carrier of it failed.

    A failure of a target excuses where its answer had begun and ended by itself, and its host gave
    up no other attempt for that.  Where no log says so, none of the targets may have been sound and
    merely silent.
    """
    span = {"begin": call.sent, "end": call.ended}
    failures = Records(windows=[window for window in records.windows if not window.silent])
    targets = records.broken.get(f"{call.host} {call.id}")
    if targets is None:
        targets = tuple(runs.targets(call))
        sound = {target for target in targets if not failures.disturbed((target,), **span)}
        if records.were_silent(sound, **span):
            return False
    ways = (*targets, *records.carriers(call))
    return bool(ways) and failures.disturbed(ways, **span)


def _outlasted(records: Records, call: CallRecord) -> bool:
    name = f"{call.host} planned"
    return any(
        window.subject == name and call.ended - window.begin > GRACE_SECONDS - EXIT_SECONDS
        for window in records.windows
        if window.begin <= call.ended <= window.end + SLACK
    )


def check_crossed(records: Records, runs: Runs) -> Iterator[str]:
    """A request that may not repeat crosses no close that its caller could not know of."""
    for call in records.calls.values():
        unread = call.ending == Ending.UNREAD.value and not _was_read(records, runs, call)
        if not unread or call.told or call.kind in REPEATABLE:
            continue
        if not records.disturbed((call.host,), begin=call.sent, end=call.ended):
            yield f"CROSSED: {call.id} came upon a connection that {call.host} was closing"


def crossed(records: Records) -> tuple[int, int]:
    """Return how many requests crossed a close unread, and how many of them may not repeat.

    Behind a proxy this cannot be told from a host at which nobody listens.
    """
    runs = Runs(records)
    calls = [
        call
        for call in records.calls.values()
        if call.ending == Ending.UNREAD.value and not _was_read(records, runs, call)
    ]
    return len(calls), sum(call.kind not in REPEATABLE for call in calls)
