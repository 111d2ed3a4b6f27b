"""Engines are brought to the models, adapters and role that the configuration wants.

One host at a time looks after each group of engines, by lease.  Orders name a wanted state and not
a step, so that a late one does no more than the next read of the engine's state puts right; where
the engine checks fencing numbers, it does nothing.
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
    StateUnread,
    Wanted,
)
from azureswitch.coordination.orders._plan import plan_groups, wanted_from
from azureswitch.coordination.orders._reduce import FAILURES_LIMIT, READ_PERIOD, reduce
from azureswitch.coordination.orders._state import OrdersState

__all__ = [
    "FAILURES_LIMIT",
    "LOADS",
    "READ_PERIOD",
    "GroupPlan",
    "OrderFailed",
    "OrderKeeper",
    "OrdersEvent",
    "OrdersState",
    "OrdersTicked",
    "ReadState",
    "SendOrder",
    "StateRead",
    "StateUnread",
    "Wanted",
    "plan_groups",
    "reduce",
    "wanted_from",
]
