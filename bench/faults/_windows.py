"""When which fault was present."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum

from msgspec import Struct


class Fault(Enum):
    """The kinds of fault."""

    ENTRY_KILLED = "entry killed"
    ENTRY_PAUSED = "entry paused"
    ENTRY_STOPPED = "entry stopped gracefully"
    ENTRY_STOPPED_TWICE = "entry told twice to stop gracefully"
    ENGINE_KILLED = "engine killed"
    ENGINE_STALLED = "engine stalled"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    ANSWERS_LOST = "store answers lost"
    SERVICE_SLOW = "service answers late"
    SERVICE_DIED = "service dies after the run"
    OPERATORS_RACE = "operators race"


class Window(Struct, frozen=True, kw_only=True):
    """One fault.

    Attributes:
        fault: Its kind.
        subject: What it happened to; an entry's address for callers where it is an entry.
        begin: When it began, in seconds from the start of the load.
        end: When it was over.
    """

    fault: Fault
    subject: str
    begin: float
    end: float


class Windows:
    """All faults of a run."""

    def __init__(self) -> None:
        self._windows: list[Window] = []

    @property
    def counts(self) -> Counter[Fault]:
        """Faults of each kind."""
        return Counter(window.fault for window in self._windows)

    @property
    def double(self) -> int:
        """Pairs of faults that were present together."""
        return sum(
            first.begin < second.end and second.begin < first.end
            for index, first in enumerate(self._windows)
            for second in self._windows[index + 1 :]
        )

    def add(self, window: Window) -> None:
        """Note a fault that is over."""
        self._windows.append(window)

    def overlapping(
        self, *, subject: str, faults: Iterable[Fault], begin: float, end: float
    ) -> tuple[Window, ...]:
        """Return the faults of some kinds that a subject had between two times."""
        kinds = frozenset(faults)
        return tuple(
            window
            for window in self._windows
            if window.subject == subject
            and window.fault in kinds
            and window.begin <= end
            and begin <= window.end
        )
