"""What targets did with each request."""

from collections import defaultdict

from azureswitch_standins.target import Note, NoteKind, seal
from bench.soak._records import CallRecord, Records

SLACK = 0.6
"""Seconds by which a bound of time may be missed on a machine that runs much else."""

LEAVE_SECONDS = 0.5
"""Seconds after which work for a caller who left must have ended."""


class Runs:
    """What targets did, by request."""

    def __init__(self, records: Records) -> None:
        self.runs: dict[str, list[Note]] = defaultdict(list)
        self.over: dict[str, list[Note]] = defaultdict(list)
        self.refused: dict[str, list[Note]] = defaultdict(list)
        kinds = {
            NoteKind.RUN: self.runs,
            NoteKind.OVER: self.over,
            NoteKind.REFUSED: self.refused,
        }
        for note in records.notes:
            if note.kind in kinds:
                kinds[note.kind][note.id].append(note)

    def seals(self, call: CallRecord) -> set[str]:
        """Return the marks of the starts of targets that ran a request."""
        return {seal(call.id, born=note.born) for note in self.runs[call.id]}

    def targets(self, call: CallRecord) -> set[str]:
        """Return the targets that ran a request."""
        return {note.target for note in self.runs[call.id]}
