"""Leases on groups, whose fencing numbers come from the store's versions.

A `Lease` says who should act for a group, so that two seldom do.  It is no lock: what its holder
sends carries the fencing number, and must be harmless at a receiver that ignores the number.
"""

from azureswitch.coordination.leases._driver import Lease
from azureswitch.coordination.leases._model import (
    LEASE_KIND,
    LEASE_TERM,
    CreateLease,
    LeaseAbandoned,
    LeaseConflicted,
    LeaseFenced,
    LeaseRead,
    LeaseStoreAway,
    LeaseTicked,
    LeaseUnanswered,
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
    "LeaseAbandoned",
    "LeaseConflicted",
    "LeaseFenced",
    "LeaseRead",
    "LeaseState",
    "LeaseStoreAway",
    "LeaseTicked",
    "LeaseUnanswered",
    "LeaseUsed",
    "LeaseValue",
    "LeaseWritten",
    "ReadLease",
    "UpdateLease",
    "reduce",
]
