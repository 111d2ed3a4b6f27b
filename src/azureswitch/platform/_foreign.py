"""Logs and counts store entries that are invalid for their kind (foreign entries)."""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum
from heapq import nsmallest

import msgspec
from absl import logging
from msgspec import Struct
from xxhash import xxh3_64_intdigest

from azureswitch.metrics import Metrics
from azureswitch.status import ForeignCollection, ForeignEntry

MAX_LINES = 20
"""Maximum log lines on foreign entries in `LINES_WINDOW_SECONDS`.

The host's log takes 200 lines a second.
"""

LINES_WINDOW_SECONDS = 10.0

MAX_UNNAMED = 256
"""Unnamed entries remembered as already logged; the oldest is evicted first."""

MAX_NAME_CHARACTERS = 64
"""Characters of an entry's name shown in the log and the status."""

MAX_DETAIL_CHARACTERS = 160
"""Characters of a fault's detail shown in the log and the status."""

MAX_LISTED = 100
"""Foreign entries listed by name in the status, per collection; the totals count all of them.

Other programs may write any number of such entries.  With 20,000 of them and 600 targets, the
status page takes 100 KB and 3.5 ms (median of 50) of the process that serves callers.
"""


class Fault(Enum):
    """Why an entry is invalid."""

    UNNAMED = "unnamed"
    UNREADABLE = "unreadable"
    FIELD = "field"
    NAME = "name"
    ADDRESS = "address"
    PLACE = "place"
    SERVICE = "service"
    STATE = "state"
    UNKNOWN_PLACE = "unknown_place"


class Foreign(Struct, frozen=True, kw_only=True):
    """An entry whose content is invalid for its kind.

    Attributes:
        name: The name of the entry.
        version: Its version.
        fault: The kind of fault.
        detail: A description of the fault.
    """

    name: str
    version: int
    fault: Fault
    detail: str


def undecoded(error: Exception, *, name: str, version: int) -> Foreign:
    """Return the foreign entry for content that failed to decode."""
    form = isinstance(error, msgspec.ValidationError)
    fault = Fault.FIELD if form else Fault.UNREADABLE
    return Foreign(name=name, version=version, fault=fault, detail=str(error))


class ForeignTracker:
    """Tracks which entries are currently foreign, logs each version once, and counts them.

    Memory is bounded by the number of entries in the store.  The number of log lines and the length
    of quoted text are limited, because other programs may write any number of entries of any size.

    Args:
        metrics: Exposes the number of foreign entries.
        kinds: The kinds of object that are read.
        clock: Returns the time in seconds.
    """

    def __init__(
        self, *, metrics: Metrics, kinds: Iterable[str], clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._current: dict[str, dict[str, Foreign]] = {kind: {} for kind in kinds}
        self._unnamed: dict[str, int] = dict.fromkeys(self._current, 0)
        self._logged: dict[int, None] = {}
        self._counts: dict[str, Counter[Fault]] = {kind: Counter() for kind in self._current}
        self._window = clock()
        self._lines = 0
        self._suppressed = 0
        for kind in self._current:
            for fault in Fault:
                self._watch(metrics, kind, fault)

    def set_entries(self, kind: str, found: Iterable[Foreign]) -> None:
        """Replace the named foreign entries of a kind."""
        before = self._current[kind]
        after = {foreign.name: foreign for foreign in found}
        self._current[kind] = after
        self._counts[kind] = Counter(foreign.fault for foreign in after.values())
        for foreign in after.values():
            if before.get(foreign.name) != foreign:
                self._log_entry(kind, foreign)

    def update_unnamed(self, kind: str, details: tuple[str, ...], whole: bool) -> None:
        """Record the entries of a kind whose name or version cannot be read.

        Args:
            kind: The kind.
            details: The fault of each entry.
            whole: Whether these are all such entries in the store, not only those of a change.
        """
        if whole:
            self._unnamed[kind] = len(details)
        for detail, count in Counter(details).items():
            key = xxh3_64_intdigest(f"{kind} {count} {detail}".encode(errors="replace"))
            if key in self._logged:
                continue
            self._logged[key] = None
            if len(self._logged) > MAX_UNNAMED:
                del self._logged[next(iter(self._logged))]
            text = f"{count} without a name and a version that can be read"
            self._log(kind, text, detail)

    def report(self) -> tuple[ForeignCollection, ...]:
        """Return the current foreign entries of each collection that has any, for the status."""
        found = (self._report(kind) for kind in self._current)
        return tuple(collection for collection in found if collection.total)

    def _report(self, kind: str) -> ForeignCollection:
        now, unnamed = self._current[kind], self._unnamed[kind]
        return ForeignCollection(
            collection=kind,
            total=len(now) + unnamed,
            unnamed=unnamed,
            entries=tuple(_entry(now[name]) for name in nsmallest(MAX_LISTED, now)),
        )

    def _log_entry(self, kind: str, foreign: Foreign) -> None:
        text = f"{foreign.name[:MAX_NAME_CHARACTERS]!r} of version {foreign.version}"
        self._log(kind, text, f"{foreign.fault.value}: {foreign.detail}")

    def _log(self, kind: str, which: str, detail: str) -> None:
        now = self._clock()
        if now - self._window >= LINES_WINDOW_SECONDS:
            self._window = now
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._suppressed += 1
            return
        self._lines += 1
        logging.warning(
            "edge: An entry of %s is foreign and not used: %s: %s (%d others were not told of).",
            kind,
            which,
            detail[:MAX_DETAIL_CHARACTERS],
            self._suppressed,
        )
        self._suppressed = 0

    def _watch(self, metrics: Metrics, kind: str, fault: Fault) -> None:
        def value() -> float:
            return self._unnamed[kind] if fault is Fault.UNNAMED else self._counts[kind][fault]

        metrics.watch(
            name="foreign_entries",
            help="Entries of the store that do not hold what their kind says, and are not used.",
            value=value,
            kind=kind,
            fault=fault.value,
        )


def _entry(foreign: Foreign) -> ForeignEntry:
    return ForeignEntry(
        name=_quoted(foreign.name, most=MAX_NAME_CHARACTERS),
        version=foreign.version,
        fault=foreign.fault.value,
        detail=_quoted(foreign.detail, most=MAX_DETAIL_CHARACTERS),
    )


def _quoted(text: str, *, most: int) -> str:
    """Truncate a text, and replace the characters that UTF-8 cannot encode."""
    return text[:most].encode(errors="replace").decode()
