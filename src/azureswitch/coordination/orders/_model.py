"""What is wanted of engines, and the events and effects of bringing them there."""

from msgspec import Struct

from azureswitch.core import Effect, Event, TargetName
from azureswitch.inventory import TargetRole
from azureswitch.ports import EngineState, OrderKind

LOADS = 4
"""Loads from the weight store at a time, over the whole fleet, where nothing else is said."""


class Wanted(Struct, frozen=True, kw_only=True):
    """The wanted state of one engine.

    Attributes:
        target: The engine.
        models: The models to be loaded.  One without a version is there in any version.  Where
            there are none, the engine's models are left alone.
        role: Whether it takes new work.
        adapters: The adapters to be loaded, or None to leave them alone.
    """

    target: TargetName
    models: tuple[str, ...]
    role: TargetRole = TargetRole.SERVING
    adapters: tuple[str, ...] | None = None


class GroupPlan(Struct, frozen=True, kw_only=True):
    """Engines that one host looks after.

    Attributes:
        name: The group, which its lease is named by.
        loads: Loads at a time at most.
        wanted: The engines, by name.
    """

    name: str
    loads: int
    wanted: tuple[Wanted, ...]


class OrdersEvent(Event, frozen=True, kw_only=True):
    """Base of the events of orders."""


class OrdersTicked(OrdersEvent, frozen=True, kw_only=True):
    """Time passed.

    Attributes:
        groups: The groups whose lease this host holds.
    """

    groups: tuple[GroupPlan, ...]


class StateRead(OrdersEvent, frozen=True, kw_only=True):
    """An engine returned its state, by itself or after an order."""

    target: TargetName
    state: EngineState


class StateUnread(OrdersEvent, frozen=True, kw_only=True):
    """An engine did not return its state."""

    target: TargetName


class OrderFailed(OrdersEvent, frozen=True, kw_only=True):
    """An order was not carried out, or its answer was lost.

    Attributes:
        target: The engine.
        acted: Whether the engine may have acted.
    """

    target: TargetName
    acted: bool


class ReadState(Effect, frozen=True, kw_only=True):
    """Read an engine's state; answer by StateRead or StateUnread."""

    target: TargetName


class SendOrder(Effect, frozen=True, kw_only=True):
    """Send an order with the group's fencing number; answer by StateRead or OrderFailed.

    Attributes:
        group: The group, whose lease is confirmed before the order is sent.
        target: The engine.
        kind: Which property is set.
        value: Its wanted value.
        present: Whether the value must be there or must be gone.
    """

    group: str
    target: TargetName
    kind: OrderKind
    value: str
    present: bool

    @property
    def is_load(self) -> bool:
        """Whether the weight store is read for it."""
        return self.present and self.kind is not OrderKind.ROLE
