"""The reducer of the sweep: which engines are read, which owners queried and what is released."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from functools import singledispatch

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.memory._model import (
    DEAD_GRACE_SECONDS,
    QUERY_INTERVAL_SECONDS,
    SUCCEEDED_GRACE_SECONDS,
    SWEEPERS_PER_ENGINE,
    UNKNOWN_GRACE_SECONDS,
    WITNESSES,
    HeldAttempt,
    HoldingsRead,
    HoldingsReadFailed,
    OwnerAnswered,
    OwnerQuery,
    OwnerUnreachable,
    QueryOwner,
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
        Reads, queries and releases, which may run concurrently.
    """
    return _handle(event, state)


@singledispatch
def _handle(event: SweepEvent, state: SweepState) -> Effects:
    raise NotImplementedError(type(event))


@_handle.register
def _(event: SweepTicked, state: SweepState) -> Effects:
    state._members = {member.incarnation.host: member for member in event.members}
    _record_dead_owners(state, event.now)
    assigned = _assigned_targets(state, event.targets)
    _forget_unassigned(state, assigned)
    # An engine has at most one read in progress, so one that hangs does not delay others.
    due = [target for target in assigned if target not in state._reading]
    state._reading |= set(due)
    state._reads += len(due)
    return tuple(ReadHoldings(target=target) for target in due)


def _record_dead_owners(state: SweepState, now: float) -> None:
    for owner in [owner for owner in state._presumed_dead_since if state.is_presumed_alive(owner)]:
        del state._presumed_dead_since[owner]
    for member in state._members.values():
        if member.status is MemberStatus.DEAD:
            state._presumed_dead_since.setdefault(member.incarnation, now)


def _assigned_targets(state: SweepState, targets: Iterable[TargetName]) -> tuple[TargetName, ...]:
    live = _live(state)
    return tuple(
        target
        for target in targets
        if state._myself.host in ranked(name=target, hosts=live)[:SWEEPERS_PER_ENGINE]
    )


def _live(state: SweepState) -> set[HostName]:
    live = {
        member.incarnation.host
        for member in state._members.values()
        if member.status is MemberStatus.ALIVE
    }
    return live | {state._myself.host}


def _forget_unassigned(state: SweepState, assigned: tuple[TargetName, ...]) -> None:
    for target in state._held.keys() - set(assigned):
        _forget(state, target, state._held[target])
        del state._held[target]
    owners = {holding.owner for held in state._held.values() for holding in held.values()}
    listed = {member.incarnation for member in state._members.values()}
    for owner in state._presumed_dead_since.keys() - owners - listed:
        del state._presumed_dead_since[owner]
    state._superseded &= owners
    for owner in state._queried_at.keys() - owners:
        del state._queried_at[owner]


def _forget(state: SweepState, target: TargetName, holdings: Iterable[str]) -> None:
    for holding in holdings:
        state._seen_since.pop((target, holding), None)


@_handle.register
def _(event: HoldingsReadFailed, state: SweepState) -> Effects:
    state._reading.discard(event.target)
    return NO_EFFECTS


@_handle.register
def _(event: HoldingsRead, state: SweepState) -> Effects:
    state._reading.discard(event.target)
    held = {holding.id: holding for holding in event.holdings}
    _forget(state, event.target, state._held.get(event.target, {}).keys() - held.keys())
    state._held[event.target] = held
    for holding in held:
        state._seen_since.setdefault((event.target, holding), event.now)
    effects: list[QueryOwner] = []
    for owner, holdings in _by_owner(event.holdings).items():
        if state.is_presumed_alive(owner):
            effects += _query_living(state, owner, event.now)
        else:
            state._presumed_dead_since.setdefault(owner, event.now)
            effects.append(_query(state, owner, holdings))
    return effects


def _by_owner(holdings: Iterable[Holding]) -> dict[Incarnation, list[Holding]]:
    grouped: dict[Incarnation, list[Holding]] = defaultdict(list)
    for holding in holdings:
        grouped[holding.owner].append(holding)
    return grouped


def _query_living(state: SweepState, owner: Incarnation, now: float) -> Iterator[QueryOwner]:
    # One query covers all engines.  Recent holdings are not queried, as nearly all of them are
    # released by their owner.
    if now < state._queried_at.get(owner, float("-inf")) + QUERY_INTERVAL_SECONDS:
        return
    old = [
        holding
        for target, held in state._held.items()
        for holding in held.values()
        if holding.owner == owner
        and now >= state._seen_since[target, holding.id] + QUERY_INTERVAL_SECONDS
    ]
    if old:
        state._queried_at[owner] = now
        yield _query(state, owner, old)


def _query(state: SweepState, owner: Incarnation, holdings: Iterable[Holding]) -> QueryOwner:
    attempts = {HeldAttempt(call=held.call, attempt=held.attempt) for held in holdings}
    member = state._members.get(owner.host)
    successor = _successor(state, owner)
    state._query_count += 1
    return QueryOwner(
        query=OwnerQuery(owner=owner, attempts=tuple(sorted(attempts))),
        address="" if member is None else member.address,
        witnesses=_witnesses(state, owner),
        successor="" if successor is None else successor.address,
    )


def _successor(state: SweepState, owner: Incarnation) -> Member | None:
    # The journal chooses the host that takes over by the same ranking.
    first = ranked(name=str(owner), hosts=_live(state))[0]
    return None if first == state._myself.host else state._members.get(first)


def _witnesses(state: SweepState, owner: Incarnation) -> tuple[str, ...]:
    others = [
        member
        for member in state._members.values()
        if member.status is MemberStatus.ALIVE
        and member.incarnation.host not in (owner.host, state._myself.host)
    ]
    # Witnesses near the owner distinguish its death from a partition of its failure domain.
    place = state._members[owner.host].place if owner.host in state._members else None
    state._random.shuffle(others)
    others.sort(key=lambda member: member.place != place)
    return tuple(member.address for member in _nearest_and_farthest(others))


def _nearest_and_farthest(others: list[Member]) -> list[Member]:
    # If possible, the first is in the owner's failure domain and the last is not.
    if len(others) <= WITNESSES:
        return others
    return [*others[: WITNESSES - 1], others[-1]]


@_handle.register
def _(event: OwnerAnswered, state: SweepState) -> Effects:
    if event.owner in state._presumed_dead_since:
        # A later suspicion starts a new grace period.
        state._presumed_dead_since[event.owner] = event.now
        state._spared_count += 1
    return tuple(_release(state, event.owner, set(event.ended)))


@_handle.register
def _(event: OwnerUnreachable, state: SweepState) -> Effects:
    if event.proven:
        state._superseded.add(event.owner)
    if state.is_presumed_alive(event.owner):
        return NO_EFFECTS
    since = state._presumed_dead_since.setdefault(event.owner, event.now)
    if not event.proven and event.witnesses == 0 and _witnesses(state, event.owner):
        # No other host answered, so this host may be the one that is partitioned.
        return NO_EFFECTS
    if event.now < since + _grace(state, event.owner):
        return NO_EFFECTS
    return tuple(_release(state, event.owner, set(event.asked) - set(event.kept)))


def _grace(state: SweepState, owner: Incarnation) -> float:
    if state.is_superseded(owner):
        return SUCCEEDED_GRACE_SECONDS
    # An owner that is not in the member list may have just started.
    return DEAD_GRACE_SECONDS if state.is_known(owner) else UNKNOWN_GRACE_SECONDS


def _release(
    state: SweepState, owner: Incarnation, attempts: set[HeldAttempt]
) -> Iterator[ReleaseHolding]:
    # If a release fails, the next read of the engine shows the holding again.
    for target, held in state._held.items():
        for holding in tuple(held.values()):
            attempt = HeldAttempt(call=holding.call, attempt=holding.attempt)
            if holding.owner == owner and attempt in attempts:
                del held[holding.id]
                state._released += 1
                yield ReleaseHolding(target=target, holding=holding)
