"""Keeps a copy of one kind of the store's objects, also while the store is away."""

from azureswitch.coordination.mirror._driver import Mirror
from azureswitch.coordination.mirror._events import (
    Asked,
    Broken,
    Changed,
    Checked,
    Copied,
    Heard,
    Listed,
    MirrorEvent,
    Ticked,
)
from azureswitch.coordination.mirror._messages import CopyReply, CopyRequest, StoreSeen
from azureswitch.coordination.mirror._mirrors import Mirrors
from azureswitch.coordination.mirror._peers import CopyPeers
from azureswitch.coordination.mirror._reduce import (
    AskPeer,
    AskStore,
    ListAgain,
    Publish,
    TellPeers,
    reduce,
)
from azureswitch.coordination.mirror._state import MirrorState

__all__ = [
    "AskPeer",
    "AskStore",
    "Asked",
    "Broken",
    "Changed",
    "Checked",
    "Copied",
    "CopyPeers",
    "CopyReply",
    "CopyRequest",
    "Heard",
    "ListAgain",
    "Listed",
    "Mirror",
    "MirrorEvent",
    "MirrorState",
    "Mirrors",
    "Publish",
    "StoreSeen",
    "TellPeers",
    "Ticked",
    "reduce",
]
