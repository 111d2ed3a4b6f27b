"""The reducer of orders: which engines are read, and what each is ordered."""

from collections.abc import Iterator
from functools import singledispatch

from azureswitch.coordination.orders._model import (
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
from azureswitch.coordination.orders._state import EngineView, OrdersState
from azureswitch.core import NO_EFFECTS, Effects
from azureswitch.inventory import TargetRole
from azureswitch.ports import EngineState, OrderKind

READ_PERIOD_SECONDS = 5.0
"""Mean seconds between two reads of one engine's state."""

LOADING_READ_PERIOD_SECONDS = 1.0
"""Mean seconds between two reads during a load, so that the next load starts soon."""

MAX_READS_PER_TICK = 8
"""Upper bound of the reads that one tick starts."""

RESEND_SECONDS = 30.0
"""Seconds after which an unfinished load is ordered again; orders are idempotent."""

LOAD_TIMEOUT_SECONDS = 900.0
"""Seconds after which a load no longer counts against the limit."""

MAX_READ_FAILURES = 3
"""Consecutive failed reads after which an engine's loads no longer count against the limit."""


def reduce(state: OrdersState, event: OrdersEvent) -> Effects:
    """Handle one event.

    Args:
        state: The state, updated in place.
        event: What happened.

    Returns:
        Reads and orders, at most one at a time for each engine.
    """
    return _handle(event, state)


@singledispatch
def _handle(event: OrdersEvent, state: OrdersState) -> Effects:
    raise NotImplementedError(type(event))


@_handle.register
def _(event: OrdersTicked, state: OrdersState) -> Effects:
    state._groups = event.groups
    wanted = {item.target for group in event.groups for item in group.wanted}
    for target in state._views.keys() - wanted:
        del state._views[target]
    for target in wanted - state._views.keys():
        state._views[target] = EngineView()
    for view in state._views.values():
        _expire_loads(view, event.now)
    orders = [order for group in event.groups for order in _orders(state, group, event.now)]
    return (*orders, *_reads(state, event.now))


def _expire_loads(view: EngineView, now: float) -> None:
    for value in [
        value for value, sent in view.loading.items() if now >= sent + LOAD_TIMEOUT_SECONDS
    ]:
        del view.loading[value]


def _reads(state: OrdersState, now: float) -> Iterator[ReadState]:
    due = [
        (view.next_read, target)
        for target, view in state._views.items()
        if not view.busy and view.next_read <= now
    ]
    for _, target in sorted(due)[:MAX_READS_PER_TICK]:
        state._views[target].busy = True
        yield ReadState(target=target)


@_handle.register
def _(event: StateRead, state: OrdersState) -> Effects:
    view = state._views.get(event.target)
    if view is None:
        return NO_EFFECTS
    if event.state.fence < view.fence:
        # The engine has restarted and lost its orders.
        view.loading = {}
    present = (*event.state.models, *event.state.adapters)
    for value in [value for value in view.loading if _has(present, value)]:
        del view.loading[value]
    view.state = event.state
    view.fence = event.state.fence
    view.busy = False
    view.failures = 0
    period = LOADING_READ_PERIOD_SECONDS if view.loading else READ_PERIOD_SECONDS
    view.next_read = event.now + period * state._random.uniform(0.9, 1.1)
    return tuple(
        order
        for group in state._groups
        if any(item.target == event.target for item in group.wanted)
        for order in _orders(state, group, event.now)
    )


@_handle.register
def _(event: StateReadFailed, state: OrdersState) -> Effects:
    view = state._views.get(event.target)
    if view is None:
        return NO_EFFECTS
    view.busy = False
    view.failures += 1
    view.next_read = event.now + READ_PERIOD_SECONDS * state._random.uniform(0.9, 1.1)
    if view.failures >= MAX_READ_FAILURES:
        view.state = None
        view.loading = {}
    return NO_EFFECTS


@_handle.register
def _(event: OrderFailed, state: OrdersState) -> Effects:
    view = state._views.get(event.target)
    if view is None:
        return NO_EFFECTS
    view.busy = False
    # The engine's state is read again before the next order.
    view.state = None
    view.next_read = event.now + READ_PERIOD_SECONDS * state._random.uniform(0.2, 0.4)
    if not event.acted:
        view.loading = {}
    return NO_EFFECTS


def _orders(state: OrdersState, group: GroupPlan, now: float) -> Iterator[SendOrder]:
    # Engines are ordered by name, as at the previous holder of the lease.  So its loads that are
    # still in progress are ordered again first, and the limit is not exceeded.
    remaining = group.loads - sum(len(state._views[item.target].loading) for item in group.wanted)
    for item in group.wanted:
        view = state._views[item.target]
        if view.busy or view.state is None:
            continue
        order = _next_order(group, item, view, view.state, now)
        if order is None:
            continue
        if order.is_load:
            if order.value not in view.loading:
                if remaining <= 0:
                    continue
                remaining -= 1
            view.loading[order.value] = now
        view.busy = True
        yield order


def _next_order(
    group: GroupPlan, item: Wanted, view: EngineView, state: EngineState, now: float
) -> SendOrder | None:
    for kind, value, present in _differences(item, state):
        # Wait for a load that was ordered recently.
        sent = view.loading.get(value) if present else None
        if sent is not None and now < sent + RESEND_SECONDS:
            return None
        return SendOrder(
            group=group.name, target=item.target, kind=kind, value=value, present=present
        )
    return None


def _differences(item: Wanted, state: EngineState) -> Iterator[tuple[OrderKind, str, bool]]:
    """Yield the orders needed, most urgent first; additions precede removals."""
    draining = item.role is TargetRole.DRAINING
    if draining and state.role != item.role.value:
        yield OrderKind.ROLE, item.role.value, True
    for model in item.models:
        if not _has(state.models, model) and not draining:
            yield OrderKind.MODEL, model, True
    for adapter in item.adapters or ():
        if adapter not in state.adapters and not draining:
            yield OrderKind.ADAPTER, adapter, True
    if not draining and state.role != item.role.value:
        yield OrderKind.ROLE, item.role.value, True
    for adapter in state.adapters:
        if item.adapters is not None and adapter not in item.adapters:
            yield OrderKind.ADAPTER, adapter, False
    for model in state.models:
        if item.models and not any(_has((model,), wanted) for wanted in item.models):
            yield OrderKind.MODEL, model, False


def _has(present: tuple[str, ...], wanted: str) -> bool:
    return any(value == wanted or value.split("@")[0] == wanted for value in present)
