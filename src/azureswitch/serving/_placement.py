"""Chooses engines whose pace is published, by what a choice costs all who use them.

A choice is weighed by the credit that it loses, in units of one short stream that is late: the
call's own, where its first token comes after its objective, and that of the short streams beside
it, where reading its prompt makes them pause for too long.
"""

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

SHORT_GAP = 0.2
"""Seconds of reading beside short streams that they still bear; their pauses may last 250 ms."""

ON_TIME_SHARE = 0.7
"""Share of the objective up to which a predicted first token counts as on time."""

HASTE = 0.1
"""Weight of being early at all, beside that of being on time."""

OPENING = 0.06
"""Cost of the first short stream on an engine, so that some stay free of them for long prompts."""

STREAM = 0.012
"""Cost of each short stream beside a new one; five of them outweigh `OPENING`."""

PART = 0.02
"""Cost of each further engine that a long prompt occupies."""

NEARNESS = 0.005
"""Cost of a target in another failure domain of the region; elsewhere it is ten times that."""

QUEUED = 0.5
"""Cost for each request by which an engine's places are exceeded."""


def place(
    state: ServingState, record: CallRecord, *, pace: EnginePace, now: float
) -> Choice | None:
    """Choose the engines for the next attempt of a call, or None where none is up."""
    states = usable(state, record, now=now)
    if not states:
        return None
    if record.level is Level.SHORT:
        return _place_short(state, record, states, pace)
    return _place_long(state, record, states, pace)


def usable(state: ServingState, record: CallRecord, *, now: float) -> list[TargetState]:
    """Return the targets of a call's pool to choose from, the doubtful ones only in need."""
    states = [t for t in state.fleet.states(record.pool) if t.usable(now)]
    untried = [t for t in states if t.target.name not in record.failed]
    preferred = [t for t in untried if t.preferred(now)]
    return preferred or untried or states


def _place_short(
    state: ServingState, record: CallRecord, states: list[TargetState], pace: EnginePace
) -> Choice:
    own = read_seconds(pace, record.call.prompt_tokens)
    best: tuple[float, float, TargetName] | None = None
    for target in states:
        there = state.ledger.at(target.target.name)
        first = _wait(there, pace) + own
        cost = _lateness(record.call, first) + _crowding(there, pace) + _distance(target)
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
    """Return the seconds until a new prompt is read: a pass of the streams, and what is before."""
    writing = pace.step * pace.stride if there.streams or there.long_streams else pace.step
    return writing + there.short_reading + there.reading


def _crowding(there: Occupancy, pace: EnginePace) -> float:
    over = there.streams + there.long_streams + 1 - pace.slots
    opening = OPENING if not there.streams else 0.0
    return opening + STREAM * there.streams + QUEUED * max(0, over)


def _distance(target: TargetState) -> float:
    return (0.0, NEARNESS, 10.0 * NEARNESS)[target.nearness]


def _lateness(call: Call, first: float) -> float:
    """Return the share of a call's credit that a predicted first token loses."""
    if not call.objective:
        return HASTE * first
    share = first / call.objective
    late = min(1.0, max(0.0, (share - ON_TIME_SHARE) / (1.0 - ON_TIME_SHARE)))
    return late + HASTE * share


def _place_long(
    state: ServingState, record: CallRecord, states: list[TargetState], pace: EnginePace
) -> Choice | None:
    call = record.call
    work = read_seconds(pace, call.prompt_tokens)
    fitting = [t for t in states if _fits(state, call, t)]
    if not fitting:
        return None
    costs = {t.target.name: _busyness(state.ledger.at(t.target.name)) for t in states}
    order = sorted(states, key=lambda t: (costs[t.target.name], t.nearness, state.random.random()))
    first = min(fitting, key=order.index)
    chain = [first, *(t for t in order if t is not first)]
    weight = call.prompt_tokens / SHORT_TOKENS
    most = max(1, min(MOST_PARTS, len(chain), int(work / LEAST_PART)))
    best: tuple[float, int, float] | None = None
    for count in range(1, most + 1):
        seconds, harm = _forecast(state, chain[:count], work / count, pace)
        cost = weight * _lateness(call, seconds) + harm + PART * (count - 1)
        if best is None or cost < best[0]:
            best = (cost, count, seconds)
    assert best is not None  # There is at least one count.
    _, count, seconds = best
    return _placement(call, chain[:count], part=work / count, first_token=seconds)


def _fits(state: ServingState, call: Call, target: TargetState) -> bool:
    """Return whether an engine's memory holds the prompt beside what it has."""
    need = call.prompt_tokens + call.output_tokens
    return state.ledger.at(target.target.name).tokens + need <= target.target.memory


def _busyness(there: Occupancy) -> float:
    """Return how badly an engine suits a long prompt: its short streams, and what it reads."""
    return there.streams + there.reading + there.short_reading + 0.1 * there.long_streams


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
    return seconds, harm


def _placement(call: Call, chosen: list[TargetState], *, part: float, first_token: float) -> Choice:
    names = tuple(target.target.name for target in chosen)
    tokens = call.prompt_tokens + call.output_tokens
    first = Occupancy(target=names[0], reading=part, long_streams=1, tokens=tokens)
    helpers = tuple(Occupancy(target=name, reading=part) for name in names[1:])
    return Choice(
        targets=names,
        work=Work(seconds=part, tokens=tokens, level=Level.LONG),
        cached_tokens=0,
        wait=max(0.0, first_token - part),
        occupancies=(first, *helpers),
        first_token=first_token,
    )
