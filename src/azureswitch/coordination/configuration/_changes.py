"""Acceptance of operators' changes, and their audit trail."""

from asyncio import get_running_loop, sleep
from asyncio import timeout as deadline
from collections.abc import AsyncIterator, Callable
from time import time

from absl import logging

from azureswitch.coordination.configuration._limits import (
    ATTEMPT_TIMEOUT_SECONDS,
    AUDIT_KIND,
    BASE_CHANGE_BACKOFF_SECONDS,
    BODY_KIND,
    CHANGE_TIMEOUT_SECONDS,
    HEAD_KIND,
    HEAD_NAME,
    MAX_BODIES,
    MAX_BODY_BYTES,
    STORE_TIMEOUT_SECONDS,
)
from azureswitch.coordination.configuration._model import (
    AuditEntry,
    audit_name,
    digest_of,
    read_entry,
)
from azureswitch.exceptions import (
    AuditChainBrokenError,
    ChangeOutcomeUnknownError,
    ChangeReusedError,
    RevisionConflictError,
    SnapshotTooLargeError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from azureswitch.ports import Store, StoredObject


class Changes:
    """Accepts changes and reads their audit trail.

    A change is accepted by one conditional update of the head object, which commits revision, body
    digest and audit entry together.  The body is stored, and the entry of the head that is replaced
    is archived, before that update, so neither can be missing.

    Args:
        store: The platform's store.
        clock: Returns the wall clock in seconds, for the audit trail.
        patience: Seconds for which a change is retried while its outcome is unknown.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Callable[[], float] = time,
        patience: float = CHANGE_TIMEOUT_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._patience = patience

    async def propose(self, *, base: int, body: bytes, author: str, change: str) -> AuditEntry:
        """Make a body the next revision after ``base``; the operation is idempotent.

        A change that was accepted before is found by its id, even if others have been accepted
        since, and is not applied again.

        Args:
            base: The revision that the change is based on; zero for the first one.
            body: The whole configuration.
            author: The author of the change.
            change: The unique id of the change.

        Returns:
            The accepted entry.

        Raises:
            RevisionConflictError: Another change was accepted first.
            ChangeReusedError: The id belongs to an accepted change with another body.
            SnapshotTooLargeError: The body is too large.
            ChangeOutcomeUnknownError: It may have been accepted; propose it again with the same id.
            StoreUnavailableError: The store cannot be reached; nothing was accepted.
        """
        if len(body) > MAX_BODY_BYTES:
            raise SnapshotTooLargeError(size=len(body), limit=MAX_BODY_BYTES)
        proposal = _Proposal(
            store=self._store,
            base=base,
            body=body,
            author=author,
            change=change,
            accepted=int(self._clock() * 1000),
        )
        entry = await self._retry(proposal)
        logging.info("configuration: Revision %d by %s is accepted.", entry.revision, author)
        await self._delete_expired_body(entry)
        return entry

    async def head(self) -> AuditEntry | None:
        """Return the newest entry, or None before the first change.

        Raises:
            StoreUnavailableError: The store cannot be reached.
        """
        found = await read_head(self._store)
        return None if found is None else read_entry(name=HEAD_NAME, value=found.value)

    async def body(self, *, entry: AuditEntry) -> bytes:
        """Return the body of an entry.

        Raises:
            StoreNotFoundError: It is older than the bodies that are kept.
        """
        found = await self._store.get(kind=BODY_KIND, name=entry.body_name)
        return found.value

    async def history(self, *, limit: int) -> tuple[AuditEntry, ...]:
        """Return up to ``limit`` entries, newest first; each takes one read of the store."""
        return tuple([entry async for entry, _ in self._entries(limit)])

    async def verify(self, *, limit: int | None = None) -> int:
        """Check that each entry contains the digest of the previous one.

        Args:
            limit: The number of newest entries to check; None for all.

        Returns:
            The number of checked entries.

        Raises:
            AuditChainBrokenError: An entry is missing or is not the one that was accepted.
        """
        checked = 0
        following: AuditEntry | None = None
        async for entry, value in self._entries(limit):
            if following is not None and following.previous != digest_of(value):
                raise AuditChainBrokenError(revision=entry.revision)
            following = entry
            checked += 1
        if following is not None and following.revision == 1 and following.previous:
            raise AuditChainBrokenError(revision=0)
        return checked

    async def _entries(self, limit: int | None) -> AsyncIterator[tuple[AuditEntry, bytes]]:
        found = await read_head(self._store)
        count = 0
        while found is not None and (limit is None or count < limit):
            entry = read_entry(name=found.name, value=found.value)
            yield entry, found.value
            count += 1
            found = await self._previous_entry(entry)

    async def _previous_entry(self, entry: AuditEntry) -> StoredObject | None:
        if entry.revision == 1:
            return None
        try:
            return await self._store.get(kind=AUDIT_KIND, name=audit_name(entry.revision - 1))
        except StoreNotFoundError as error:
            raise AuditChainBrokenError(revision=entry.revision - 1) from error

    async def _retry(self, proposal: "_Proposal") -> AuditEntry:
        """Retry until the store has confirmed whether the change was accepted."""
        ends = get_running_loop().time() + self._patience
        pause = BASE_CHANGE_BACKOFF_SECONDS
        while True:
            try:
                async with deadline(ATTEMPT_TIMEOUT_SECONDS):
                    entry = await proposal.attempt()
            except (StoreUnavailableError, StoreOutcomeUnknownError, TimeoutError) as error:
                if get_running_loop().time() + pause >= ends:
                    raise proposal.failure() from error
                await sleep(pause)
                pause *= 2
                continue
            if entry is not None:
                return entry

    async def _delete_expired_body(self, entry: AuditEntry) -> None:
        old = entry.revision - MAX_BODIES
        if old < 1:
            return
        try:
            async with deadline(STORE_TIMEOUT_SECONDS):
                found = await self._store.get(kind=AUDIT_KIND, name=audit_name(old))
                name = read_entry(name=found.name, value=found.value).body_name
                stored = await self._store.get(kind=BODY_KIND, name=name)
                await self._store.delete(kind=BODY_KIND, name=name, version=stored.version)
        except (StoreError, TimeoutError):
            # A body that is not deleted only takes up space.
            logging.info("configuration: The body of revision %d was not deleted.", old)


class _Proposal:
    """A proposed change."""

    def __init__(
        self, *, store: Store, base: int, body: bytes, author: str, change: str, accepted: int
    ) -> None:
        self._store = store
        self._base = base
        self._body = body
        self._author = author
        self._change = change
        self._accepted = accepted
        self._digest = digest_of(body)
        self._sent = False

    def failure(self) -> Exception:
        """Return the error to raise when the retries have timed out."""
        if self._sent:
            return ChangeOutcomeUnknownError(change=self._change)
        return StoreUnavailableError(key=f"{HEAD_KIND}/{HEAD_NAME}")

    async def attempt(self) -> AuditEntry | None:
        """Read the head and replace it.

        Returns:
            The accepted entry, or None if another change was accepted in the meantime.
        """
        found = await read_head(self._store)
        head = None if found is None else read_entry(name=HEAD_NAME, value=found.value)
        if head is not None and head.revision != self._base:
            return await self._resolve(head)
        if head is None and self._base != 0:
            raise RevisionConflictError(base=self._base, head=0, author="")
        entry = self._entry(None if found is None else found.value)
        await self._create(kind=BODY_KIND, name=entry.body_name, value=self._body)
        if found is None or head is None:
            return await self._commit(entry, None)
        await self._create(kind=AUDIT_KIND, name=head.audit_name, value=found.value)
        return await self._commit(entry, found)

    async def _resolve(self, head: AuditEntry) -> AuditEntry:
        """Return the entry of the revision after the base, if it is this change."""
        rival = head
        if self._base + 1 < head.revision:
            name = audit_name(self._base + 1)
            found = await self._store.get(kind=AUDIT_KIND, name=name)
            rival = read_entry(name=name, value=found.value)
        if rival.change != self._change or rival.base != self._base:
            raise RevisionConflictError(
                base=self._base, head=head.revision, author=rival.author, change=rival.change
            )
        if rival.digest != self._digest:
            raise ChangeReusedError(change=self._change, revision=rival.revision)
        return rival

    async def _commit(self, entry: AuditEntry, found: StoredObject | None) -> AuditEntry | None:
        try:
            if found is None:
                # From here on, a lost answer may belong to an accepted change.
                self._sent = True
                await self._store.create(kind=HEAD_KIND, name=HEAD_NAME, value=entry.stored)
            else:
                self._sent = True
                await self._store.update(
                    kind=HEAD_KIND, name=HEAD_NAME, value=entry.stored, version=found.version
                )
        except StoreConflictError:
            return None
        return entry

    async def _create(self, *, kind: str, name: str, value: bytes) -> None:
        try:
            await self._store.create(kind=kind, name=name, value=value)
        except StoreConflictError:
            # The name determines the content, so the existing object is the same.
            return

    def _entry(self, previous: bytes | None) -> AuditEntry:
        return AuditEntry(
            revision=self._base + 1,
            base=self._base,
            change=self._change,
            author=self._author,
            accepted=self._accepted,
            digest=self._digest,
            previous="" if previous is None else digest_of(previous),
        )


async def read_head(store: Store) -> StoredObject | None:
    """Return the head object, or None before the first change."""
    try:
        return await store.get(kind=HEAD_KIND, name=HEAD_NAME)
    except StoreNotFoundError:
        return None
