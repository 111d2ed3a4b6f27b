"""The requests that crash targets, kept in the platform's store for when all hosts have died.

Hosts that live tell each other of them.  One that starts reads what the store holds, at once and
again a little later, as such a reading may be seconds old.  Another program may write there too: an
entry that tells of no request is passed over.
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
"""Our own kind of object."""

SECOND_READING = 6.0
"""Seconds between the two readings at a start; the first one may be some seconds old."""

PAUSE_FIRST = 0.25
"""Seconds before a call to the store that failed is made again, at first."""

PAUSE_MOST = 5.0
"""The same after many failures."""

SAME_SECONDS = 60.0
"""Seconds within which hosts that saw the same crashes need not each write them."""

NAME_DIGITS = 32
"""Digits of a digest that name an object."""


class KeptCrashes(msgspec.Struct, frozen=True, kw_only=True):
    """A request under which targets crashed.

    Attributes:
        customer: Whose it is.
        fingerprint: Tells it from other requests.
        crashes: Starts of targets, as their names and the milliseconds of their wall clocks.
        at: When it last broke off, in milliseconds of a host's wall clock.
        before: How many milliseconds before that each of the crashes was; hosts of an older version
            leave it out.
    """

    customer: CustomerName
    fingerprint: str
    crashes: tuple[tuple[TargetName, int], ...]
    at: int
    before: tuple[int, ...] = ()


class StoreQuarantine:
    """Keeps the requests that are held back, and reads them as a host starts.

    Args:
        store: The platform's store.
        recalled: Takes what the store holds.
        foreign: Takes the entries that tell of no request.
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
        self._written: dict[str, KeptCrashes] = {}
        self._tasks = Tasks(prefix="quarantine")

    def keep(self, report: CrashReport) -> None:
        """Write a request that is held back to the store, as soon as that answers."""
        kept = KeptCrashes(
            customer=report.customer,
            fingerprint=report.fingerprint,
            crashes=tuple((start.target, start.started) for start in report.crashes),
            at=int((self._clock() - report.age) * 1_000),
            before=tuple(int((age - report.age) * 1_000) for age in report.ages),
        )
        self._written[_name(customer=kept.customer, fingerprint=kept.fingerprint)] = kept
        self._spawn(kept)

    def remove(self, report: CrashReport) -> None:
        """Remove a request from the store that is held back no more."""
        name = _name(customer=report.customer, fingerprint=report.fingerprint)
        self._written.pop(name, None)
        work = _until_answered(lambda: self._remove(name))
        self._tasks.spawn(work, name=f"remove {report.fingerprint}")

    def write_again(self) -> None:
        """Write all again, as the store came back from an older copy, which may lack some."""
        for kept in self._written.values():
            self._spawn(kept)

    async def wait_read(self) -> None:
        """Wait until the store has been read once."""
        await self._read.wait()

    async def run(self) -> None:
        """Read what the store holds, and once more after a while."""
        await self._recall()
        await sleep(SECOND_READING)
        await self._recall()
        # The others tell of what follows.
        await Event().wait()

    async def stop(self, *, timeout: float) -> None:
        """Leave off what is being written, and wait for that for some seconds."""
        await self._tasks.stop(timeout=timeout)

    def _spawn(self, kept: KeptCrashes) -> None:
        self._tasks.spawn(self._keep(kept), name=f"keep {kept.fingerprint}")

    async def _recall(self) -> None:
        await _until_answered(self._read_all)

    async def _read_all(self) -> None:
        listing = await self._store.list(kind=QUARANTINE_KIND, stale=True)
        entries = [(item, _kept(item)) for item in listing.items]
        self._foreign.see(
            QUARANTINE_KIND, (kept for _, kept in entries if isinstance(kept, Foreign))
        )
        known = [(item, kept) for item, kept in entries if isinstance(kept, KeptCrashes)]
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

    async def _keep(self, kept: KeptCrashes) -> None:
        name = _name(customer=kept.customer, fingerprint=kept.fingerprint)
        await _until_answered(lambda: self._write(name, kept))

    async def _write(self, name: str, kept: KeptCrashes) -> None:
        if self._written.get(name) is not kept:
            # It was removed or written anew since.
            return
        value = msgspec.json.encode(kept)
        try:
            await self._store.create(kind=QUARANTINE_KIND, name=name, value=value)
            return
        except StoreConflictError:
            pass
        known = await self._store.get(kind=QUARANTINE_KIND, name=name, strict=False)
        written = _kept(known)
        if isinstance(written, KeptCrashes) and _says_as_much(written, kept):
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
        """Remove an entry that is over; another host may have done so."""
        try:
            await self._store.delete(kind=QUARANTINE_KIND, name=item.name, version=item.version)
        except StoreNotFoundError:
            return
        except StoreError as error:
            logging.info("quarantine: An entry that is over stays until the next start: %s", error)

    def _report(self, kept: KeptCrashes) -> CrashReport:
        return CrashReport(
            customer=kept.customer,
            fingerprint=kept.fingerprint,
            crashes=tuple(TargetStart(target=name, started=at) for name, at in kept.crashes),
            age=self._age(kept),
            ages=tuple(self._age(kept) + before / 1_000 for before in kept.before),
        )

    def _age(self, kept: KeptCrashes) -> float:
        return max(0.0, self._clock() - kept.at / 1_000)


async def _until_answered(call: Callable[[], Awaitable[None]]) -> None:
    """Call the store again while it fails, after longer and longer pauses."""
    pause = PAUSE_FIRST
    while True:
        try:
            await call()
            return
        except StoreError as error:
            if pause == PAUSE_FIRST:
                logging.warning("quarantine: The store does not answer: %s", error)
        await sleep(pause)
        pause = min(PAUSE_MOST, 2.0 * pause)


def _says_as_much(written: KeptCrashes, kept: KeptCrashes) -> bool:
    """Return whether what another host wrote need not be replaced."""
    late = written.at < kept.at - SAME_SECONDS * 1_000
    return not late and len(written.crashes) >= len(kept.crashes)


def _name(*, customer: CustomerName, fingerprint: str) -> str:
    """Return the name of an object; customers' names may hold what names of objects may not."""
    digest = sha256(f"{customer}\n{fingerprint}".encode())
    return digest.hexdigest()[:NAME_DIGITS]


def _kept(item: StoredObject) -> KeptCrashes | Foreign:
    try:
        return msgspec.json.decode(item.value, type=KeptCrashes)
    except UNDECODED as error:
        return undecoded(error, name=item.name, version=item.version)
