"""The reducer of one host's part in one lease.

Only conditional updates decide who holds a lease.  Clocks decide merely when to try: a host takes
over an object whose version it has seen unchanged for a whole term of its own clock.  A holder that
was paused for longer has to renew before its next use, and learns there that it was replaced.
"""

from functools import singledispatch

from msgspec.json import decode

from azureswitch.coordination.leases._model import (
    CreateLease,
    LeaseAbandoned,
    LeaseConflicted,
    LeaseEvent,
    LeaseFenced,
    LeaseRead,
    LeaseStoreAway,
    LeaseTicked,
    LeaseUnanswered,
    LeaseUsed,
    LeaseValue,
    LeaseWritten,
    ReadLease,
    UpdateLease,
)
from azureswitch.coordination.leases._state import LeaseState
from azureswitch.core import NO_EFFECTS, Effects
from azureswitch.ports import StoredObject

_RENEWALS_PER_TERM = 3
"""How often a holder renews, and a contender looks, within one term."""

_NONCE_LIMIT = 2**53
"""Nonces stay below this, which every JSON reader keeps exactly."""


def reduce(state: LeaseState, event: LeaseEvent) -> Effects:
    """Handle one event.

    Args:
        state: The state, updated in place.
        event: What happened.

    Returns:
        At most one store call, whose result comes back as the next event.
    """
    return _handle(event, state)


@singledispatch
def _handle(event: LeaseEvent, state: LeaseState) -> Effects:
    raise NotImplementedError(type(event))


@_handle.register
def _(event: LeaseTicked, state: LeaseState) -> Effects:
    pause = state._term / _RENEWALS_PER_TERM
    if state._fence is not None:
        return _renew(state, event.now) if event.now >= state._confirmed + pause else NO_EFFECTS
    if event.now < state._next_look:
        return NO_EFFECTS
    state._next_look = event.now + pause * state._random.uniform(0.8, 1.2)
    return (ReadLease(),)


@_handle.register
def _(event: LeaseUsed, state: LeaseState) -> Effects:
    if state._fence is None or state.is_fresh(now=event.now):
        return NO_EFFECTS
    return _renew(state, event.now)


@_handle.register
def _(event: LeaseAbandoned, state: LeaseState) -> Effects:
    fence = state._fence
    if fence is None:
        return NO_EFFECTS
    state._fence = None
    state._acquiring = False
    return (
        UpdateLease(value=LeaseValue(holder=None, fence=fence, nonce=0), version=state._version),
    )


@_handle.register
def _(event: LeaseFenced, state: LeaseState) -> Effects:
    if state._fence is None or event.newest <= state._fence:
        return NO_EFFECTS
    _lose(state, event.now)
    return NO_EFFECTS


@_handle.register
def _(event: LeaseWritten, state: LeaseState) -> Effects:
    value = decode(event.item.value, type=LeaseValue)
    if value.holder == state._myself:
        _confirm(state, event.item, value)
    return NO_EFFECTS


@_handle.register(LeaseConflicted)
@_handle.register(LeaseUnanswered)
def _(event: LeaseEvent, state: LeaseState) -> Effects:
    return (ReadLease(),) if state._acquiring or state._fence is not None else NO_EFFECTS


@_handle.register
def _(event: LeaseStoreAway, state: LeaseState) -> Effects:
    return NO_EFFECTS


@_handle.register
def _(event: LeaseRead, state: LeaseState) -> Effects:
    if event.item is None:
        _lose(state, event.now)
        return (CreateLease(value=_acquisition(state, event.now)),)
    value = decode(event.item.value, type=LeaseValue)
    if _is_own(state, value):
        _confirm(state, event.item, value)
        return NO_EFFECTS
    if state._fence is not None:
        _lose(state, event.now)
    return _contend(state, event.item, value, event.now)


def _is_own(state: LeaseState, value: LeaseValue) -> bool:
    if value.holder != state._myself:
        return False
    if state._fence is not None:
        return value.fence == state._fence or (value.fence == 0 and value.nonce == state._nonce)
    return state._acquiring and value.nonce == state._nonce


def _confirm(state: LeaseState, item: StoredObject, value: LeaseValue) -> None:
    # The version of an acquisition is its fencing number; a renewal repeats it in the value.
    state._fence = value.fence or item.version
    state._acquiring = False
    if item.version <= state._version:
        return
    state._version = item.version
    state._confirmed = state._began


def _lose(state: LeaseState, now: float) -> None:
    state._fence = None
    state._acquiring = False
    state._next_look = now


def _contend(state: LeaseState, item: StoredObject, value: LeaseValue, now: float) -> Effects:
    state._acquiring = False
    if item.version != state._other_version:
        state._other_version = item.version
        state._other_since = now
    if not _is_vacant(state, value) and now < state._other_since + state._term:
        return NO_EFFECTS
    return (UpdateLease(value=_acquisition(state, now), version=item.version),)


def _is_vacant(state: LeaseState, value: LeaseValue) -> bool:
    holder = value.holder
    if holder is None:
        return True
    # An earlier process of this very host has ended, or this one could not run at its address.
    return holder.host == state._myself.host and holder.started <= state._myself.started


def _acquisition(state: LeaseState, now: float) -> LeaseValue:
    state._nonce = state._random.randrange(1, _NONCE_LIMIT)
    state._acquiring = True
    state._began = now
    return LeaseValue(holder=state._myself, fence=0, nonce=state._nonce)


def _renew(state: LeaseState, now: float) -> Effects:
    fence = state._fence
    if fence is None:
        return NO_EFFECTS
    state._began = now
    value = LeaseValue(holder=state._myself, fence=fence, nonce=state._nonce)
    return (UpdateLease(value=value, version=state._version),)
