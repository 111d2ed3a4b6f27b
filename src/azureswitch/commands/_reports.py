"""What commands on the configuration print."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

from msgspec import Struct

from azureswitch.commands._base import outcome, text
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._tables import table
from azureswitch.coordination.configuration import AuditEntry
from azureswitch.inventory import Difference, Inventory, Rules


class CheckReport(Struct, frozen=True, kw_only=True):
    """A file that was accepted.

    Attributes:
        file: The file.
        contents: What it holds, as a phrase.
        size: Bytes that it takes as a stored configuration.
    """

    file: str
    contents: str
    size: int


class ShowReport(Struct, frozen=True, kw_only=True):
    """One part of one revision.

    Attributes:
        revision: The revision; zero for none.
        value: The part.
        ini: The part as a file.
    """

    revision: int
    value: Inventory | Rules
    ini: str


class DiffReport(Struct, frozen=True, kw_only=True):
    """What a file would change.

    Attributes:
        revision: The newest revision, which it was compared with.
        differences: What differs.
    """

    revision: int
    differences: tuple[Difference, ...]


class ApplyReport(Struct, frozen=True, kw_only=True):
    """A change that was accepted, or that changes nothing.

    Attributes:
        revision: The revision that holds it.
        change: Its id; empty where nothing had to change.
        author: Who made it.
        differences: What it changed.
    """

    revision: int
    change: str
    author: str
    differences: tuple[Difference, ...]


class ConflictReport(Struct, frozen=True, kw_only=True):
    """A change that was refused because others came first; nothing was written.

    Attributes:
        error: The stable name of the failure.
        base: The revision that the change was made from.
        head: The newest revision.
        entries: The changes since the base, newest first.
        differences: What they changed together; empty where the base is no longer held.
    """

    error: str = "revision_conflict"
    base: int
    head: int
    entries: tuple[AuditEntry, ...]
    differences: tuple[Difference, ...]


class HistoryRow(Struct, frozen=True, kw_only=True):
    """One accepted change.

    Attributes:
        entry: Its audit entry.
        differences: What it changed in the part asked for, or None where it is no longer held.
    """

    entry: AuditEntry
    differences: tuple[Difference, ...] | None


class HistoryReport(Struct, frozen=True, kw_only=True):
    """Accepted changes, newest first.

    Attributes:
        rows: The changes.
        verified: How many entries of the audit trail were checked against each other's digests;
            zero where that was not asked for.
    """

    rows: tuple[HistoryRow, ...]
    verified: int


@text.register
def _(report: CheckReport) -> str:
    return f"{report.file} is good: {report.contents}; {report.size:,} bytes stored."


@text.register
def _(report: ShowReport) -> str:
    return f"# revision {report.revision}\n{report.ini}".rstrip()


@text.register
def _(report: DiffReport) -> str:
    if not report.differences:
        return f"Nothing differs from revision {report.revision}."
    return f"Compared with revision {report.revision}:\n{difference_table(report.differences)}"


@text.register
def _(report: ApplyReport) -> str:
    if not report.change:
        return f"Nothing to change; revision {report.revision} holds the same."
    head = f"Revision {report.revision} by {report.author} is accepted (change {report.change})."
    return f"{head}\n{difference_table(report.differences)}"


@text.register
def _(report: ConflictReport) -> str:
    lines = [
        f"{report.error}: The change is based on revision {report.base}, "
        f"but {report.head} was accepted first. Nothing was written. Changes since:",
        entry_table(report.entries),
    ]
    if report.differences:
        lines += ["Together they changed:", difference_table(report.differences)]
    return "\n".join(lines)


@outcome.register
def _(report: ConflictReport) -> ExitCode:
    return ExitCode.CONFLICT


@text.register
def _(report: HistoryReport) -> str:
    if not report.rows:
        return "No changes."
    heading = (*_ENTRY_HEADING, "CHANGED")
    rows = ((*_entry_cells(row.entry), _summary(row.differences)) for row in report.rows)
    lines = [table(heading, rows)]
    if report.verified:
        lines.append(f"{report.verified} entries of the audit trail are as they were accepted.")
    return "\n".join(lines)


_ENTRY_HEADING = ("REVISION", "ACCEPTED", "AUTHOR", "CHANGE")


def entry_table(entries: Iterable[AuditEntry]) -> str:
    """Return audit entries as a table."""
    return table(_ENTRY_HEADING, map(_entry_cells, entries))


def difference_table(differences: Iterable[Difference]) -> str:
    """Return differences as a table, a row for each field that changed."""
    heading = ("SECTION", "CHANGE", "KEY", "OLD", "NEW")
    return table(heading, (row for item in differences for row in _difference_rows(item)))


def _difference_rows(difference: Difference) -> Iterator[tuple[str, ...]]:
    title = f"[{difference.section}]"
    if not difference.fields:
        yield (title, difference.kind.value, "", "", "")
    for field in difference.fields:
        yield (title, difference.kind.value, field.key, field.old, field.new)


def _entry_cells(entry: AuditEntry) -> tuple[str, ...]:
    accepted = datetime.fromtimestamp(entry.accepted / 1000, UTC).isoformat(timespec="seconds")
    return (str(entry.revision), accepted, entry.author, entry.change)


_SUMMARY_SECTIONS = 3
"""Sections that a row of the history names; the rest are counted."""


def _summary(differences: tuple[Difference, ...] | None) -> str:
    if differences is None:
        return "no longer held"
    names = [f"[{item.section}] {item.kind.value}" for item in differences[:_SUMMARY_SECTIONS]]
    more = len(differences) - len(names)
    return ", ".join(names + ([f"{more} more"] if more > 0 else []))
