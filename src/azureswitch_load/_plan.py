"""Draws the calls of a run from a seed."""

import math
from collections.abc import Iterator, Sequence
from random import Random

from msgspec import Struct

from azureswitch_load._calls import Caller, CallKind, Length, Phase, PlannedCall

DECK: tuple[tuple[Length, int], ...] = (
    (Length.SHORT, 178),
    (Length.MEDIUM, 64),
    (Length.LONG, 6),
    (Length.HUGE, 2),
)
"""Prompts of each length in every 250 model calls: one in fifty is over 100,000 tokens."""

DOCUMENTS = 4
"""Shared documents of a customer, which prompts begin with."""

FEWEST_OUTPUT = 8
MOST_OUTPUT = 48


class PlanSettings(Struct, frozen=True, kw_only=True):
    """What a plan is drawn from.

    Attributes:
        seed: Seed of every draw.
        callers: The customers.
        seconds: Length of the run.
        alone: Seconds at the start in which short requests have the fleet alone.
        rate: Calls a second.
        plain_share: Share of calls that go to a plain service; zero where there is none.
        booking_share: Share of these that may not repeat.
        chat_share: Share of the other calls that are chats.
        shared_share: Share of completions and chats whose prompts begin with a shared document.
        stream_share: Share of completions and chats whose answer is streamed.
        longest: Tokens of the longest prompt.
        huge_until: Seconds after which no prompt of the longest bucket is sent any more.
        short_timeout: Seconds that a call with a short prompt or to a plain service may take.
        long_timeout: Seconds that any other call may take.
    """

    seed: int = 1
    callers: tuple[Caller, ...]
    seconds: float = 30.0
    alone: float = 5.0
    rate: float = 20.0
    plain_share: float = 0.25
    booking_share: float = 0.6
    chat_share: float = 0.3
    shared_share: float = 0.5
    stream_share: float = 0.9
    longest: int = 1_000_000
    huge_until: float = math.inf
    short_timeout: float = 20.0
    long_timeout: float = 60.0


def draw(*, settings: PlanSettings) -> tuple[PlannedCall, ...]:
    """Return the calls of a run, ordered by time."""
    return tuple(_Drawing(settings).calls())


class _Drawing:
    """Draws one plan."""

    def __init__(self, settings: PlanSettings) -> None:
        self._settings = settings
        self._random = Random(settings.seed)
        self._lengths = self._deal()
        self._number = 0

    def calls(self) -> Iterator[PlannedCall]:
        """Yield calls whose arrivals are a Poisson process."""
        at = self._random.expovariate(self._settings.rate)
        while at < self._settings.seconds:
            self._number += 1
            yield self._call(at)
            at += self._random.expovariate(self._settings.rate)

    def _call(self, at: float) -> PlannedCall:
        settings = self._settings
        phase = Phase.ALONE if at < settings.alone else Phase.MIXED
        weights = [caller.weight for caller in settings.callers]
        caller = self._random.choices(settings.callers, weights)[0]
        if self._random.random() < settings.plain_share:
            return self._plain(at, phase, caller)
        return self._model(at, phase, caller)

    def _plain(self, at: float, phase: Phase, caller: Caller) -> PlannedCall:
        books = self._random.random() < self._settings.booking_share
        return PlannedCall(
            number=self._number,
            at=at,
            kind=CallKind.BOOKING if books else CallKind.LOOKUP,
            phase=phase,
            caller=caller,
            streamed=False,
            timeout=self._settings.short_timeout,
        )

    def _model(self, at: float, phase: Phase, caller: Caller) -> PlannedCall:
        settings = self._settings
        length = self._length(at, phase)
        chats = self._random.random() < settings.chat_share
        return PlannedCall(
            number=self._number,
            at=at,
            kind=CallKind.CHAT if chats else CallKind.COMPLETION,
            phase=phase,
            caller=caller,
            length=length,
            document=self._document(),
            prompt_tokens=self._tokens(length),
            output_tokens=self._random.randint(FEWEST_OUTPUT, MOST_OUTPUT),
            streamed=self._random.random() < settings.stream_share,
            timeout=settings.short_timeout if length is Length.SHORT else settings.long_timeout,
        )

    def _length(self, at: float, phase: Phase) -> Length:
        if phase is Phase.ALONE:
            return Length.SHORT
        length = next(self._lengths)
        late = length is Length.HUGE and at > self._settings.huge_until
        return Length.SHORT if late or length.low >= self._settings.longest else length

    def _document(self) -> int | None:
        if self._random.random() >= self._settings.shared_share:
            return None
        return self._random.randrange(DOCUMENTS)

    def _tokens(self, length: Length) -> int:
        high = min(length.high, self._settings.longest)
        if length is Length.HUGE and self._random.random() < 0.5:
            return high
        return round(math.exp(self._random.uniform(math.log(length.low), math.log(high))))

    def _deal(self) -> Iterator[Length]:
        """Yield lengths from shuffled decks, so that a short run has some of each as well.

        A long prompt needs time, so the first of each of the long lengths comes first.
        """
        deck = [length for length, count in DECK for _ in range(count)]
        order: Sequence[Length] = [*(length for length, _ in reversed(DECK)), *self._shuffled(deck)]
        while True:
            yield from order
            order = self._shuffled(deck)

    def _shuffled(self, deck: list[Length]) -> list[Length]:
        return self._random.sample(deck, len(deck))
