"""Keeps the copy: the one reducer of the mirror.

Objects with a lease lapse while the store is away although their owners live.  Those that do write
them again within seconds of the store's return.  Dropping them in between would leave nobody to
send work to, so an object that goes missing around an outage stays for a grace period.  A store
that turns this host away and serves others is not away: leases do not lapse then.

A watch may be deaf without being cut off: while the store drops its history, it hears nothing for a
second or longer.  So one host or another starts a short watch from its version a little after the
last one did, and tells the others.  Who is behind asks the store at once, or that host where the
store does not answer.  A host that hears of nobody checks for itself.
"""

from functools import singledispatch
from math import log2

from azureswitch.coordination.mirror._events import (
    Asked,
    Broken,
    Changed,
    Checked,
    Copied,
    Heard,
    Listed,
    MirrorEvent,
    Ticked,
)
from azureswitch.coordination.mirror._messages import StoreSeen
from azureswitch.coordination.mirror._state import MirrorState
from azureswitch.core import NO_EFFECTS, Effect, Effects
from azureswitch.ports import ChangeKind, StoredObject, era_of

CHECK_SECONDS = 0.6
"""Seconds after a check, whoever made it, at which the first host in rank checks again.

A change must be in force within 2 s, and a watch may be deaf for the first one.
"""

RANK_SECONDS = 0.1
"""Seconds after which as many more hosts check as were to check before, where none of them could.

The second in rank checks 0.1 s after the first, the fourth 0.2 s, the last of 600 after 0.92 s.  So
few more ask than it takes to find one that the store answers.
"""

WATCHERS = 4
"""Hosts, the first in rank, that have a watch waiting; the others hear of changes from them."""

ALIKE_SECONDS = 0.25
"""Seconds after a peer's check in which this host's own, made since it was behind, is not told."""

ASK_SECONDS = 1.6
"""Seconds after which peers are asked again although nothing came of it: three of 0.5 s each."""

AWAY_SECONDS = 1.0
"""Seconds without an answer of the store to anybody from which it counts as away.

Peers tell of one each half second.
"""

LIST_SECONDS = 5.0
"""Seconds between two readings of all objects since a peer's copy differs, at least."""

EARLY_SECONDS = 0.1
"""Seconds that a change waits for the ones before it, as messages of several hosts overtake."""

EARLY_MOST = 64
"""Changes that wait at most."""

BEHIND_SECONDS = 0.5
"""Seconds for which a host that is behind asks the store alone before it takes a peer's copy."""


class Publish(Effect, frozen=True, kw_only=True):
    """Hand out the objects, which changed."""

    objects: tuple[StoredObject, ...]


class AskStore(Effect, frozen=True, kw_only=True):
    """End the watch that waits and start one from the copy's version."""


class ListAgain(Effect, frozen=True, kw_only=True):
    """Read all objects anew."""


class TellPeers(Effect, frozen=True, kw_only=True):
    """Tell the other hosts that this one has checked, and what has changed."""

    version: int
    fingerprint: int
    base: int
    put: tuple[StoredObject, ...] = ()
    removed: tuple[str, ...] = ()


class AskPeer(Effect, frozen=True, kw_only=True):
    """Take the copy of a peer; `Asked` follows in the end.

    Attributes:
        address: A peer that has it.
        version: The version that it has.
    """

    address: str
    version: int


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
    _advance(state, event.listing.version, now=event.now)
    state.checked_at = event.now
    return _replace(state, event.listing.items, now=event.now)


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
        return (*_publish(state), *_tell(state))
    _put(state, item)
    return (*_publish(state), *_tell(state))


@reduce.register
def _(event: Checked, state: MirrorState) -> Effects:
    _answered(state, now=event.now)
    state.checked_at = event.now
    return _tell(state, again=event.now - state.heard_at >= ALIKE_SECONDS)


@reduce.register
def _(event: Broken, state: MirrorState) -> Effects:
    if state.broken_at is None:
        state.broken_at = event.now
    return NO_EFFECTS


@reduce.register
def _(event: Heard, state: MirrorState) -> Effects:
    seen = event.seen
    _serves(state, now=event.now)
    published = _apply(state, seen, now=event.now)
    if seen.version >= state.version:
        state.checked_at = max(state.checked_at, event.now)
        state.heard_at = event.now
        state.heard = seen.fingerprint
    if published:
        return published
    if seen.fingerprint == state.fingerprint or seen.version < state.version:
        state.behind_at = None
        return NO_EFFECTS
    if seen.version == state.version:
        return _disagree(state, now=event.now)
    if state.behind_at is None:
        state.behind_at = event.now
    complete = bool(seen.put or seen.removed)
    if complete and event.now - state.behind_at < EARLY_SECONDS and len(state.early) < EARLY_MOST:
        state.early[seen.base] = seen
        return NO_EFFECTS
    return _catch_up(state, seen, now=event.now)


@reduce.register
def _(event: Copied, state: MirrorState) -> Effects:
    if event.version <= state.version:
        return NO_EFFECTS
    _advance(state, event.version, now=event.now)
    return _replace(state, event.objects, now=event.now)


@reduce.register
def _(event: Asked, state: MirrorState) -> Effects:
    state.asked_at = None
    return NO_EFFECTS


@reduce.register
def _(event: Ticked, state: MirrorState) -> Effects:
    effects: list[Effect] = []
    wait = CHECK_SECONDS + RANK_SECONDS * log2(1 + event.rank)
    if state.listed and event.now - state.checked_at >= wait:
        effects.append(AskStore())
    effects += _miss(state, now=event.now)
    if not _is_away(state, now=event.now):
        # Until the store is back, what went missing cannot have come back.
        effects += _expire(state, now=event.now)
    return effects


def _advance(state: MirrorState, version: int, *, now: float) -> None:
    """Note up to which version the copy is complete.

    A store that comes back from an older copy lacks for a moment what lives and writes itself
    again, as after an outage.
    """
    if state.listed and era_of(version) > era_of(state.version):
        state.returned_at = now
    state.version = max(state.version, version)


def _catch_up(state: MirrorState, seen: StoreSeen, *, now: float) -> Effects:
    """Ask the store for what a peer has, or that peer where the store does not help."""
    patient = state.behind_at is None or now - state.behind_at < BEHIND_SECONDS
    if patient and state.listed and state.broken_at is None:
        return (AskStore(),)
    if state.asked_at is not None and now - state.asked_at < ASK_SECONDS:
        return NO_EFFECTS
    state.asked_at = now
    return (AskPeer(address=seen.address, version=seen.version),)


def _miss(state: MirrorState, *, now: float) -> Effects:
    """Give up the changes that wait in vain for the ones before them."""
    if not state.early or state.behind_at is None or now - state.behind_at < EARLY_SECONDS:
        return NO_EFFECTS
    newest = max(state.early.values(), key=lambda seen: seen.version)
    state.early.clear()
    return _catch_up(state, newest, now=now) if newest.version > state.version else NO_EFFECTS


def _disagree(state: MirrorState, *, now: float) -> Effects:
    """Read all anew where a peer's copy of the same version differs; one of the two is wrong."""
    if now - state.listed_at < LIST_SECONDS:
        return NO_EFFECTS
    state.listed_at = now
    return (ListAgain(),)


def _apply(state: MirrorState, seen: StoreSeen, *, now: float) -> Effects:
    """Take over a change that a peer tells of, where it applies to this copy."""
    news = seen.fingerprint != state.fingerprint and seen.version > state.version
    if not news or not state.listed or seen.base != state.fingerprint:
        return NO_EFFECTS
    for item in seen.put:
        _put(state, item)
    for name in seen.removed:
        _remove(state, name, now=now)
    effects = _publish(state)
    if state.fingerprint != seen.fingerprint:
        return effects
    state.version = seen.version
    state.behind_at = None
    _settle(state)
    after = state.early.pop(state.fingerprint, None)
    return effects if after is None else _apply(state, after, now=now) or effects


def _tell(state: MirrorState, *, again: bool = False) -> Effects:
    """Tell the peers what has changed since they were told last; or that nothing has.

    Who has just heard the same from a peer stays silent.  A change that fits no datagram is read
    from the store by each host; told again by each, it cost 77 hosts 5,900 messages.
    """
    if not again and state.fingerprint in (state.told, state.heard):
        _settle(state)
        return NO_EFFECTS
    told = TellPeers(
        version=state.version,
        fingerprint=state.fingerprint,
        base=state.told,
        put=tuple(state.put.values()),
        removed=tuple(sorted(state.removed)),
    )
    _settle(state)
    return (told,)


def _settle(state: MirrorState) -> None:
    """Note that the peers know of this copy."""
    state.told = state.fingerprint
    state.put.clear()
    state.removed.clear()


def _put(state: MirrorState, item: StoredObject) -> None:
    _strike(state, item.name)
    state.contents.add(item)
    state.missing.pop(item.name, None)
    state.objects[item.name] = item
    state.put[item.name] = item
    state.removed.discard(item.name)


def _expire(state: MirrorState, *, now: float) -> Effects:
    gone = [name for name, until in state.missing.items() if now >= until]
    for name in gone:
        del state.missing[name]
        state.objects.pop(name, None)
    return _publish(state) if gone else NO_EFFECTS


def _answered(state: MirrorState, *, now: float) -> None:
    """Note that the store has answered this host."""
    _serves(state, now=now)
    state.broken_at = None


def _serves(state: MirrorState, *, now: float) -> None:
    """Note that the store has answered this host or a peer; it may have been away before."""
    if _is_away(state, now=now):
        state.returned_at = now
    state.served_at = now


def _is_away(state: MirrorState, *, now: float) -> bool:
    """Return whether the store answers neither this host nor, so far as it hears, any other."""
    return state.broken_at is not None and now - state.served_at >= AWAY_SECONDS


def _replace(state: MirrorState, objects: tuple[StoredObject, ...], *, now: float) -> Effects:
    found = {item.name: item for item in objects}
    for name in state.objects.keys() - found.keys():
        _remove(state, name, now=now)
    for name in found:
        state.missing.pop(name, None)
    state.objects.update(found)
    state.contents.replace(state.present())
    state.listed = True
    state.listed_at = now
    effects = _publish(state)
    # A whole reading is not told object by object; who differs asks the store.
    _settle(state)
    return effects


def _remove(state: MirrorState, name: str, *, now: float) -> None:
    """Drop an object, or let it stay a little where it may have lapsed while the store was away."""
    if name in state.missing:
        return
    state.put.pop(name, None)
    state.removed.add(name)
    _strike(state, name)
    grace_ends = 0.0 if state.returned_at is None else state.returned_at + state.return_grace
    if now < grace_ends:
        state.missing[name] = grace_ends
        return
    state.objects.pop(name, None)


def _strike(state: MirrorState, name: str) -> None:
    """Take an object out of what the store is known to hold, if it is there."""
    known = state.objects.get(name)
    if known is not None:
        state.contents.discard(known)


def _publish(state: MirrorState) -> Effects:
    state.fingerprint = state.contents.fingerprint()
    return (Publish(objects=tuple(state.objects.values())),)
