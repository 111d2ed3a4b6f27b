"""Chooses engines whose pace is published, by what a choice costs all who use them.

A short prompt goes to one engine, a long one is read by several.  What a choice costs is said in
`_penalties`.  In a large fleet the engines of this host's failure domain are weighed first, whose
work it knows exactly, and those of all only where the call would fare badly there.
"""

from collections.abc import Callable
from functools import partial
from math import inf

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._candidates import Engine, Offer, needed_tokens, wait_seconds
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level
from azureswitch.serving._pace import read_seconds
from azureswitch.serving._penalties import harm, haste, lateness
from azureswitch.serving._spreading import offer_long
from azureswitch.serving._state import CallRecord, ServingState
from azureswitch.serving._target import TargetState, Work
from azureswitch.serving._throttling import is_limited, is_unheard, permitted

SOUND_SHARE = 0.5
"""Share of the targets that must not have failed lately for the others to be avoided.

Fewer could not bear the load of all.
"""

SHORT_SHARE = 0.5
"""Share of the tightest pause that a service's callers bear within which a short prompt is read.

Two of them that meet on one engine then delay its streams by no more than that.
"""

USUAL_PAUSE = 0.25
"""Seconds that take the place of that pause where no route declares one."""

OPENING = 0.06
"""Cost of the first short stream on an engine, so that some stay free of them for long prompts."""

STREAM = 0.012
"""Cost of each short stream beside a new one; five of them outweigh `OPENING`."""

LONG_SHARE = 0.2
"""Share of long streams among all from which on short streams gather on few engines.

While there are fewer, short ones are better off apart, as prompts that begin together on one engine
are read in one pass.
"""

SPARE_PLACES = 3
"""Places of an engine on which short streams gather that stay free.

A pass that is a little too long makes all streams there late at once.
"""

ELSEWHERE = 0.25
"""Cost of leaving the engines of the own failure domain in a large fleet: what is known of others
is seconds old.

It is also the cost up to which others are not looked at: a quarter of a short stream that is late.
"""

NEARNESS = 0.005
"""Cost of a target in another failure domain of the region; elsewhere it is ten times that."""

UNHEARD_WORTH = 0.1
"""What it is worth to try an engine whose limit may have ended; more than `OPENING`."""


def place(
    state: ServingState, record: CallRecord, *, pace: EnginePace, now: float
) -> Choice | None:
    """Choose the engines for the next attempt of a call, or None where none is up."""
    states = usable(state, record, now=now)
    if not states:
        return None
    engines = [_engine(state, target, now=now) for target in states]
    short = _is_short(state, record.call, pace, now=now)
    state.pauses.observe(record.call, short=short, now=now)
    weigh_any = _offer_short if short else offer_long
    weigh = partial(weigh_any, state, record, pace=pace, now=now)
    if short:
        offer = _best_offer(state, engines, weigh)
    else:
        # What limited engines take is left to short prompts, and a long one can go elsewhere.
        unlimited = [engine for engine in engines if not engine.limited]
        offer = _best_offer(state, unlimited, weigh) if unlimited else None
        if offer is None:
            offer = _best_offer(state, engines, weigh)
    return None if offer is None else offer.choice


def _engine(state: ServingState, target: TargetState, *, now: float) -> Engine:
    there = state.ledger.at(target.target.name)
    if not state.limits.any:
        return Engine(target=target, there=there)
    return Engine(
        target=target,
        there=there,
        limited=is_limited(state, target, now=now),
        unheard=is_unheard(state, target, now=now),
    )


def _is_short(state: ServingState, call: Call, pace: EnginePace, *, now: float) -> bool:
    """Return whether a prompt is read beside streams without many of them being late."""
    pause = state.pauses.tightest(call.service, now=now)
    if call.gap_objective:
        pause = min(pause, call.gap_objective)
    bearable = USUAL_PAUSE if pause == inf else pause
    return read_seconds(pace, call.prompt_tokens) <= SHORT_SHARE * bearable


def _best_offer(
    state: ServingState,
    engines: list[Engine],
    weigh: Callable[[list[Engine]], Offer | None],
) -> Offer | None:
    """Return the best choice, among all engines only where the own failure domain has no good one.

    Two hosts that do not hear of each other's sends choose the same idle engines.
    """
    if not state.domains.divided:
        return weigh(engines)
    near = [engine for engine in engines if not engine.target.nearness]
    offer = weigh(near) if near else None
    if offer is not None and (offer.cost <= ELSEWHERE or len(near) == len(engines)):
        return offer
    wider = weigh(engines)
    if offer is None or wider is None:
        return wider or offer
    return wider if wider.cost + ELSEWHERE < offer.cost else offer


def usable(state: ServingState, record: CallRecord, *, now: float) -> list[TargetState]:
    """Return the targets of a call's pool to choose from, the doubtful ones only in need.

    Where most targets have failed lately, failing says little of each of them, and the few others
    could not bear what all do.
    """
    states = permitted(state, state.fleet.states(record.pool), now=now)
    untried = [t for t in states if t.target.name not in record.failed]
    preferred = [t for t in untried if t.preferred(now)]
    if len(preferred) >= SOUND_SHARE * len(states):
        return preferred or untried or states
    return untried or states


def _offer_short(
    state: ServingState,
    record: CallRecord,
    engines: list[Engine],
    *,
    pace: EnginePace,
    now: float,
) -> Offer:
    call = record.call
    own = read_seconds(pace, call.prompt_tokens)
    pauses = state.pauses.bounds(call.service, now=now)
    gathering = _gathering(engines)
    best: tuple[float, float, TargetName] | None = None
    for engine in engines:
        there = engine.there
        first = wait_seconds(there, pace) + own
        cost = lateness(call, first, now=now) + haste(call, first)
        cost += harm(there, pace, reading=own, pauses=pauses)
        cost += gathering * _apart(there, pace) + (1.0 - gathering) * _crowding(there)
        cost += _distance(engine.target) - UNHEARD_WORTH * engine.unheard
        key = (cost, state.random.random(), engine.name)
        if best is None or key < best:
            best = key
            predicted = first
    assert best is not None  # There is at least one engine.
    cost, _, name = best
    tokens = needed_tokens(call)
    occupancy = Occupancy(target=name, short_reading=own, streams=1, tokens=tokens)
    choice = Choice(
        targets=(name,),
        work=Work(seconds=own, tokens=tokens, level=Level.SHORT),
        cached_tokens=0,
        wait=max(0.0, predicted - own),
        occupancies=(occupancy,),
        first_token=predicted,
    )
    return Offer(cost=cost, choice=choice)


def _gathering(engines: list[Engine]) -> float:
    """Return how much short streams should gather, from 0 to 1, by the share of long ones.

    An engine without short streams reads long prompts at no cost.  It answers the load in which
    many long prompts come while short streams are few: spread over all engines, two or three short
    streams stood beside each long prompt, and paused for 1 s.
    """
    long = sum(engine.there.long_streams for engine in engines)
    total = long + sum(engine.there.streams for engine in engines)
    return min(1.0, long / (LONG_SHARE * total)) if total else 0.0


def _apart(there: Occupancy, pace: EnginePace) -> float:
    """Return how far an engine is from the number of streams that gather on one."""
    wanted = max(1, pace.slots - SPARE_PLACES)
    return STREAM * abs(wanted - there.streams - there.long_streams)


def _crowding(there: Occupancy) -> float:
    opening = OPENING if not there.streams else 0.0
    return opening + STREAM * there.streams


def _distance(target: TargetState) -> float:
    return (0.0, NEARNESS, 10.0 * NEARNESS)[target.nearness]
