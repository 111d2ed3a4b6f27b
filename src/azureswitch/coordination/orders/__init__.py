"""Brings engines to the models, adapters and role that the configuration wants.

A lease gives each group of engines one host at a time that manages it.  Orders are declarative: an
engine that checks fencing numbers rejects a late one, and at another engine the effect of a late
one is corrected after the next read of the engine's state.
"""

from azureswitch.coordination.orders._driver import OrderKeeper
from azureswitch.coordination.orders._model import (
    LOADS,
    GroupPlan,
    OrderFailed,
    OrdersEvent,
    OrdersTicked,
    ReadState,
    SendOrder,
    StateRead,
    StateReadFailed,
    Wanted,
)
from azureswitch.coordination.orders._plan import plan_groups, wanted_from
from azureswitch.coordination.orders._reduce import MAX_READ_FAILURES, READ_PERIOD_SECONDS, reduce
from azureswitch.coordination.orders._state import OrdersState

__all__ = [
    "MAX_READ_FAILURES",
    "LOADS",
    "READ_PERIOD_SECONDS",
    "GroupPlan",
    "OrderFailed",
    "OrderKeeper",
    "OrdersEvent",
    "OrdersState",
    "OrdersTicked",
    "ReadState",
    "SendOrder",
    "StateRead",
    "StateReadFailed",
    "Wanted",
    "plan_groups",
    "reduce",
    "wanted_from",
]
