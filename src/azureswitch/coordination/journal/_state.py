"""The state of one host's journal."""

from random import Random

from msgspec import Struct

from azureswitch.coordination.journal._model import JobRecord
from azureswitch.core import CallId, Incarnation


class Entry(Struct, frozen=True, kw_only=True):
    """A record of this host.

    Attributes:
        record: The record.
        started: When the request started here, on the host's monotonic clock.
        urgent: Whether it must be written at once, as the job id no longer contains the engine.
    """

    record: JobRecord
    started: float
    urgent: bool = False


class Takeover(Struct, frozen=True, kw_only=True):
    """A group of records that this host has read from the store.

    Attributes:
        version: The version of the object that they were read from.
        persisted: Whether this host's own object contains them.
    """

    version: int
    persisted: bool = False


class JournalState:
    """The long requests of one host, and the dead processes whose records it takes over."""

    def __init__(self, *, myself: Incarnation, seed: int) -> None:
        self._myself = myself
        self._random = Random(seed)
        self._open: dict[CallId, Entry] = {}
        self._written: frozenset[CallId] = frozenset()
        self._version = 0
        self._writing = False
        self._next_flush = float("-inf")
        self._urgent = False
        # When to read the records of a process that is suspected or dead; infinite after the read.
        self._next_reads: dict[Incarnation, float] = {}
        self._takeovers: dict[Incarnation, Takeover] = {}

    @property
    def records(self) -> tuple[JobRecord, ...]:
        """The records of this host's long requests, including those taken over."""
        return tuple(entry.record for entry in self._open.values())

    def find(self, call: CallId) -> JobRecord | None:
        """Return the record of a request that this host runs or has taken over."""
        entry = self._open.get(call)
        return None if entry is None else entry.record
