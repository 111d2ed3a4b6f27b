"""Making one change, with the answer to every way in which it can end."""

from collections.abc import Callable
from uuid import uuid4

from azureswitch.commands._reports import ApplyReport, ConflictReport
from azureswitch.commands._revisions import Revisions
from azureswitch.exceptions import (
    ChangeOutcomeUnknownError,
    RevisionConflictError,
    RevisionNotFoundError,
    StoreUnavailableError,
)
from azureswitch.inventory import Snapshot, diff, encode

Edit = Callable[[Snapshot], Snapshot]
"""Makes the changed configuration out of the one of the base revision."""


async def propose(
    revisions: Revisions, *, base: int, edit: Edit, author: str, change: str | None
) -> ApplyReport | ConflictReport:
    """Make a change once.

    Args:
        revisions: The accepted configurations.
        base: The revision that the change is made from.
        edit: Makes the change.
        author: Who makes it.
        change: The id of an earlier try whose outcome is not known, or None for a new change.

    Returns:
        The accepted change, or what others changed first.

    Raises:
        ChangeOutcomeUnknownError: It is not known whether the change was accepted.
        RevisionNotFoundError: The base is above the newest revision.
        StoreUnavailableError: The store was not reached; nothing was written.
    """
    try:
        return await _propose(revisions, base, edit, author, change)
    except ChangeOutcomeUnknownError as error:
        raise ChangeOutcomeUnknownError(change=error.change, base=base) from error
    except StoreUnavailableError as error:
        if change is None:
            raise
        # The earlier try may have been accepted all the same.
        raise ChangeOutcomeUnknownError(change=change, base=base) from error


async def _propose(
    revisions: Revisions, base: int, edit: Edit, author: str, change: str | None
) -> ApplyReport | ConflictReport:
    try:
        old = await revisions.at(base)
    except RevisionNotFoundError:
        if not await revisions.since(base):
            raise
        return await _conflict(revisions, base)
    new = edit(old)
    differences = diff(old, new)
    if not differences:
        return await _unchanged(revisions, base, author)
    try:
        entry = await revisions.changes.propose(
            base=base,
            body=encode(inventory=new.inventory, rules=new.rules),
            author=author,
            change=change or uuid4().hex,
        )
    except RevisionConflictError:
        return await _conflict(revisions, base)
    return ApplyReport(
        revision=entry.revision, change=entry.change, author=entry.author, differences=differences
    )


async def _unchanged(revisions: Revisions, base: int, author: str) -> ApplyReport | ConflictReport:
    """Answer a change that is none, unless others have changed what it was made from."""
    if await revisions.since(base):
        return await _conflict(revisions, base)
    return ApplyReport(revision=base, change="", author=author, differences=())


async def _conflict(revisions: Revisions, base: int) -> ConflictReport:
    entries = await revisions.since(base)
    head = await revisions.head()
    try:
        differences = diff(await revisions.at(base), head)
    except RevisionNotFoundError:
        differences = ()
    return ConflictReport(base=base, head=head.revision, entries=entries, differences=differences)
