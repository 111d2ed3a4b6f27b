"""Persists quarantined requests, which crash targets, in the platform's store.

Live hosts exchange quarantined requests among themselves; the store preserves them if all hosts die
at once.  A host reads the store when it starts, and once more a little later, because a read may
return data that is seconds old.  Other programs may write there too; invalid entries are skipped.
"""

from asyncio import Event, sleep
from collections.abc import Awaitable, Callable
from hashlib import sha256
from time import time

import msgspec
from absl import logging

from azureswitch.core import CustomerName, TargetName
from azureswitch.decoding import UNDECODED
from azureswitch.exceptions import StoreConflictError, StoreError, StoreNotFoundError
from azureswitch.platform._foreign import Foreign, ForeignTracker, undecoded
from azureswitch.platform._store import HttpStore
from azureswitch.ports import StoredObject
from azureswitch.serving import QUARANTINE_SECONDS, CrashReport, TargetStart
from azureswitch.tasks import Tasks

QUARANTINE_KIND = "azureswitch-quarantine"
"""The kind of object that holds quarantined requests."""

SECOND_READ_SECONDS = 6.0
"""Seconds between the two reads at a start; the first may return data some seconds old."""

MIN_BACKOFF_SECONDS = 0.25
"""Seconds before the first retry of a failed call to the store."""

MAX_BACKOFF_SECONDS = 5.0
"""Upper bound of the backoff between retries, in seconds."""

DUPLICATE_SECONDS = 60.0
"""Seconds by which the last crash in a stored entry may be earlier than the one to be written.

An entry within them that has as many crashes is kept, since hosts that saw the same crashes need
not each write them.
"""

NAME_DIGITS = 32
"""Hexadecimal digits of a digest in the name of an object."""


class StoredCrashes(msgspec.Struct, frozen=True, kw_only=True):
    """A quarantined request, as the store holds it.

    Attributes:
        customer: The customer that sent it.
        fingerprint: Identifies the request.
        crashes: The target processes that crashed, as the target's name and its start time in
            milliseconds of its wall clock.
        at: Time of the last crash, in milliseconds of a host's wall clock.
        before: Milliseconds between each crash and the last one; hosts of an older version omit it.
    """

    customer: CustomerName
    fingerprint: str
    crashes: tuple[tuple[TargetName, int], ...]
    at: int
    before: tuple[int, ...] = ()


class StoreQuarantine:
    """Writes quarantined requests to the store, and reads them when a host starts.

    Args:
        store: The platform's store.
        recalled: Called with the reports that the store holds.
        foreign: Records the invalid entries.
        clock: Returns seconds of the wall clock.
    """

    def __init__(
        self,
        *,
        store: HttpStore,
        recalled: Callable[[tuple[CrashReport, ...]], None],
        foreign: ForeignTracker,
        clock: Callable[[], float] = time,
    ) -> None:
        self._store = store
        self._recalled = recalled
        self._foreign = foreign
        self._clock = clock
        self._read = Event()
        self._written: dict[str, StoredCrashes] = {}
        self._tasks = Tasks(prefix="quarantine")

    def keep(self, report: CrashReport) -> None:
        """Write a quarantined request to the store in the background, with retries."""
        kept = StoredCrashes(
            customer=report.customer,
            fingerprint=report.fingerprint,
            crashes=tuple((start.target, start.started) for start in report.crashes),
            at=int((self._clock() - report.age) * 1_000),
            before=tuple(int((age - report.age) * 1_000) for age in report.ages),
        )
        self._written[_name(customer=kept.customer, fingerprint=kept.fingerprint)] = kept
        self._spawn(kept)

    def remove(self, report: CrashReport) -> None:
        """Remove a request from the store that is no longer quarantined."""
        name = _name(customer=report.customer, fingerprint=report.fingerprint)
        self._written.pop(name, None)
        work = _retry(lambda: self._remove(name))
        self._tasks.spawn(work, name=f"remove {report.fingerprint}")

    def write_again(self) -> None:
        """Write all entries again, because a restored store may lack some."""
        for kept in self._written.values():
            self._spawn(kept)

    async def wait_read(self) -> None:
        """Wait until the store has been read once."""
        await self._read.wait()

    async def run(self) -> None:
        """Read the quarantined requests twice, and then run until cancelled."""
        await self._recall()
        await sleep(SECOND_READ_SECONDS)
        await self._recall()
        # Later changes arrive from the other hosts.
        await Event().wait()

    async def stop(self, *, timeout: float) -> None:
        """Cancel writes in progress, and wait at most ``timeout`` seconds for them to end."""
        await self._tasks.stop(timeout=timeout)

    def _spawn(self, kept: StoredCrashes) -> None:
        self._tasks.spawn(self._keep(kept), name=f"keep {kept.fingerprint}")

    async def _recall(self) -> None:
        await _retry(self._read_all)

    async def _read_all(self) -> None:
        listing = await self._store.list(kind=QUARANTINE_KIND, stale=True)
        entries = [(item, _kept(item)) for item in listing.items]
        self._foreign.set_entries(
            QUARANTINE_KIND, (kept for _, kept in entries if isinstance(kept, Foreign))
        )
        known = [(item, kept) for item, kept in entries if isinstance(kept, StoredCrashes)]
        self._recalled(tuple(self._report(kept) for _, kept in known))
        self._written = {
            name: kept
            for name, kept in self._written.items()
            if self._age(kept) < QUARANTINE_SECONDS
        }
        self._read.set()
        for item, kept in known:
            if self._age(kept) >= QUARANTINE_SECONDS:
                await self._delete(item)

    async def _keep(self, kept: StoredCrashes) -> None:
        name = _name(customer=kept.customer, fingerprint=kept.fingerprint)
        await _retry(lambda: self._write(name, kept))

    async def _write(self, name: str, kept: StoredCrashes) -> None:
        if self._written.get(name) is not kept:
            # It was removed or replaced in the meantime.
            return
        value = msgspec.json.encode(kept)
        try:
            await self._store.create(kind=QUARANTINE_KIND, name=name, value=value)
            return
        except StoreConflictError:
            pass
        known = await self._store.get(kind=QUARANTINE_KIND, name=name, strict=False)
        written = _kept(known)
        if isinstance(written, StoredCrashes) and _covers(written, kept):
            return
        await self._store.update(
            kind=QUARANTINE_KIND, name=name, value=value, version=known.version
        )

    async def _remove(self, name: str) -> None:
        try:
            known = await self._store.get(kind=QUARANTINE_KIND, name=name, strict=False)
            await self._store.delete(kind=QUARANTINE_KIND, name=name, version=known.version)
        except StoreNotFoundError:
            return

    async def _delete(self, item: StoredObject) -> None:
        """Remove an expired entry, which another host may have removed already."""
        try:
            await self._store.delete(kind=QUARANTINE_KIND, name=item.name, version=item.version)
        except StoreNotFoundError:
            return
        except StoreError as error:
            logging.info(
                "quarantine: An expired entry could not be removed: %s",
                error,
            )

    def _report(self, kept: StoredCrashes) -> CrashReport:
        return CrashReport(
            customer=kept.customer,
            fingerprint=kept.fingerprint,
            crashes=tuple(TargetStart(target=name, started=at) for name, at in kept.crashes),
            age=self._age(kept),
            ages=tuple(self._age(kept) + before / 1_000 for before in kept.before),
        )

    def _age(self, kept: StoredCrashes) -> float:
        return max(0.0, self._clock() - kept.at / 1_000)


async def _retry(call: Callable[[], Awaitable[None]]) -> None:
    """Retry a call to the store with exponential backoff until it succeeds."""
    backoff = MIN_BACKOFF_SECONDS
    while True:
        try:
            await call()
            return
        except StoreError as error:
            if backoff == MIN_BACKOFF_SECONDS:
                logging.warning("quarantine: The store does not answer: %s", error)
        await sleep(backoff)
        backoff = min(MAX_BACKOFF_SECONDS, 2.0 * backoff)


def _covers(written: StoredCrashes, kept: StoredCrashes) -> bool:
    """Return whether the entry in the store is recent and complete enough to be kept."""
    late = written.at < kept.at - DUPLICATE_SECONDS * 1_000
    return not late and len(written.crashes) >= len(kept.crashes)


def _name(*, customer: CustomerName, fingerprint: str) -> str:
    """Return the name of an object: a digest, as customers' names may hold invalid characters."""
    digest = sha256(f"{customer}\n{fingerprint}".encode())
    return digest.hexdigest()[:NAME_DIGITS]


def _kept(item: StoredObject) -> StoredCrashes | Foreign:
    try:
        return msgspec.json.decode(item.value, type=StoredCrashes)
    except UNDECODED as error:
        return undecoded(error, name=item.name, version=item.version)
