"""Records, messages, events and effects of the journal of long work."""

from enum import Enum

from msgspec import Struct

from azureswitch.coordination.membership import Member
from azureswitch.core import CallId, CustomerName, Effect, Event, Incarnation, TargetName
from azureswitch.inventory import Rules
from azureswitch.ports import Chunk, StoredObject
from azureswitch.serving import Call

JOURNAL_KIND = "journal"
"""The kind of the store's objects with the records of one process each."""

FLUSH_PERIOD = 10.0
"""Seconds between two writes of one host's records at least."""

RECORD_AGE = 5.0
"""Seconds that long work has run for before it is recorded; its job id serves until then."""

GROUP_LIMIT = 4_000
"""Records in one object at most; with 200 bytes each it stays under a megabyte."""


OUTPUT_KIND = "journal-output"
"""The kind of the store's objects with one finished output each."""

OUTPUT_KEPT = 43_200.0
"""Seconds for which a finished output is kept whose caller lost its host."""


class Resilience(Enum):
    """What of a request survives its host."""

    NONE = "none"
    JOURNAL = "journal"
    CLAIM = "claim"


def resilience(*, call: Call, rules: Rules) -> Resilience:
    """Return the resilience that a request gets by its kind.

    Args:
        call: The request.
        rules: The rules in force, which say from which length on a prompt is long.
    """
    if not call.repeatable:
        return Resilience.CLAIM
    if call.prompt_tokens >= rules.long_prompt:
        return Resilience.JOURNAL
    return Resilience.NONE


class JobRecord(Struct, frozen=True, kw_only=True):
    """Where a long request runs.

    The prompt is not part of it: the engine holds it.

    Attributes:
        call: The request.
        customer: Who sent it, and who alone may find it.
        target: The engine that its output comes from.
        attempt: The attempt, counted from 1.
        owner: The process that it entered through.
        expires: When it must have finished, in seconds since the epoch.
        tokens: Output tokens that are known to have reached the caller.
        done: Whether the request has finished and its output is kept in the store.
    """

    call: CallId
    customer: CustomerName
    target: TargetName
    attempt: int
    owner: Incarnation
    expires: float
    tokens: int = 0
    done: bool = False


class KeptOutput(Struct, frozen=True, kw_only=True):
    """The output of a request whose host died.

    Attributes:
        customer: Who sent the request.
        chunks: The output, from its first token on.
    """

    customer: CustomerName
    chunks: tuple[Chunk, ...]


class JobQuery(Struct, frozen=True, kw_only=True):
    """Asks a process where one of its long requests runs now, or whether it is there at all.

    Attributes:
        call: The request, or None for neither.
    """

    call: CallId | None


class JobReply(Struct, frozen=True, kw_only=True):
    """The answer to a JobQuery.

    Attributes:
        present: The process that answers.
        record: The request's record, or None where the process does not run it.
    """

    present: Incarnation
    record: JobRecord | None


class JournalKeyQuery(Struct, frozen=True, kw_only=True):
    """Asks a process for the key that signs job ids."""


class JournalKeyReply(Struct, frozen=True, kw_only=True):
    """The answer to a JournalKeyQuery; empty where the process has no key yet."""

    key: bytes


class JournalEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the journal."""


class LongCallStarted(JournalEvent, frozen=True, kw_only=True):
    """An attempt at a long request was sent to its engine."""

    record: JobRecord


class LongCallProgressed(JournalEvent, frozen=True, kw_only=True):
    """More output reached the caller."""

    call: CallId
    tokens: int


class LongCallEnded(JournalEvent, frozen=True, kw_only=True):
    """A long request ended, well or not."""

    call: CallId


class LongCallKept(JournalEvent, frozen=True, kw_only=True):
    """A request that was taken over has finished, and its output is in the store.

    Attributes:
        expires: Until when it is kept, in seconds since the epoch.
    """

    call: CallId
    expires: float


class JournalTicked(JournalEvent, frozen=True, kw_only=True):
    """Time passed.

    Attributes:
        members: What this host knows of the members, itself included.
        wall: Seconds since the epoch, to drop records past their time.
    """

    members: tuple[Member, ...]
    wall: float


class GroupWritten(JournalEvent, frozen=True, kw_only=True):
    """The store accepted this process's records."""

    item: StoredObject


class GroupRead(JournalEvent, frozen=True, kw_only=True):
    """The store returned the records of a process.

    Attributes:
        owner: The process.
        item: The object, or None where there is none.
        records: What it holds.
    """

    owner: Incarnation
    item: StoredObject | None
    records: tuple[JobRecord, ...]


class OwnerPresent(JournalEvent, frozen=True, kw_only=True):
    """A process that was thought to be dead answered."""

    owner: Incarnation


class GroupFailed(JournalEvent, frozen=True, kw_only=True):
    """The store could not be reached, or did not say whether it wrote."""

    owner: Incarnation


class WriteGroup(Effect, frozen=True, kw_only=True):
    """Write this process's records; answer by GroupWritten, GroupRead or GroupFailed.

    Attributes:
        records: All records.
        version: The version to replace, or zero where the object does not exist.
    """

    records: tuple[JobRecord, ...]
    version: int


class ReadGroup(Effect, frozen=True, kw_only=True):
    """Read the records of a process that does not answer.

    Answer by GroupRead, GroupFailed, or OwnerPresent where it does.

    Attributes:
        owner: The process.
        address: Its address; empty for none.
    """

    owner: Incarnation
    address: str


class DropGroup(Effect, frozen=True, kw_only=True):
    """Delete the records of a dead process, which this host has taken over and written."""

    owner: Incarnation
    version: int


class ResumeJob(Effect, frozen=True, kw_only=True):
    """Read the output of a request whose host died, so that its engine finishes it."""

    record: JobRecord


class DropOutput(Effect, frozen=True, kw_only=True):
    """Delete a kept output whose time is over."""

    call: CallId
