"""The state behind one host's orders."""

from random import Random

from msgspec import Struct, field

from azureswitch.coordination.orders._model import GroupPlan
from azureswitch.core import TargetName
from azureswitch.ports import EngineState


class EngineView(Struct, kw_only=True):
    """What this host knows of one engine.

    Attributes:
        state: What it returned last, or None before the first read.
        next_read: When to read it again.
        busy: Whether a read or an order is under way.
        fence: The greatest fencing number that it has returned.
        failures: Reads that failed in a row.
        loading: Values ordered to be loaded and not seen yet, with the time of the order.
    """

    state: EngineState | None = None
    next_read: float = float("-inf")
    busy: bool = False
    fence: int = 0
    failures: int = 0
    loading: dict[str, float] = field(default_factory=dict)


class OrdersState:
    """The groups that a host looks after, and their engines."""

    def __init__(self, *, seed: int) -> None:
        self._random = Random(seed)
        self._groups: tuple[GroupPlan, ...] = ()
        self._views: dict[TargetName, EngineView] = {}

    @property
    def loading(self) -> int:
        """Loads that this host has under way."""
        return sum(len(view.loading) for view in self._views.values())
