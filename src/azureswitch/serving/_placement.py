"""Chooses engines whose pace is published, at the lowest cost to the call and to other streams.

A short prompt goes to one engine; the prefill of a long one is spread over several.  `_penalties`
defines the cost.  In a large fleet the engines of this host's failure domain, whose load it knows
exactly, are evaluated first; all engines are evaluated only if the cost there is high.
"""

from collections.abc import Callable
from functools import partial
from math import inf

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._candidates import Engine, ScoredChoice, needed_tokens, wait_seconds
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level
from azureswitch.serving._pace import read_seconds
from azureswitch.serving._penalties import latency_cost, lateness_cost, pause_cost
from azureswitch.serving._spreading import choose_long
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState, Work
from azureswitch.serving._throttling import is_cold, is_limited, needs_probe, permitted
from azureswitch.serving.calls import CallRecord

MIN_HEALTHY_SHARE = 0.5
"""Minimum share of targets without recent failures for the other targets to be avoided.

Fewer targets could not carry the whole load.
"""

SHORT_READ_SHARE = 0.5
"""Maximum prefill time of a short prompt, as a share of the service's tightest pause objective.

Two short prompts on one engine then delay its streams by no more than the objective.
"""

DEFAULT_PAUSE_SECONDS = 0.25
"""Pause objective in seconds that is assumed if no route declares one."""

FIRST_STREAM_COST = 0.06
"""Cost of the first short stream on an engine; keeps some engines free for long prompts."""

STREAM_COST = 0.012
"""Cost of each short stream already on the engine; five of them equal `FIRST_STREAM_COST`."""

PACKING_LONG_SHARE = 0.2
"""Share of long streams at which short streams are fully packed onto few engines.

With fewer long streams it is better to spread short ones, as prompts that start together on one
engine are prefilled in the same pass.
"""

SPARE_SLOTS = 3
"""Slots that stay free on an engine onto which short streams are packed.

A pass that takes slightly too long makes all streams on the engine late at once.
"""

REMOTE_COST = 0.25
"""Cost of leaving this host's failure domain in a large fleet, as data on others is seconds old.

It is also the cost up to which other domains are not evaluated: a quarter of one late short stream.
"""

DISTANCE_COST = 0.005
"""Cost of a target in another failure domain of the region; ten times that outside the region."""

PROBE_CREDIT = 0.1
"""Cost deducted for an engine to probe, whose limit may have ended.

It exceeds `FIRST_STREAM_COST`, so that it outweighs the cost of the first stream on an engine.
"""

COLD_COST = 0.5
"""Cost of a cold engine, which is slow to a degree that is not published.

Half of a late short stream: a warm engine is preferred as long as it serves in time, whatever else
differs between the two, and a cold one is used where all warm ones would be late.
"""


def place_call(
    state: ServingState, record: CallRecord, *, pace: EnginePace, now: float
) -> Choice | None:
    """Choose the engines for the next attempt of a call.

    Returns:
        The choice, or None if no engine is up or none can hold the prompt.
    """
    states = usable_targets(state, record, now=now)
    if not states:
        return None
    engines = [_engine(state, target, now=now) for target in states]
    short = _is_short(state, record.call, pace, now=now)
    state.pauses.observe(record.call, short=short, now=now)
    choose_any = _choose_short if short else choose_long
    choose = partial(choose_any, state, record, pace=pace, now=now)
    if short:
        best = _best_choice(state, engines, choose)
    else:
        # Limited and cold engines are left to short prompts, unless only they can serve a long one.
        unlimited = [engine for engine in engines if not engine.limited]
        best = _best_choice(state, unlimited, choose) if unlimited else None
        if best is None:
            best = _best_choice(state, engines, choose)
    return None if best is None else best.choice


def _engine(state: ServingState, target: TargetState, *, now: float) -> Engine:
    occupancy = state.ledger.at(target.target.name)
    if not state.limits.any and not state.warmup.any:
        return Engine(target=target, occupancy=occupancy)
    cold = is_cold(state, target, now=now)
    return Engine(
        target=target,
        occupancy=occupancy,
        limited=cold or is_limited(state, target, now=now),
        probe=needs_probe(state, target, now=now),
        cold=cold,
    )


def _is_short(state: ServingState, call: Call, pace: EnginePace, *, now: float) -> bool:
    """Return whether a prompt can be prefilled beside other streams without making many late."""
    pause = state.pauses.tightest(call.service, now=now)
    if call.gap_objective:
        pause = min(pause, call.gap_objective)
    limit = DEFAULT_PAUSE_SECONDS if pause == inf else pause
    return read_seconds(pace, call.prompt_tokens) <= SHORT_READ_SHARE * limit


def _best_choice(
    state: ServingState,
    engines: list[Engine],
    choose: Callable[[list[Engine]], ScoredChoice | None],
) -> ScoredChoice | None:
    """Return the best choice in this failure domain, or one elsewhere that is clearly better.

    Two hosts that do not learn of each other's attempts choose the same idle engines, and attempts
    at the engines of another domain are reported with a delay of seconds.
    """
    if not state.domains.divided:
        return choose(engines)
    local = [engine for engine in engines if not engine.target.nearness]
    best = choose(local) if local else None
    if best is not None and (best.cost <= REMOTE_COST or len(local) == len(engines)):
        return best
    overall = choose(engines)
    if best is None or overall is None:
        return overall or best
    return overall if overall.cost + REMOTE_COST < best.cost else best


def usable_targets(state: ServingState, record: CallRecord, *, now: float) -> list[TargetState]:
    """Return the targets of a call's pool to choose from, unhealthy ones only as a fallback.

    If most targets have failed lately, a failure says little about the single target, and the few
    others could not carry the whole load; then all targets that this call has not tried are
    returned.
    """
    states = permitted(state, state.fleet.states(record.pool), now=now)
    untried = [t for t in states if t.target.name not in record.failed]
    preferred = [t for t in untried if t.preferred(now)]
    if len(preferred) >= MIN_HEALTHY_SHARE * len(states):
        return preferred or untried or states
    return untried or states


def _choose_short(
    state: ServingState,
    record: CallRecord,
    engines: list[Engine],
    *,
    pace: EnginePace,
    now: float,
) -> ScoredChoice:
    call = record.call
    prefill = read_seconds(pace, call.prompt_tokens)
    pauses = state.pauses.limits(call.service, now=now)
    packing = _packing_share(engines)
    best: tuple[float, float, TargetName] | None = None
    for engine in engines:
        occupancy = engine.occupancy
        first = wait_seconds(occupancy, pace) + prefill
        cost = lateness_cost(call, first, now=now) + latency_cost(call, first)
        cost += pause_cost(occupancy, pace, reading=prefill, pauses=pauses)
        cost += packing * _packing_cost(occupancy, pace) + (1.0 - packing) * _spread_cost(occupancy)
        cost += _distance_cost(engine.target) - PROBE_CREDIT * engine.probe
        cost += COLD_COST * engine.cold
        key = (cost, state.random.random(), engine.name)
        if best is None or key < best:
            best = key
            predicted = first
    assert best is not None  # There is at least one engine.
    cost, _, name = best
    tokens = needed_tokens(call)
    added = Occupancy(target=name, short_reading=prefill, streams=1, tokens=tokens)
    choice = Choice(
        targets=(name,),
        work=Work(seconds=prefill, tokens=tokens, level=Level.SHORT),
        cached_tokens=0,
        wait=max(0.0, predicted - prefill),
        occupancies=(added,),
        first_token=predicted,
    )
    return ScoredChoice(cost=cost, choice=choice)


def _packing_share(engines: list[Engine]) -> float:
    """Return how strongly short streams are packed, from 0 to 1, by the share of long streams.

    An engine without short streams prefills long prompts without delaying anyone.  With many long
    prompts and few short streams spread over all engines, two or three short streams shared an
    engine with each long prompt and paused for 1 s.
    """
    long = sum(engine.occupancy.long_streams for engine in engines)
    total = long + sum(engine.occupancy.streams for engine in engines)
    return min(1.0, long / (PACKING_LONG_SHARE * total)) if total else 0.0


def _packing_cost(occupancy: Occupancy, pace: EnginePace) -> float:
    """Return a cost for each stream above or below the number to pack onto an engine."""
    wanted = max(1, pace.slots - SPARE_SLOTS)
    return STREAM_COST * abs(wanted - occupancy.streams - occupancy.long_streams)


def _spread_cost(occupancy: Occupancy) -> float:
    opening = FIRST_STREAM_COST if not occupancy.streams else 0.0
    return opening + STREAM_COST * occupancy.streams


def _distance_cost(target: TargetState) -> float:
    return (0.0, DISTANCE_COST, 10.0 * DISTANCE_COST)[target.nearness]
