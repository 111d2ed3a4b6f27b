"""Runs one attempt: sends a request to a target and passes its answer on to the caller."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from http import HTTPStatus

from absl import logging
from msgspec import Struct

from azureswitch.client import HttpAnswer, HttpClient, HttpExchange, HttpHead
from azureswitch.core import TargetName
from azureswitch.exceptions import (
    HttpBrokenError,
    HttpNotSentError,
    TargetAnswerError,
    TargetBrokenError,
    TargetError,
    TargetRefusedError,
)
from azureswitch.gateway._events import EventSplitter, StreamEvent
from azureswitch.gateway._log import AttemptOver, AttemptSent, TargetSilent
from azureswitch.gateway._model import AnswerInfo, AttemptInfo, Helper, RouteKind
from azureswitch.gateway._notices import Hearing
from azureswitch.gateway._ports import Dialect
from azureswitch.gateway._records import CallRecord
from azureswitch.gateway._silence import Patience
from azureswitch.gateway._tickets import Ticket, Tickets
from azureswitch.inventory import Target
from azureswitch.logs import Log
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    FirstTokenArrived,
    ServingEvent,
    StartAttempt,
)

CONNECT_TIMEOUT = 0.35
"""Seconds that a connection to a target may take.

A lost opening packet is sent again after a second; a new connection is sooner.
"""

FULL_SECONDS = 0.25
"""Seconds for which a target that refused is left alone where it does not say for how long."""

ANSWER_GRACE = 0.3
"""Seconds after the deadline at which a connection is closed; the reducer acts before that."""


class _End(Struct, frozen=True, kw_only=True):
    """How an attempt ended, and why."""

    how: AttemptEnd
    error: TargetError | None = None
    retry_after: float | None = None
    at_fault: TargetName | None = None
    status: int = 0


class Relay:
    """Runs attempts.

    Args:
        dialect: The headers towards targets and callers.
        tickets: Sets memory aside for prompts larger than one engine.
        targets: Returns the targets that are listed now, by name.
        hearing: Takes what targets say of themselves.
        dispatch: Hands an event to the reducer.
        log: Takes what is decided.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        tickets: Tickets,
        targets: Callable[[], Mapping[TargetName, Target]],
        hearing: Hearing,
        dispatch: Callable[[ServingEvent], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._tickets = tickets
        self._targets = targets
        self._hearing = hearing
        self._dispatch = dispatch
        self._log = log
        self._clock = clock

    async def run(self, record: CallRecord, effect: StartAttempt) -> None:
        """Run an attempt to its end and tell the reducer of it."""
        name = effect.targets[0]
        record.targets.append(name)
        record.sent_at = self._clock()
        self._log.write(
            AttemptSent(
                id=record.arrival.id,
                attempt=effect.attempt,
                targets=",".join(effect.targets),
                held=sum(effect.reserved),
                predicted=round(effect.first_token, 3),
                peers=effect.accounts,
                held_back=effect.held_back,
                after=record.last_event,
            )
        )
        try:
            end = await self._attempt(record, effect)
        except HttpNotSentError:
            end = _End(how=AttemptEnd.REFUSED, error=TargetRefusedError(target=name))
        except HttpBrokenError:
            error = TargetBrokenError(target=name, tokens=record.last_event)
            end = _End(how=AttemptEnd.BROKEN, error=error)
        except TargetAnswerError as answer_error:
            end = _End(how=AttemptEnd.BROKEN, error=answer_error)
        except asyncio.CancelledError:
            self._end(record, effect, _End(how=AttemptEnd.CANCELLED))
            raise
        except Exception:
            # A fault of this program must not keep a request waiting until its deadline.
            logging.exception("gateway: An attempt at %s failed.", name)
            error = TargetBrokenError(target=name, tokens=record.last_event)
            end = _End(how=AttemptEnd.BROKEN, error=error)
        self._end(record, effect, end)

    def _end(self, record: CallRecord, effect: StartAttempt, end: _End) -> None:
        record.tasks.pop(effect.attempt, None)
        self._log.write(
            AttemptOver(
                id=record.arrival.id,
                attempt=effect.attempt,
                end=end.how.value,
                error="" if end.error is None else end.error.code,
                status=end.status,
                at_fault=end.at_fault or "",
                seconds=round(self._clock() - record.sent_at, 3),
                events=record.last_event,
            )
        )
        self._dispatch(
            AttemptEnded(
                now=self._clock(),
                call=effect.call,
                attempt=effect.attempt,
                end=end.how,
                tokens=record.last_event,
                retry_after=end.retry_after,
                error=end.error,
                at_fault=end.at_fault,
            )
        )

    async def _attempt(self, record: CallRecord, effect: StartAttempt) -> _End:
        listed = self._targets()
        missing = [name for name in effect.targets if name not in listed]
        if missing:
            error = TargetRefusedError(target=missing[0])
            return _End(how=AttemptEnd.REFUSED, error=error, at_fault=missing[0])
        targets = [listed[name] for name in effect.targets]
        tickets = _tickets(effect, targets)
        async with AsyncExitStack() as stack:
            try:
                await stack.enter_async_context(
                    self._tickets.hold(tickets.values(), call=effect.call)
                )
            except TargetError as error:
                # Whatever an engine did with the order, the request itself was not sent.
                return _End(
                    how=AttemptEnd.REFUSED,
                    error=error,
                    retry_after=FULL_SECONDS,
                    at_fault=_named(error, targets),
                )
            return await self._send(record, effect, targets, tickets)

    async def _send(
        self,
        record: CallRecord,
        effect: StartAttempt,
        targets: list[Target],
        tickets: Mapping[TargetName, Ticket],
    ) -> _End:
        first = targets[0]
        sent = self._clock()
        left = record.call.deadline - sent
        sending = AttemptInfo(
            arrival=record.arrival,
            customer=record.call.customer,
            target=first.name,
            seconds_left=left,
            last_event=record.last_event,
            urgency=effect.priority,
            helpers=tuple(_helper(target, tickets) for target in targets[1:]),
        )
        request = record.exchange.request
        client = HttpClient(address=first.address, connect_timeout=CONNECT_TIMEOUT, pool_limit=0)
        stream = client.stream(
            method=request.method,
            path=request.target,
            headers=self._dialect.sending(request, sending),
            body=request.body,
            timeout=max(0.0, left) + ANSWER_GRACE,
            fresh=True,
        )
        patience = Patience(
            seconds=effect.first_patience, silent=lambda: self._silent(record, effect)
        )
        with patience:
            async with stream as answer:
                verdict = self._dialect.decode_answer(answer.head)
                # Told before the answer goes on.
                self._hearing.hear_answer(first, verdict, request=record.arrival.id, sent=sent)
                return await self._pass_on(record, effect, answer, verdict, patience)

    def _silent(self, record: CallRecord, effect: StartAttempt) -> None:
        """Tell the reducer, which calls the attempt off where another one may follow."""
        now = self._clock()
        self._log.write(
            TargetSilent(
                id=record.arrival.id,
                attempt=effect.attempt,
                target=effect.targets[0],
                seconds=round(now - record.sent_at, 3),
                events=record.last_event,
            )
        )
        self._dispatch(AttemptSilent(now=now, call=effect.call, attempt=effect.attempt))

    async def _pass_on(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        verdict: AnswerInfo,
        patience: Patience,
    ) -> _End:
        head = answer.head
        target = effect.targets[0]
        if verdict.not_run:
            return _End(
                how=AttemptEnd.REFUSED,
                error=TargetRefusedError(target=target, seconds=verdict.retry_after),
                retry_after=verdict.retry_after or FULL_SECONDS,
                # Who answers asks for itself to be left alone.
                at_fault=None if verdict.retry_after else self._at(verdict.at_fault, effect),
                status=head.status,
            )
        if verdict.id is not None and verdict.id != record.call.id:
            raise TargetAnswerError(target=target)
        success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if success and not (verdict.readable and verdict.sealed):
            raise TargetAnswerError(target=target)
        if record.exchange.started and not success:
            # Half an answer is with the caller; a target's failure cannot end it.
            raise TargetAnswerError(target=target)
        if success and record.route.kind is RouteKind.STREAMING:
            return await self._stream(record, effect, answer, patience)
        return await self._whole(record, effect, answer)

    async def _whole(self, record: CallRecord, effect: StartAttempt, answer: HttpExchange) -> _End:
        """Pass on an answer once it is whole."""
        whole = HttpAnswer(head=answer.head, body=await answer.body())
        failed = whole.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and record.call.repeatable:
            record.fallback = whole
            error = TargetAnswerError(target=effect.targets[0])
            return _End(how=AttemptEnd.BROKEN, error=error, status=whole.head.status)
        self._arrived(record, effect)
        self.respond(record, whole)
        return _End(how=AttemptEnd.COMPLETE, status=whole.head.status)

    def respond(self, record: CallRecord, whole: HttpAnswer) -> None:
        """Give the caller a target's whole answer."""
        record.exchange.respond(
            status=whole.head.status, headers=self._dialect.answer(whole.head), body=whole.body
        )

    async def _stream(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        patience: Patience,
    ) -> _End:
        splitter = EventSplitter()
        while data := await answer.read():
            events = splitter.feed(data)
            if not events:
                continue
            self._put(record, effect, answer.head, events)
            # A caller that reads slowly is no fault of the target's.
            patience.suspend()
            await record.exchange.drain()
            patience.begin(effect.gap_patience)
        if splitter.torn:
            raise TargetAnswerError(target=effect.targets[0])
        if not record.exchange.started:
            record.exchange.begin(
                status=answer.head.status, headers=self._dialect.answer(answer.head)
            )
        record.exchange.finish()
        return _End(how=AttemptEnd.COMPLETE, status=answer.head.status)

    def _put(
        self,
        record: CallRecord,
        effect: StartAttempt,
        head: HttpHead,
        events: list[StreamEvent],
    ) -> None:
        """Pass on the events that the caller does not have yet."""
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
        self._arrived(record, effect)

    def _arrived(self, record: CallRecord, effect: StartAttempt) -> None:
        now = self._clock()
        if record.first_event is None:
            record.first_event = now
        else:
            record.longest_pause = max(record.longest_pause, now - record.newest_event)
        record.newest_event = now
        self._dispatch(FirstTokenArrived(now=now, call=effect.call, attempt=effect.attempt))

    def _at(self, address: str | None, effect: StartAttempt) -> TargetName | None:
        """Return which of an attempt's targets has an address, or None."""
        listed = self._targets()
        found = (name for name in effect.targets if name in listed)
        return next((name for name in found if listed[name].address == address), None)


def _tickets(effect: StartAttempt, targets: list[Target]) -> dict[TargetName, Ticket]:
    """Return the memory to be set aside, by target; an attempt's ids are its own."""
    return {
        target.name: Ticket(
            id=f"{effect.call}-{effect.attempt}",
            target=target.name,
            started=target.started,
            address=target.address,
            tokens=tokens,
        )
        for target, tokens in zip(targets, effect.reserved, strict=False)
        if tokens
    }


def _helper(target: Target, tickets: Mapping[TargetName, Ticket]) -> Helper:
    ticket = tickets.get(target.name)
    return Helper(address=target.address, ticket=ticket.id if ticket else None)


def _named(error: TargetError, targets: list[Target]) -> TargetName | None:
    """Return which target a failure names by its address, or None."""
    return next((target.name for target in targets if target.address == error.target), None)
