"""Relays a target's answer to the caller."""

from collections.abc import Callable
from http import HTTPStatus

from msgspec import Struct

from azureswitch.client import HttpAnswer, HttpExchange, HttpHead
from azureswitch.core import TargetName
from azureswitch.exceptions import (
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


class AttemptResult(Struct, frozen=True, kw_only=True):
    """The result of an attempt.

    Attributes:
        how: How it ended.
        error: Why it failed, or None.
        retry_after: Seconds for which the target asked to be left alone, or None.
        at_fault: The target known to have failed, if it is not the first one.
        status: The status of the target's answer; zero for none.
        not_sent: Why it was not sent, or None if it was.
    """

    how: AttemptEnd
    error: TargetError | None = None
    retry_after: float | None = None
    at_fault: TargetName | None = None
    status: int = 0
    not_sent: NotSent | None = None


class AnswerRelay:
    """Relays whole answers and streams.

    Args:
        dialect: Encodes the headers sent to callers.
        dispatch: Dispatches an event to the reducer.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._dispatch = dispatch
        self._clock = clock

    async def relay_whole(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        timer: SilenceTimer,
    ) -> AttemptResult:
        """Buffer the complete answer, then relay it.

        Args:
            record: The request.
            effect: The attempt.
            answer: The target's answer.
            timer: Is stopped once the answer is complete.
        """
        whole = HttpAnswer(head=answer.head, body=await answer.body())
        timer.suspend()
        failed = whole.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and record.call.repeatable:
            record.fallback = whole
            error = TargetAnswerError(target=effect.targets[0])
            return AttemptResult(how=AttemptEnd.BROKEN, error=error, status=whole.head.status)
        self._record_event(record, effect)
        self.respond(record, whole)
        return AttemptResult(how=AttemptEnd.COMPLETE, status=whole.head.status)

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
        for event in events:
            if event.id is not None and event.id <= record.last_event:
                continue
            fresh.append(event.data)
            record.last_event = record.last_event if event.id is None else event.id
        if not fresh:
            return
        if not record.exchange.started:
            record.exchange.begin(status=head.status, headers=self._dialect.answer(head))
        record.exchange.write(b"".join(fresh))
        self._record_event(record, effect)

    def _record_event(self, record: CallRecord, effect: StartAttempt) -> None:
        now = self._clock()
        if record.first_event is None:
            record.first_event = now
        else:
            record.longest_pause = max(record.longest_pause, now - record.newest_event)
        record.newest_event = now
        self._dispatch(FirstTokenArrived(now=now, call=effect.call, attempt=effect.attempt))
