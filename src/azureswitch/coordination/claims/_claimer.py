"""The claimer side: which calls this process may send, and what it still has to report.

A claim is named by the process and its call.  Only the process that it names sends the call, and
only if it took the grant while the call still wanted it; so a grant that comes late, or twice,
sends nothing.
"""

from enum import Enum
from functools import singledispatch
from random import Random

from msgspec import Struct

from azureswitch.coordination.claims._events import (
    AskFailed,
    AskReplied,
    ClaimCalled,
    ClaimDropped,
    ClaimerTicked,
    OutcomeKnown,
    ResolveClaim,
    SendAsk,
)
from azureswitch.coordination.claims._messages import Ask, SettleAsk, Verdict
from azureswitch.coordination.claims._model import Answer
from azureswitch.core import NO_EFFECTS, CallId, Effect, Effects, Event
from azureswitch.serving import ClaimOutcome

RETRY_FIRST = 0.25
"""Seconds before an outcome that was not recorded is reported again."""

RETRY_MOST = 10.0
"""Seconds between reports at most."""

OUTBOX_LIMIT = 20_000
"""Outcomes kept for reporting at most; beyond it the oldest are dropped and read as unknown."""

LATE_FOR = 600.0
"""Seconds for which a late answer may still replace an outcome recorded as unknown."""

LAST_RANK = 2
"""The rank from which on this process commits by itself."""


class _Phase(Enum):
    ASKING = "asking"
    GRANTED = "granted"
    SETTLING = "settling"
    LATE = "late"


class _Hold(Struct, kw_only=True):
    ask: Ask
    phase: _Phase
    until: float
    attempt: int = 0
    rank: int = 0
    asked: bool = True
    retry_at: float = 0.0
    pause: float = RETRY_FIRST


class ClaimerState:
    """All calls of this process that hold or want a claim.

    Args:
        random: Draws the jitter of retries.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._holds: dict[CallId, _Hold] = {}
        self._unreported: dict[CallId, None] = {}
        self._forgot = False

    @property
    def unreported(self) -> int:
        """How many outcomes are not recorded yet."""
        return len(self._unreported)

    def holds(self, *, call: CallId) -> bool:
        """Whether the call was sent or may yet be; false is a promise never to send it.

        It rests on call ids being used once in the life of a process.
        """
        hold = self._holds.get(call)
        if hold is None:
            return self._forgot
        if isinstance(hold.ask, SettleAsk):
            return hold.ask.outcome is not ClaimOutcome.NOT_RUN
        return True


@singledispatch
def reduce(event: Event, state: ClaimerState) -> Effects:
    """Apply one event.

    Args:
        event: What happened; the handler is picked by its type.
        state: The claimer's state, updated in place.

    Returns:
        What the shell must do.
    """
    raise NotImplementedError(type(event).__name__)


@reduce.register
def _on_called(event: ClaimCalled, state: ClaimerState) -> Effects:
    hold = _Hold(ask=event.ask, phase=_Phase.ASKING, until=event.until)
    state._holds[event.ask.call] = hold
    return (SendAsk(ask=hold.ask, attempt=hold.attempt, rank=hold.rank),)


@reduce.register
def _on_replied(event: AskReplied, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.attempt != event.attempt:
        return NO_EFFECTS
    hold.asked = False
    if hold.phase is _Phase.SETTLING:
        return _settle_replied(event, hold, state)
    if hold.phase is _Phase.GRANTED:
        return NO_EFFECTS
    resolved = ResolveClaim(call=event.call, verdict=event.verdict, answer=event.answer)
    if event.verdict is Verdict.GRANTED:
        hold.phase = _Phase.GRANTED
        return (resolved,)
    if hold.rank > 0 or event.verdict is Verdict.UNCERTAIN:
        return (resolved, *_abandon(hold, state))
    del state._holds[event.call]
    return (resolved,)


def _settle_replied(event: AskReplied, hold: _Hold, state: ClaimerState) -> Effects:
    if event.verdict is Verdict.RECORDED:
        _reported(hold, state, event.now)
        return NO_EFFECTS
    _postpone(hold, state, event.now)
    return NO_EFFECTS


def _reported(hold: _Hold, state: ClaimerState, now: float) -> None:
    state._unreported.pop(hold.ask.call, None)
    if isinstance(hold.ask, SettleAsk) and hold.ask.outcome is ClaimOutcome.UNKNOWN:
        hold.phase = _Phase.LATE
        hold.until = now + LATE_FOR
        return
    del state._holds[hold.ask.call]


@reduce.register
def _on_failed(event: AskFailed, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.attempt != event.attempt:
        return NO_EFFECTS
    hold.asked = False
    hold.rank = min(hold.rank + 1, LAST_RANK)
    if hold.phase is _Phase.SETTLING:
        _postpone(hold, state, event.now)
        return NO_EFFECTS
    return (_again(hold),)


@reduce.register
def _on_dropped(event: ClaimDropped, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.phase not in (_Phase.ASKING, _Phase.GRANTED):
        return NO_EFFECTS
    return _abandon(hold, state)


@reduce.register
def _on_outcome(event: OutcomeKnown, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.phase is _Phase.ASKING:
        return NO_EFFECTS
    answer = None if event.answer is None else event.answer.bounded()
    if hold.phase is not _Phase.GRANTED and not _is_late(hold.ask, event.outcome):
        return NO_EFFECTS
    hold.ask = _settlement(hold.ask, event.outcome, answer)
    return _report(hold, state)


def _is_late(ask: Ask, outcome: ClaimOutcome) -> bool:
    unknown = isinstance(ask, SettleAsk) and ask.outcome is ClaimOutcome.UNKNOWN
    return unknown and outcome is ClaimOutcome.DONE


@reduce.register
def _on_tick(event: ClaimerTicked, state: ClaimerState) -> Effects:
    effects: list[Effect] = []
    for hold in tuple(state._holds.values()):
        if hold.phase is _Phase.ASKING and event.now >= hold.until:
            effects.append(ResolveClaim(call=hold.ask.call, verdict=Verdict.UNCERTAIN))
            effects.extend(_abandon(hold, state))
        elif hold.phase is _Phase.SETTLING and not hold.asked and event.now >= hold.retry_at:
            effects.append(_again(hold))
        elif hold.phase is _Phase.LATE and event.now >= hold.until:
            del state._holds[hold.ask.call]
    return effects


def _abandon(hold: _Hold, state: ClaimerState) -> Effects:
    """Give the claim up for good: it is never sent, and the key is made usable again."""
    hold.ask = _settlement(hold.ask, ClaimOutcome.NOT_RUN, None)
    return _report(hold, state)


def _settlement(ask: Ask, outcome: ClaimOutcome, answer: Answer | None) -> SettleAsk:
    return SettleAsk(
        shard=ask.shard,
        key=ask.key,
        mark=ask.mark,
        holder=ask.holder,
        call=ask.call,
        outcome=outcome,
        answer=answer,
    )


def _report(hold: _Hold, state: ClaimerState) -> Effects:
    hold.phase = _Phase.SETTLING
    hold.rank = 0
    state._unreported[hold.ask.call] = None
    if len(state._unreported) > OUTBOX_LIMIT:
        _forget_oldest(state)
    return (_again(hold),)


def _forget_oldest(state: ClaimerState) -> None:
    oldest = next(iter(state._unreported))
    state._forgot = state._forgot or state.holds(call=oldest)
    del state._unreported[oldest]
    del state._holds[oldest]


def _again(hold: _Hold) -> SendAsk:
    hold.attempt += 1
    hold.asked = True
    return SendAsk(ask=hold.ask, attempt=hold.attempt, rank=hold.rank)


def _postpone(hold: _Hold, state: ClaimerState, now: float) -> None:
    hold.retry_at = now + hold.pause * state._random.uniform(0.5, 1.0)
    hold.pause = min(2 * hold.pause, RETRY_MOST)
