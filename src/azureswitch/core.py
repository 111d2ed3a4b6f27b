"""Base types that every reducer of azureswitch shares.

A reducer is a function ``reduce(state, event) -> Effects``.  It owns its state, which it updates
in place, and it does no I/O, reads no clock and draws no randomness of its own: time arrives in
``Event.now`` and random draws come from a seeded generator that the state was built with.
"""

from collections.abc import Sequence
from typing import NewType, TypeAlias

from msgspec import Struct

CallId = NewType("CallId", str)
CustomerName = NewType("CustomerName", str)
HostName = NewType("HostName", str)
PlaceName = NewType("PlaceName", str)
ServiceName = NewType("ServiceName", str)
TargetName = NewType("TargetName", str)


class Event(Struct, frozen=True, kw_only=True):
    """Something that happened, as told to a reducer.

    Attributes:
        now: When the event was observed, in seconds of the host's monotonic clock.
    """

    now: float


class Effect(Struct, frozen=True, kw_only=True):
    """Something that the shell around a reducer must carry out."""


Effects: TypeAlias = Sequence[Effect]

NO_EFFECTS: Effects = ()


class Incarnation(Struct, frozen=True, kw_only=True, order=True):
    """Identifies one run of one process on one host.

    Attributes:
        host: The host the process runs on.
        started: When the process started, in whole milliseconds of the wall clock.  A restarted
            process takes a number above every one that it has seen for its host.
    """

    host: HostName
    started: int

    def __str__(self) -> str:
        return f"{self.host}:{self.started}"


__all__ = [
    "NO_EFFECTS",
    "CallId",
    "CustomerName",
    "Effect",
    "Effects",
    "Event",
    "HostName",
    "Incarnation",
    "PlaceName",
    "ServiceName",
    "TargetName",
]
