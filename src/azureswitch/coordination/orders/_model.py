"""Wanted states of engines, and the events and effects of orders."""

from msgspec import Struct

from azureswitch.core import Effect, Event, TargetName
from azureswitch.inventory import TargetRole
from azureswitch.ports import EngineState, OrderKind

LOADS = 4
"""Default upper bound of concurrent loads from the weight store by the whole fleet."""


class Wanted(Struct, frozen=True, kw_only=True):
    """The wanted state of one engine.

    Attributes:
        target: The engine.
        models: The models to be loaded.  A model without a version matches any version.  If there
            are none, the engine's models are not changed.
        role: Whether it accepts new work.
        adapters: The adapters to be loaded, or None to leave them unchanged.
    """

    target: TargetName
    models: tuple[str, ...]
    role: TargetRole = TargetRole.SERVING
    adapters: tuple[str, ...] | None = None


class GroupPlan(Struct, frozen=True, kw_only=True):
    """A group of engines that one host manages.

    Attributes:
        name: The name of the group and of its lease.
        loads: Upper bound of concurrent loads.
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
    """An engine returned its state, for a read or as the answer to an order."""

    target: TargetName
    state: EngineState


class StateReadFailed(OrdersEvent, frozen=True, kw_only=True):
    """An engine's state could not be read."""

    target: TargetName


class OrderFailed(OrdersEvent, frozen=True, kw_only=True):
    """An order was not executed, or its answer was lost.

    Attributes:
        target: The engine.
        acted: Whether the engine may have executed it.
    """

    target: TargetName
    acted: bool


class ReadState(Effect, frozen=True, kw_only=True):
    """Read an engine's state; `StateRead` or `StateReadFailed` follows."""

    target: TargetName


class SendOrder(Effect, frozen=True, kw_only=True):
    """Send an order with the group's fencing number; `StateRead` or `OrderFailed` follows.

    Attributes:
        group: The group, whose lease is confirmed before the order is sent.
        target: The engine.
        kind: Which property is set.
        value: Its wanted value.
        present: Whether the value must be present or absent.
    """

    group: str
    target: TargetName
    kind: OrderKind
    value: str
    present: bool

    @property
    def is_load(self) -> bool:
        """Whether it makes the engine read from the weight store."""
        return self.present and self.kind is not OrderKind.ROLE
