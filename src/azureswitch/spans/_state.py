"""The state behind one run."""

from collections.abc import Callable
from random import Random

from azureswitch.core import Effect
from azureswitch.spans._model import (
    HOLD_LIMIT,
    HOLD_LONGEST,
    Decode,
    Export,
    Fetch,
    Prefill,
    Reserve,
    SpanMember,
)
from azureswitch.spans._plan import link

Step = Callable[[list[str]], Effect]
"""Makes a step's effect from the addresses of the spans that were exported so far."""


_DOUBLINGS = 16
"""Attempts after which the time that memory is kept for grows no more, whatever its limit."""


class SpanState:
    """The steps of a run and how far it is.

    Args:
        members: The members, in the order of their spans.
        seed: Seeds the pauses; different for every run.
    """

    def __init__(self, *, members: tuple[SpanMember, ...], seed: int) -> None:
        self._random = Random(seed)
        attempt = members[0].holding.attempt
        self._hold = min(HOLD_LONGEST, HOLD_LIMIT * 2.0 ** min(attempt - 1, _DOUBLINGS))
        self._steps = _steps(members)
        self._next = 0
        self._addresses: list[str] = []
        self._refused_since: float | None = None
        self._pausing = False

    @property
    def effect(self) -> Effect:
        """The effect of the present step."""
        return self._steps[self._next](self._addresses)


def _steps(members: tuple[SpanMember, ...]) -> tuple[Step, ...]:
    # Reservations go by name, whatever the order of the spans: runs that reach for overlapping
    # sets then wait for each other in one direction only.
    by_name = sorted(members, key=lambda member: member.target)
    steps: list[Step] = [_step(Reserve(member=member)) for member in by_name]
    for index, member in enumerate(members):
        steps += [_fetch(member, source, at) for at, source in enumerate(members[:index])]
        if index < len(members) - 1:
            steps += [_step(Prefill(member=member)), _step(Export(member=member))]
    return (*steps, _step(Decode(member=members[-1])))


def _step(effect: Effect) -> Step:
    return lambda addresses: effect


def _fetch(member: SpanMember, source: SpanMember, at: int) -> Step:
    holding = link(member=member, source=source)
    return lambda addresses: Fetch(member=member, holding=holding, source=addresses[at])
