"""The reducer of the mirror.

During an outage of the store, leases of objects expire although their owners are alive.  The owners
write the objects again within seconds of the store's recovery.  Removing them in between would
leave no targets, so an object that disappears after an outage is kept for a grace period.  A store
that rejects only this host has no outage: leases do not expire then.

A watch may deliver nothing for a second or longer without being disconnected, while the store drops
its history.  So a host, usually the first in rank, checks the store by a short watch from its
version soon after the last check of any host, and announces the result.  A host that is behind asks
the store at once, or the announcing host where the store does not answer.  A host that receives no
announcements checks the store itself.
"""

from functools import singledispatch
from math import log2

from azureswitch.coordination.mirror._events import (
    Changed,
    Checked,
    CopyReceived,
    CopyRequestsEnded,
    Listed,
    MirrorEvent,
    PeerChecked,
    StoreFailed,
    Ticked,
)
from azureswitch.coordination.mirror._messages import StoreSeen
from azureswitch.coordination.mirror._state import MirrorState
from azureswitch.core import NO_EFFECTS, Effect, Effects
from azureswitch.ports import ChangeKind, StoredObject, era_of

CHECK_INTERVAL_SECONDS = 0.6
"""Seconds after the last check by any host at which the first host in rank checks again.

A change must be in force within 2 s, and a watch may deliver nothing for the first second.
"""

RANK_DELAY_SECONDS = 0.1
"""Seconds after which the number of hosts that check doubles, if no check has succeeded.

The second in rank checks 0.1 s after the first, the fourth 0.2 s, the last of 600 after 0.92 s.  So
few more hosts ask than are needed to find one that the store answers.
"""

WATCHERS = 4
"""Number of hosts, the first in rank, that watch the store; they announce changes to the others."""

DUPLICATE_SECONDS = 0.25
"""Seconds after a peer's announcement within which a host that was behind does not announce its own
check of the same copy.
"""

COPY_RETRY_SECONDS = 1.6
"""Seconds after which copies are requested again; three requests may time out after 0.5 s each."""

OUTAGE_SECONDS = 1.0
"""Seconds without an answer of the store to any host after which it counts as down.

Peers announce an answer each half second.
"""

MIN_RELIST_SECONDS = 5.0
"""Minimum time in seconds between two listings that are caused by a peer's different copy."""

REORDER_SECONDS = 0.1
"""Seconds for which a change waits for its predecessors; messages of several hosts may arrive out
of order.
"""

MAX_REORDERED_CHANGES = 64
"""Upper bound of changes that wait for their predecessors."""

STORE_ONLY_SECONDS = 0.5
"""Seconds for which a host that is behind asks only the store before it requests a peer's copy."""


class Publish(Effect, frozen=True, kw_only=True):
    """Publish the changed objects to the listener."""

    objects: tuple[StoredObject, ...]


class CheckStore(Effect, frozen=True, kw_only=True):
    """End the current watch and start a short one from the copy's version."""


class Relist(Effect, frozen=True, kw_only=True):
    """List all objects again."""


class NotifyPeers(Effect, frozen=True, kw_only=True):
    """Announce a check, and what has changed, to the other hosts."""

    version: int
    fingerprint: int
    base: int
    put: tuple[StoredObject, ...] = ()
    removed: tuple[str, ...] = ()


class RequestCopy(Effect, frozen=True, kw_only=True):
    """Request the copy of a peer; `CopyRequestsEnded` follows.

    Attributes:
        address: The address of a peer that has it.
        version: The version that the peer has.
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
        The effects that the driver must execute, in order.
    """
    raise NotImplementedError(type(event))


@reduce.register
def _(event: Listed, state: MirrorState) -> Effects:
    _record_answer(state, now=event.now)
    _advance_version(state, event.listing.version, now=event.now)
    state.checked_at = event.now
    return _replace(state, event.listing.items, now=event.now)


@reduce.register
def _(event: Changed, state: MirrorState) -> Effects:
    _record_answer(state, now=event.now)
    item = event.change.item
    state.version = max(state.version, item.version)
    if event.change.kind is ChangeKind.BOOKMARK:
        return NO_EFFECTS
    if event.change.kind is ChangeKind.DELETED:
        if item.name not in state.objects:
            return NO_EFFECTS
        _remove(state, item.name, now=event.now)
        return (*_publish(state), *_notify(state))
    _put(state, item)
    return (*_publish(state), *_notify(state))


@reduce.register
def _(event: Checked, state: MirrorState) -> Effects:
    _record_answer(state, now=event.now)
    state.checked_at = event.now
    return _notify(state, again=event.now - state.peer_checked_at >= DUPLICATE_SECONDS)


@reduce.register
def _(event: StoreFailed, state: MirrorState) -> Effects:
    if state.failing_since is None:
        state.failing_since = event.now
    return NO_EFFECTS


@reduce.register
def _(event: PeerChecked, state: MirrorState) -> Effects:
    seen = event.seen
    _record_store_up(state, now=event.now)
    published = _apply_change(state, seen, now=event.now)
    if seen.version >= state.version:
        state.checked_at = max(state.checked_at, event.now)
        state.peer_checked_at = event.now
        state.peer_fingerprint = seen.fingerprint
    if published:
        return published
    if seen.fingerprint == state.fingerprint or seen.version < state.version:
        state.behind_since = None
        return NO_EFFECTS
    if seen.version == state.version:
        return _relist_differing(state, now=event.now)
    if state.behind_since is None:
        state.behind_since = event.now
    complete = bool(seen.put or seen.removed)
    if (
        complete
        and event.now - state.behind_since < REORDER_SECONDS
        and len(state.reordered) < MAX_REORDERED_CHANGES
    ):
        state.reordered[seen.base] = seen
        return NO_EFFECTS
    return _catch_up(state, seen, now=event.now)


@reduce.register
def _(event: CopyReceived, state: MirrorState) -> Effects:
    if event.version <= state.version:
        return NO_EFFECTS
    _advance_version(state, event.version, now=event.now)
    return _replace(state, event.objects, now=event.now)


@reduce.register
def _(event: CopyRequestsEnded, state: MirrorState) -> Effects:
    state.copies_requested_at = None
    return NO_EFFECTS


@reduce.register
def _(event: Ticked, state: MirrorState) -> Effects:
    effects: list[Effect] = []
    wait = CHECK_INTERVAL_SECONDS + RANK_DELAY_SECONDS * log2(1 + event.rank)
    if state.listed and event.now - state.checked_at >= wait:
        effects.append(CheckStore())
    effects += _expire_reordered(state, now=event.now)
    if not _is_down(state, now=event.now):
        # During an outage, missing objects cannot have been written again.
        effects += _expire(state, now=event.now)
    return effects


def _advance_version(state: MirrorState, version: int, *, now: float) -> None:
    """Record up to which version the copy is complete.

    A store that was restored from an older copy lacks objects until their owners write them again,
    as after an outage.
    """
    if state.listed and era_of(version) > era_of(state.version):
        state.recovered_at = now
    state.version = max(state.version, version)


def _catch_up(state: MirrorState, seen: StoreSeen, *, now: float) -> Effects:
    """Ask the store for a newer version, or request a peer's copy where the store fails."""
    store_only = state.behind_since is None or now - state.behind_since < STORE_ONLY_SECONDS
    if store_only and state.listed and state.failing_since is None:
        return (CheckStore(),)
    if (
        state.copies_requested_at is not None
        and now - state.copies_requested_at < COPY_RETRY_SECONDS
    ):
        return NO_EFFECTS
    state.copies_requested_at = now
    return (RequestCopy(address=seen.address, version=seen.version),)


def _expire_reordered(state: MirrorState, *, now: float) -> Effects:
    """Drop changes whose predecessors have not arrived in time, and catch up."""
    if (
        not state.reordered
        or state.behind_since is None
        or now - state.behind_since < REORDER_SECONDS
    ):
        return NO_EFFECTS
    newest = max(state.reordered.values(), key=lambda seen: seen.version)
    state.reordered.clear()
    return _catch_up(state, newest, now=now) if newest.version > state.version else NO_EFFECTS


def _relist_differing(state: MirrorState, *, now: float) -> Effects:
    """List all objects again, as a peer's copy of the same version differs and one is wrong."""
    if now - state.listed_at < MIN_RELIST_SECONDS:
        return NO_EFFECTS
    state.listed_at = now
    return (Relist(),)


def _apply_change(state: MirrorState, seen: StoreSeen, *, now: float) -> Effects:
    """Apply an announced change, if it is based on this copy."""
    newer = seen.fingerprint != state.fingerprint and seen.version > state.version
    if not newer or not state.listed or seen.base != state.fingerprint:
        return NO_EFFECTS
    for item in seen.put:
        _put(state, item)
    for name in seen.removed:
        _remove(state, name, now=now)
    effects = _publish(state)
    if state.fingerprint != seen.fingerprint:
        return effects
    state.version = seen.version
    state.behind_since = None
    _mark_announced(state)
    successor = state.reordered.pop(state.fingerprint, None)
    return effects if successor is None else _apply_change(state, successor, now=now) or effects


def _notify(state: MirrorState, *, again: bool = False) -> Effects:
    """Announce to peers what has changed since the last announcement, if anything.

    A host that has just received the same from a peer does not announce it.  A change too large for
    a datagram is read from the store by each host; announced again by each, it cost 77 hosts 5,900
    messages.

    Args:
        state: The state.
        again: Whether to announce a copy that peers know already.
    """
    if not again and state.fingerprint in (state.announced, state.peer_fingerprint):
        _mark_announced(state)
        return NO_EFFECTS
    announcement = NotifyPeers(
        version=state.version,
        fingerprint=state.fingerprint,
        base=state.announced,
        put=tuple(state.put.values()),
        removed=tuple(sorted(state.removed)),
    )
    _mark_announced(state)
    return (announcement,)


def _mark_announced(state: MirrorState) -> None:
    """Record that peers know this copy."""
    state.announced = state.fingerprint
    state.put.clear()
    state.removed.clear()


def _put(state: MirrorState, item: StoredObject) -> None:
    _discard_contents(state, item.name)
    state.contents.add(item)
    state.missing.pop(item.name, None)
    state.objects[item.name] = item
    state.put[item.name] = item
    state.removed.discard(item.name)


def _expire(state: MirrorState, *, now: float) -> Effects:
    expired = [name for name, until in state.missing.items() if now >= until]
    for name in expired:
        del state.missing[name]
        state.objects.pop(name, None)
    return _publish(state) if expired else NO_EFFECTS


def _record_answer(state: MirrorState, *, now: float) -> None:
    """Record that the store has answered this host."""
    _record_store_up(state, now=now)
    state.failing_since = None


def _record_store_up(state: MirrorState, *, now: float) -> None:
    """Record that the store has answered this host or a peer, which ends an outage."""
    if _is_down(state, now=now):
        state.recovered_at = now
    state.store_answered_at = now


def _is_down(state: MirrorState, *, now: float) -> bool:
    """Return whether the store answers neither this host nor, as far as is known, any other."""
    return state.failing_since is not None and now - state.store_answered_at >= OUTAGE_SECONDS


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
    # A listing is not announced by object; peers whose copies differ ask the store.
    _mark_announced(state)
    return effects


def _remove(state: MirrorState, name: str, *, now: float) -> None:
    """Remove an object, after a grace period if its lease may have expired during an outage."""
    if name in state.missing:
        return
    state.put.pop(name, None)
    state.removed.add(name)
    _discard_contents(state, name)
    grace_ends = 0.0 if state.recovered_at is None else state.recovered_at + state.return_grace
    if now < grace_ends:
        state.missing[name] = grace_ends
        return
    state.objects.pop(name, None)


def _discard_contents(state: MirrorState, name: str) -> None:
    """Remove an object from the contents that the store is known to hold, if present."""
    known = state.objects.get(name)
    if known is not None:
        state.contents.discard(known)


def _publish(state: MirrorState) -> Effects:
    state.fingerprint = state.contents.fingerprint()
    return (Publish(objects=tuple(state.objects.values())),)
