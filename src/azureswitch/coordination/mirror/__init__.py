"""Copies of the store's objects by kind, which remain available while the store is down."""

from azureswitch.coordination.mirror._driver import Mirror
from azureswitch.coordination.mirror._events import (
    Changed,
    Checked,
    CopyReceived,
    CopyRequestsEnded,
    Listed,
    MirrorEvent,
    PeerChecked,
    StoreFailed,
    Ticked,
)
from azureswitch.coordination.mirror._messages import CopyReply, CopyRequest, StoreSeen
from azureswitch.coordination.mirror._mirrors import Mirrors
from azureswitch.coordination.mirror._peers import CopyPeers
from azureswitch.coordination.mirror._reduce import (
    CheckStore,
    NotifyPeers,
    Publish,
    Relist,
    RequestCopy,
    reduce,
)
from azureswitch.coordination.mirror._state import MirrorState

__all__ = [
    "Changed",
    "CheckStore",
    "Checked",
    "CopyPeers",
    "CopyReceived",
    "CopyReply",
    "CopyRequest",
    "CopyRequestsEnded",
    "Listed",
    "Mirror",
    "MirrorEvent",
    "MirrorState",
    "Mirrors",
    "NotifyPeers",
    "PeerChecked",
    "Publish",
    "Relist",
    "RequestCopy",
    "StoreFailed",
    "StoreSeen",
    "Ticked",
    "reduce",
]
