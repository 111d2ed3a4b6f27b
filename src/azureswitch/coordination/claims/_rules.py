"""The transitions of a key's record; the other modules serialise and persist them."""

from collections.abc import Container

from msgspec import Struct

from azureswitch.coordination.claims._messages import ClaimAsk, Request, SettleAsk, Verdict
from azureswitch.coordination.claims._model import Answer, Record, RecordState
from azureswitch.core import Incarnation
from azureswitch.serving import ClaimOutcome

_STATES = {
    ClaimOutcome.NOT_RUN: RecordState.NOT_RUN,
    ClaimOutcome.DONE: RecordState.DONE,
    ClaimOutcome.UNKNOWN: RecordState.UNKNOWN,
}


class Decision(Struct, frozen=True, kw_only=True):
    """The decision on a request.

    Attributes:
        verdict: The reply, valid once ``record`` is committed.
        answer: The recorded answer of a replay.
        record: The record to write, or None if nothing changes.
    """

    verdict: Verdict
    answer: Answer | None = None
    record: Record | None = None


def decide(
    *, record: Record | None, request: Request, at: int, alive: Container[Incarnation]
) -> Decision:
    """Return the decision on a request.

    Args:
        record: The key's record, or None.
        request: The request.
        at: The wall clock in seconds, for the record.
        alive: The processes assumed to be alive; running claims of others are taken as lost.
    """
    if isinstance(request, SettleAsk):
        return _settle(record, request, at)
    return _claim(record, request, at, alive)


def _new_record(
    request: Request, state: RecordState, at: int, answer: Answer | None = None
) -> Record:
    return Record(
        key=request.key,
        host=request.holder.host,
        started=request.holder.started,
        call=request.call,
        mark=request.mark,
        state=state,
        at=at,
        answer=answer,
    )


def _claim(
    record: Record | None, request: ClaimAsk, at: int, alive: Container[Incarnation]
) -> Decision:
    if record is not None and record.belongs_to(holder=request.holder, call=request.call):
        return _decide_repeated(record)
    if record is None or record.state is RecordState.NOT_RUN:
        claimed = _new_record(request, RecordState.CLAIMED, at)
        return Decision(verdict=Verdict.GRANTED, record=claimed)
    if record.mark != request.mark:
        return Decision(verdict=Verdict.MISMATCH)
    if record.state is RecordState.DONE:
        return Decision(verdict=Verdict.REPLAYED, answer=record.answer)
    if record.state is RecordState.CLAIMED and record.holder in alive:
        return Decision(verdict=Verdict.IN_PROGRESS)
    return Decision(verdict=Verdict.LOST)


def _decide_repeated(record: Record) -> Decision:
    """Decide on a claim that was committed before, by another owner or with its answer lost."""
    if record.state is RecordState.CLAIMED:
        return Decision(verdict=Verdict.GRANTED)
    return Decision(verdict=Verdict.ABANDONED)


def _settle(record: Record | None, request: SettleAsk, at: int) -> Decision:
    if record is None or record.state is RecordState.NOT_RUN:
        return _release(record, request, at)
    if not record.belongs_to(holder=request.holder, call=request.call):
        return Decision(verdict=Verdict.RECORDED)
    state = _STATES[request.outcome]
    late_answer = record.state is RecordState.UNKNOWN and state is RecordState.DONE
    if record.state is RecordState.CLAIMED or late_answer:
        settled = _new_record(request, state, at, request.answer)
        return Decision(verdict=Verdict.RECORDED, record=settled)
    return Decision(verdict=Verdict.RECORDED)


def _release(record: Record | None, request: SettleAsk, at: int) -> Decision:
    """Fence a claim whose request may still be in transit, so that it is not granted later."""
    if request.outcome is not ClaimOutcome.NOT_RUN:
        return Decision(verdict=Verdict.RECORDED)
    if record is not None and record.belongs_to(holder=request.holder, call=request.call):
        return Decision(verdict=Verdict.RECORDED)
    return Decision(verdict=Verdict.RECORDED, record=_new_record(request, RecordState.NOT_RUN, at))
