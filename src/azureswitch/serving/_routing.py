"""Chooses the target for a call: little waiting, a cached prefix, a near place."""

from dataclasses import dataclass

from azureswitch.core import TargetName
from azureswitch.serving._fleet import TargetState, Work
from azureswitch.serving._spans import choose_spans
from azureswitch.serving._state import CallRecord, ServingState

CHOICES = 4
"""Targets drawn at random, of which the best is taken; looking at all would make hosts herd."""

CACHED_CHOICES = 2
"""Targets looked at beside those because they hold the longest part of the prompt's prefix."""

NEARNESS_SECONDS = (0.0, 0.001, 0.05)
"""Seconds that a target in this place, in this region or elsewhere costs."""

RUNNING_SECONDS = 0.001
"""Seconds that each running request of an engine makes a new one slower."""

SHORT_ROOM = 0.5
"""Engine seconds of short prompts over which an engine gets no further ones."""

LONG_ROOM = 1.0
"""Engine seconds of prompts over which an engine gets no further long ones."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Where an attempt goes.

    Attributes:
        targets: The target; several for a prompt larger than one engine's memory.
        work: What it puts on each of them.
        cached_tokens: Prompt tokens expected in the target's cache.
        wait: Engine seconds that stand before it.
    """

    targets: tuple[TargetName, ...]
    work: Work
    cached_tokens: int
    wait: float


def choose(state: ServingState, record: CallRecord, *, now: float) -> Choice | None:
    """Choose the targets for the next attempt of a call.

    Returns:
        The choice, or None where no target has room now.
    """
    call = record.call
    if not call.model:
        return _choose_plain(state, record, now=now)
    tokens = call.prompt_tokens + call.output_tokens
    if tokens > record.pool.longest:
        targets = choose_spans(state, record, now=now)
        if targets is None:
            return None
        work = Work(
            seconds=record.cost.prefill / len(targets),
            tokens=-(-tokens // len(targets)),
            short=False,
        )
        return Choice(targets=targets, work=work, cached_tokens=0, wait=0.0)
    return _choose_engine(state, record, tokens=tokens, now=now)


def _choose_plain(state: ServingState, record: CallRecord, *, now: float) -> Choice | None:
    candidates = _candidates(state, record, extra=(), now=now)
    if not candidates:
        return None
    best = min(candidates, key=lambda t: (t.running, t.nearness, state.random.random()))
    work = Work(seconds=record.cost.prefill, tokens=0, short=True)
    return Choice(targets=(best.target.name,), work=work, cached_tokens=0, wait=0.0)


def _choose_engine(
    state: ServingState, record: CallRecord, *, tokens: int, now: float
) -> Choice | None:
    cached = state.affinity.cached(record.call.prefix)
    holders = sorted(cached, key=lambda name: (-cached[name], name))[:CACHED_CHOICES]
    candidates = _candidates(state, record, extra=tuple(holders), now=now)
    best: tuple[float, Choice] | None = None
    for target in candidates:
        choice = _weigh(state, record, target, cached=cached.get(target.target.name, 0), now=now)
        if choice is None or target.free_tokens() < tokens:
            continue
        score = choice.wait + choice.work.seconds * state.costs.speed(target.target.name)
        score += NEARNESS_SECONDS[target.nearness] + RUNNING_SECONDS * target.waiting_count()
        if best is None or score < best[0]:
            best = (score, choice)
    return best[1] if best else None


def _weigh(
    state: ServingState, record: CallRecord, target: TargetState, *, cached: int, now: float
) -> Choice | None:
    call = record.call
    wait = target.waits(now=now, short=record.short)
    if wait > (SHORT_ROOM if record.short else LONG_ROOM):
        return None
    seconds = state.costs.prefill_seconds(
        model=call.model, prompt_tokens=call.prompt_tokens, cached_tokens=cached
    )
    work = Work(seconds=seconds, tokens=call.prompt_tokens + call.output_tokens, short=record.short)
    return Choice(targets=(target.target.name,), work=work, cached_tokens=cached, wait=wait)


def _candidates(
    state: ServingState, record: CallRecord, *, extra: tuple[TargetName, ...], now: float
) -> list[TargetState]:
    names = record.pool.targets
    drawn = names if len(names) <= CHOICES else state.random.sample(names, CHOICES)
    some = [state.fleet.state(name) for name in dict.fromkeys((*drawn, *extra))]
    usable = [t for t in some if t is not None and _takes(t, record, now=now)]
    if usable:
        return usable
    everything = state.fleet.states(record.pool)
    usable = [t for t in everything if _takes(t, record, now=now)]
    # With nothing else left, a target that failed before is better than none.
    return usable or [t for t in everything if t.usable(now)]


def _takes(target: TargetState, record: CallRecord, *, now: float) -> bool:
    return target.target.name not in record.failed and target.preferred(now)
