"""The reducer of the sweep: whose memory is read, who is asked, and what is released."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from functools import singledispatch

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory._model import (
    ASK_AGE,
    DEAD_GRACE,
    SUCCEEDED_GRACE,
    SWEEPERS,
    UNKNOWN_GRACE,
    WITNESSES,
    AskOwner,
    HeldAttempt,
    HoldingsRead,
    HoldingsUnread,
    OwnerAnswered,
    OwnerGone,
    OwnerQuery,
    ReadHoldings,
    ReleaseHolding,
    SweepEvent,
    SweepTicked,
)
from azureswitch.coordination.memory._state import SweepState
from azureswitch.core import NO_EFFECTS, Effects, HostName, Incarnation, TargetName
from azureswitch.hashing import ranked
from azureswitch.ports import Holding


def reduce(state: SweepState, event: SweepEvent) -> Effects:
    """Handle one event.

    Args:
        state: The state, updated in place.
        event: What happened.

    Returns:
        Reads, questions and releases, which may run side by side.
    """
    return _handle(event, state)


@singledispatch
def _handle(event: SweepEvent, state: SweepState) -> Effects:
    raise NotImplementedError(type(event))


@_handle.register
def _(event: SweepTicked, state: SweepState) -> Effects:
    state._members = {member.incarnation.host: member for member in event.members}
    _doubt_the_dead(state, event.now)
    mine = _own_targets(state, event.targets)
    _forget_others(state, mine)
    # An engine that hangs is read once at a time, and holds up none of the others.
    due = [target for target in mine if target not in state._reading]
    state._reading |= set(due)
    state._reads += len(due)
    return tuple(ReadHoldings(target=target) for target in due)


def _doubt_the_dead(state: SweepState, now: float) -> None:
    for owner in [owner for owner in state._doubted if state.is_living(owner)]:
        del state._doubted[owner]
    for member in state._members.values():
        if member.status is MemberStatus.DEAD:
            state._doubted.setdefault(member.incarnation, now)


def _own_targets(state: SweepState, targets: Iterable[TargetName]) -> tuple[TargetName, ...]:
    live = _live(state)
    return tuple(
        target
        for target in targets
        if state._myself.host in ranked(name=target, hosts=live)[:SWEEPERS]
    )


def _live(state: SweepState) -> set[HostName]:
    live = {
        member.incarnation.host
        for member in state._members.values()
        if member.status is MemberStatus.ALIVE
    }
    return live | {state._myself.host}


def _forget_others(state: SweepState, mine: tuple[TargetName, ...]) -> None:
    for target in state._held.keys() - set(mine):
        _forget(state, target, state._held[target])
        del state._held[target]
    owners = {holding.owner for held in state._held.values() for holding in held.values()}
    listed = {member.incarnation for member in state._members.values()}
    for owner in state._doubted.keys() - owners - listed:
        del state._doubted[owner]
    state._succeeded &= owners
    for owner in state._asked.keys() - owners:
        del state._asked[owner]


def _forget(state: SweepState, target: TargetName, holdings: Iterable[str]) -> None:
    for holding in holdings:
        state._since.pop((target, holding), None)


@_handle.register
def _(event: HoldingsUnread, state: SweepState) -> Effects:
    state._reading.discard(event.target)
    return NO_EFFECTS


@_handle.register
def _(event: HoldingsRead, state: SweepState) -> Effects:
    state._reading.discard(event.target)
    held = {holding.id: holding for holding in event.holdings}
    _forget(state, event.target, state._held.get(event.target, {}).keys() - held.keys())
    state._held[event.target] = held
    for holding in held:
        state._since.setdefault((event.target, holding), event.now)
    effects: list[AskOwner] = []
    for owner, holdings in _by_owner(event.holdings).items():
        if state.is_living(owner):
            effects += _question_living(state, owner, event.now)
        else:
            state._doubted.setdefault(owner, event.now)
            effects.append(_ask(state, owner, holdings))
    return effects


def _by_owner(holdings: Iterable[Holding]) -> dict[Incarnation, list[Holding]]:
    grouped: dict[Incarnation, list[Holding]] = defaultdict(list)
    for holding in holdings:
        grouped[holding.owner].append(holding)
    return grouped


def _question_living(state: SweepState, owner: Incarnation, now: float) -> Iterator[AskOwner]:
    # One question covers every engine, and a young attempt is left alone: its owner releases it
    # in nearly every case.
    if now < state._asked.get(owner, float("-inf")) + ASK_AGE:
        return
    old = [
        holding
        for target, held in state._held.items()
        for holding in held.values()
        if holding.owner == owner and now >= state._since[target, holding.id] + ASK_AGE
    ]
    if old:
        state._asked[owner] = now
        yield _ask(state, owner, old)


def _ask(state: SweepState, owner: Incarnation, holdings: Iterable[Holding]) -> AskOwner:
    attempts = {HeldAttempt(call=held.call, attempt=held.attempt) for held in holdings}
    member = state._members.get(owner.host)
    heir = _heir(state, owner)
    state._questions += 1
    return AskOwner(
        query=OwnerQuery(owner=owner, attempts=tuple(sorted(attempts))),
        address="" if member is None else member.address,
        witnesses=_witnesses(state, owner),
        heir="" if heir is None else heir.address,
    )


def _heir(state: SweepState, owner: Incarnation) -> Member | None:
    # The journal picks the host that takes over by the same order.
    first = ranked(name=str(owner), hosts=_live(state))[0]
    return None if first == state._myself.host else state._members.get(first)


def _witnesses(state: SweepState, owner: Incarnation) -> tuple[str, ...]:
    others = [
        member
        for member in state._members.values()
        if member.status is MemberStatus.ALIVE
        and member.incarnation.host not in (owner.host, state._myself.host)
    ]
    # Witnesses near the owner tell a dead owner from a broken way to its failure domain.
    place = state._members[owner.host].place if owner.host in state._members else None
    state._random.shuffle(others)
    others.sort(key=lambda member: member.place != place)
    return tuple(member.address for member in _spread(others))


def _spread(others: list[Member]) -> list[Member]:
    # The first is near the owner where there is one, the last is far from it where there is one.
    if len(others) <= WITNESSES:
        return others
    return [*others[: WITNESSES - 1], others[-1]]


@_handle.register
def _(event: OwnerAnswered, state: SweepState) -> Effects:
    if event.owner in state._doubted:
        # The doubt, if it comes up again, starts anew.
        state._doubted[event.owner] = event.now
        state._kept += 1
    return tuple(_release(state, event.owner, set(event.ended)))


@_handle.register
def _(event: OwnerGone, state: SweepState) -> Effects:
    if event.proven:
        state._succeeded.add(event.owner)
    if state.is_living(event.owner):
        return NO_EFFECTS
    since = state._doubted.setdefault(event.owner, event.now)
    if not event.proven and event.witnesses == 0 and _witnesses(state, event.owner):
        # Nobody else could be asked, so it may be this host that is cut off.
        return NO_EFFECTS
    if event.now < since + _grace(state, event.owner):
        return NO_EFFECTS
    return tuple(_release(state, event.owner, set(event.asked) - set(event.kept)))


def _grace(state: SweepState, owner: Incarnation) -> float:
    if state.is_superseded(owner):
        return SUCCEEDED_GRACE
    # An owner that no list shows may have started just now; one known to be dead has not.
    return DEAD_GRACE if state.is_known(owner) else UNKNOWN_GRACE


def _release(
    state: SweepState, owner: Incarnation, attempts: set[HeldAttempt]
) -> Iterator[ReleaseHolding]:
    # A release that fails shows in the next read of the engine, and is tried again then.
    for target, held in state._held.items():
        for holding in tuple(held.values()):
            attempt = HeldAttempt(call=holding.call, attempt=holding.attempt)
            if holding.owner == owner and attempt in attempts:
                del held[holding.id]
                state._released += 1
                yield ReleaseHolding(target=target, holding=holding)
