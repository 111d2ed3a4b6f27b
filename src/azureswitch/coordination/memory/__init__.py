"""Engine memory whose owner is gone is given back.

Reservations, exports and imports on engines carry the process that owns them.  A few hosts per
engine, picked by hashing over the live members, read what is held there and release what belongs to
a dead process or to an attempt that has ended.
"""

from azureswitch.coordination.memory._driver import Sweeper
from azureswitch.coordination.memory._model import (
    ASK_AGE,
    DEAD_GRACE,
    SUCCEEDED_GRACE,
    SWEEP_PERIOD,
    SWEEPERS,
    UNKNOWN_GRACE,
    AskOwner,
    HeldAttempt,
    HoldingsRead,
    HoldingsUnread,
    KeptQuery,
    KeptReply,
    OwnerAnswered,
    OwnerGone,
    OwnerQuery,
    OwnerReply,
    ReadHoldings,
    ReleaseHolding,
    SweepCounts,
    SweepTicked,
)
from azureswitch.coordination.memory._reduce import reduce
from azureswitch.coordination.memory._state import SweepState

__all__ = [
    "ASK_AGE",
    "DEAD_GRACE",
    "SUCCEEDED_GRACE",
    "SWEEPERS",
    "SWEEP_PERIOD",
    "UNKNOWN_GRACE",
    "AskOwner",
    "HeldAttempt",
    "HoldingsRead",
    "HoldingsUnread",
    "KeptQuery",
    "KeptReply",
    "OwnerAnswered",
    "OwnerGone",
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
