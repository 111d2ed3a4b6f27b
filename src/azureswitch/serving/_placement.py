"""Chooses engines whose pace is published, by what a choice costs all who use them.

A choice is weighed by the credit that it loses, in units of one short stream that is late: the
call's own, where its first token comes after its objective, and that of the short streams beside
it, where reading its prompt makes them pause for too long.
"""

from math import ceil

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._choice import Choice
from azureswitch.serving._events import Call, Occupancy
from azureswitch.serving._fleet import TargetState, Work
from azureswitch.serving._length import Level
from azureswitch.serving._pace import read_seconds
from azureswitch.serving._state import CallRecord, ServingState

MOST_PARTS = 16
"""Engines over which the reading of one prompt is spread at most; engines take no more helpers."""

LEAST_PART = 0.03
"""Seconds of reading below which a part is not split further: the gain drowns in a step's time."""

SHORT_TOKENS = 10_000
"""Prompt tokens that weigh as much as one short stream: the worth of long work by its length."""

SOUND_SHARE = 0.5
"""Share of the targets that must not have failed lately for the others to be avoided.

With 6 in 10 engines losing 4 in 10 answers, the sound ones alone had reviews wait for 9 s.
"""

SHORT_READ = 0.25
"""Seconds of reading up to which a prompt is short: it delays streams by no more than they bear."""

SHORT_GAP = 0.2
"""Seconds of reading beside short streams that they still bear; their pauses may last 250 ms."""

ON_TIME_SHARE = 0.7
"""Share of the objective up to which a predicted first token counts as on time."""

LATE_CREDIT = 0.25
"""Share of its credit that a late answer keeps."""

UNFINISHED = 1.0
"""What it costs beside being late that a caller leaves before the first token.

It is the rest of the credit and the work done in vain: a prompt of 783,000 tokens was sent to three
engines for 18 s, of which its caller waited 12, rather than to seven with 35 short streams.
"""

LEAVE_LEAST = 2.0
"""Seconds without a first token after which callers leave, at least."""

LEAVE_FACTOR = 4.0
"""Times its objective after which a caller leaves."""

SAFE_SHARE = 0.5
"""Share of the time until its caller leaves up to which a first token is safe to come in time."""

LONG_GAP = 0.5
"""Seconds of reading beside long streams that they still bear; their pauses may last 600 ms."""

LONG_HARM = 6.0
"""What a long stream that pauses for too long costs, by the mix of lengths: 3 to 18."""

BESIDE_LONG = 0.5
"""How badly an engine suits a long prompt for each long stream that it writes."""

KEPT_SHARE = 0.2
"""Share of the engines that stay free of long reading, however much there is of it."""

SHORT_FILL = 0.9
"""Share of their places that short streams may fill on the engines kept for them.

With 0.6, 70 streams kept 15 of 18 engines, and the three others could not finish a long prompt.
"""

HASTE = 0.1
"""Weight of being early at all, beside that of being on time."""

OPENING = 0.06
"""Cost of the first short stream on an engine, so that some stay free of them for long prompts."""

STREAM = 0.012
"""Cost of each short stream beside a new one; five of them outweigh `OPENING`."""

PART = 0.02
"""Cost of each further engine that a long prompt occupies."""

MOST_HOLDERS = 8
"""Engines over whose memory one prompt is spread at most; a million tokens take three."""

HOLD_FILL = 0.85
"""Share of an engine's free memory that is set aside at most, as others may send meanwhile."""

NEARNESS = 0.005
"""Cost of a target in another failure domain of the region; elsewhere it is ten times that."""


def place(
    state: ServingState, record: CallRecord, *, pace: EnginePace, now: float
) -> Choice | None:
    """Choose the engines for the next attempt of a call, or None where none is up."""
    states = usable(state, record, now=now)
    if not states:
        return None
    if read_seconds(pace, record.call.prompt_tokens) <= SHORT_READ:
        return _place_short(state, record, states, pace, now=now)
    return _place_long(state, record, states, pace, now=now)


def usable(state: ServingState, record: CallRecord, *, now: float) -> list[TargetState]:
    """Return the targets of a call's pool to choose from, the doubtful ones only in need.

    Where most targets have failed lately, failing says little of each of them, and the few others
    could not bear what all do.
    """
    states = [t for t in state.fleet.states(record.pool) if t.usable(now)]
    untried = [t for t in states if t.target.name not in record.failed]
    preferred = [t for t in untried if t.preferred(now)]
    if len(preferred) >= SOUND_SHARE * len(states):
        return preferred or untried or states
    return untried or states


def _place_short(
    state: ServingState,
    record: CallRecord,
    states: list[TargetState],
    pace: EnginePace,
    *,
    now: float,
) -> Choice:
    call = record.call
    own = read_seconds(pace, record.call.prompt_tokens)
    best: tuple[float, float, TargetName] | None = None
    for target in states:
        there = state.ledger.at(target.target.name)
        first = _wait(there, pace) + own
        cost = _lateness(call, first, now=now) + _haste(call, first)
        cost += _crowding(there) + _distance(target)
        key = (cost, state.random.random(), target.target.name)
        if best is None or key < best:
            best = key
            predicted = first
    assert best is not None  # There is at least one target.
    name = best[2]
    tokens = record.call.prompt_tokens + record.call.output_tokens
    occupancy = Occupancy(target=name, short_reading=own, streams=1, tokens=tokens)
    return Choice(
        targets=(name,),
        work=Work(seconds=own, tokens=tokens, level=Level.SHORT),
        cached_tokens=0,
        wait=max(0.0, predicted - own),
        occupancies=(occupancy,),
        first_token=predicted,
    )


def _wait(there: Occupancy, pace: EnginePace) -> float:
    """Return the seconds until a new prompt is read.

    A pass of the streams and what is read before it; and where all places are taken, the time until
    as many answers have ended as requests wait for one.
    """
    writing = pace.step * pace.stride if there.streams or there.long_streams else pace.step
    waiting = max(0, there.streams + there.long_streams + 1 - pace.slots)
    turn = pace.answer * pace.step / pace.slots
    return writing + there.short_reading + there.reading + waiting * turn


def _crowding(there: Occupancy) -> float:
    opening = OPENING if not there.streams else 0.0
    return opening + STREAM * there.streams


def _distance(target: TargetState) -> float:
    return (0.0, NEARNESS, 10.0 * NEARNESS)[target.nearness]


def _lateness(call: Call, first: float, *, now: float) -> float:
    """Return what a predicted first token loses, as a share of a call's credit and work."""
    left = min(call.deadline - now, max(LEAVE_LEAST, LEAVE_FACTOR * call.objective))
    lost = (1.0 - LATE_CREDIT) * _ramp(first, ON_TIME_SHARE * call.objective, call.objective)
    return lost + UNFINISHED * _ramp(first, SAFE_SHARE * left, left)


def _ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to a low value, 1 from a high one on, and the share of the way between them."""
    if value <= low:
        return 0.0
    return 1.0 if value >= high else (value - low) / (high - low)


def _haste(call: Call, first: float) -> float:
    """Return what it is worth to be early at all."""
    return HASTE * first / call.objective if call.objective else HASTE * first


def _place_long(
    state: ServingState,
    record: CallRecord,
    states: list[TargetState],
    pace: EnginePace,
    *,
    now: float,
) -> Choice | None:
    call = record.call
    work = read_seconds(pace, call.prompt_tokens)
    costs = {t.target.name: _busyness(state.ledger.at(t.target.name)) for t in states}
    order = sorted(states, key=lambda t: (costs[t.target.name], t.nearness, state.random.random()))
    holders = _holders(state, call, order)
    if holders is None:
        return None
    chain = [*holders, *(t for t in order if t not in holders)]
    weight = call.prompt_tokens / SHORT_TOKENS
    most = max(len(holders), min(MOST_PARTS, len(chain), int(work / LEAST_PART)))
    kept = _kept_for_short(state, order, pace)
    best: tuple[float, int, float] | None = None
    for count in range(len(holders), most + 1):
        if best is not None and work / count > SHORT_GAP and len(order) - count < kept:
            continue
        seconds, harm = _forecast(state, chain[:count], work / count, pace)
        cost = weight * _lateness(call, seconds, now=now) + _haste(call, seconds)
        cost += harm + PART * (count - 1)
        if best is None or cost < best[0]:
            best = (cost, count, seconds)
    assert best is not None  # There is at least one count.
    _, count, seconds = best
    return _spread(call, chain[:count], len(holders), part=work / count, first_token=seconds)


def _holders(state: ServingState, call: Call, order: list[TargetState]) -> list[TargetState] | None:
    """Return the fewest engines that together hold a prompt, the least busy first, or None.

    The first one answers; at the others memory is set aside for even parts.
    """
    need = call.prompt_tokens + call.output_tokens
    free = {t.target.name: t.target.memory - state.ledger.at(t.target.name).tokens for t in order}
    for count in range(1, min(MOST_HOLDERS, len(order)) + 1):
        fill = 1.0 if count == 1 else HOLD_FILL
        part = need / count
        fitting = [t for t in order if part <= free[t.target.name] * fill]
        if len(fitting) >= count:
            return fitting[:count]
    return None


def _kept_for_short(state: ServingState, order: list[TargetState], pace: EnginePace) -> int:
    """Return how many engines a prompt that blocks them leaves to short ones."""
    streams = sum(state.ledger.at(target.target.name).streams for target in order)
    filled = ceil(streams / (SHORT_FILL * pace.slots))
    return max(ceil(KEPT_SHARE * len(order)), filled)


def _busyness(there: Occupancy) -> float:
    """Return how badly an engine suits a long prompt: its short streams, and what it reads."""
    return there.streams + there.reading + there.short_reading + BESIDE_LONG * there.long_streams


def _forecast(
    state: ServingState, chosen: list[TargetState], part: float, pace: EnginePace
) -> tuple[float, float]:
    """Return the predicted seconds to the first token, and the short streams made to pause."""
    seconds = 0.0
    harm = 0.0
    for target in chosen:
        there = state.ledger.at(target.target.name)
        seconds = max(seconds, _wait(there, pace) + part)
        if part + there.reading > SHORT_GAP:
            harm += there.streams
        if part + there.reading > LONG_GAP:
            harm += LONG_HARM * there.long_streams
    return seconds, harm


def _spread(
    call: Call, chosen: list[TargetState], holders: int, *, part: float, first_token: float
) -> Choice:
    names = tuple(target.target.name for target in chosen)
    need = call.prompt_tokens + call.output_tokens
    share = -(-need // holders)
    held = [share if index < holders else 0 for index in range(len(names))]
    occupancies = tuple(
        Occupancy(target=name, reading=part, long_streams=int(index == 0), tokens=held[index])
        for index, name in enumerate(names)
    )
    # What the others do not hold stays at the first one, for which nothing is set aside.
    reserved = (0, *held[1:]) if holders > 1 else ()
    return Choice(
        targets=names,
        work=Work(seconds=part, tokens=need, level=Level.LONG),
        cached_tokens=0,
        wait=max(0.0, first_token - part),
        occupancies=occupancies,
        reserved=reserved,
        first_token=first_token,
    )
