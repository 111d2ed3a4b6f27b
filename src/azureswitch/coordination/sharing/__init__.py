"""Sharing of engines' load and of hosts' digests within a budget of bytes."""

from azureswitch.coordination.sharing._digest import PackedDigest, pack_digest, unpack_digest
from azureswitch.coordination.sharing._exchange import Digests
from azureswitch.coordination.sharing._limits import (
    BUDGET,
    BURST_BYTES,
    DIGEST_BYTES,
    FULL_HOSTS,
    MESSAGE_OVERHEAD,
    MISSED_REPORTS,
    POLL_PERIOD,
    POLLERS,
    REPORT_BYTES,
    TICK,
)
from azureswitch.coordination.sharing._meter import Meter
from azureswitch.coordination.sharing._model import (
    EnginePolled,
    EngineReports,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    PollEngine,
    PollFailed,
    ReportLearned,
    ReportsHeard,
    SendReports,
    SharedReport,
    SharingEvent,
    SharingHost,
    SharingTicked,
    pack,
    unpack,
)
from azureswitch.coordination.sharing._permits import PermitExchange
from azureswitch.coordination.sharing._reduce import reduce
from azureswitch.coordination.sharing._state import SharingState

__all__ = [
    "BUDGET",
    "BURST_BYTES",
    "DIGEST_BYTES",
    "FULL_HOSTS",
    "MESSAGE_OVERHEAD",
    "MISSED_REPORTS",
    "POLLERS",
    "POLL_PERIOD",
    "REPORT_BYTES",
    "TICK",
    "Digests",
    "EnginePolled",
    "EngineReports",
    "EngineUnreachable",
    "EnginesChanged",
    "HostsChanged",
    "Meter",
    "PackedDigest",
    "PermitExchange",
    "PollEngine",
    "PollFailed",
    "ReportLearned",
    "ReportsHeard",
    "SendReports",
    "SharedReport",
    "SharingEvent",
    "SharingHost",
    "SharingState",
    "SharingTicked",
    "pack",
    "pack_digest",
    "reduce",
    "unpack",
    "unpack_digest",
]
