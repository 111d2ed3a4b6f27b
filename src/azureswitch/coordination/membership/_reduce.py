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
    FORGET_LISTED,
    FORGET_UNLISTED,
    JOIN_SYNCS,
    LIST_JOIN_PERIOD,
    LIST_PERIOD,
    STALL_SECONDS,
    SYNC_JOIN_PERIOD,
    SYNC_PERIOD,
    SYNC_UPDATES,
    URGENT_FANOUT,
    URGENT_UPDATES,
)
from azureswitch.coordination.membership._merge import (
    declare_dead,
    hear,
    hear_report,
    learn,
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
    """Update a view with an event.

    Args:
        state: The view.
        event: What happened.

    Returns:
        What the driver does now, in order.
    """
    effects = list(_on(event, state))
    effects.extend(_spread_urgent(state))
    if state._changed:
        state._changed = False
        effects.append(NotifyChange())
    return effects


@singledispatch
def _on(event: MembershipEvent, state: MembershipState) -> MembershipEffects:
    raise TypeError(type(event))


@_on.register
def _(event: Received, state: MembershipState) -> MembershipEffects:
    return _take(event.message, state, event.now)


@_on.register
def _(event: RevisionAdopted, state: MembershipState) -> MembershipEffects:
    state.set_revision(host=state._host, revision=event.revision)
    state._reports.add(revision=event.revision, hosts=(state._host,))
    yield from ()


@_on.register
def _(event: LeaveBegan, state: MembershipState) -> MembershipEffects:
    if state.me.status is MemberStatus.ALIVE:
        state.speak(version=state.me.version + 1, status=MemberStatus.LEAVING)
        state._urgent.append(state.me)
        state._changed = True
    yield from ()


@_on.register
def _(event: Ended, state: MembershipState) -> MembershipEffects:
    state.speak(version=state.me.version + 1, status=MemberStatus.DEAD)
    state._urgent.append(state.me)
    yield from ()


@_on.register
def _(event: HostsListed, state: MembershipState) -> MembershipEffects:
    if not state._listing_read or state._listed != event.hosts:
        # How many hosts there may be is told with the members.
        state._changed = True
    state._listing_read = True
    state._listed = event.hosts
    listed = {item.name for item in event.hosts}
    for host, died in tuple(state._died.items()):
        unlisted = host not in listed and event.now - died >= FORGET_UNLISTED
        if unlisted or event.now - died >= FORGET_LISTED:
            del state._died[host]
            state._table.forget(host)
    yield from ()


@_on.register
def _(event: SyncRequested, state: MembershipState) -> MembershipEffects:
    request = event.request
    claim = _claim(state, request.source)
    learn(state, request.source, event.now)
    differing = list(state._table.differing(request.digests))
    complete = len(differing) <= SYNC_UPDATES
    chosen = differing if complete else state._random.sample(differing, SYNC_UPDATES)
    if claim is not None:
        chosen.append(claim)
    yield AnswerSync(
        reply=SyncReply(
            source=state.me, updates=pack(chosen), complete=complete, report=state.report()
        )
    )


@_on.register
def _(event: SyncReplied, state: MembershipState) -> MembershipEffects:
    reply = event.reply
    learn(state, reply.source, event.now)
    for update in unpack(reply.updates):
        hear(state, update, event.now)
    hear_report(state, reply.report)
    state._synced += 1
    if not reply.complete:
        state._syncs_at = event.now + SYNC_JOIN_PERIOD
    yield from ()


@_on.register
def _(event: Ticked, state: MembershipState) -> MembershipEffects:
    now = event.now
    _notice_stall(state, now)
    yield from end_relays(state, now)
    yield from continue_probing(state, now)
    for host in state._suspicions.expired(now=now):
        known = state._table.get(host)
        if known is not None:
            declare_dead(state, known, now)
    yield from _sync(state, now)
    if now >= state._lists_at:
        period = LIST_PERIOD if state._table.size > 1 else LIST_JOIN_PERIOD
        state._lists_at = now + _jittered(state, period)
        yield ListHosts()


# --- Datagrams ------------------------------------------------------------------------------------


@singledispatch
def _take(message: Message, state: MembershipState, now: float) -> MembershipEffects:
    raise TypeError(type(message))


@_take.register
def _(message: Ping, state: MembershipState, now: float) -> MembershipEffects:
    claim = _claim(state, message.source)
    _take_news(message, state, now)
    ack = Ack(
        sequence=message.sequence,
        source=state.me,
        updates=pack(state.piggyback(first=claim)),
        report=state.report(),
    )
    yield Send(address=message.source.address, message=ack)


@_take.register
def _(message: Ack, state: MembershipState, now: float) -> MembershipEffects:
    _take_news(message, state, now)
    yield from record_ack(state, message)


@_take.register
def _(message: PingRequest, state: MembershipState, now: float) -> MembershipEffects:
    learn(state, message.source, now)
    yield from relay_probe(state, message, now)


@_take.register
def _(message: Nack, state: MembershipState, now: float) -> MembershipEffects:
    probe = state._probe
    if probe is not None and probe.sequence == message.sequence:
        probe.nacks += 1
    yield from ()


@_take.register
def _(message: Gossip, state: MembershipState, now: float) -> MembershipEffects:
    for update in unpack(message.updates):
        learn(state, update, now)
    yield from ()


def _take_news(message: Ping | Ack, state: MembershipState, now: float) -> None:
    learn(state, message.source, now)
    for update in unpack(message.updates):
        learn(state, update, now)
    hear_report(state, message.report)
    if message.source.revision:
        hosts = (message.source.host,)
        state._reports.add(revision=message.source.revision, hosts=hosts)


def _claim(state: MembershipState, source: Update) -> Update | None:
    """Return what is said against a member, so that it can speak up."""
    known = state._table.get(source.host)
    if known is None or known.started != source.started:
        return None
    accused = known.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}
    return known if accused and known.version >= source.version else None


# --- Timers ---------------------------------------------------------------------------------------


def _notice_stall(state: MembershipState, now: float) -> None:
    """Accuse nobody on the strength of timers that ran while this process was paused."""
    stalled = state._ticked is not None and now - state._ticked >= STALL_SECONDS
    state._ticked = now
    if not stalled:
        return
    logging.info("membership: This process was paused.")
    state._stalls += 1
    state._health.add(1)
    state._probe = None
    state._relays.clear()
    state._suspicions.restart(now=now)
    state._syncs_at = now


def _sync(state: MembershipState, now: float) -> MembershipEffects:
    if now < state._syncs_at:
        return
    period = SYNC_PERIOD if state._synced >= JOIN_SYNCS else SYNC_JOIN_PERIOD
    state._syncs_at = now + _jittered(state, period)
    address = _sync_address(state)
    if address is not None:
        request = SyncRequest(source=state.me, digests=state._table.digests)
        yield Sync(address=address, request=request)


def _sync_address(state: MembershipState) -> str | None:
    """Choose a member, and every other time a host that is listed or was known and is not."""
    state._syncs_lost = not state._syncs_lost
    present = [item.address for item in state._table.alive(without=(state._host,))]
    lost = _lost(state) if state._syncs_lost or not present else []
    candidates = lost or present
    return state._random.choice(candidates) if candidates else None


def _lost(state: MembershipState) -> list[str]:
    dead = [item for host in state._table.dead if (item := state._table.get(host)) is not None]
    addresses = {item.address for item in dead}
    addresses.update(item.address for item in state._listed if _is_unknown(state, item))
    return sorted(addresses)


def _is_unknown(state: MembershipState, listed: ListedHost) -> bool:
    return state._table.get(listed.name) is None


def _spread_urgent(state: MembershipState) -> MembershipEffects:
    if not state._urgent:
        return
    updates = state._urgent[:URGENT_UPDATES]
    state._urgent = []
    hosts = [state._host, *(item.host for item in updates)]
    candidates = state._table.alive(without=hosts)
    for member in state._random.sample(candidates, min(URGENT_FANOUT, len(candidates))):
        yield Send(address=member.address, message=Gossip(updates=pack(updates)))


def _jittered(state: MembershipState, period: float) -> float:
    return period * state._random.uniform(0.75, 1.25)
