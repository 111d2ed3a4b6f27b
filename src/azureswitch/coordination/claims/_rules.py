"""The rules by which one key's record changes; all else serves to apply them one at a time."""

from collections.abc import Container

from msgspec import Struct

from azureswitch.coordination.claims._messages import Ask, ClaimAsk, SettleAsk, Verdict
from azureswitch.coordination.claims._model import Answer, Record, RecordState
from azureswitch.core import Incarnation
from azureswitch.serving import ClaimOutcome

_STATES = {
    ClaimOutcome.NOT_RUN: RecordState.NOT_RUN,
    ClaimOutcome.DONE: RecordState.DONE,
    ClaimOutcome.UNKNOWN: RecordState.UNKNOWN,
}


class Ruling(Struct, frozen=True, kw_only=True):
    """What an ask leads to.

    Attributes:
        verdict: The reply, valid once ``record`` is committed.
        answer: The recorded answer of a replay.
        record: The record to write, or None where nothing changes.
    """

    verdict: Verdict
    answer: Answer | None = None
    record: Record | None = None


def rule(*, record: Record | None, ask: Ask, at: int, alive: Container[Incarnation]) -> Ruling:
    """Return what an ask leads to.

    Args:
        record: The key's record, or None.
        ask: What is asked.
        at: The wall clock in seconds, for the record.
        alive: The processes taken to be alive; the others' running claims read as lost.
    """
    if isinstance(ask, SettleAsk):
        return _settle(record, ask, at)
    return _claim(record, ask, at, alive)


def _written(ask: Ask, state: RecordState, at: int, answer: Answer | None = None) -> Record:
    return Record(
        key=ask.key,
        host=ask.holder.host,
        started=ask.holder.started,
        call=ask.call,
        mark=ask.mark,
        state=state,
        at=at,
        answer=answer,
    )


def _claim(record: Record | None, ask: ClaimAsk, at: int, alive: Container[Incarnation]) -> Ruling:
    if record is not None and record.belongs_to(holder=ask.holder, call=ask.call):
        return _repeated(record)
    if record is None or record.state is RecordState.NOT_RUN:
        claimed = _written(ask, RecordState.CLAIMED, at)
        return Ruling(verdict=Verdict.GRANTED, record=claimed)
    if record.mark != ask.mark:
        return Ruling(verdict=Verdict.MISMATCH)
    if record.state is RecordState.DONE:
        return Ruling(verdict=Verdict.REPLAYED, answer=record.answer)
    if record.state is RecordState.CLAIMED and record.holder in alive:
        return Ruling(verdict=Verdict.IN_PROGRESS)
    return Ruling(verdict=Verdict.LOST)


def _repeated(record: Record) -> Ruling:
    """Recognise a claim that was committed before, by another owner or by a lost answer."""
    if record.state is RecordState.CLAIMED:
        return Ruling(verdict=Verdict.GRANTED)
    return Ruling(verdict=Verdict.ABANDONED)


def _settle(record: Record | None, ask: SettleAsk, at: int) -> Ruling:
    if record is None or record.state is RecordState.NOT_RUN:
        return _release(record, ask, at)
    if not record.belongs_to(holder=ask.holder, call=ask.call):
        return Ruling(verdict=Verdict.RECORDED)
    state = _STATES[ask.outcome]
    late_answer = record.state is RecordState.UNKNOWN and state is RecordState.DONE
    if record.state is RecordState.CLAIMED or late_answer:
        settled = _written(ask, state, at, ask.answer)
        return Ruling(verdict=Verdict.RECORDED, record=settled)
    return Ruling(verdict=Verdict.RECORDED)


def _release(record: Record | None, ask: SettleAsk, at: int) -> Ruling:
    """Fence a claim that may still be on its way, so that it is not granted when it arrives."""
    if ask.outcome is not ClaimOutcome.NOT_RUN:
        return Ruling(verdict=Verdict.RECORDED)
    if record is not None and record.belongs_to(holder=ask.holder, call=ask.call):
        return Ruling(verdict=Verdict.RECORDED)
    return Ruling(verdict=Verdict.RECORDED, record=_written(ask, RecordState.NOT_RUN, at))
