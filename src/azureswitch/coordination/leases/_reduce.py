"""The reducer of one lease on one host.

Only conditional updates decide which host holds a lease.  Clocks only decide when to try: a host
takes over a lease whose version has not changed for a whole term of its own clock.  A holder that
was paused for longer must renew before its next use, and detects then that it was replaced.
"""

from functools import singledispatch

from msgspec.json import decode

from azureswitch.coordination.leases._model import (
    CreateLease,
    LeaseConflicted,
    LeaseEvent,
    LeaseFenced,
    LeaseOutcomeUnknown,
    LeaseRead,
    LeaseReleased,
    LeaseStoreFailed,
    LeaseTicked,
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
"""How often a holder renews the lease, and another host reads it, within one term."""

_NONCE_LIMIT = 2**53
"""Exclusive upper bound of nonces, up to which every JSON parser is exact."""


def reduce(state: LeaseState, event: LeaseEvent) -> Effects:
    """Apply an event.

    Args:
        state: The state, which is updated in place.
        event: What happened.

    Returns:
        At most one store call, whose result is the next event.
    """
    return _apply(event, state)


@singledispatch
def _apply(event: LeaseEvent, state: LeaseState) -> Effects:
    raise NotImplementedError(type(event))


@_apply.register
def _(event: LeaseTicked, state: LeaseState) -> Effects:
    pause = state._term / _RENEWALS_PER_TERM
    if state._fence is not None:
        return _renew(state, event.now) if event.now >= state._confirmed_at + pause else NO_EFFECTS
    if event.now < state._next_read_at:
        return NO_EFFECTS
    state._next_read_at = event.now + pause * state._random.uniform(0.8, 1.2)
    return (ReadLease(),)


@_apply.register
def _(event: LeaseUsed, state: LeaseState) -> Effects:
    if state._fence is None or state.is_fresh(now=event.now):
        return NO_EFFECTS
    return _renew(state, event.now)


@_apply.register
def _(event: LeaseReleased, state: LeaseState) -> Effects:
    fence = state._fence
    if fence is None:
        return NO_EFFECTS
    state._fence = None
    state._acquiring = False
    return (
        UpdateLease(value=LeaseValue(holder=None, fence=fence, nonce=0), version=state._version),
    )


@_apply.register
def _(event: LeaseFenced, state: LeaseState) -> Effects:
    if state._fence is None or event.newest <= state._fence:
        return NO_EFFECTS
    _lose(state, event.now)
    return NO_EFFECTS


@_apply.register
def _(event: LeaseWritten, state: LeaseState) -> Effects:
    value = decode(event.item.value, type=LeaseValue)
    if value.holder == state._myself:
        _confirm(state, event.item, value)
    return NO_EFFECTS


@_apply.register(LeaseConflicted)
@_apply.register(LeaseOutcomeUnknown)
def _(event: LeaseEvent, state: LeaseState) -> Effects:
    return (ReadLease(),) if state._acquiring or state._fence is not None else NO_EFFECTS


@_apply.register
def _(event: LeaseStoreFailed, state: LeaseState) -> Effects:
    return NO_EFFECTS


@_apply.register
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
    # The fencing number is the version of the acquisition; renewals repeat it in the value.
    state._fence = value.fence or item.version
    state._acquiring = False
    if item.version <= state._version:
        return
    state._version = item.version
    state._confirmed_at = state._write_began


def _lose(state: LeaseState, now: float) -> None:
    state._fence = None
    state._acquiring = False
    state._next_read_at = now


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
    # An earlier process of this host must have ended, as this one could not use its address.
    return holder.host == state._myself.host and holder.started <= state._myself.started


def _acquisition(state: LeaseState, now: float) -> LeaseValue:
    state._nonce = state._random.randrange(1, _NONCE_LIMIT)
    state._acquiring = True
    state._write_began = now
    return LeaseValue(holder=state._myself, fence=0, nonce=state._nonce)


def _renew(state: LeaseState, now: float) -> Effects:
    fence = state._fence
    if fence is None:
        return NO_EFFECTS
    state._write_began = now
    value = LeaseValue(holder=state._myself, fence=fence, nonce=state._nonce)
    return (UpdateLease(value=value, version=state._version),)
