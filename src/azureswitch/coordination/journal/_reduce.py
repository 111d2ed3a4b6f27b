"""The reducer of the journal: when records are written, and who takes over a dead host's."""

from functools import singledispatch
from math import inf

from msgspec.structs import replace

from azureswitch.coordination.journal._model import (
    FLUSH_PERIOD,
    GROUP_LIMIT,
    RECORD_AGE,
    DropGroup,
    DropOutput,
    GroupFailed,
    GroupRead,
    GroupWritten,
    JournalEvent,
    JournalTicked,
    LongCallEnded,
    LongCallKept,
    LongCallProgressed,
    LongCallStarted,
    OwnerPresent,
    ReadGroup,
    ResumeJob,
    WriteGroup,
)
from azureswitch.coordination.journal._state import Entry, JournalState, Takeover
from azureswitch.coordination.membership import MemberStatus
from azureswitch.core import NO_EFFECTS, Effects
from azureswitch.hashing import ranked

PRESENCE_PERIOD = 1.0
"""Seconds between two questions to a suspected process that answers."""


def reduce(state: JournalState, event: JournalEvent) -> Effects:
    """Handle one event.

    Args:
        state: The state, updated in place.
        event: What happened.

    Returns:
        At most one write of this host's records, reads of those of dead processes, and the
        requests that this host takes over.
    """
    return _handle(event, state)


@singledispatch
def _handle(event: JournalEvent, state: JournalState) -> Effects:
    raise NotImplementedError(type(event))


@_handle.register
def _(event: LongCallStarted, state: JournalState) -> Effects:
    call = event.record.call
    known = state._open.get(call)
    if known is None:
        state._open[call] = Entry(record=event.record, since=event.now)
        return NO_EFFECTS
    # The caller holds a job id that names the earlier engine.
    record = replace(event.record, tokens=max(known.record.tokens, event.record.tokens))
    state._open[call] = replace(known, record=record, urgent=True)
    state._urgent = True
    return NO_EFFECTS


@_handle.register
def _(event: LongCallProgressed, state: JournalState) -> Effects:
    known = state._open.get(event.call)
    if known is not None:
        record = replace(known.record, tokens=max(known.record.tokens, event.tokens))
        state._open[event.call] = replace(known, record=record)
    return NO_EFFECTS


@_handle.register
def _(event: LongCallEnded, state: JournalState) -> Effects:
    state._open.pop(event.call, None)
    return NO_EFFECTS


@_handle.register
def _(event: LongCallKept, state: JournalState) -> Effects:
    known = state._open.get(event.call)
    if known is None:
        return (DropOutput(call=event.call),)
    record = replace(known.record, done=True, expires=event.expires)
    state._open[event.call] = replace(known, record=record, urgent=True)
    state._urgent = True
    return NO_EFFECTS


@_handle.register
def _(event: JournalTicked, state: JournalState) -> Effects:
    return (
        *_expire(state, event.wall),
        *_flush(state, event.now),
        *_take_over(state, event),
        *_drop_groups(state, event),
    )


def _expire(state: JournalState, wall: float) -> Effects:
    expired = [entry.record for entry in state._open.values() if entry.record.expires < wall]
    for record in expired:
        del state._open[record.call]
    return tuple(DropOutput(call=record.call) for record in expired if record.done)


def _flush(state: JournalState, now: float) -> Effects:
    if state._writing or (now < state._next_flush and not state._urgent):
        return NO_EFFECTS
    due = [
        entry
        for entry in state._open.values()
        if entry.urgent or entry.record.call in state._written or now >= entry.since + RECORD_AGE
    ]
    calls = frozenset(entry.record.call for entry in due)
    if calls == state._written and not state._urgent:
        return NO_EFFECTS
    state._next_flush = now + FLUSH_PERIOD * state._random.uniform(0.9, 1.1)
    state._writing = True
    # The oldest have the most work to lose, so they are kept where there are too many.
    due.sort(key=lambda entry: entry.since)
    records = tuple(entry.record for entry in due[:GROUP_LIMIT])
    state._written = calls
    state._urgent = False
    return (WriteGroup(records=records, version=state._version),)


def _take_over(state: JournalState, event: JournalTicked) -> Effects:
    _believe_again(state, event)
    gone = {
        member.incarnation: member.address
        for member in event.members
        if member.status in (MemberStatus.DEAD, MemberStatus.SUSPECT)
    }
    live = {
        member.incarnation.host for member in event.members if member.status is MemberStatus.ALIVE
    }
    live.add(state._myself.host)
    wanted = [
        owner
        for owner in sorted(gone.keys() | state._orphans.keys())
        if state._orphans.get(owner, event.now) <= event.now
        and ranked(name=str(owner), hosts=live)[0] == state._myself.host
    ]
    for owner in wanted:
        state._orphans[owner] = inf
    return tuple(ReadGroup(owner=owner, address=gone.get(owner, "")) for owner in wanted)


def _believe_again(state: JournalState, event: JournalTicked) -> None:
    # A process that was suspected wrongly is looked at anew when it is suspected again.
    for member in event.members:
        if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            state._orphans.pop(member.incarnation, None)
            state._takeovers.pop(member.incarnation, None)
    listed = {member.incarnation for member in event.members}
    for owner in [owner for owner, due in state._orphans.items() if due == inf]:
        if owner not in listed:
            del state._orphans[owner]


def _drop_groups(state: JournalState, event: JournalTicked) -> Effects:
    dead = {member.incarnation for member in event.members if member.status is MemberStatus.DEAD}
    drops = tuple(
        DropGroup(owner=owner, version=takeover.version)
        for owner, takeover in state._takeovers.items()
        if takeover.safe and owner in dead
    )
    for drop in drops:
        del state._takeovers[drop.owner]
    return drops


@_handle.register
def _(event: GroupWritten, state: JournalState) -> Effects:
    state._writing = False
    state._version = event.item.version
    # What was read while the write was under way waits for the next one.
    if not state._urgent:
        state._takeovers = {
            owner: replace(takeover, safe=True) for owner, takeover in state._takeovers.items()
        }
    return NO_EFFECTS


@_handle.register
def _(event: OwnerPresent, state: JournalState) -> Effects:
    state._orphans[event.owner] = event.now + PRESENCE_PERIOD
    return NO_EFFECTS


@_handle.register
def _(event: GroupRead, state: JournalState) -> Effects:
    if event.owner == state._myself:
        return _rewrite(state, event)
    if event.item is None:
        return NO_EFFECTS
    takeover = Takeover(version=event.item.version, safe=not event.records)
    state._takeovers[event.owner] = takeover
    state._urgent = True
    taken = [record for record in event.records if record.call not in state._open]
    for record in taken:
        state._open[record.call] = Entry(record=record, since=event.now, urgent=True)
    return tuple(ResumeJob(record=record) for record in taken if not record.done)


def _rewrite(state: JournalState, event: GroupRead) -> Effects:
    # An answer was lost, or another host believed this one dead and deleted its records.
    state._writing = False
    state._version = 0 if event.item is None else event.item.version
    state._urgent = True
    return NO_EFFECTS


@_handle.register
def _(event: GroupFailed, state: JournalState) -> Effects:
    # Every host waits for a time of its own, so that a store that returns is not flooded.
    due = event.now + FLUSH_PERIOD * state._random.uniform(0.5, 1.5)
    if event.owner != state._myself:
        state._orphans[event.owner] = due
        return NO_EFFECTS
    state._writing = False
    state._written = frozenset()
    state._urgent = False
    state._next_flush = due
    return NO_EFFECTS
