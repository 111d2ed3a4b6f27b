"""Chooses engines whose pace is published, by what a choice costs all who use them.

A short prompt goes to one engine, a long one is read by several.  What a choice costs is said in
`_harm`.  In a large fleet the engines of this host's failure domain are weighed first, whose work
it knows exactly, and those of all only where the call would fare badly there.
"""

from collections.abc import Callable
from functools import partial
from heapq import nsmallest
from math import ceil, inf

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._allowed import is_limited, is_unheard, permitted
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._harm import Pauses, harm, haste, lateness, weight
from azureswitch.serving._length import Level
from azureswitch.serving._pace import pass_seconds, read_seconds
from azureswitch.serving._state import CallRecord, ServingState
from azureswitch.serving._target import TargetState, Work

MOST_PARTS = 16
"""Engines over which the reading of one prompt is spread at most; engines take no more helpers."""

LONG_CANDIDATES = 64
"""Engines weighed for a long prompt, the least busy of a larger fleet: four times `MOST_PARTS`."""

LEAST_PART = 0.03
"""Seconds of reading below which a part is not split further: the gain drowns in a step's time."""

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

BESIDE_LONG = 0.5
"""How badly an engine suits a long prompt for each long stream that it writes."""

KEPT_SHARE = 0.2
"""Share of the engines that stay free of long reading, however much there is of it."""

SHORT_FILL = 0.9
"""Share of their places that short streams may fill on the engines kept for them.

The less, the fewer engines are left for long prompts.
"""

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

PART = 0.005
"""Cost of each further engine that a long prompt occupies.

Engines read the parts of helpers first: what is spread little waits behind what comes later.
"""

LONG_HASTE = 10.0
"""How much more being early weighs for a long prompt than for a short one.

It frees its engines sooner, which matters to all that come after it.
"""

MOST_HOLDERS = 8
"""Engines over whose memory one prompt is spread at most; a million tokens take three."""

HOLD_FILL = 0.85
"""Share of an engine's free memory that is set aside at most, as others may send meanwhile."""

ELSEWHERE = 0.25
"""Cost of leaving the engines of the own failure domain in a large fleet: what is known of others
is seconds old.

It is also the cost up to which others are not looked at: a quarter of a short stream that is late.
"""

NEARNESS = 0.005
"""Cost of a target in another failure domain of the region; elsewhere it is ten times that."""


UNHEARD_WORTH = 0.1
"""What it is worth to try an engine whose limit may have ended; more than `OPENING`."""


class _Engine(Struct, frozen=True, kw_only=True):
    """An engine to choose from.

    Attributes:
        target: Its state.
        there: What all hosts have there.
        limited: Whether it names a limit of the requests that it takes.
        unheard: Whether it is to be tried, as that limit may have ended.
    """

    target: TargetState
    there: Occupancy
    limited: bool = False
    unheard: bool = False

    @property
    def name(self) -> TargetName:
        """Its name."""
        return self.target.target.name

    @property
    def free_tokens(self) -> int:
        """Tokens of its memory that nobody has taken."""
        return self.target.target.memory - self.there.tokens


class _Offer(Struct, frozen=True, kw_only=True):
    """The best choice among some engines.

    Attributes:
        cost: What it costs all who use them.
        choice: The choice.
    """

    cost: float
    choice: Choice


class _Spread(Struct, frozen=True, kw_only=True):
    """A way to spread a long prompt over engines.

    Attributes:
        engines: The engines that read it; the first one answers.
        holders: How many of them hold it, from the first on.
        part: Seconds that each of them reads.
        first_token: Predicted seconds to the first token.
        harm: What it costs the streams there.
    """

    engines: tuple[_Engine, ...]
    holders: int
    part: float
    first_token: float
    harm: float


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
    weigh_any = _offer_short if short else _offer_long
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


def _engine(state: ServingState, target: TargetState, *, now: float) -> _Engine:
    there = state.ledger.at(target.target.name)
    if not state.limits.any:
        return _Engine(target=target, there=there)
    return _Engine(
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
    engines: list[_Engine],
    weigh: Callable[[list[_Engine]], _Offer | None],
) -> _Offer | None:
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
    engines: list[_Engine],
    *,
    pace: EnginePace,
    now: float,
) -> _Offer:
    call = record.call
    own = read_seconds(pace, call.prompt_tokens)
    pauses = state.pauses.bounds(call.service, now=now)
    gathering = _gathering(engines)
    best: tuple[float, float, TargetName] | None = None
    for engine in engines:
        there = engine.there
        first = _wait(there, pace) + own
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
    tokens = _needed_tokens(call)
    occupancy = Occupancy(target=name, short_reading=own, streams=1, tokens=tokens)
    choice = Choice(
        targets=(name,),
        work=Work(seconds=own, tokens=tokens, level=Level.SHORT),
        cached_tokens=0,
        wait=max(0.0, predicted - own),
        occupancies=(occupancy,),
        first_token=predicted,
    )
    return _Offer(cost=cost, choice=choice)


def _wait(there: Occupancy, pace: EnginePace) -> float:
    """Return the seconds until a new prompt is read.

    A pass of the streams and what is read before it; and where all places are taken, the time until
    as many answers have ended as requests wait for one.
    """
    writing = pass_seconds(pace) if there.streams or there.long_streams else pace.step
    waiting = max(0, there.streams + there.long_streams + 1 - pace.slots)
    turn = pace.answer * pace.step / pace.slots
    return writing + there.short_reading + there.reading + waiting * turn


def _gathering(engines: list[_Engine]) -> float:
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


def _offer_long(
    state: ServingState,
    record: CallRecord,
    engines: list[_Engine],
    *,
    pace: EnginePace,
    now: float,
) -> _Offer | None:
    call = record.call
    work = read_seconds(pace, call.prompt_tokens)
    pauses = state.pauses.bounds(call.service, now=now)
    order = _candidates(state, call, engines)
    holders = _holder_count(call, order)
    if holders is None:
        return None
    most = max(holders, min(MOST_PARTS, len(order), int(work / LEAST_PART)))
    kept = _kept_for_short(engines, pace)
    best: tuple[float, _Spread] | None = None
    for count in range(holders, most + 1):
        part = work / count
        blocks = _blocks(part, pace, pauses)
        if best is not None and blocks and len(engines) - count < kept:
            continue
        spread = _spread(call, order, pace, pauses, count=count, holders=holders, part=part)
        cost = weight(call.prompt_tokens) * lateness(call, spread.first_token, now=now)
        cost += LONG_HASTE * haste(call, spread.first_token)
        cost += spread.harm + PART * (count - 1)
        if best is None or cost < best[0]:
            best = (cost, spread)
    assert best is not None  # There is at least one count.
    return _Offer(cost=best[0], choice=_long_choice(call, best[1]))


def _candidates(state: ServingState, call: Call, engines: list[_Engine]) -> list[_Engine]:
    """Return the engines to weigh for a long prompt: near ones first, and else at random."""
    order = sorted(engines, key=lambda e: (e.target.nearness, state.random.random()))
    if len(order) <= LONG_CANDIDATES:
        return order
    least = nsmallest(LONG_CANDIDATES, order, key=lambda e: _busyness(e.there))
    # What only busier engines have memory for goes to them.
    return order if _holder_count(call, least) is None else least


def _blocks(part: float, pace: EnginePace, pauses: Pauses) -> bool:
    """Return whether short streams do not bear a part; while none were seen, they bear none."""
    return pauses.short == inf or pass_seconds(pace) + part > pauses.short


def _needed_tokens(call: Call) -> int:
    return call.prompt_tokens + call.output_tokens


def _holder_count(call: Call, engines: list[_Engine]) -> int | None:
    """Return how many engines at least hold a prompt together, or None where they cannot.

    The first one answers; at the others memory is set aside for even parts.
    """
    for count in range(1, min(MOST_HOLDERS, len(engines)) + 1):
        fitting = [engine for engine in engines if _holds(call, engine, holders=count)]
        if len(fitting) >= count:
            return count
    return None


def _holds(call: Call, engine: _Engine, *, holders: int) -> bool:
    if engine.limited and holders > 1:
        # Orders that set memory aside, and renew that, are requests as well.
        return False
    fill = 1.0 if holders == 1 else HOLD_FILL
    return _needed_tokens(call) / holders <= engine.free_tokens * fill


def _spread(
    call: Call,
    order: list[_Engine],
    pace: EnginePace,
    pauses: Pauses,
    *,
    count: int,
    holders: int,
    part: float,
) -> _Spread:
    """Choose so many engines, those that a part of the prompt harms least; holders come first.

    Which engines suit depends on the part: short streams bear less reading than long ones do.
    """
    harms = {e.name: harm(e.there, pace, reading=part, pauses=pauses) for e in order}
    ranked = sorted(order, key=lambda e: harms[e.name] + _busyness(e.there))
    holding = [engine for engine in ranked if _holds(call, engine, holders=holders)][:holders]
    held = {engine.name for engine in holding}
    others = [engine for engine in ranked if engine.name not in held]
    chosen = [*holding, *others][:count]
    return _Spread(
        engines=tuple(chosen),
        holders=holders,
        part=part,
        first_token=max(_wait(engine.there, pace) for engine in chosen) + part,
        harm=sum(harms[engine.name] for engine in chosen),
    )


def _busyness(there: Occupancy) -> float:
    """Return how badly an engine suits a long prompt: its short streams, and what it reads."""
    return there.streams + there.reading + there.short_reading + BESIDE_LONG * there.long_streams


def _kept_for_short(engines: list[_Engine], pace: EnginePace) -> int:
    """Return how many engines a prompt that blocks them leaves to short ones."""
    streams = sum(engine.there.streams for engine in engines)
    filled = ceil(streams / (SHORT_FILL * pace.slots))
    return max(ceil(KEPT_SHARE * len(engines)), filled)


def _long_choice(call: Call, spread: _Spread) -> Choice:
    names = tuple(engine.name for engine in spread.engines)
    share = -(-_needed_tokens(call) // spread.holders)
    held = [share if index < spread.holders else 0 for index in range(len(names))]
    occupancies = tuple(
        Occupancy(
            target=name, reading=spread.part, long_streams=int(index == 0), tokens=held[index]
        )
        for index, name in enumerate(names)
    )
    # What the others do not hold stays at the first one, for which nothing is set aside.
    reserved = (0, *held[1:]) if spread.holders > 1 else ()
    return Choice(
        targets=names,
        work=Work(seconds=spread.part, tokens=_needed_tokens(call), level=Level.LONG),
        cached_tokens=0,
        wait=max(0.0, spread.first_token - spread.part),
        occupancies=occupancies,
        reserved=reserved,
        first_token=spread.first_token,
    )
