"""Spreads the reading of a long prompt over several engines, and holds it on as few as can."""

from heapq import nsmallest
from math import ceil, inf

from msgspec import Struct

from azureswitch.inventory import EnginePace
from azureswitch.serving._candidates import Engine, Offer, needed_tokens, wait_seconds
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level
from azureswitch.serving._pace import pass_seconds, read_seconds
from azureswitch.serving._penalties import PauseLimits, harm, haste, lateness, weight
from azureswitch.serving._state import CallRecord, ServingState
from azureswitch.serving._target import Work

MOST_PARTS = 16
"""Engines over which the reading of one prompt is spread at most; engines take no more helpers."""

LONG_CANDIDATES = 64
"""Engines weighed for a long prompt, the least busy of a larger fleet: four times `MOST_PARTS`."""

LEAST_PART = 0.03
"""Seconds of reading below which a part is not split further: the gain drowns in a step's time."""

BESIDE_LONG = 0.5
"""How badly an engine suits a long prompt for each long stream that it writes."""

KEPT_SHARE = 0.2
"""Share of the engines that stay free of long reading, however much there is of it."""

SHORT_FILL = 0.9
"""Share of their places that short streams may fill on the engines kept for them.

The less, the fewer engines are left for long prompts.
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


class _Spread(Struct, frozen=True, kw_only=True):
    """A way to spread a long prompt over engines.

    Attributes:
        engines: The engines that read it; the first one answers.
        holders: How many of them hold it, from the first on.
        part: Seconds that each of them reads.
        first_token: Predicted seconds to the first token.
        harm: What it costs the streams there.
    """

    engines: tuple[Engine, ...]
    holders: int
    part: float
    first_token: float
    harm: float


def offer_long(
    state: ServingState,
    record: CallRecord,
    engines: list[Engine],
    *,
    pace: EnginePace,
    now: float,
) -> Offer | None:
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
    return Offer(cost=best[0], choice=_long_choice(call, best[1]))


def _candidates(state: ServingState, call: Call, engines: list[Engine]) -> list[Engine]:
    """Return the engines to weigh for a long prompt: near ones first, and else at random."""
    order = sorted(engines, key=lambda e: (e.target.nearness, state.random.random()))
    if len(order) <= LONG_CANDIDATES:
        return order
    least = nsmallest(LONG_CANDIDATES, order, key=lambda e: _busyness(e.there))
    # What only busier engines have memory for goes to them.
    return order if _holder_count(call, least) is None else least


def _blocks(part: float, pace: EnginePace, pauses: PauseLimits) -> bool:
    """Return whether short streams do not bear a part; while none were seen, they bear none."""
    return pauses.short == inf or pass_seconds(pace) + part > pauses.short


def _holder_count(call: Call, engines: list[Engine]) -> int | None:
    """Return how many engines at least hold a prompt together, or None where they cannot.

    The first one answers; at the others memory is set aside for even parts.
    """
    for count in range(1, min(MOST_HOLDERS, len(engines)) + 1):
        fitting = [engine for engine in engines if _holds(call, engine, holders=count)]
        if len(fitting) >= count:
            return count
    return None


def _holds(call: Call, engine: Engine, *, holders: int) -> bool:
    if engine.limited and holders > 1:
        # Orders that set memory aside, and renew that, are requests as well.
        return False
    fill = 1.0 if holders == 1 else HOLD_FILL
    return needed_tokens(call) / holders <= engine.free_tokens * fill


def _spread(
    call: Call,
    order: list[Engine],
    pace: EnginePace,
    pauses: PauseLimits,
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
        first_token=max(wait_seconds(engine.there, pace) for engine in chosen) + part,
        harm=sum(harms[engine.name] for engine in chosen),
    )


def _busyness(there: Occupancy) -> float:
    """Return how badly an engine suits a long prompt: its short streams, and what it reads."""
    return there.streams + there.reading + there.short_reading + BESIDE_LONG * there.long_streams


def _kept_for_short(engines: list[Engine], pace: EnginePace) -> int:
    """Return how many engines a prompt that blocks them leaves to short ones."""
    streams = sum(engine.there.streams for engine in engines)
    filled = ceil(streams / (SHORT_FILL * pace.slots))
    return max(ceil(KEPT_SHARE * len(engines)), filled)


def _long_choice(call: Call, spread: _Spread) -> Choice:
    names = tuple(engine.name for engine in spread.engines)
    share = -(-needed_tokens(call) // spread.holders)
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
        work=Work(seconds=spread.part, tokens=needed_tokens(call), level=Level.LONG),
        cached_tokens=0,
        wait=max(0.0, spread.first_token - spread.part),
        occupancies=occupancies,
        reserved=reserved,
        first_token=spread.first_token,
    )
