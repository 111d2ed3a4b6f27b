"""The reducer of the journal: writes of records, and takeovers of those of dead hosts."""

from functools import singledispatch
from math import inf

from msgspec.structs import replace

from azureswitch.coordination.journal._model import (
    MAX_GROUP_RECORDS,
    MIN_FLUSH_SECONDS,
    MIN_RECORDED_SECONDS,
    DeleteGroup,
    DeleteOutput,
    GroupFailed,
    GroupRead,
    GroupWritten,
    JournalEvent,
    JournalTicked,
    LongCallEnded,
    LongCallProgressed,
    LongCallStarted,
    OutputKept,
    OwnerAnswered,
    ReadGroup,
    ResumeJob,
    WriteGroup,
)
from azureswitch.coordination.journal._state import Entry, JournalState, Takeover
from azureswitch.coordination.membership import MemberStatus
from azureswitch.core import NO_EFFECTS, Effects
from azureswitch.hashing import ranked

PRESENCE_CHECK_SECONDS = 1.0
"""Seconds between two queries to a suspected process that answers."""


def reduce(state: JournalState, event: JournalEvent) -> Effects:
    """Apply an event.

    Args:
        state: The state, which is updated in place.
        event: What happened.

    Returns:
        The effects that the driver must execute: at most one write of this host's records, reads
        and deletions of those of dead processes, and takeovers of requests.
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
        state._open[call] = Entry(record=event.record, started=event.now)
        return NO_EFFECTS
    # The caller's job id contains the previous engine.
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
def _(event: OutputKept, state: JournalState) -> Effects:
    known = state._open.get(event.call)
    if known is None:
        return (DeleteOutput(call=event.call),)
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
        *_delete_groups(state, event),
    )


def _expire(state: JournalState, wall: float) -> Effects:
    expired = [entry.record for entry in state._open.values() if entry.record.expires < wall]
    for record in expired:
        del state._open[record.call]
    return tuple(DeleteOutput(call=record.call) for record in expired if record.done)


def _flush(state: JournalState, now: float) -> Effects:
    if state._writing or (now < state._next_flush and not state._urgent):
        return NO_EFFECTS
    due = [
        entry
        for entry in state._open.values()
        if entry.urgent
        or entry.record.call in state._written
        or now >= entry.started + MIN_RECORDED_SECONDS
    ]
    calls = frozenset(entry.record.call for entry in due)
    if calls == state._written and not state._urgent:
        return NO_EFFECTS
    state._next_flush = now + MIN_FLUSH_SECONDS * state._random.uniform(0.9, 1.1)
    state._writing = True
    # If there are too many, the oldest are recorded, as most work would be lost with them.
    due.sort(key=lambda entry: entry.started)
    records = tuple(entry.record for entry in due[:MAX_GROUP_RECORDS])
    state._written = calls
    state._urgent = False
    return (WriteGroup(records=records, version=state._version),)


def _take_over(state: JournalState, event: JournalTicked) -> Effects:
    _clear_answering(state, event)
    absent = {
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
        for owner in sorted(absent.keys() | state._next_reads.keys())
        if state._next_reads.get(owner, event.now) <= event.now
        and ranked(name=str(owner), hosts=live)[0] == state._myself.host
    ]
    for owner in wanted:
        state._next_reads[owner] = inf
    return tuple(ReadGroup(owner=owner, address=absent.get(owner, "")) for owner in wanted)


def _clear_answering(state: JournalState, event: JournalTicked) -> None:
    # If a process that was wrongly suspected is suspected again, its records are read again.
    for member in event.members:
        if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            state._next_reads.pop(member.incarnation, None)
            state._takeovers.pop(member.incarnation, None)
    listed = {member.incarnation for member in event.members}
    for owner in [owner for owner, due in state._next_reads.items() if due == inf]:
        if owner not in listed:
            del state._next_reads[owner]


def _delete_groups(state: JournalState, event: JournalTicked) -> Effects:
    dead = {member.incarnation for member in event.members if member.status is MemberStatus.DEAD}
    drops = tuple(
        DeleteGroup(owner=owner, version=takeover.version)
        for owner, takeover in state._takeovers.items()
        if takeover.persisted and owner in dead
    )
    for drop in drops:
        del state._takeovers[drop.owner]
    return drops


@_handle.register
def _(event: GroupWritten, state: JournalState) -> Effects:
    state._writing = False
    state._version = event.item.version
    # Records that were taken over during the write are included in the next one.
    if not state._urgent:
        state._takeovers = {
            owner: replace(takeover, persisted=True) for owner, takeover in state._takeovers.items()
        }
    return NO_EFFECTS


@_handle.register
def _(event: OwnerAnswered, state: JournalState) -> Effects:
    state._next_reads[event.owner] = event.now + PRESENCE_CHECK_SECONDS
    return NO_EFFECTS


@_handle.register
def _(event: GroupRead, state: JournalState) -> Effects:
    if event.owner == state._myself:
        return _rewrite(state, event)
    if event.item is None:
        return NO_EFFECTS
    takeover = Takeover(version=event.item.version, persisted=not event.records)
    state._takeovers[event.owner] = takeover
    state._urgent = True
    added = [record for record in event.records if record.call not in state._open]
    for record in added:
        state._open[record.call] = Entry(record=record, started=event.now, urgent=True)
    return tuple(ResumeJob(record=record) for record in added if not record.done)


def _rewrite(state: JournalState, event: GroupRead) -> Effects:
    # The outcome of a write was unknown, or another host considered this one dead and deleted its
    # records.
    state._writing = False
    state._version = 0 if event.item is None else event.item.version
    state._urgent = True
    return NO_EFFECTS


@_handle.register
def _(event: GroupFailed, state: JournalState) -> Effects:
    # The jitter keeps the hosts from overloading a store that has just recovered.
    due = event.now + MIN_FLUSH_SECONDS * state._random.uniform(0.5, 1.5)
    if event.owner != state._myself:
        state._next_reads[event.owner] = due
        return NO_EFFECTS
    state._writing = False
    state._written = frozenset()
    state._urgent = False
    state._next_flush = due
    return NO_EFFECTS
