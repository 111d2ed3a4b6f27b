"""Runs one attempt: sends a request to a target and relays its answer to the caller."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from functools import partial
from http import HTTPStatus

from absl import logging

from azureswitch.buffers import BufferBudget
from azureswitch.client import HttpAnswer, HttpClient, HttpExchange
from azureswitch.core import PlaceName, TargetName
from azureswitch.exceptions import (
    Breakage,
    HttpBrokenError,
    HttpNotSentError,
    NoPathError,
    PathLostError,
    TargetAnswerError,
    TargetBrokenError,
    TargetError,
    TargetEvacuatedError,
    TargetRefusedError,
    TargetUnreachableError,
)
from azureswitch.gateway._answers import AnswerRelay, AttemptResult
from azureswitch.gateway._attempt_log import AttemptLog
from azureswitch.gateway._model import AnswerInfo, AttemptInfo, Helper, RouteKind
from azureswitch.gateway._notices import TargetNotices
from azureswitch.gateway._ports import Dialect
from azureswitch.gateway._records import CallRecord
from azureswitch.gateway._silence import SilenceTimer
from azureswitch.gateway._tickets import Ticket, Tickets
from azureswitch.inventory import Target
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.paths import Dial, Paths, Verdict
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    AttemptSilent,
    ServingEvent,
    StartAttempt,
)
from azureswitch.tasks import Tasks

CONNECT_TIMEOUT_SECONDS = 0.9
"""Timeout in seconds for connecting to a target; time for several routes, tried side by side."""

DEFAULT_BACKOFF_SECONDS = 0.25
"""Default backoff in seconds for a target that refused without naming a delay."""

ANSWER_GRACE_SECONDS = 0.3
"""Seconds after the deadline at which the connection times out; the reducer acts earlier."""

_TOO_LARGE = frozenset((Breakage.FRAMING_TOO_LARGE, Breakage.BODY_TOO_LARGE))
"""Answers without end, which neither a lost path nor a crash of the target brings about."""


class Relay:
    """Runs attempts: sends a request to a target and relays its answer to the caller.

    Args:
        dialect: Encodes and decodes the headers exchanged with callers and targets.
        tickets: Reserves memory for prompts larger than one engine.
        targets: Returns the listed targets by name.
        paths: Connects to the targets.
        notices: Processes the target state reported in answers.
        evacuated: Returns whether a failure domain is evacuated.
        dispatch: Dispatches an event to the reducer.
        budget: Counts the memory of answers.
        metrics: Counts answers that broke.
        log: Receives the log entries.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        tickets: Tickets,
        targets: Callable[[], Mapping[TargetName, Target]],
        paths: Paths,
        notices: TargetNotices,
        evacuated: Callable[[PlaceName], bool],
        dispatch: Callable[[ServingEvent], None],
        budget: BufferBudget,
        metrics: Metrics,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._tickets = tickets
        self._targets = targets
        self._paths = paths
        self._notices = notices
        self._evacuated = evacuated
        self._dispatch = dispatch
        self._log = AttemptLog(metrics=metrics, log=log, clock=clock)
        self._clock = clock
        self._checks = Tasks(prefix="relay")
        self._answers = AnswerRelay(dialect=dialect, dispatch=dispatch, budget=budget, clock=clock)

    def respond(self, record: CallRecord, whole: HttpAnswer) -> None:
        """Send a target's complete answer to the caller."""
        self._answers.respond(record, whole)

    async def run(self, record: CallRecord, effect: StartAttempt) -> None:
        """Run an attempt to its end and report the result to the reducer, whatever it raises."""
        name = effect.targets[0]
        record.targets.append(name)
        record.sent_at[effect.attempt] = self._clock()
        dial = self._paths.dial(
            request=record.arrival.id,
            seconds=effect.timeout + ANSWER_GRACE_SECONDS,
            repeatable=record.call.repeatable,
        )
        try:
            self._log.sent(record, effect)
            end = await self._attempt(record, effect, dial)
        except asyncio.CancelledError:
            self._end(record, effect, AttemptResult(how=AttemptEnd.CANCELLED), dial)
            raise
        except Exception:
            # An internal error must not keep the request waiting until its deadline.
            logging.exception("gateway: An attempt at %s failed.", name)
            error = TargetBrokenError(target=name, tokens=record.last_event)
            end = AttemptResult(how=AttemptEnd.BROKEN, error=error)
        self._end(record, effect, end, dial)

    async def _attempt(self, record: CallRecord, effect: StartAttempt, dial: Dial) -> AttemptResult:
        """Run an attempt and return its result, whether or not it succeeded."""
        name = effect.targets[0]
        try:
            return await self._reserve_and_send(record, effect, dial)
        except TargetEvacuatedError as evacuated:
            return AttemptResult(how=AttemptEnd.REFUSED, error=evacuated)
        except NoPathError as no_path:
            unreachable = TargetUnreachableError(
                target=name, witnessed=no_path.witnessed, isolated=no_path.isolated
            )
            return AttemptResult(how=AttemptEnd.REFUSED, error=unreachable, not_sent=no_path.reason)
        except HttpNotSentError as not_sent:
            refused = TargetRefusedError(target=name)
            return AttemptResult(how=AttemptEnd.REFUSED, error=refused, not_sent=not_sent.reason)
        except HttpBrokenError as broken:
            return await self._broken(record, name, dial, broken.breakage)
        except TargetBrokenError:
            return await self._broken(record, name, dial, Breakage.CLOSED)
        except TargetAnswerError as answer_error:
            return AttemptResult(how=AttemptEnd.BROKEN, error=answer_error)

    async def _broken(
        self, record: CallRecord, target: TargetName, dial: Dial, breakage: Breakage
    ) -> AttemptResult:
        """Return the result of an answer that broke, by whom it was: the target or its path."""
        error: TargetError
        if breakage in _TOO_LARGE:
            dial.answered()
            error = TargetAnswerError(target=target)
        else:
            dial.unanswered()
            lost = await dial.check() is Verdict.LOST
            error = (
                PathLostError(target=target)
                if lost
                else TargetBrokenError(target=target, tokens=record.last_event)
            )
        return AttemptResult(how=AttemptEnd.BROKEN, error=error, breakage=breakage)

    def _end(
        self, record: CallRecord, effect: StartAttempt, end: AttemptResult, dial: Dial
    ) -> None:
        record.tasks.pop(effect.attempt, None)
        try:
            self._log.over(record, effect, end, via=dial.peer)
        finally:
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

    async def _reserve_and_send(
        self, record: CallRecord, effect: StartAttempt, dial: Dial
    ) -> AttemptResult:
        listed = self._targets()
        missing = [name for name in effect.targets if name not in listed]
        if missing:
            error = TargetRefusedError(target=missing[0])
            return AttemptResult(how=AttemptEnd.REFUSED, error=error, at_fault=missing[0])
        targets = [listed[name] for name in effect.targets]
        self._check_in_use(targets)
        tickets = _tickets(effect, targets)
        async with AsyncExitStack() as stack:
            try:
                await stack.enter_async_context(
                    self._tickets.hold(
                        tickets.values(),
                        call=effect.call,
                        check=partial(self._check_in_use, targets),
                    )
                )
            except TargetError as error:
                # Whether or not the engine reserved memory, the request itself was not sent.
                return AttemptResult(
                    how=AttemptEnd.REFUSED,
                    error=error,
                    retry_after=DEFAULT_BACKOFF_SECONDS,
                    at_fault=_target_of_error(error, targets),
                )
            try:
                return await self._send(record, effect, targets, tickets, dial)
            except HttpNotSentError:
                self._check_in_use(targets)
                raise

    def _check_in_use(self, targets: list[Target]) -> None:
        """Check that no target of an attempt is evacuated.

        The targets are those of the start of the attempt, as an evacuated one may have left the
        list since.

        Raises:
            TargetEvacuatedError: One is; the request was not sent.
        """
        evacuated = self._find_evacuated(targets)
        if evacuated is not None:
            raise TargetEvacuatedError(target=evacuated)

    def _find_evacuated(self, targets: list[Target]) -> TargetName | None:
        return next((t.name for t in targets if self._evacuated(t.place)), None)

    async def _send(
        self,
        record: CallRecord,
        effect: StartAttempt,
        targets: list[Target],
        tickets: Mapping[TargetName, Ticket],
        dial: Dial,
    ) -> AttemptResult:
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
        client = HttpClient(
            address=first.address,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            pool_limit=0,
            connector=dial,
        )
        stream = client.stream(
            method=request.method,
            path=request.target,
            headers=self._dialect.sending(request, sending),
            body=request.body,
            timeout=max(0.0, left) + ANSWER_GRACE_SECONDS,
            fresh=True,
            permitted=lambda: self._find_evacuated(targets) is None,
        )
        timer = SilenceTimer(
            seconds=effect.first_output_timeout,
            silent=lambda: self._silent(record, effect, dial),
            resumed=partial(self._log.resumed, record, effect),
        )
        with timer:
            async with stream as answer:
                dial.answered()
                record.begun.add(effect.attempt)
                verdict = self._dialect.decode_answer(answer.head)
                # Processed before the answer is relayed.
                self._notices.handle_answer(first, verdict, request=record.arrival.id, sent=sent)
                return await self._relay_answer(record, effect, answer, verdict, timer)

    def _silent(self, record: CallRecord, effect: StartAttempt, dial: Dial) -> None:
        """Find out whether the target or its path is silent, and report it to the reducer."""
        self._log.silent(record, effect)
        self._checks.spawn(self._report_silence(record, effect, dial), name=effect.call)

    async def _report_silence(self, record: CallRecord, effect: StartAttempt, dial: Dial) -> None:
        """Report silence to the reducer, which starts another attempt if one is possible."""
        newest = record.newest_event
        dial.unanswered()
        verdict = await dial.check()
        if record.newest_event != newest or effect.attempt not in record.tasks:
            return
        self._dispatch(
            AttemptSilent(
                now=self._clock(),
                call=effect.call,
                attempt=effect.attempt,
                path_lost=verdict is Verdict.LOST,
            )
        )

    async def _relay_answer(
        self,
        record: CallRecord,
        effect: StartAttempt,
        answer: HttpExchange,
        verdict: AnswerInfo,
        timer: SilenceTimer,
    ) -> AttemptResult:
        head = answer.head
        target = effect.targets[0]
        if verdict.not_run:
            return AttemptResult(
                how=AttemptEnd.REFUSED,
                error=TargetRefusedError(target=target, seconds=verdict.retry_after),
                retry_after=verdict.retry_after or DEFAULT_BACKOFF_SECONDS,
                # With a retry delay, it is the answering target itself that asks for backoff.
                at_fault=None if verdict.retry_after else self._target_at(verdict.at_fault, effect),
                status=head.status,
            )
        if verdict.id is not None and verdict.id != record.call.id:
            raise TargetAnswerError(target=target)
        success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if success and not (verdict.readable and verdict.sealed):
            raise TargetAnswerError(target=target)
        if record.exchange.started and not success:
            # The caller already has part of an answer, which a failure status cannot complete.
            raise TargetAnswerError(target=target)
        if success and record.route.kind is RouteKind.STREAMING:
            return await self._answers.relay_stream(record, effect, answer, timer)
        return await self._answers.relay_whole(record, effect, answer, timer)

    def _target_at(self, address: str | None, effect: StartAttempt) -> TargetName | None:
        """Return the attempt's target at an address, or None."""
        listed = self._targets()
        found = (name for name in effect.targets if name in listed)
        return next((name for name in found if listed[name].address == address), None)


def _tickets(effect: StartAttempt, targets: list[Target]) -> dict[TargetName, Ticket]:
    """Return the memory reservations by target; their ids are unique to the attempt."""
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


def _target_of_error(error: TargetError, targets: list[Target]) -> TargetName | None:
    """Return the target whose address an error carries, or None."""
    return next((target.name for target in targets if target.address == error.target), None)
