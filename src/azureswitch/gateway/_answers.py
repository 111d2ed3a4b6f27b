"""Relays a target's answer to the caller."""

from collections.abc import Callable
from http import HTTPStatus

from msgspec import Struct

from azureswitch.buffers import ANSWER_SHARE, BufferBudget
from azureswitch.client import MAX_BODY_BYTES, HttpAnswer, HttpExchange, HttpHead
from azureswitch.core import TargetName
from azureswitch.exceptions import (
    Breakage,
    NotSent,
    TargetAnswerError,
    TargetBrokenError,
    TargetError,
)
from azureswitch.gateway._events import EventSplitter, StreamEvent
from azureswitch.gateway._ports import Dialect
from azureswitch.gateway._records import CallRecord
from azureswitch.gateway._silence import SilenceTimer
from azureswitch.serving import AttemptEnd, FirstTokenArrived, ServingEvent, StartAttempt

MAX_FALLBACK_BYTES = 65_536
"""Bytes of a target's failure up to which it is kept while another attempt runs."""


class AttemptResult(Struct, frozen=True, kw_only=True):
    """The result of an attempt.

    Attributes:
        how: How it ended.
        error: Why it failed, or None.
        retry_after: Seconds for which the target asked to be left alone, or None.
        at_fault: The target known to have failed, if it is not the first one.
        status: The status of the target's answer; zero for none.
        not_sent: Why it was not sent, or None if it was.
        breakage: Why its answer did not arrive whole, or None if it did.
    """

    how: AttemptEnd
    error: TargetError | None = None
    retry_after: float | None = None
    at_fault: TargetName | None = None
    status: int = 0
    not_sent: NotSent | None = None
    breakage: Breakage | None = None


class AnswerRelay:
    """Relays whole answers and streams.

    Args:
        dialect: Encodes the headers sent to callers.
        dispatch: Dispatches an event to the reducer.
        budget: Counts the memory of answers.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        dispatch: Callable[[ServingEvent], None],
        budget: BufferBudget,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._dispatch = dispatch
        self._budget = budget
        self._clock = clock

    async def relay_whole(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        timer: SilenceTimer,
    ) -> AttemptResult:
        """Keep the answer until it is complete, then relay it.

        Where there is no memory for that, it is relayed as it arrives.

        Args:
            record: The request.
            effect: The attempt.
            answer: The target's answer.
            timer: Is stopped once the answer is complete.

        Raises:
            HttpBrokenError: The connection broke, or the body is too large.
            TargetAnswerError: A failure that there is no memory for.
        """
        body = bytearray()
        lease = self._budget.lease()
        try:
            while part := await answer.read():
                body += part
                if len(body) > MAX_BODY_BYTES:
                    raise answer.refuse_rest()
                if not lease.try_grow(len(part), share=ANSWER_SHARE):
                    lease.release()
                    return await self._relay_long(record, effect, answer, body, timer)
        finally:
            lease.release()
        whole = HttpAnswer(head=answer.head, body=bytes(body))
        timer.suspend()
        if _may_be_replaced(record, whole.head):
            record.fallback = whole if len(body) <= MAX_FALLBACK_BYTES else None
            error = TargetAnswerError(target=effect.targets[0])
            return AttemptResult(how=AttemptEnd.BROKEN, error=error, status=whole.head.status)
        self._record_event(record, effect)
        self.respond(record, whole)
        return AttemptResult(how=AttemptEnd.COMPLETE, status=whole.head.status)

    async def _relay_long(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        begun: bytearray,
        timer: SilenceTimer,
    ) -> AttemptResult:
        """Relay an answer, of which ``begun`` has arrived, as it arrives.

        The caller has a part of it then, so that no other attempt may replace it.
        """
        head = answer.head
        if _may_be_replaced(record, head):
            raise TargetAnswerError(target=effect.targets[0])
        if record.exchange.started:
            # Another attempt was faster, and is the one that goes on.
            return AttemptResult(how=AttemptEnd.CANCELLED, status=head.status)
        record.exchange.begin(status=head.status, headers=self._dialect.answer(head))
        self._record_event(record, effect, binding=True)
        size = len(begun)
        record.exchange.write(bytes(begun))
        begun.clear()
        while True:
            timer.suspend()
            await record.exchange.drain()
            timer.begin(effect.output_gap_timeout)
            part = await answer.read()
            if not part:
                break
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise answer.refuse_rest()
            record.exchange.write(part)
        record.exchange.finish()
        return AttemptResult(how=AttemptEnd.COMPLETE, status=head.status)

    def respond(self, record: CallRecord, whole: HttpAnswer) -> None:
        """Send a target's complete answer to the caller."""
        record.exchange.respond(
            status=whole.head.status, headers=self._dialect.answer(whole.head), body=whole.body
        )

    async def relay_stream(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        timer: SilenceTimer,
    ) -> AttemptResult:
        """Relay the events of a stream as they arrive, each whole and once.

        Args:
            record: The request.
            effect: The attempt.
            answer: The target's answer.
            timer: Is restarted with each event.

        Raises:
            HttpBrokenError: The connection broke.
            TargetBrokenError: The stream ended within an event.
        """
        splitter = EventSplitter()
        while data := await answer.read():
            events = splitter.feed(data)
            if not events:
                continue
            self._relay_events(record, effect, answer.head, events)
            # Time spent on a slow caller must not count as silence of the target.
            timer.suspend()
            await record.exchange.drain()
            timer.begin(effect.output_gap_timeout)
        if splitter.torn:
            raise TargetBrokenError(target=effect.targets[0], tokens=record.last_event)
        if not record.exchange.started:
            record.exchange.begin(
                status=answer.head.status, headers=self._dialect.answer(answer.head)
            )
        record.exchange.finish()
        return AttemptResult(how=AttemptEnd.COMPLETE, status=answer.head.status)

    def _relay_events(
        self,
        record: CallRecord,
        effect: StartAttempt,
        head: HttpHead,
        events: list[StreamEvent],
    ) -> None:
        """Relay the events that the caller has not received yet."""
        fresh = []
        last_event = record.last_event
        for event in events:
            if event.id is not None and event.id <= last_event:
                continue
            fresh.append(event.data)
            last_event = last_event if event.id is None else event.id
        if not fresh:
            return
        if not record.exchange.started:
            record.exchange.begin(status=head.status, headers=self._dialect.answer(head))
        record.exchange.write(b"".join(fresh))
        record.last_event = last_event
        self._record_event(record, effect)

    def _record_event(
        self, record: CallRecord, effect: StartAttempt, *, binding: bool = False
    ) -> None:
        now = self._clock()
        if record.first_event is None:
            record.first_event = now
        else:
            record.longest_pause = max(record.longest_pause, now - record.newest_event)
        record.newest_event = now
        self._dispatch(
            FirstTokenArrived(now=now, call=effect.call, attempt=effect.attempt, binding=binding)
        )


def _may_be_replaced(record: CallRecord, head: HttpHead) -> bool:
    """Return whether an answer is a failure that another attempt may replace."""
    return head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and record.call.repeatable
