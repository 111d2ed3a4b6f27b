"""Leases on groups, whose fencing numbers are versions of the store.

A `Lease` determines which host should act for a group, so that two seldom do.  It is not a lock:
the orders of a holder carry the fencing number, and must be harmless at a receiver that ignores it.
"""

from azureswitch.coordination.leases._driver import Lease
from azureswitch.coordination.leases._model import (
    LEASE_KIND,
    LEASE_TERM,
    CreateLease,
    LeaseConflicted,
    LeaseFenced,
    LeaseOutcomeUnknown,
    LeaseRead,
    LeaseReleased,
    LeaseStoreFailed,
    LeaseTicked,
    LeaseUsed,
    LeaseValue,
    LeaseWritten,
    ReadLease,
    UpdateLease,
)
from azureswitch.coordination.leases._reduce import reduce
from azureswitch.coordination.leases._state import LeaseState

__all__ = [
    "LEASE_KIND",
    "LEASE_TERM",
    "CreateLease",
    "Lease",
    "LeaseConflicted",
    "LeaseFenced",
    "LeaseOutcomeUnknown",
    "LeaseRead",
    "LeaseReleased",
    "LeaseState",
    "LeaseStoreFailed",
    "LeaseTicked",
    "LeaseUsed",
    "LeaseValue",
    "LeaseWritten",
    "ReadLease",
    "UpdateLease",
    "reduce",
]
