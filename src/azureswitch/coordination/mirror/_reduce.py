"""Keeps the copy: the one reducer of the mirror.

Objects with a lease lapse while the store is away although their owners live.  Those that do write
them again within seconds of the store's return.  Dropping them in between would leave nobody to
send work to, so an object that goes missing around an outage stays for a grace period.
"""

from dataclasses import dataclass
from functools import singledispatch

from azureswitch.coordination.mirror._events import Broken, Changed, Listed, MirrorEvent, Ticked
from azureswitch.coordination.mirror._state import MirrorState
from azureswitch.core import NO_EFFECTS, Effect, Effects
from azureswitch.ports import ChangeKind, StoredObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Publish(Effect):
    """Hand out the objects, which changed."""

    objects: tuple[StoredObject, ...]


@singledispatch
def reduce(event: MirrorEvent, state: MirrorState) -> Effects:
    """Apply an event.

    Args:
        event: What happened.
        state: The state, which is updated in place.

    Returns:
        What the driver must do.
    """
    raise NotImplementedError(type(event))


@reduce.register
def _(event: Listed, state: MirrorState) -> Effects:
    _answered(state, now=event.now)
    found = {item.name: item for item in event.listing.items}
    for name in state.objects.keys() - found.keys():
        _remove(state, name, now=event.now)
    for name in found:
        state.missing.pop(name, None)
    state.objects.update(found)
    state.version = event.listing.version
    state.listed = True
    return _publish(state)


@reduce.register
def _(event: Changed, state: MirrorState) -> Effects:
    _answered(state, now=event.now)
    item = event.change.item
    state.version = max(state.version, item.version)
    if event.change.kind is ChangeKind.BOOKMARK:
        return NO_EFFECTS
    if event.change.kind is ChangeKind.DELETED:
        if item.name not in state.objects:
            return NO_EFFECTS
        _remove(state, item.name, now=event.now)
        return _publish(state)
    state.missing.pop(item.name, None)
    state.objects[item.name] = item
    return _publish(state)


@reduce.register
def _(event: Broken, state: MirrorState) -> Effects:
    if state.broken_at is None:
        state.broken_at = event.now
    return NO_EFFECTS


@reduce.register
def _(event: Ticked, state: MirrorState) -> Effects:
    if state.broken_at is not None:
        # What went missing cannot have come back while the store is away.
        return NO_EFFECTS
    gone = [name for name, until in state.missing.items() if event.now >= until]
    for name in gone:
        del state.missing[name]
        state.objects.pop(name, None)
    return _publish(state) if gone else NO_EFFECTS


def _answered(state: MirrorState, *, now: float) -> None:
    if state.broken_at is not None:
        state.broken_at = None
        state.returned_at = now


def _remove(state: MirrorState, name: str, *, now: float) -> None:
    """Drop an object, or let it stay a little where it may have lapsed while the store was away."""
    if name in state.missing:
        return
    grace_ends = 0.0 if state.returned_at is None else state.returned_at + state.return_grace
    if now < grace_ends:
        state.missing[name] = grace_ends
        return
    state.objects.pop(name, None)


def _publish(state: MirrorState) -> Effects:
    return (Publish(objects=tuple(state.objects.values())),)
