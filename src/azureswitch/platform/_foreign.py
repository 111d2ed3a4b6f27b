"""Entries of the store that do not hold what their kind says: told once each, and counted."""

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

LINES_MOST = 20
"""Lines on foreign entries in `LINES_SECONDS`, at most; the host's log takes 200 a second."""

LINES_SECONDS = 10.0

UNNAMED_MOST = 256
"""Entries without a name that are remembered as told; further ones take the oldest one's place."""

NAME_MOST = 64
"""Characters of a name that a line shows."""

DETAIL_MOST = 160
"""Characters of what is wrong that a line shows."""

LISTED_MOST = 100
"""Foreign entries of each collection that operators are told by name; the totals are of all.

Whoever writes such entries may write any number.  With 20,000 of them and 600 targets the page
takes 100 KB and 3.5 ms of the process that serves callers, the median of 50.
"""


class Fault(Enum):
    """What is wrong with an entry."""

    UNNAMED = "unnamed"
    UNREADABLE = "unreadable"
    FIELD = "field"
    NAME = "name"
    ADDRESS = "address"
    PLACE = "place"
    SERVICE = "service"
    STATE = "state"


class Foreign(Struct, frozen=True, kw_only=True):
    """An entry that does not hold what its kind says.

    Attributes:
        name: Its name.
        version: Its version.
        fault: What is wrong.
        detail: What is wrong, in words.
    """

    name: str
    version: int
    fault: Fault
    detail: str


def undecoded(error: Exception, *, name: str, version: int) -> Foreign:
    """Return the foreign entry whose content the decoder refused."""
    form = isinstance(error, msgspec.ValidationError)
    fault = Fault.FIELD if form else Fault.UNREADABLE
    return Foreign(name=name, version=version, fault=fault, detail=str(error))


class ForeignTracker:
    """Knows which entries are foreign now, tells of each version of one once, and counts them.

    What is remembered is bounded by the entries that there are.  Lines are bounded in number, and
    what they quote in length, as whoever writes such entries may write any number of any size.

    Args:
        metrics: Shows how many there are.
        kinds: The kinds of object that are read.
        clock: Tells the time in seconds.
    """

    def __init__(
        self, *, metrics: Metrics, kinds: Iterable[str], clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._now: dict[str, dict[str, Foreign]] = {kind: {} for kind in kinds}
        self._unnamed: dict[str, int] = dict.fromkeys(self._now, 0)
        self._told: dict[int, None] = {}
        self._counts: dict[str, Counter[Fault]] = {kind: Counter() for kind in self._now}
        self._window = clock()
        self._lines = 0
        self._left_out = 0
        for kind in self._now:
            for fault in Fault:
                self._watch(metrics, kind, fault)

    def see(self, kind: str, found: Iterable[Foreign]) -> None:
        """Take all entries of a kind that have a name and are foreign now."""
        before = self._now[kind]
        after = {foreign.name: foreign for foreign in found}
        self._now[kind] = after
        self._counts[kind] = Counter(foreign.fault for foreign in after.values())
        for foreign in after.values():
            if before.get(foreign.name) != foreign:
                self._tell(kind, foreign)

    def see_unnamed(self, kind: str, details: tuple[str, ...], whole: bool) -> None:
        """Take entries of a kind whose name or version cannot be read.

        Args:
            kind: The kind.
            details: What is wrong with each.
            whole: Whether these are all that the store holds; else they have just changed.
        """
        if whole:
            self._unnamed[kind] = len(details)
        for detail, count in Counter(details).items():
            key = xxh3_64_intdigest(f"{kind} {count} {detail}".encode(errors="replace"))
            if key in self._told:
                continue
            self._told[key] = None
            if len(self._told) > UNNAMED_MOST:
                del self._told[next(iter(self._told))]
            text = f"{count} without a name and a version that can be read"
            self._log(kind, text, detail)

    def report(self) -> tuple[ForeignCollection, ...]:
        """Return what is foreign now, for operators; collections without any are left out."""
        found = (self._report(kind) for kind in self._now)
        return tuple(collection for collection in found if collection.total)

    def _report(self, kind: str) -> ForeignCollection:
        now, unnamed = self._now[kind], self._unnamed[kind]
        return ForeignCollection(
            collection=kind,
            total=len(now) + unnamed,
            unnamed=unnamed,
            entries=tuple(_entry(now[name]) for name in nsmallest(LISTED_MOST, now)),
        )

    def _tell(self, kind: str, foreign: Foreign) -> None:
        text = f"{foreign.name[:NAME_MOST]!r} of version {foreign.version}"
        self._log(kind, text, f"{foreign.fault.value}: {foreign.detail}")

    def _log(self, kind: str, which: str, detail: str) -> None:
        now = self._clock()
        if now - self._window >= LINES_SECONDS:
            self._window = now
            self._lines = 0
        if self._lines >= LINES_MOST:
            self._left_out += 1
            return
        self._lines += 1
        logging.warning(
            "edge: An entry of %s is foreign and not used: %s: %s (%d others were not told of).",
            kind,
            which,
            detail[:DETAIL_MOST],
            self._left_out,
        )
        self._left_out = 0

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
        name=_quoted(foreign.name, most=NAME_MOST),
        version=foreign.version,
        fault=foreign.fault.value,
        detail=_quoted(foreign.detail, most=DETAIL_MOST),
    )


def _quoted(text: str, *, most: int) -> str:
    """Return the first characters of a text, with those replaced that JSON cannot tell."""
    return text[:most].encode(errors="replace").decode()
