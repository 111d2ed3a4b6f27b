"""Membership of hosts by the platform's host list, probes and gossip."""

from azureswitch.coordination.membership._driver import Membership
from azureswitch.coordination.membership._events import (
    Ended,
    HostsListed,
    LeaveBegan,
    MembershipEvent,
    Received,
    RevisionAdopted,
    SyncReplied,
    SyncRequested,
    Ticked,
)
from azureswitch.coordination.membership._model import Member, MemberStatus, live_hosts
from azureswitch.coordination.membership._reduce import reduce
from azureswitch.coordination.membership._state import MembershipState

__all__ = [
    "Ended",
    "HostsListed",
    "LeaveBegan",
    "Member",
    "MemberStatus",
    "Membership",
    "MembershipEvent",
    "MembershipState",
    "Received",
    "RevisionAdopted",
    "SyncReplied",
    "SyncRequested",
    "Ticked",
    "live_hosts",
    "reduce",
]
