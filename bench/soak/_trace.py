"""What is known of a call at which a promise was broken, for who cannot see the run's folder."""

from collections.abc import Iterable, Iterator
from pathlib import Path

from bench.soak._records import AFTERMATH, CallRecord, Records

MOST_CALLS = 3
"""Calls of a run that are traced."""

MOST_LETTERS = 400
"""Letters that are kept of a log line."""


def trace(broken: Iterable[str], *, records: Records, logs: Iterable[Path]) -> tuple[str, ...]:
    """Return lines on the calls that broken promises name: what they met and what hosts logged.

    Args:
        broken: The broken promises, a line each.
        records: All that is known of the run.
        logs: The logs of its hosts.
    """
    words = [word.strip(",:") for line in broken for word in line.split()]
    ids = [id for id in dict.fromkeys(words) if id in records.calls][:MOST_CALLS]
    start = min((call.sent for call in records.calls.values()), default=0.0)
    texts = [(log.stem, log.read_bytes().splitlines()) for log in logs]
    lines: list[str] = []
    for id in ids:
        call = records.calls[id]
        lines += [_summary(call, start), *_notes(id, records, start)]
        lines += [text for name, log in texts for text in _logged(id, name, log)]
        lines += _faults(call, records, start)
        lines += _silences(call, records, start)
    return tuple(lines)


def _summary(call: CallRecord, start: float) -> str:
    began = "its answer had begun" if call.begun else "no answer had begun"
    return (
        f"{call.id}: {call.kind.value} of {call.tokens} tokens to {call.host}, sent at "
        f"{call.sent - start:.3f} s, over at {call.ended - start:.3f} s with status {call.status}; "
        f"{began}, {len(call.body)} bytes came {call.ending}".rstrip()
    )


def _notes(id: str, records: Records, start: float) -> Iterator[str]:
    for note in records.notes:
        if note.id == id:
            yield f"{note.at - start:.3f} s, {note.target}: {note.kind.value}"


def _logged(id: str, name: str, log: list[bytes]) -> Iterator[str]:
    mark = f'"{id}"'.encode()
    for line in log:
        if mark in line:
            yield f"log of {name}: {line.decode()[:MOST_LETTERS]}"


def _faults(call: CallRecord, records: Records, start: float) -> Iterator[str]:
    for window in sorted(records.windows, key=lambda window: window.begin):
        if window.begin <= call.ended and call.sent <= window.end + AFTERMATH:
            begin, end = window.begin - start, window.end - start
            yield f"{begin:.3f} to {end:.3f} s, {window.subject}: {window.kind}"


def _silences(call: CallRecord, records: Records, start: float) -> Iterator[str]:
    ran = {note.target for note in records.notes if note.id == call.id}
    for silent in records.silences:
        if silent.target in ran and silent.begin <= call.ended and call.sent <= silent.end:
            begin, end = silent.begin - start, silent.end - start
            yield f"{begin:.3f} to {end:.3f} s, {silent.target}: silent"
