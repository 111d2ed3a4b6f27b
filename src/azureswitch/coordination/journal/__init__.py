"""Long work survives the host that it entered through.

Each request gets the resilience that its kind needs.  A short answer leaves no record.  A long one
gets a signed job id that says where it runs, which costs no write while its engine lives, and once
it has run for some seconds a line in a record that its host writes for all its long work together.
"""

from azureswitch.coordination.journal._driver import Journal
from azureswitch.coordination.journal._jobs import KEY_BYTES, JobSigner
from azureswitch.coordination.journal._model import (
    FLUSH_PERIOD,
    GROUP_LIMIT,
    JOURNAL_KIND,
    OUTPUT_KEPT,
    OUTPUT_KIND,
    RECORD_AGE,
    DropGroup,
    DropOutput,
    GroupFailed,
    GroupRead,
    GroupWritten,
    JobQuery,
    JobRecord,
    JobReply,
    JournalKeyQuery,
    JournalKeyReply,
    JournalTicked,
    KeptOutput,
    LongCallEnded,
    LongCallKept,
    LongCallProgressed,
    LongCallStarted,
    OwnerPresent,
    ReadGroup,
    Resilience,
    ResumeJob,
    WriteGroup,
    resilience,
)
from azureswitch.coordination.journal._reduce import reduce
from azureswitch.coordination.journal._state import JournalState

__all__ = [
    "FLUSH_PERIOD",
    "GROUP_LIMIT",
    "JOURNAL_KIND",
    "OUTPUT_KEPT",
    "OUTPUT_KIND",
    "KEY_BYTES",
    "RECORD_AGE",
    "DropGroup",
    "DropOutput",
    "GroupFailed",
    "GroupRead",
    "GroupWritten",
    "JobQuery",
    "JobRecord",
    "JobReply",
    "JobSigner",
    "Journal",
    "JournalKeyQuery",
    "JournalKeyReply",
    "JournalState",
    "JournalTicked",
    "KeptOutput",
    "LongCallEnded",
    "LongCallKept",
    "LongCallProgressed",
    "LongCallStarted",
    "OwnerPresent",
    "ReadGroup",
    "Resilience",
    "ResumeJob",
    "WriteGroup",
    "reduce",
    "resilience",
]
