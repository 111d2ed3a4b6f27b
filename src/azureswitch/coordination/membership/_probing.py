"""Direct and indirect probes of members."""

from collections.abc import Iterator

from azureswitch.coordination.membership._effects import MembershipEffect, Send
from azureswitch.coordination.membership._limits import (
    DIRECT_TIMEOUT,
    HELPERS,
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
from azureswitch.coordination.membership._probe import Probe, Relay
from azureswitch.coordination.membership._state import MembershipState

MembershipEffects = Iterator[MembershipEffect]


def record_ack(state: MembershipState, message: Ack) -> MembershipEffects:
    """Relay the answer to an indirect probe, or record that to the probe of this host."""
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
    """Probe a member on behalf of another."""
    sequence = _sequence(state)
    state._relays[sequence] = Relay(
        address=message.source.address,
        sequence=message.sequence,
        target=message.target.host,
        ends=now + RELAY_TIMEOUT,
    )
    target = state._table.get(message.target.host) or message.target
    yield Send(address=message.target.address, message=_ping(state, sequence, target))


def end_relays(state: MembershipState, now: float) -> MembershipEffects:
    over = [item for item in state._relays.items() if item[1].ends <= now]
    for sequence, relay in over:
        del state._relays[sequence]
        yield Send(address=relay.address, message=Nack(sequence=relay.sequence))


def continue_probing(state: MembershipState, now: float) -> MembershipEffects:
    probe = state._probe
    if probe is not None and not probe.answered:
        if now >= probe.asks and not probe.helpers:
            yield from _ask_helpers(state, probe)
        if now >= probe.ends:
            _fail(state, probe, now)
    if now >= state._probes_at:
        period = PROBE_PERIOD * state._health.factor
        # Steps of a whole period keep the phases of hosts apart as they were drawn.
        state._probes_at = max(state._probes_at + period, now + period / 2)
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
        asks=now + DIRECT_TIMEOUT * state._health.factor,
        ends=state._probes_at,
    )
    yield Send(address=target.address, message=_ping(state, sequence, target))


def _ping(state: MembershipState, sequence: int, target: Update) -> Ping:
    if target.status in {MemberStatus.SUSPECT, MemberStatus.DEAD}:
        # News would most likely be wasted on it.
        return Ping(sequence=sequence, source=state.me, updates=pack((target,)))
    return Ping(
        sequence=sequence, source=state.me, updates=pack(state.piggyback()), report=state.report()
    )


def _next_target(state: MembershipState) -> Update | None:
    """Choose whom to probe, passing over those of whom enough is said already."""
    for _ in range(state._table.size):
        host = state._order.next()
        if host is None:
            return None
        if not state._suspicions.shared(host):
            return state._table.get(host)
    return None


def _ask_helpers(state: MembershipState, probe: Probe) -> MembershipEffects:
    candidates = state._table.alive(without=(state._host, probe.target.host))
    state._random.shuffle(candidates)
    # One of the own place answers also where whole places are out of reach.
    candidates.sort(key=lambda item: item.place != state.me.place)
    helpers = candidates[:1] + state._random.sample(
        candidates[1:], min(HELPERS - 1, len(candidates[1:]))
    )
    probe.helpers = tuple(item.address for item in helpers)
    for helper in helpers:
        request = PingRequest(sequence=probe.sequence, source=state.me, target=probe.target)
        yield Send(address=helper.address, message=request)


def _fail(state: MembershipState, probe: Probe, now: float) -> None:
    state._probe = None
    # Where no helper speaks either, the fault may lie with this host.  Single silent ones do not
    # count, or the loss of a whole place would slow down the hosts that must notice it.
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
