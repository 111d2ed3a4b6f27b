"""The membership reducer."""

from collections.abc import Iterator
from functools import singledispatch

from absl import logging

from azureswitch.coordination.membership._effects import (
    AnswerSync,
    ListHosts,
    MembershipEffect,
    NotifyChange,
    Send,
    Sync,
)
from azureswitch.coordination.membership._events import (
    Ended,
    HostsListed,
    LeaveBegan,
    MembershipEvent,
    Received,
    RevisionAdopted,
    SyncReplied,
    SyncRequested,
    Ticked,
)
from azureswitch.coordination.membership._limits import (
    FORGET_LISTED_SECONDS,
    FORGET_UNLISTED_SECONDS,
    JOIN_SYNCS,
    LIST_JOIN_PERIOD,
    LIST_PERIOD,
    MAX_SYNC_UPDATES,
    MAX_URGENT_UPDATES,
    STALL_SECONDS,
    SYNC_JOIN_PERIOD,
    SYNC_PERIOD,
    URGENT_FANOUT,
)
from azureswitch.coordination.membership._merge import (
    declare_dead,
    merge_report,
    merge_table_row,
    merge_update,
)
from azureswitch.coordination.membership._messages import (
    Ack,
    Gossip,
    Message,
    Nack,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
    Update,
    pack,
    unpack,
)
from azureswitch.coordination.membership._model import MemberStatus
from azureswitch.coordination.membership._probing import (
    continue_probing,
    end_relays,
    record_ack,
    relay_probe,
)
from azureswitch.coordination.membership._state import MembershipState
from azureswitch.core import Effects
from azureswitch.ports import ListedHost

MembershipEffects = Iterator[MembershipEffect]


def reduce(state: MembershipState, event: MembershipEvent) -> Effects:
    """Apply an event.

    Args:
        state: The view, which is updated in place.
        event: What happened.

    Returns:
        The effects that the driver must execute, in order.
    """
    effects = list(_apply(event, state))
    effects.extend(_gossip_urgent(state))
    if state._changed:
        state._changed = False
        effects.append(NotifyChange())
    return effects


@singledispatch
def _apply(event: MembershipEvent, state: MembershipState) -> MembershipEffects:
    raise TypeError(type(event))


@_apply.register
def _(event: Received, state: MembershipState) -> MembershipEffects:
    return _receive(event.message, state, event.now)


@_apply.register
def _(event: RevisionAdopted, state: MembershipState) -> MembershipEffects:
    state.set_revision(host=state._host, revision=event.revision)
    state._reports.add(revision=event.revision, hosts=(state._host,))
    yield from ()


@_apply.register
def _(event: LeaveBegan, state: MembershipState) -> MembershipEffects:
    if state.me.status is MemberStatus.ALIVE:
        state.update_self(version=state.me.version + 1, status=MemberStatus.LEAVING)
        state._urgent.append(state.me)
        state._changed = True
    yield from ()


@_apply.register
def _(event: Ended, state: MembershipState) -> MembershipEffects:
    state.update_self(version=state.me.version + 1, status=MemberStatus.DEAD)
    state._urgent.append(state.me)
    yield from ()


@_apply.register
def _(event: HostsListed, state: MembershipState) -> MembershipEffects:
    if not state._listing_read or state._listed != event.hosts:
        # Listeners also use the size of the fleet, which depends on the host list.
        state._changed = True
    state._listing_read = True
    state._listed = event.hosts
    listed = {item.name for item in event.hosts}
    for host, died in tuple(state._died_at.items()):
        unlisted = host not in listed and event.now - died >= FORGET_UNLISTED_SECONDS
        if unlisted or event.now - died >= FORGET_LISTED_SECONDS:
            del state._died_at[host]
            state._table.forget(host)
    yield from ()


@_apply.register
def _(event: SyncRequested, state: MembershipState) -> MembershipEffects:
    request = event.request
    accusation = _accusation(state, request.source)
    merge_update(state, request.source, event.now)
    differing = list(state._table.differing(request.digests))
    complete = len(differing) <= MAX_SYNC_UPDATES
    chosen = differing if complete else state._random.sample(differing, MAX_SYNC_UPDATES)
    if accusation is not None:
        chosen.append(accusation)
    yield AnswerSync(
        reply=SyncReply(
            source=state.me, updates=pack(chosen), complete=complete, report=state.report()
        )
    )


@_apply.register
def _(event: SyncReplied, state: MembershipState) -> MembershipEffects:
    reply = event.reply
    merge_update(state, reply.source, event.now)
    for update in unpack(reply.updates):
        merge_table_row(state, update, event.now)
    merge_report(state, reply.report)
    state._sync_count += 1
    if not reply.complete:
        state._next_sync_at = event.now + SYNC_JOIN_PERIOD
    yield from ()


@_apply.register
def _(event: Ticked, state: MembershipState) -> MembershipEffects:
    now = event.now
    _detect_stall(state, now)
    yield from end_relays(state, now)
    yield from continue_probing(state, now)
    for host in state._suspicions.expired(now=now):
        known = state._table.get(host)
        if known is not None:
            declare_dead(state, known, now)
    yield from _sync(state, now)
    if now >= state._next_listing_at:
        period = LIST_PERIOD if state._table.size > 1 else LIST_JOIN_PERIOD
        state._next_listing_at = now + _jittered(state, period)
        yield ListHosts()


# --- Datagrams ------------------------------------------------------------------------------------


@singledispatch
def _receive(message: Message, state: MembershipState, now: float) -> MembershipEffects:
    raise TypeError(type(message))


@_receive.register
def _(message: Ping, state: MembershipState, now: float) -> MembershipEffects:
    accusation = _accusation(state, message.source)
    _merge_gossip(message, state, now)
    ack = Ack(
        sequence=message.sequence,
        source=state.me,
        updates=pack(state.piggyback(first=accusation)),
        report=state.report(),
    )
    yield Send(address=message.source.address, message=ack)


@_receive.register
def _(message: Ack, state: MembershipState, now: float) -> MembershipEffects:
    _merge_gossip(message, state, now)
    yield from record_ack(state, message)


@_receive.register
def _(message: PingRequest, state: MembershipState, now: float) -> MembershipEffects:
    merge_update(state, message.source, now)
    yield from relay_probe(state, message, now)


@_receive.register
def _(message: Nack, state: MembershipState, now: float) -> MembershipEffects:
    probe = state._probe
    if probe is not None and probe.sequence == message.sequence:
        probe.nacks += 1
    yield from ()


@_receive.register
def _(message: Gossip, state: MembershipState, now: float) -> MembershipEffects:
    for update in unpack(message.updates):
        merge_update(state, update, now)
    yield from ()


def _merge_gossip(message: Ping | Ack, state: MembershipState, now: float) -> None:
    merge_update(state, message.source, now)
    for update in unpack(message.updates):
        merge_update(state, update, now)
    merge_report(state, message.report)
    if message.source.revision:
        hosts = (message.source.host,)
        state._reports.add(revision=message.source.revision, hosts=hosts)


def _accusation(state: MembershipState, source: Update) -> Update | None:
    """Return the update that accuses a member, so that the member can refute it."""
    known = state._table.get(source.host)
    if known is None or known.started != source.started:
        return None
    accused = known.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}
    return known if accused and known.version >= source.version else None


# --- Timers ---------------------------------------------------------------------------------------


def _detect_stall(state: MembershipState, now: float) -> None:
    """Restart timers after a pause of this process, so that they cause no false suspicions."""
    stalled = state._last_tick is not None and now - state._last_tick >= STALL_SECONDS
    state._last_tick = now
    if not stalled:
        return
    logging.info("membership: This process was paused.")
    state._stalls += 1
    state._health.add(1)
    state._probe = None
    state._relays.clear()
    state._suspicions.restart(now=now)
    state._next_sync_at = now


def _sync(state: MembershipState, now: float) -> MembershipEffects:
    if now < state._next_sync_at:
        return
    period = SYNC_PERIOD if state._sync_count >= JOIN_SYNCS else SYNC_JOIN_PERIOD
    state._next_sync_at = now + _jittered(state, period)
    address = _sync_address(state)
    if address is not None:
        request = SyncRequest(source=state.me, digests=state._table.digests)
        yield Sync(address=address, request=request)


def _sync_address(state: MembershipState) -> str | None:
    """Choose a member, or every other time a dead host or a listed one that is not a member."""
    state._sync_lost_next = not state._sync_lost_next
    present = [item.address for item in state._table.alive(without=(state._host,))]
    lost = _lost_addresses(state) if state._sync_lost_next or not present else []
    candidates = lost or present
    return state._random.choice(candidates) if candidates else None


def _lost_addresses(state: MembershipState) -> list[str]:
    dead = [item for host in state._table.dead if (item := state._table.get(host)) is not None]
    addresses = {item.address for item in dead}
    addresses.update(item.address for item in state._listed if _is_unknown(state, item))
    return sorted(addresses)


def _is_unknown(state: MembershipState, listed: ListedHost) -> bool:
    return state._table.get(listed.name) is None


def _gossip_urgent(state: MembershipState) -> MembershipEffects:
    if not state._urgent:
        return
    updates = state._urgent[:MAX_URGENT_UPDATES]
    state._urgent = []
    hosts = [state._host, *(item.host for item in updates)]
    candidates = state._table.alive(without=hosts)
    for member in state._random.sample(candidates, min(URGENT_FANOUT, len(candidates))):
        yield Send(address=member.address, message=Gossip(updates=pack(updates)))


def _jittered(state: MembershipState, period: float) -> float:
    return period * state._random.uniform(0.75, 1.25)
