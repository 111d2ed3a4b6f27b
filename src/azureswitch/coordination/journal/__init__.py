"""The journal of long requests, by which other hosts find and finish them after a host's death.

The resilience of a request depends on its kind.  A short request has no record.  A long one gets a
signed job id that contains the engine on which it runs, which suffices without a write while the
engine lives.  Once it has run for some seconds, it is also recorded in one object that its host
writes for all its long requests.
"""

from azureswitch.coordination.journal._driver import Journal
from azureswitch.coordination.journal._jobs import KEY_BYTES, JobSigner
from azureswitch.coordination.journal._model import (
    JOURNAL_KIND,
    MAX_GROUP_RECORDS,
    MIN_FLUSH_SECONDS,
    MIN_RECORDED_SECONDS,
    OUTPUT_KIND,
    OUTPUT_RETENTION_SECONDS,
    DeleteGroup,
    DeleteOutput,
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
    LongCallProgressed,
    LongCallStarted,
    OutputKept,
    OwnerAnswered,
    ReadGroup,
    Resilience,
    ResumeJob,
    WriteGroup,
    resilience,
)
from azureswitch.coordination.journal._reduce import reduce
from azureswitch.coordination.journal._state import JournalState

__all__ = [
    "JOURNAL_KIND",
    "KEY_BYTES",
    "MAX_GROUP_RECORDS",
    "MIN_FLUSH_SECONDS",
    "MIN_RECORDED_SECONDS",
    "OUTPUT_KIND",
    "OUTPUT_RETENTION_SECONDS",
    "DeleteGroup",
    "DeleteOutput",
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
    "LongCallProgressed",
    "LongCallStarted",
    "OutputKept",
    "OwnerAnswered",
    "ReadGroup",
    "Resilience",
    "ResumeJob",
    "WriteGroup",
    "reduce",
    "resilience",
]
