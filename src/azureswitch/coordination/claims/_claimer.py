"""The claimer side: the claims of this process, and the outcomes that it has to report.

A claim is identified by the process and its call.  Only that process sends the call, and only if
the grant arrives while the claim is still requested.  So a late or repeated grant sends nothing.
"""

from enum import Enum
from functools import singledispatch
from random import Random

from msgspec import Struct

from azureswitch.coordination.claims._events import (
    ClaimCancelled,
    ClaimerTicked,
    ClaimRequested,
    OutcomeReported,
    ReplyReceived,
    RequestFailed,
    ResolveClaim,
    SendRequest,
)
from azureswitch.coordination.claims._messages import Request, SettleAsk, Verdict
from azureswitch.coordination.claims._model import Answer
from azureswitch.core import NO_EFFECTS, CallId, Effect, Effects, Event
from azureswitch.serving import ClaimOutcome

BASE_RETRY_SECONDS = 0.25
"""Longest pause in seconds before the first retry of a report; it doubles with each retry."""

MAX_RETRY_SECONDS = 10.0
"""Upper bound in seconds of the pause between two reports."""

MAX_UNREPORTED = 20_000
"""Upper bound of outcomes to report; further ones evict the oldest, which then read as unknown."""

LATE_ANSWER_SECONDS = 600.0
"""Seconds for which a late answer can replace an outcome that was recorded as unknown."""

LOCAL_RANK = 2
"""The lowest rank at which this process commits the claim itself."""


class _Phase(Enum):
    ASKING = "asking"
    GRANTED = "granted"
    SETTLING = "settling"
    LATE = "late"


class _Hold(Struct, kw_only=True):
    request: Request
    phase: _Phase
    expires_at: float
    attempt: int = 0
    rank: int = 0
    awaiting_reply: bool = True
    retry_at: float = 0.0
    pause: float = BASE_RETRY_SECONDS


class ClaimerState:
    """The calls of this process that hold or request a claim.

    Args:
        random: The source of the jitter of retries.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._holds: dict[CallId, _Hold] = {}
        self._unreported: dict[CallId, None] = {}
        self._evicted = False

    @property
    def unreported(self) -> int:
        """Number of outcomes that are not recorded yet."""
        return len(self._unreported)

    def holds(self, *, call: CallId) -> bool:
        """Return whether a call was or may yet be sent; false guarantees that it never will be.

        The guarantee requires that call ids are not reused during the life of a process.
        """
        hold = self._holds.get(call)
        if hold is None:
            return self._evicted
        if isinstance(hold.request, SettleAsk):
            return hold.request.outcome is not ClaimOutcome.NOT_RUN
        return True


@singledispatch
def reduce(event: Event, state: ClaimerState) -> Effects:
    """Apply one event.

    Args:
        event: What happened; its type selects the handler.
        state: The claimer's state, which is updated in place.

    Returns:
        The effects that the shell must execute, in order.
    """
    raise NotImplementedError(type(event).__name__)


@reduce.register
def _on_claim_requested(event: ClaimRequested, state: ClaimerState) -> Effects:
    hold = _Hold(request=event.request, phase=_Phase.ASKING, expires_at=event.until)
    state._holds[event.request.call] = hold
    return (SendRequest(request=hold.request, attempt=hold.attempt, rank=hold.rank),)


@reduce.register
def _on_reply(event: ReplyReceived, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.attempt != event.attempt:
        return NO_EFFECTS
    hold.awaiting_reply = False
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


def _settle_replied(event: ReplyReceived, hold: _Hold, state: ClaimerState) -> Effects:
    if event.verdict is Verdict.RECORDED:
        _mark_reported(hold, state, event.now)
        return NO_EFFECTS
    _schedule_retry(hold, state, event.now)
    return NO_EFFECTS


def _mark_reported(hold: _Hold, state: ClaimerState, now: float) -> None:
    state._unreported.pop(hold.request.call, None)
    if isinstance(hold.request, SettleAsk) and hold.request.outcome is ClaimOutcome.UNKNOWN:
        hold.phase = _Phase.LATE
        hold.expires_at = now + LATE_ANSWER_SECONDS
        return
    del state._holds[hold.request.call]


@reduce.register
def _on_request_failed(event: RequestFailed, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.attempt != event.attempt:
        return NO_EFFECTS
    hold.awaiting_reply = False
    hold.rank = min(hold.rank + 1, LOCAL_RANK)
    if hold.phase is _Phase.SETTLING:
        _schedule_retry(hold, state, event.now)
        return NO_EFFECTS
    return (_resend(hold),)


@reduce.register
def _on_cancelled(event: ClaimCancelled, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.phase not in (_Phase.ASKING, _Phase.GRANTED):
        return NO_EFFECTS
    return _abandon(hold, state)


@reduce.register
def _on_outcome(event: OutcomeReported, state: ClaimerState) -> Effects:
    hold = state._holds.get(event.call)
    if hold is None or hold.phase is _Phase.ASKING:
        return NO_EFFECTS
    answer = None if event.answer is None else event.answer.bounded()
    if hold.phase is not _Phase.GRANTED and not _is_late_answer(hold.request, event.outcome):
        return NO_EFFECTS
    hold.request = _settlement(hold.request, event.outcome, answer)
    return _start_report(hold, state)


def _is_late_answer(request: Request, outcome: ClaimOutcome) -> bool:
    unknown = isinstance(request, SettleAsk) and request.outcome is ClaimOutcome.UNKNOWN
    return unknown and outcome is ClaimOutcome.DONE


@reduce.register
def _on_tick(event: ClaimerTicked, state: ClaimerState) -> Effects:
    effects: list[Effect] = []
    for hold in tuple(state._holds.values()):
        if hold.phase is _Phase.ASKING and event.now >= hold.expires_at:
            effects.append(ResolveClaim(call=hold.request.call, verdict=Verdict.UNCERTAIN))
            effects.extend(_abandon(hold, state))
        elif (
            hold.phase is _Phase.SETTLING and not hold.awaiting_reply and event.now >= hold.retry_at
        ):
            effects.append(_resend(hold))
        elif hold.phase is _Phase.LATE and event.now >= hold.expires_at:
            del state._holds[hold.request.call]
    return effects


def _abandon(hold: _Hold, state: ClaimerState) -> Effects:
    """Abandon a claim: its call is never sent, and its key becomes usable again."""
    hold.request = _settlement(hold.request, ClaimOutcome.NOT_RUN, None)
    return _start_report(hold, state)


def _settlement(request: Request, outcome: ClaimOutcome, answer: Answer | None) -> SettleAsk:
    return SettleAsk(
        shard=request.shard,
        key=request.key,
        mark=request.mark,
        holder=request.holder,
        call=request.call,
        outcome=outcome,
        answer=answer,
    )


def _start_report(hold: _Hold, state: ClaimerState) -> Effects:
    hold.phase = _Phase.SETTLING
    hold.rank = 0
    state._unreported[hold.request.call] = None
    if len(state._unreported) > MAX_UNREPORTED:
        _evict_oldest(state)
    return (_resend(hold),)


def _evict_oldest(state: ClaimerState) -> None:
    oldest = next(iter(state._unreported))
    state._evicted = state._evicted or state.holds(call=oldest)
    del state._unreported[oldest]
    del state._holds[oldest]


def _resend(hold: _Hold) -> SendRequest:
    hold.attempt += 1
    hold.awaiting_reply = True
    return SendRequest(request=hold.request, attempt=hold.attempt, rank=hold.rank)


def _schedule_retry(hold: _Hold, state: ClaimerState, now: float) -> None:
    hold.retry_at = now + hold.pause * state._random.uniform(0.5, 1.0)
    hold.pause = min(2 * hold.pause, MAX_RETRY_SECONDS)
