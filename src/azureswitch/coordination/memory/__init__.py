"""Releases engine memory whose owner has died.

Each reservation, export and import on an engine names the process that owns it.  A few hosts per
engine, chosen by rendezvous hashing among the live members, read its holdings and release those of
dead processes and of attempts that have ended.
"""

from azureswitch.coordination.memory._driver import Sweeper
from azureswitch.coordination.memory._model import (
    DEAD_GRACE_SECONDS,
    QUERY_INTERVAL_SECONDS,
    SUCCEEDED_GRACE_SECONDS,
    SWEEP_PERIOD_SECONDS,
    SWEEPERS_PER_ENGINE,
    UNKNOWN_GRACE_SECONDS,
    HeldAttempt,
    HoldingsRead,
    HoldingsReadFailed,
    KeptQuery,
    KeptReply,
    OwnerAnswered,
    OwnerQuery,
    OwnerReply,
    OwnerUnreachable,
    QueryOwner,
    ReadHoldings,
    ReleaseHolding,
    SweepCounts,
    SweepTicked,
)
from azureswitch.coordination.memory._reduce import reduce
from azureswitch.coordination.memory._state import SweepState

__all__ = [
    "QUERY_INTERVAL_SECONDS",
    "DEAD_GRACE_SECONDS",
    "SUCCEEDED_GRACE_SECONDS",
    "SWEEPERS_PER_ENGINE",
    "SWEEP_PERIOD_SECONDS",
    "UNKNOWN_GRACE_SECONDS",
    "QueryOwner",
    "HeldAttempt",
    "HoldingsRead",
    "HoldingsReadFailed",
    "KeptQuery",
    "KeptReply",
    "OwnerAnswered",
    "OwnerUnreachable",
    "OwnerQuery",
    "OwnerReply",
    "ReadHoldings",
    "ReleaseHolding",
    "SweepCounts",
    "SweepState",
    "SweepTicked",
    "Sweeper",
    "reduce",
]
