"""Interfaces towards everything outside; adapters implement them and tests fake them."""

from azureswitch.ports._engine import (
    CacheEvents,
    Chunk,
    Engine,
    EngineRequest,
    EngineState,
    Holding,
    HoldingKind,
    LoadReport,
    Order,
    OrderKind,
    Surface,
)
from azureswitch.ports._history import ERA_MOST, era_of, revision_of, version_of
from azureswitch.ports._hosts import HostList, HostStatus, ListedHost
from azureswitch.ports._peers import DATAGRAM_LIMIT, Handled, Peers
from azureswitch.ports._service import PlainAnswer, PlainRequest, PlainTarget
from azureswitch.ports._store import (
    ChangeKind,
    Listing,
    Store,
    StoreChange,
    StoredObject,
)

__all__ = [
    "DATAGRAM_LIMIT",
    "Handled",
    "ERA_MOST",
    "CacheEvents",
    "ChangeKind",
    "Chunk",
    "Engine",
    "EngineRequest",
    "EngineState",
    "Holding",
    "HoldingKind",
    "HostList",
    "HostStatus",
    "ListedHost",
    "Listing",
    "LoadReport",
    "Order",
    "OrderKind",
    "Peers",
    "PlainAnswer",
    "PlainRequest",
    "PlainTarget",
    "Store",
    "StoreChange",
    "StoredObject",
    "Surface",
    "era_of",
    "revision_of",
    "version_of",
]
