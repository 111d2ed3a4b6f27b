"""Chooses the target for a call by its backlog, cached prefix, load and distance."""

from azureswitch.core import TargetName
from azureswitch.serving._choice import Choice
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._length import Level
from azureswitch.serving._placement import place_call, usable_targets
from azureswitch.serving._spans import choose_spans
from azureswitch.serving._state import ServingState
from azureswitch.serving._target import TargetState, Work
from azureswitch.serving._throttling import is_cold, within_cold_limit
from azureswitch.serving.calls import CallRecord

SAMPLE_SIZES = {Level.SHORT: 4, Level.MIDDLE: 8, Level.LONG: 8}
"""Targets that are sampled at random; if all were compared, hosts would herd on the same one."""

MAX_CACHED_CANDIDATES = 2
"""Additional candidates that hold the longest cached part of the prompt's prefix."""

DISTANCE_SECONDS = (0.0, 0.001, 0.05)
"""Penalty in seconds for a target in this failure domain, in this region and elsewhere."""

DECODE_SLOWDOWN = 0.5
"""Share by which a prefill takes longer if any request decodes on the engine."""

REQUEST_SLOWDOWN = 0.02
"""Share by which a prefill takes longer for each request that decodes on the engine."""

MAX_SLOWING_REQUESTS = 16
"""Number of decoding requests above which further ones hardly slow a prefill."""

MAX_BACKLOG_SECONDS = {Level.SHORT: 0.5, Level.MIDDLE: 1.0, Level.LONG: 1.0}
"""Backlog of the same or a lower level, in engine seconds, above which an engine gets no more."""

SPILL_SECONDS = 0.25
"""Backlog in engine seconds above which a short prompt may spill to engines for long ones."""

COLD_STREAMS = 3
"""Requests that a warm target of a plain service runs more than a cold one before that is chosen.

A cold target takes longer for each request, to a degree that is not published.
"""


def choose(state: ServingState, record: CallRecord, *, now: float) -> Choice | None:
    """Choose the targets for the next attempt of a call.

    Returns:
        The choice, or None if no target has capacity now.
    """
    call = record.call
    if not call.model:
        return _choose_plain(state, record, now=now)
    if record.pool.pace is not None:
        return place_call(state, record, pace=record.pool.pace, now=now)
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
    candidates = usable_targets(state, record, now=now)
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda t: (
            state.ledger.at(t.target.name).streams + COLD_STREAMS * is_cold(state, t, now=now),
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
    """Choose among the engines for prompts of this length; short prompts may spill to the rest."""
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
        # Excess load goes to the engines for long prompts, away from other customers' short ones.
        short = names[:count]
    best = _best(state, record, short, tokens=tokens, now=now)
    if best is None or best.wait > SPILL_SECONDS:
        others = names[count:] if short == names[:count] else names[:count]
        spilled = _best(state, record, others, tokens=tokens, now=now)
        if spilled is not None and (best is None or spilled.wait < best.wait):
            return spilled
    elif best.running and best.work.seconds > state.split.weights.idle_threshold:
        spilled = _best(state, record, names[:count], tokens=tokens, now=now)
        if spilled is not None and not spilled.running and not spilled.wait:
            return spilled
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
        choice = _evaluate(state, record, target, cached=cached.get(target.target.name, 0), now=now)
        if choice is None or not _has_room(state, record, target, tokens=tokens, now=now):
            continue
        score = choice.wait + choice.work.seconds * state.costs.speed(target.target.name)
        score += DISTANCE_SECONDS[target.nearness]
        score += _decode_delay(choice.work, running=choice.running)
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


def _decode_delay(work: Work, *, running: int) -> float:
    """Return the seconds by which requests that decode in the same steps prolong a prefill."""
    if not running:
        return 0.0
    return work.seconds * (DECODE_SLOWDOWN + REQUEST_SLOWDOWN * min(MAX_SLOWING_REQUESTS, running))


def _evaluate(
    state: ServingState, record: CallRecord, target: TargetState, *, cached: int, now: float
) -> Choice | None:
    call = record.call
    wait = target.waits(now=now, level=record.level)
    if wait > MAX_BACKLOG_SECONDS[record.level]:
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
    """Return candidate targets: a random sample and those with the longest cached prefix."""
    sample_size = SAMPLE_SIZES[record.level]
    drawn = names if len(names) <= sample_size else tuple(state.random.sample(names, sample_size))
    holders = {name: cached[name] for name in names if name in cached} if cached else {}
    extra = sorted(holders, key=lambda name: (-holders[name], name))[:MAX_CACHED_CANDIDATES]
    candidates = _usable(state, record, (*drawn, *extra), now=now)
    if candidates:
        return candidates
    fallback = _usable(state, record, record.pool.targets, now=now)
    # As a last resort, include targets that have failed before.
    rest = [t for t in state.fleet.states(record.pool) if t.usable(now)]
    return fallback or [t for t in rest if within_cold_limit(state, t, now=now)]


def _usable(
    state: ServingState, record: CallRecord, names: tuple[TargetName, ...], *, now: float
) -> list[TargetState]:
    states = (state.fleet.state(name) for name in dict.fromkeys(names))
    return [
        target
        for target in states
        if target is not None
        and target.preferred(now)
        and target.target.name not in record.failed
        and within_cold_limit(state, target, now=now)
    ]
