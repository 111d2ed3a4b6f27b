"""Spreads the prefill of a long prompt over several engines and holds it on as few as possible."""

from heapq import nsmallest
from math import ceil, inf

from msgspec import Struct

from azureswitch.inventory import EnginePace
from azureswitch.serving._candidates import Engine, ScoredChoice, needed_tokens, wait_seconds
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._length import Level
from azureswitch.serving._pace import pass_seconds, read_seconds
from azureswitch.serving._penalties import (
    PauseLimits,
    latency_cost,
    lateness_cost,
    long_weight,
    pause_cost,
)
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import Work
from azureswitch.serving.calls import CallRecord

MAX_PARTS = 16
"""Maximum engines that share the prefill of one prompt; engines accept no more helpers."""

LONG_CANDIDATES = 64
"""Maximum candidates for a long prompt, the least busy of a fleet: four times `MAX_PARTS`."""

MIN_PART_SECONDS = 0.03
"""Minimum seconds of prefill per part; below that, the duration of a step outweighs the gain."""

LONG_STREAM_BUSYNESS = 0.5
"""Busyness of an engine for each long stream that it decodes; a short stream counts one."""

SHORT_RESERVED_SHARE = 0.2
"""Minimum share of the engines that is kept free of long prefill under any load."""

SHORT_SLOT_FILL = 0.9
"""Share of the slots that short streams may fill on the engines reserved for them.

A lower share leaves fewer engines for long prompts.
"""

PART_COST = 0.005
"""Cost of each additional engine that a long prompt occupies.

Engines prefill the parts of helpers first, so a prompt on few engines waits behind later ones that
are spread more widely.
"""

LONG_LATENCY_FACTOR = 10.0
"""Factor on the latency cost of a long prompt relative to a short one.

A long prompt that finishes earlier frees its engines for all later prompts.
"""

MAX_HOLDERS = 8
"""Maximum engines that hold one prompt together; a million tokens take three."""

MAX_RESERVED_FILL = 0.85
"""Maximum share of an engine's free memory to reserve, as other hosts may use it meanwhile."""


class _Spread(Struct, frozen=True, kw_only=True):
    """A distribution of a long prompt over engines.

    Attributes:
        engines: The engines that prefill it; the first one answers.
        holders: Number of engines that hold it in memory, counted from the first.
        part: Seconds of prefill on each engine.
        first_token: Predicted seconds to the first token.
        pause_cost: Cost of the pauses of other streams on these engines.
    """

    engines: tuple[Engine, ...]
    holders: int
    part: float
    first_token: float
    pause_cost: float


def choose_long(
    state: ServingState,
    record: CallRecord,
    engines: list[Engine],
    *,
    pace: EnginePace,
    now: float,
) -> ScoredChoice | None:
    """Choose the number of engines for a long prompt, and the engines, by the lowest cost.

    Returns:
        The choice, or None if not even `MAX_HOLDERS` engines can hold the prompt.
    """
    call = record.call
    work = read_seconds(pace, call.prompt_tokens)
    pauses = state.pauses.limits(call.service, now=now)
    order = _candidates(state, call, engines)
    holders = _holder_count(call, order)
    if holders is None:
        return None
    max_count = max(holders, min(MAX_PARTS, len(order), int(work / MIN_PART_SECONDS)))
    reserved_engines = _reserved_for_short(engines, pace)
    best: tuple[float, _Spread] | None = None
    for count in range(holders, max_count + 1):
        part = work / count
        blocks = _blocks(part, pace, pauses)
        if best is not None and blocks and len(engines) - count < reserved_engines:
            continue
        spread = _spread(call, order, pace, pauses, count=count, holders=holders, part=part)
        cost = long_weight(call.prompt_tokens) * lateness_cost(call, spread.first_token, now=now)
        cost += LONG_LATENCY_FACTOR * latency_cost(call, spread.first_token)
        cost += spread.pause_cost + PART_COST * (count - 1)
        if best is None or cost < best[0]:
            best = (cost, spread)
    assert best is not None  # There is at least one count.
    return ScoredChoice(cost=best[0], choice=_long_choice(call, best[1]))


def _candidates(state: ServingState, call: Call, engines: list[Engine]) -> list[Engine]:
    """Return the candidates for a long prompt by distance, in random order at equal distance."""
    order = sorted(engines, key=lambda e: (e.target.nearness, state.random.random()))
    if len(order) <= LONG_CANDIDATES:
        return order
    least = nsmallest(LONG_CANDIDATES, order, key=lambda e: _busyness(e.occupancy))
    # If the least busy engines lack memory for the prompt, consider all of them.
    return order if _holder_count(call, least) is None else least


def _blocks(part: float, pace: EnginePace, pauses: PauseLimits) -> bool:
    """Return whether a part delays short streams too long; assumed if no objective is known."""
    return pauses.short == inf or pass_seconds(pace) + part > pauses.short


def _holder_count(call: Call, engines: list[Engine]) -> int | None:
    """Return the minimum number of engines that can hold a prompt, or None if none suffices.

    The first one answers; on the others, memory is reserved for equal parts.
    """
    for count in range(1, min(MAX_HOLDERS, len(engines)) + 1):
        fitting = [engine for engine in engines if _holds(call, engine, holders=count)]
        if len(fitting) >= count:
            return count
    return None


def _holds(call: Call, engine: Engine, *, holders: int) -> bool:
    if engine.limited and holders > 1:
        # Reserving memory and renewing the reservation are requests that count against the limit.
        return False
    fill = 1.0 if holders == 1 else MAX_RESERVED_FILL
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
    """Choose ``count`` engines on which a part costs least; holders come first.

    The ranking depends on the part, as short streams tolerate shorter pauses than long ones.
    """
    costs = {e.name: pause_cost(e.occupancy, pace, reading=part, pauses=pauses) for e in order}
    ranked = sorted(order, key=lambda e: costs[e.name] + _busyness(e.occupancy))
    holding = [engine for engine in ranked if _holds(call, engine, holders=holders)][:holders]
    held = {engine.name for engine in holding}
    others = [engine for engine in ranked if engine.name not in held]
    chosen = [*holding, *others][:count]
    return _Spread(
        engines=tuple(chosen),
        holders=holders,
        part=part,
        first_token=max(wait_seconds(engine.occupancy, pace) for engine in chosen) + part,
        pause_cost=sum(costs[engine.name] for engine in chosen),
    )


def _busyness(occupancy: Occupancy) -> float:
    """Return how busy an engine is with streams and prefill, as a rank for long prompts."""
    return (
        occupancy.streams
        + occupancy.reading
        + occupancy.short_reading
        + LONG_STREAM_BUSYNESS * occupancy.long_streams
    )


def _reserved_for_short(engines: list[Engine], pace: EnginePace) -> int:
    """Return how many engines a blocking prompt must leave to short ones."""
    streams = sum(engine.occupancy.streams for engine in engines)
    filled = ceil(streams / (SHORT_SLOT_FILL * pace.slots))
    return max(ceil(SHORT_RESERVED_SHARE * len(engines)), filled)


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
    # The first engine holds the remainder; nothing is reserved on it.
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
