"""Chooses the target for a call: little waiting, a cached prefix, a near place."""

from azureswitch.core import TargetName
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._length import Level
from azureswitch.serving._placement import place, usable
from azureswitch.serving._spans import choose_spans
from azureswitch.serving._state import CallRecord, ServingState
from azureswitch.serving._target import TargetState, Work

CHOICES = {Level.SHORT: 4, Level.MIDDLE: 8, Level.LONG: 8}
"""Targets drawn at random, of which the best is taken; looking at all would make hosts herd."""

CACHED_CHOICES = 2
"""Targets looked at beside those because they hold the longest part of the prompt's prefix."""

NEARNESS_SECONDS = (0.0, 0.001, 0.05)
"""Seconds that a target in this place, in this region or elsewhere costs."""

BESIDE_SHARE = 0.5
"""Share of its own time that a prefill takes longer beside requests that decode."""

RUNNING_SHARE = 0.02
"""Share of its own time that a prefill takes longer for each of them."""

BATCH = 16
"""Running requests beside which further ones make little difference to a prefill."""

ROOM = {Level.SHORT: 0.5, Level.MIDDLE: 1.0, Level.LONG: 1.0}
"""Engine seconds of prompts of the same or a lower level over which an engine gets no more."""

SPILL_ROOM = 0.25
"""Engine seconds of waiting over which a short prompt also goes to engines with long ones."""


def choose(state: ServingState, record: CallRecord, *, now: float) -> Choice | None:
    """Choose the targets for the next attempt of a call.

    Returns:
        The choice, or None where no target has room now.
    """
    call = record.call
    if not call.model:
        return _choose_plain(state, record, now=now)
    if record.pool.pace is not None:
        return place(state, record, pace=record.pool.pace, now=now)
    tokens = call.prompt_tokens + call.output_tokens
    if tokens > record.pool.longest:
        targets = choose_spans(state, record, now=now)
        if targets is None:
            return None
        work = Work(
            seconds=record.cost.prefill / len(targets),
            tokens=-(-tokens // len(targets)),
            level=record.level,
        )
        return Choice(targets=targets, work=work, cached_tokens=0, wait=0.0)
    return _choose_engine(state, record, tokens=tokens, now=now)


def _choose_plain(state: ServingState, record: CallRecord, *, now: float) -> Choice | None:
    candidates = usable(state, record, now=now)
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda t: (
            state.ledger.at(t.target.name).streams,
            t.nearness,
            state.random.random(),
        ),
    )
    seconds = record.cost.prefill
    name = best.target.name
    return Choice(
        targets=(name,),
        work=Work(seconds=seconds, tokens=0, level=Level.SHORT),
        cached_tokens=0,
        wait=0.0,
        occupancies=(Occupancy(target=name, short_reading=seconds, streams=1),),
    )


def _choose_engine(
    state: ServingState, record: CallRecord, *, tokens: int, now: float
) -> Choice | None:
    """Choose among the engines for prompts of this length; short ones may spill to the others."""
    names = record.pool.targets
    count = state.split.count(
        service=record.pool.service,
        model=record.pool.model,
        engines=len(names),
        hosts=state.fairness.hosts,
        now=now,
    )
    if record.level is not Level.SHORT:
        return _best(state, record, names[:count], tokens=tokens, now=now)
    short = names[count:] or names
    if state.fairness.exceeds(record.call.customer, now=now):
        # A flood goes where long prompts are, so that it stays away from the others' short ones.
        short = names[:count]
    best = _best(state, record, short, tokens=tokens, now=now)
    if best is None or best.wait > SPILL_ROOM:
        others = names[count:] if short == names[:count] else names[:count]
        spilt = _best(state, record, others, tokens=tokens, now=now)
        if spilt is not None and (best is None or spilt.wait < best.wait):
            return spilt
    elif best.running and best.work.seconds > state.split.weighing.idle_worth:
        spilt = _best(state, record, names[:count], tokens=tokens, now=now)
        if spilt is not None and not spilt.running and not spilt.wait:
            return spilt
    return best


def _best(
    state: ServingState,
    record: CallRecord,
    names: tuple[TargetName, ...],
    *,
    tokens: int,
    now: float,
) -> Choice | None:
    cached = state.affinity.cached(record.call.prefix)
    best: tuple[float, Choice] | None = None
    for target in _candidates(state, record, names, now=now, cached=cached):
        choice = _weigh(state, record, target, cached=cached.get(target.target.name, 0), now=now)
        if choice is None or not _has_room(state, record, target, tokens=tokens, now=now):
            continue
        score = choice.wait + choice.work.seconds * state.costs.speed(target.target.name)
        score += NEARNESS_SECONDS[target.nearness]
        score += _beside(choice.work, running=choice.running)
        if best is None or score < best[0]:
            best = (score, choice)
    return best[1] if best else None


def _has_room(
    state: ServingState, record: CallRecord, target: TargetState, *, tokens: int, now: float
) -> bool:
    if target.free_tokens() < tokens:
        return False
    name = target.target.name
    short = record.level is Level.SHORT
    return short or state.fleet.accepts_long_prompts(name, call=record.call.id, now=now)


def _beside(work: Work, *, running: int) -> float:
    """Return the seconds that a prefill takes longer where others decode in the same steps."""
    if not running:
        return 0.0
    return work.seconds * (BESIDE_SHARE + RUNNING_SHARE * min(BATCH, running))


def _weigh(
    state: ServingState, record: CallRecord, target: TargetState, *, cached: int, now: float
) -> Choice | None:
    call = record.call
    wait = target.waits(now=now, level=record.level)
    if wait > ROOM[record.level]:
        return None
    seconds = state.costs.prefill_seconds(
        model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=cached
    )
    work = Work(seconds=seconds, tokens=call.prompt_tokens + call.output_tokens, level=record.level)
    return Choice(
        targets=(target.target.name,),
        work=work,
        cached_tokens=cached,
        wait=wait,
        running=target.waiting_count(),
    )


def _candidates(
    state: ServingState,
    record: CallRecord,
    names: tuple[TargetName, ...],
    *,
    now: float,
    cached: dict[TargetName, int] | None = None,
) -> list[TargetState]:
    """Return a few targets to choose from: some at random and those with a cached prefix."""
    choices = CHOICES[record.level]
    drawn = names if len(names) <= choices else tuple(state.random.sample(names, choices))
    held = {name: cached[name] for name in names if name in cached} if cached else {}
    extra = sorted(held, key=lambda name: (-held[name], name))[:CACHED_CHOICES]
    usable = _usable(state, record, (*drawn, *extra), now=now)
    if usable:
        return usable
    everything = _usable(state, record, record.pool.targets, now=now)
    # With nothing else left, a target that failed before is better than none.
    return everything or [t for t in state.fleet.states(record.pool) if t.usable(now)]


def _usable(
    state: ServingState, record: CallRecord, names: tuple[TargetName, ...], *, now: float
) -> list[TargetState]:
    some = (state.fleet.state(name) for name in dict.fromkeys(names))
    return [
        target
        for target in some
        if target is not None and target.preferred(now) and target.target.name not in record.failed
    ]
