"""``azureswitch inventory`` and ``azureswitch rules``: check, diff, apply, show, history."""

from itertools import pairwise
from pathlib import Path

from cleo.helpers import argument, option

from azureswitch.commands._base import Connections, OperatorCommand
from azureswitch.commands._numbers import count
from azureswitch.commands._parts import Part
from azureswitch.commands._propose import propose
from azureswitch.commands._reports import (
    ApplyReport,
    CheckReport,
    ConflictReport,
    DiffReport,
    HistoryReport,
    HistoryRow,
    ShowReport,
)
from azureswitch.commands._revisions import EMPTY, Revisions
from azureswitch.coordination.configuration import AuditEntry
from azureswitch.exceptions import RevisionNotFoundError
from azureswitch.inventory import Difference, Snapshot, diff, encode

HISTORY_ROWS = 20
"""Changes that the history shows where no limit is given."""

_FILE = argument("file", description="The file.")


class PartCommand(OperatorCommand):
    """A command on one part of the configuration."""

    verb = ""
    summary = ""

    def __init__(self, *, connections: Connections, part: Part) -> None:
        self._part = part
        self.name = f"{part.name} {self.verb}"
        self.description = self.summary.format(part=part.name)
        super().__init__(connections=connections)

    @property
    def path(self) -> Path:
        """The file that the command line names."""
        return Path(self.argument("file"))

    def own(self, old: Snapshot, new: Snapshot) -> tuple[Difference, ...]:
        """Return what differs in this part."""
        return tuple(item for item in diff(old, new) if self._part.owns(item))


class CheckCommand(PartCommand):
    """Checks a file and reaches nothing."""

    verb = "check"
    summary = "Check a file of {part}."
    arguments = [_FILE]  # noqa: RUF012 - cleo's own way to declare them.

    async def report(self) -> CheckReport:
        """Check the file."""
        loaded = self._part.load(self.path, into=EMPTY)
        body = encode(inventory=loaded.inventory, rules=loaded.rules)
        contents = self._part.contents(loaded)
        return CheckReport(file=str(self.path), contents=contents, size=len(body))


class DiffCommand(PartCommand):
    """Compares a file with the newest revision."""

    verb = "diff"
    summary = "Show what a file of {part} would change."
    arguments = [_FILE]  # noqa: RUF012

    async def report(self) -> DiffReport:
        """Compare the file."""
        self._part.load(self.path, into=EMPTY)
        head = await self.revisions.head()
        new = self._part.load(self.path, into=head)
        return DiffReport(revision=head.revision, differences=self.own(head, new))


class ApplyCommand(PartCommand):
    """Makes a file the next revision."""

    verb = "apply"
    summary = "Apply a file of {part}, made from the revision given by --base."
    arguments = [_FILE]  # noqa: RUF012
    options = [  # noqa: RUF012
        *OperatorCommand.options,
        option("base", "b", description="The revision that the file was made from.", flag=False),
        option("change", description="The id of a try whose outcome is not known.", flag=False),
    ]

    async def report(self) -> ApplyReport | ConflictReport:
        """Apply the file."""
        base = count(self, "base")
        self._part.load(self.path, into=EMPTY)
        return await propose(
            self.revisions,
            base=base,
            edit=lambda old: self._part.load(self.path, into=old),
            author=self.author,
            change=self.option("change"),
        )


class ShowCommand(PartCommand):
    """Prints one part of a revision as a file."""

    verb = "show"
    summary = "Print the {part} of the newest or a given revision as a file."
    options = [  # noqa: RUF012
        *OperatorCommand.options,
        option("revision", "r", description="The revision; the newest if left out.", flag=False),
    ]

    async def report(self) -> ShowReport:
        """Read the revision."""
        revisions = self.revisions
        asked = self.option("revision") is not None
        snapshot = await (revisions.at(count(self, "revision")) if asked else revisions.head())
        return ShowReport(
            revision=snapshot.revision,
            value=self._part.value(snapshot),
            ini=self._part.ini(snapshot),
        )


class HistoryCommand(PartCommand):
    """Prints the audit trail."""

    verb = "history"
    summary = "Show who changed the {part}, when and how, newest first."
    options = [  # noqa: RUF012
        *OperatorCommand.options,
        option("limit", "l", "Changes to look at.", flag=False, default=str(HISTORY_ROWS)),
        option("verify", description="Check that each entry holds the digest of the one before."),
    ]

    async def report(self) -> HistoryReport:
        """Read the trail, and the configurations that are still held."""
        revisions = self.revisions
        limit = count(self, "limit")
        entries = await revisions.changes.history(limit=limit + 1)
        snapshots = [await _held(revisions, entry) for entry in entries]
        if entries and entries[-1].revision == 1:
            snapshots.append(EMPTY)
        rows = (
            self._row(entry, old, new)
            for entry, (new, old) in zip(entries, pairwise(snapshots), strict=False)
        )
        kept = tuple(row for row in rows if row.differences is None or row.differences)
        verified = await revisions.changes.verify(limit=limit) if self.option("verify") else 0
        return HistoryReport(rows=kept[:limit], verified=verified)

    def _row(self, entry: AuditEntry, old: Snapshot | None, new: Snapshot | None) -> HistoryRow:
        if old is None or new is None:
            return HistoryRow(entry=entry, differences=None)
        return HistoryRow(entry=entry, differences=self.own(old, new))


async def _held(revisions: Revisions, entry: AuditEntry) -> Snapshot | None:
    try:
        return await revisions.snapshot(entry)
    except RevisionNotFoundError:
        return None
