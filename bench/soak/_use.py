"""Which targets get work, checked: good ones do, those that leave and work for who left do not."""

from collections.abc import Iterator
from http import HTTPStatus

from azureswitch_standins.target import NoteKind
from bench.soak._documents import DESK, DRAIN_SECONDS, POOL
from bench.soak._evacuations import concerned
from bench.soak._limits import subject
from bench.soak._records import AFTERMATH, LENGTHY, REPEATABLE, STORE, STREAMS, Records, Window
from bench.soak._runs import LEAVE_SECONDS, SLACK, Runs

MOST_STRAGGLERS = 3
"""Requests that may be at work for longer than that."""

TROUBLES = ("target restarted", "foreign")
"""Kinds of trouble, by how they begin, beside which good targets must go on being used."""

MANY = 15
"""Answered requests of which one at least must have come to some good target."""

MANY_EACH = 60
"""Answered requests for each good target of which each must have got one.

Places are not taken in turn: of 72 requests in 3.3 s three good engines ran 58, 8 and 3.
"""


def check_drain(records: Records, runs: Runs) -> Iterator[str]:
    leaving = {n.target: n.at for n in records.notes if n.kind is NoteKind.DRAINING}
    for notes in runs.runs.values():
        for note in notes:
            at = leaving.get(note.target)
            call = records.calls.get(note.id)
            if at is None or call is None or note.at - at <= DRAIN_SECONDS + SLACK:
                continue
            subjects = (call.host, f"{call.host} planned", STORE, note.target)
            waited = note.at - call.sent > SLACK
            if not waited and not records.disturbed(subjects, begin=at, end=note.at):
                yield f"DRAIN: {note.id} ran at {note.target}, which left {note.at - at:.1f} s ago"


def check_gone(records: Records, runs: Runs) -> Iterator[str]:
    late = []
    for call in records.calls.values():
        if call.left is None or call.kind not in REPEATABLE:
            continue
        subjects = (call.host, f"{call.host} planned", *runs.targets(call))
        if records.disturbed(subjects, begin=call.sent, end=call.left + LEAVE_SECONDS):
            continue
        if records.were_silent(runs.targets(call), begin=call.sent, end=call.left + LEAVE_SECONDS):
            # What a silent target has not read yet cannot be called off.
            continue
        ends = [note.at for note in runs.over[call.id]]
        begun = [note.at for note in runs.runs[call.id]]
        if max((*ends, *begun, 0.0)) - call.left > LEAVE_SECONDS + SLACK:
            late.append(call.id)
    if len(late) > MOST_STRAGGLERS:
        yield f"GONE: still at work for callers who left: {', '.join(late)}"


def check_unused(records: Records, _: Runs) -> Iterator[str]:
    """While other targets are in trouble, those that nothing happens to go on being used."""
    for window in records.windows:
        if not window.kind.startswith(TROUBLES):
            continue
        ran = {
            note.target
            for note in records.notes
            if note.kind is NoteKind.RUN and window.begin <= note.at <= window.end
        }
        for service in (POOL, DESK):
            good = _good(records, service, window)
            sent = sum(
                (POOL if call.kind in STREAMS else DESK) == service
                and window.begin <= call.sent <= window.end
                for call in records.calls.values()
                if call.kind not in LENGTHY and call.status == HTTPStatus.OK
            )
            enough = sent >= MANY_EACH * len(good)
            idle = good - ran if enough else good if sent >= MANY and not good & ran else set()
            for name in sorted(idle):
                yield f"UNUSED: {name} got none of {sent} requests ({window.kind})"


def _good(records: Records, service: str, window: Window) -> set[str]:
    """Return the targets of a service that take requests, with no fault in a span or before it."""
    listed = {
        note.target
        for note in records.notes
        if note.kind is NoteKind.LISTED and note.at < window.begin - AFTERMATH
    }
    gone = {note.target for note in records.notes if note.kind is NoteKind.DRAINING}
    gone |= {other.subject for other in records.windows if other.kind == "target killed"}
    return {
        name
        for name in listed - gone
        if records.services.get(name) == service
        and not records.disturbed((name, subject(name), STORE), begin=window.begin, end=window.end)
        and not concerned(records, name, begin=window.begin, end=window.end)
    }
