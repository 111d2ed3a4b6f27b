"""Direct and indirect probes of members."""

from collections.abc import Iterator

from azureswitch.coordination.membership._effects import MembershipEffect, Send
from azureswitch.coordination.membership._limits import (
    DIRECT_TIMEOUT,
    INDIRECT_PROBES,
    PROBE_PERIOD,
    RELAY_TIMEOUT,
)
from azureswitch.coordination.membership._merge import suspect
from azureswitch.coordination.membership._messages import (
    Ack,
    Nack,
    Ping,
    PingRequest,
    Update,
    pack,
)
from azureswitch.coordination.membership._model import MemberStatus
from azureswitch.coordination.membership._probe import Probe, RelayedProbe
from azureswitch.coordination.membership._state import MembershipState

MembershipEffects = Iterator[MembershipEffect]


def record_ack(state: MembershipState, message: Ack) -> MembershipEffects:
    """Relay the answer to an indirect probe, or record the answer to this host's probe."""
    relay = state._relays.get(message.sequence)
    if relay is not None and relay.target == message.source.host:
        del state._relays[message.sequence]
        ack = Ack(sequence=relay.sequence, source=message.source)
        yield Send(address=relay.address, message=ack)
        return
    probe = state._probe
    if probe is None or probe.sequence != message.sequence or probe.answered:
        return
    if probe.target.host == message.source.host:
        probe.answered = True
        state._health.add(-1)


def relay_probe(state: MembershipState, message: PingRequest, now: float) -> MembershipEffects:
    """Probe a member on behalf of another member."""
    sequence = _sequence(state)
    state._relays[sequence] = RelayedProbe(
        address=message.source.address,
        sequence=message.sequence,
        target=message.target.host,
        ends_at=now + RELAY_TIMEOUT,
    )
    target = state._table.get(message.target.host) or message.target
    yield Send(address=message.target.address, message=_ping(state, sequence, target))


def end_relays(state: MembershipState, now: float) -> MembershipEffects:
    """Answer with a `Nack` for indirect probes that have timed out."""
    expired = [item for item in state._relays.items() if item[1].ends_at <= now]
    for sequence, relay in expired:
        del state._relays[sequence]
        yield Send(address=relay.address, message=Nack(sequence=relay.sequence))


def continue_probing(state: MembershipState, now: float) -> MembershipEffects:
    """Escalate or end the open probe, and begin the next one when it is due."""
    probe = state._probe
    if probe is not None and not probe.answered:
        if now >= probe.indirect_at and not probe.helpers:
            yield from _request_indirect_probes(state, probe)
        if now >= probe.ends_at:
            _fail_probe(state, probe, now)
    if now >= state._next_probe_at:
        period = PROBE_PERIOD * state._health.factor
        # Advancing by whole periods preserves the random phases of hosts.
        state._next_probe_at = max(state._next_probe_at + period, now + period / 2)
        yield from _begin_probe(state, now)


def _begin_probe(state: MembershipState, now: float) -> MembershipEffects:
    state._probe = None
    target = _next_target(state)
    if target is None:
        return
    sequence = _sequence(state)
    state._disputed.discard(target.host)
    state._probe = Probe(
        target=target,
        sequence=sequence,
        indirect_at=now + DIRECT_TIMEOUT * state._health.factor,
        ends_at=state._next_probe_at,
    )
    yield Send(address=target.address, message=_ping(state, sequence, target))


def _ping(state: MembershipState, sequence: int, target: Update) -> Ping:
    if target.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}:
        # The member is probably dead, and other updates would be lost.
        return Ping(sequence=sequence, source=state.me, updates=pack((target,)))
    return Ping(
        sequence=sequence, source=state.me, updates=pack(state.piggyback()), report=state.report()
    )


def _next_target(state: MembershipState) -> Update | None:
    """Choose the member to probe, except those whose suspicion is confirmed already."""
    for _ in range(state._table.size):
        host = state._order.next()
        if host is None:
            return None
        if not state._suspicions.confirmed(host):
            return state._table.get(host)
    return None


def _request_indirect_probes(state: MembershipState, probe: Probe) -> MembershipEffects:
    candidates = state._table.alive(without=(state._host, probe.target.host))
    state._random.shuffle(candidates)
    # The first helper is of the own place, which answers even if all other places are unreachable.
    candidates.sort(key=lambda item: item.place != state.me.place)
    helpers = candidates[:1] + state._random.sample(
        candidates[1:], min(INDIRECT_PROBES - 1, len(candidates[1:]))
    )
    probe.helpers = tuple(item.address for item in helpers)
    for helper in helpers:
        request = PingRequest(sequence=probe.sequence, source=state.me, target=probe.target)
        yield Send(address=helper.address, message=request)


def _fail_probe(state: MembershipState, probe: Probe, now: float) -> None:
    state._probe = None
    # If no helper answers either, this host may be at fault.  Single helpers that do not answer are
    # not counted, or the loss of a whole place would slow down the hosts that must detect it.
    if not probe.nacks:
        state._health.add(1)
    known = state._table.get(probe.target.host)
    if known is None or known.status is MemberStatus.DEAD:
        return
    if (known.started, known.version) != (probe.target.started, probe.target.version):
        return
    suspect(state, known, now)


def _sequence(state: MembershipState) -> int:
    state._sequence += 1
    return state._sequence
