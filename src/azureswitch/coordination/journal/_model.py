"""Records, messages, events and effects of the journal."""

from enum import Enum

from msgspec import Struct

from azureswitch.coordination.membership import Member
from azureswitch.core import CallId, CustomerName, Effect, Event, Incarnation, TargetName
from azureswitch.inventory import Rules
from azureswitch.ports import Chunk, StoredObject
from azureswitch.serving import Call

JOURNAL_KIND = "journal"
"""The kind of the store's objects that each hold the records of one process."""

MIN_FLUSH_SECONDS = 10.0
"""Minimum time in seconds between two regular writes of a host's records, before jitter."""

MIN_RECORDED_SECONDS = 5.0
"""Seconds after its start at which a long request is recorded; until then its job id suffices."""

MAX_GROUP_RECORDS = 4_000
"""Upper bound of the records in one object; with 200 bytes each it stays below a megabyte."""


OUTPUT_KIND = "journal-output"
"""The kind of the store's objects that each hold one finished output."""

OUTPUT_RETENTION_SECONDS = 43_200.0
"""Seconds for which a finished output is kept for a caller whose host died."""


class Resilience(Enum):
    """How a request is recorded in case its host dies."""

    NONE = "none"
    JOURNAL = "journal"
    CLAIM = "claim"


def resilience(*, call: Call, rules: Rules) -> Resilience:
    """Return the resilience of a request by its kind.

    Args:
        call: The request.
        rules: The rules in force, which define the length of a long prompt.
    """
    if not call.repeatable:
        return Resilience.CLAIM
    if call.prompt_tokens >= rules.long_prompt:
        return Resilience.JOURNAL
    return Resilience.NONE


class JobRecord(Struct, frozen=True, kw_only=True):
    """A record of where a long request runs.

    It does not contain the prompt, which the engine holds.

    Attributes:
        call: The request.
        customer: The customer that sent it; only this customer may find it.
        target: The engine that generates its output.
        attempt: The attempt, counted from 1.
        owner: The process that received it.
        expires: Its deadline, or until when its output is kept, in seconds since the epoch.
        tokens: Number of output tokens that are known to have reached the caller.
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
        customer: The customer that sent the request.
        chunks: The whole output.
    """

    customer: CustomerName
    chunks: tuple[Chunk, ...]


class JobQuery(Struct, frozen=True, kw_only=True):
    """Asks a process for the record of a long request, or only whether the process is present.

    Attributes:
        call: The request, or None to ask for presence only.
    """

    call: CallId | None


class JobReply(Struct, frozen=True, kw_only=True):
    """Answers a `JobQuery`.

    Attributes:
        present: The process that answers.
        record: The request's record, or None if the process does not have it.
    """

    present: Incarnation
    record: JobRecord | None


class JournalKeyQuery(Struct, frozen=True, kw_only=True):
    """Asks a process for the key that signs job ids."""


class JournalKeyReply(Struct, frozen=True, kw_only=True):
    """Answers a `JournalKeyQuery`; the key is empty if the process has none yet."""

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
    """A long request ended, successfully or not."""

    call: CallId


class OutputKept(JournalEvent, frozen=True, kw_only=True):
    """A request has finished, and its output is in the store.

    Attributes:
        expires: Until when it is kept, in seconds since the epoch.
    """

    call: CallId
    expires: float


class JournalTicked(JournalEvent, frozen=True, kw_only=True):
    """Time passed.

    Attributes:
        members: The current members, this host included, and recently departed ones as dead.
        wall: Seconds since the epoch, by which records expire.
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
        item: The object, or None if there is none.
        records: Its records.
    """

    owner: Incarnation
    item: StoredObject | None
    records: tuple[JobRecord, ...]


class OwnerAnswered(JournalEvent, frozen=True, kw_only=True):
    """A process that was suspected or considered dead answered."""

    owner: Incarnation


class GroupFailed(JournalEvent, frozen=True, kw_only=True):
    """A call to the store for a group of records failed, or its outcome is unknown."""

    owner: Incarnation


class WriteGroup(Effect, frozen=True, kw_only=True):
    """Write this process's records; `GroupWritten`, `GroupRead` or `GroupFailed` follows.

    Attributes:
        records: All records.
        version: The version to replace, or zero if the object does not exist.
    """

    records: tuple[JobRecord, ...]
    version: int


class ReadGroup(Effect, frozen=True, kw_only=True):
    """Read the records of a process, unless it answers a query.

    `OwnerAnswered`, `GroupRead` or `GroupFailed` follows.

    Attributes:
        owner: The process.
        address: Its address; empty if there is none to query.
    """

    owner: Incarnation
    address: str


class DeleteGroup(Effect, frozen=True, kw_only=True):
    """Delete the object of a dead process whose records this host has taken over and written."""

    owner: Incarnation
    version: int


class ResumeJob(Effect, frozen=True, kw_only=True):
    """Read the output of a request whose host died, as its engine stops without a reader."""

    record: JobRecord


class DeleteOutput(Effect, frozen=True, kw_only=True):
    """Delete a kept output that has expired or is not needed."""

    call: CallId
