"""Overload control: which calls are served while the targets have too little capacity.

The decisions are pure functions of what a host knows; `_assess` takes it from the serving state.
"""

from azureswitch.serving.overload._arrivals import Arrivals, Demand
from azureswitch.serving.overload._capacity import Capacity, TargetRoom, lacks_room
from azureswitch.serving.overload._decision import Asked, Reason, decide
from azureswitch.serving.overload._patience import seconds_until_left
from azureswitch.serving.overload._return import Bookings
from azureswitch.serving.overload._state import Overload

__all__ = [
    "Arrivals",
    "Asked",
    "Bookings",
    "Capacity",
    "Demand",
    "Overload",
    "Reason",
    "TargetRoom",
    "decide",
    "lacks_room",
    "seconds_until_left",
]
