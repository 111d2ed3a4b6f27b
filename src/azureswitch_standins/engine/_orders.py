"""The state of an engine that orders change: its models, adapters and role."""

from azureswitch.ports import EngineState, Order, OrderKind
from azureswitch_standins.engine._errors import FencedError
from azureswitch_standins.engine._settings import EngineSettings

_SERVING = "serving"
_DRAINING = "draining"


class OrderedState:
    """Models, adapters and role, with the newest fencing number.

    Args:
        settings: The engine's settings, which name the models that are loaded at first.
    """

    def __init__(self, *, settings: EngineSettings) -> None:
        self._checks_fence = settings.checks_fence
        self._fence = 0
        self._models = settings.models
        self._loading: set[str] = set()
        self._adapters: tuple[str, ...] = ()
        self._role = _SERVING

    @property
    def models(self) -> tuple[str, ...]:
        """Models loaded, with versions."""
        return self._models

    @property
    def draining(self) -> bool:
        """Whether no new work is accepted."""
        return self._role == _DRAINING

    @property
    def state(self) -> EngineState:
        """The state as it is reported."""
        return EngineState(
            fence=self._fence, models=self._models, adapters=self._adapters, role=self._role
        )

    def serves(self, model: str) -> bool:
        """Return whether a model, with or without its version, is loaded."""
        return model in (*self._models, *(loaded.split("@")[0] for loaded in self._models))

    def apply(self, order: Order) -> str | None:
        """Apply an order and return the model whose loading begins, if any.

        Raises:
            FencedError: The fencing number is checked and a greater one has been seen.
        """
        if self._checks_fence and order.fence < self._fence:
            raise FencedError(fence=order.fence, newest=self._fence)
        self._fence = max(self._fence, order.fence)
        if order.kind is OrderKind.ROLE:
            self._role = order.value if order.present else _SERVING
        elif order.kind is OrderKind.ADAPTER:
            self._adapters = _with(self._adapters, order.value, order.present)
        elif not order.present:
            self._loading.discard(order.value)
            self._models = _with(self._models, order.value, False)
        elif order.value not in self._models and order.value not in self._loading:
            self._loading.add(order.value)
            return order.value
        return None

    def loaded(self, model: str) -> None:
        """Add a model whose loading has ended, unless its removal was ordered meanwhile."""
        if model in self._loading:
            self._loading.discard(model)
            self._models = _with(self._models, model, True)


def _with(values: tuple[str, ...], value: str, present: bool) -> tuple[str, ...]:
    others = tuple(item for item in values if item != value)
    return (*others, value) if present else others
