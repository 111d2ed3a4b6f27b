"""The accepted configurations, as commands read them."""

from azureswitch.coordination.configuration import AuditEntry, Changes
from azureswitch.exceptions import RevisionNotFoundError, StoreNotFoundError
from azureswitch.inventory import Inventory, Rules, Snapshot, decode
from azureswitch.ports import Store

REACH = 100
"""Revisions that commands look back over at most."""

EMPTY = Snapshot(revision=0, inventory=Inventory(), rules=Rules())
"""What there is before the first change."""


class Revisions:
    """Reads accepted configurations, newest first.

    Args:
        store: The platform's store.
        patience: Seconds for which a change is tried while the store gives no clear answer.
    """

    def __init__(self, *, store: Store, patience: float) -> None:
        self._changes = Changes(store=store, patience=patience)

    @property
    def changes(self) -> Changes:
        """Accepts changes."""
        return self._changes

    async def head(self) -> Snapshot:
        """Return the newest configuration, or an empty one of revision 0.

        Raises:
            StoreUnavailableError: The store was not reached.
        """
        entry = await self._changes.head()
        return EMPTY if entry is None else await self.snapshot(entry)

    async def at(self, revision: int) -> Snapshot:
        """Return the configuration of a revision.

        Raises:
            RevisionNotFoundError: It is not held.
            StoreUnavailableError: The store was not reached.
        """
        if revision == 0:
            return EMPTY
        entries = await self.since(revision - 1)
        if not entries or entries[-1].revision != revision:
            raise RevisionNotFoundError(revision=revision)
        return await self.snapshot(entries[-1])

    async def since(self, revision: int) -> tuple[AuditEntry, ...]:
        """Return the entries after a revision, newest first, `REACH` at most."""
        head = await self._changes.head()
        if head is None or head.revision <= revision:
            return ()
        return await self._changes.history(limit=min(head.revision - revision, REACH))

    async def snapshot(self, entry: AuditEntry) -> Snapshot:
        """Return the configuration of an entry.

        Raises:
            RevisionNotFoundError: Its body is no longer kept.
            SnapshotUnreadableError: A newer version of the software wrote it.
            StoreUnavailableError: The store was not reached.
        """
        try:
            body = await self._changes.body(entry=entry)
        except StoreNotFoundError as error:
            raise RevisionNotFoundError(revision=entry.revision) from error
        return decode(body, revision=entry.revision)


async def head_revision(store: Store) -> int:
    """Return the newest accepted revision, or zero.

    Raises:
        StoreUnavailableError: The store was not reached.
    """
    entry = await Changes(store=store).head()
    return entry.revision if entry else 0
