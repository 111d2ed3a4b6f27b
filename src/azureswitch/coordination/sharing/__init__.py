"""Exchange of engines' load reports and hosts' digests within a bandwidth budget."""

from azureswitch.coordination.sharing._digest import PackedDigest, pack_digest, unpack_digest
from azureswitch.coordination.sharing._exchange import Digests
from azureswitch.coordination.sharing._limits import (
    BUDGET,
    BURST_BYTES,
    DIGEST_BYTES,
    FULL_HOSTS,
    MAX_MISSED_REPORTS,
    MESSAGE_OVERHEAD,
    POLL_PERIOD_SECONDS,
    POLLERS,
    REPORT_BYTES,
    TICK_SECONDS,
)
from azureswitch.coordination.sharing._meter import Meter
from azureswitch.coordination.sharing._model import (
    DeliverReport,
    EnginePolled,
    EngineReports,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    PollEngine,
    PollFailed,
    ReportsReceived,
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
    "MAX_MISSED_REPORTS",
    "POLLERS",
    "POLL_PERIOD_SECONDS",
    "REPORT_BYTES",
    "TICK_SECONDS",
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
    "DeliverReport",
    "ReportsReceived",
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
