"""The reducer of the sweep: whose memory is read, who is asked, and what is released."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from functools import singledispatch

from azureswitch.coordination.hashing import ranked
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory._model import (
    ASK_AGE,
    DEAD_GRACE,
    SWEEPERS,
    UNKNOWN_GRACE,
    WITNESSES,
    AskOwner,
    HeldAttempt,
    HoldingsRead,
    OwnerAnswered,
    OwnerQuery,
    OwnerSilent,
    ReadHoldings,
    ReleaseHolding,
    SweepEvent,
    SweepTicked,
)
from azureswitch.coordination.memory._state import SweepState
from azureswitch.core import NO_EFFECTS, Effects, Incarnation, TargetName
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
    state._reads += len(mine)
    return tuple(ReadHoldings(target=target) for target in mine)


def _doubt_the_dead(state: SweepState, now: float) -> None:
    for owner in [owner for owner in state._doubted if state.is_living(owner)]:
        del state._doubted[owner]
    for member in state._members.values():
        if member.status is MemberStatus.DEAD:
            state._doubted.setdefault(member.incarnation, now)


def _own_targets(state: SweepState, targets: Iterable[TargetName]) -> tuple[TargetName, ...]:
    live = {
        member.incarnation.host
        for member in state._members.values()
        if member.status is MemberStatus.ALIVE
    }
    live.add(state._myself.host)
    return tuple(
        target
        for target in targets
        if state._myself.host in ranked(name=target, hosts=live)[:SWEEPERS]
    )


def _forget_others(state: SweepState, mine: tuple[TargetName, ...]) -> None:
    for target in state._held.keys() - set(mine):
        _forget(state, target, state._held[target])
        del state._held[target]
    owners = {holding.owner for held in state._held.values() for holding in held.values()}
    listed = {member.incarnation for member in state._members.values()}
    for owner in state._doubted.keys() - owners - listed:
        del state._doubted[owner]
    for owner in state._asked.keys() - owners:
        del state._asked[owner]


def _forget(state: SweepState, target: TargetName, holdings: Iterable[str]) -> None:
    for holding in holdings:
        state._since.pop((target, holding), None)


@_handle.register
def _(event: HoldingsRead, state: SweepState) -> Effects:
    held = {holding.id: holding for holding in event.holdings}
    _forget(state, event.target, state._held.get(event.target, {}).keys() - held.keys())
    state._held[event.target] = held
    for holding in held:
        state._since.setdefault((event.target, holding), event.now)
    effects: list[ReleaseHolding | AskOwner] = []
    for owner, holdings in _by_owner(event.holdings).items():
        if state.is_superseded(owner):
            effects += _release(state, event.target, holdings)
        elif state.is_living(owner):
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
    state._questions += 1
    return AskOwner(
        query=OwnerQuery(owner=owner, attempts=tuple(sorted(attempts))),
        address="" if member is None else member.address,
        witnesses=_witnesses(state, owner),
    )


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
    if event.present.started < event.owner.started:
        return NO_EFFECTS
    if event.present != event.owner:
        return tuple(_release_owner(state, event.owner))
    if event.owner in state._doubted:
        # The doubt, if it comes up again, starts anew.
        state._doubted[event.owner] = event.now
        state._kept += 1
    ended = set(event.ended)
    return tuple(
        effect
        for target, held in state._held.items()
        for effect in _release(
            state,
            target,
            [
                holding
                for holding in held.values()
                if holding.owner == event.owner
                and HeldAttempt(call=holding.call, attempt=holding.attempt) in ended
            ],
        )
    )


@_handle.register
def _(event: OwnerSilent, state: SweepState) -> Effects:
    since = state._doubted.get(event.owner)
    if since is None or state.is_living(event.owner):
        return NO_EFFECTS
    # An owner that no list shows may have started just now; one known to be dead has not.
    grace = DEAD_GRACE if state.is_known(event.owner) else UNKNOWN_GRACE
    if event.witnesses == 0 and _witnesses(state, event.owner):
        # Nobody else could be asked, so it may be this host that is cut off.
        return NO_EFFECTS
    if event.now < since + grace:
        return NO_EFFECTS
    return tuple(_release_owner(state, event.owner))


def _release_owner(state: SweepState, owner: Incarnation) -> Iterator[ReleaseHolding]:
    for target, held in state._held.items():
        owned = [holding for holding in held.values() if holding.owner == owner]
        yield from _release(state, target, owned)


def _release(
    state: SweepState, target: TargetName, holdings: list[Holding]
) -> tuple[ReleaseHolding, ...]:
    # A release that fails shows in the next read of the engine, and is tried again then.
    for holding in holdings:
        state._held[target].pop(holding.id, None)
    state._released += len(holdings)
    return tuple(ReleaseHolding(target=target, holding=holding) for holding in holdings)
