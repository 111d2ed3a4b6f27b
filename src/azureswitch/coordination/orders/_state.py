"""The state of orders on one host."""

from random import Random

from msgspec import Struct, field

from azureswitch.coordination.orders._model import GroupPlan
from azureswitch.core import TargetName
from azureswitch.ports import EngineState


class EngineView(Struct, kw_only=True):
    """The view of one engine.

    Attributes:
        state: The state that it returned last, or None if it must be read first.
        next_read: When to read it again.
        busy: Whether a read or an order is in progress.
        fence: The greatest fencing number that it has returned.
        failures: Number of consecutive failed reads.
        loading: Values that were ordered and are not loaded yet, with the time of the order.
    """

    state: EngineState | None = None
    next_read: float = float("-inf")
    busy: bool = False
    fence: int = 0
    failures: int = 0
    loading: dict[str, float] = field(default_factory=dict)


class OrdersState:
    """The groups that a host manages, and their engines."""

    def __init__(self, *, seed: int) -> None:
        self._random = Random(seed)
        self._groups: tuple[GroupPlan, ...] = ()
        self._views: dict[TargetName, EngineView] = {}

    @property
    def loading(self) -> int:
        """Number of loads in progress that this host has ordered."""
        return sum(len(view.loading) for view in self._views.values())
