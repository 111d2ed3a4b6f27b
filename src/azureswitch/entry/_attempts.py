"""Executes attempts at targets and reports how they end."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh3_64_intdigest

from azureswitch.core import Incarnation, TargetName
from azureswitch.entry._events import cached_tokens
from azureswitch.entry._ports import JobKeeper
from azureswitch.entry._records import Attempt, ModelRecord, PlainRecord, Record
from azureswitch.entry._targets import Targets
from azureswitch.exceptions import (
    AzureswitchError,
    TargetBrokenError,
    TargetRefusedError,
    TargetRejectedError,
)
from azureswitch.ports import Chunk, Engine, EngineRequest, PlainRequest
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    FirstTokenArrived,
    ServingEvent,
    StartAttempt,
    TokensArrived,
)
from azureswitch.spans import SpanRun
from azureswitch.tasks import Tasks

PROGRESS_PERIOD_SECONDS = 1.0
"""Minimum time in seconds between two reports of an attempt's progress."""

MAX_CLEANUP_ATTEMPTS = 6
"""Number of attempts to release memory at an engine; after them it is left to the sweeper."""

BASE_CLEANUP_BACKOFF_SECONDS = 0.25
"""Seconds before the first retry; doubled for each further one."""

CLEANUP_TIMEOUT_SECONDS = 3.0
"""Timeout in seconds of one attempt to release memory."""


class _End(Struct, frozen=True, kw_only=True):
    """How an attempt ended."""

    end: AttemptEnd
    cached: int = 0
    error: AzureswitchError | None = None

    @property
    def retry_after(self) -> float | None:
        return self.error.retry_after if self.error else None


def _failed(error: AzureswitchError) -> _End:
    if isinstance(error, TargetRefusedError):
        return _End(end=AttemptEnd.REFUSED, error=error)
    if isinstance(error, TargetRejectedError) or not error.code.startswith("target_"):
        return _End(end=AttemptEnd.REJECTED, error=error)
    return _End(end=AttemptEnd.BROKEN, error=error)


class Attempts:
    """Runs attempts.

    Args:
        owner: The process that engines hold memory for.
        targets: The ports of targets.
        jobs: Records long work, so that any host finds it.
        dispatch: Passes an event to the reducer.
        clock: Returns seconds of the monotonic clock.
        tasks: Runs background tasks.
    """

    def __init__(
        self,
        *,
        owner: Incarnation,
        targets: Targets,
        jobs: JobKeeper,
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
        tasks: Tasks,
    ) -> None:
        self._owner = owner
        self._targets = targets
        self._jobs = jobs
        self._dispatch = dispatch
        self._clock = clock
        self._tasks = tasks

    def start_model(self, record: ModelRecord, effect: StartAttempt) -> None:
        """Start an attempt at engines."""
        attempt = self._add(record, effect)
        work = self._model(record, attempt, effect)
        attempt.task = self._tasks.spawn(work, name=f"{record.call.id}/{attempt.number}")

    def start_plain(self, record: PlainRecord, effect: StartAttempt) -> None:
        """Start an attempt at a plain target."""
        attempt = self._add(record, effect)
        work = self._plain(record, attempt, effect)
        attempt.task = self._tasks.spawn(work, name=f"{record.call.id}/{attempt.number}")

    def cancel(self, record: ModelRecord | PlainRecord, number: int) -> None:
        """Cancel an attempt; from now on none of its output reaches the caller."""
        attempt = record.attempts.get(number)
        if attempt is None or attempt.cancelled:
            return
        attempt.cancelled = True
        if attempt.task is None:
            return
        # A task that is cancelled before its first step does not run its own cleanup.
        ended = _End(end=AttemptEnd.CANCELLED)
        attempt.task.add_done_callback(lambda _: self._end(record, attempt, ended))
        attempt.task.cancel()

    def prioritize(self, record: ModelRecord, number: int, priority: int) -> None:
        """Change the priority of an attempt."""
        attempt = record.attempts.get(number)
        engine = self._targets.engine(attempt.targets[-1]) if attempt else None
        if engine is None:
            return
        work = engine.prioritize(call=record.call.id, attempt=number, priority=priority)
        self._tasks.spawn(_log_error(work), name=f"{record.call.id}/{number} priority")

    def _add(self, record: ModelRecord | PlainRecord, effect: StartAttempt) -> Attempt:
        attempt = Attempt(number=effect.attempt, targets=effect.targets, offset=effect.resume_from)
        record.attempts[effect.attempt] = attempt
        return attempt

    # --- Engines ----------------------------------------------------------------------------------

    async def _model(self, record: ModelRecord, attempt: Attempt, effect: StartAttempt) -> None:
        engines = tuple((name, self._targets.engine(name)) for name in attempt.targets)
        known = tuple((name, engine) for name, engine in engines if engine is not None)
        if len(known) < len(engines):
            error = TargetRefusedError(target=attempt.targets[-1])
            self._end(record, attempt, _failed(error))
            return
        request = EngineRequest(
            call=record.call.id,
            attempt=attempt.number,
            owner=self._owner,
            surface=record.payload.surface,
            body=record.payload.body,
            cache_scope=record.payload.cache_scope,
            priority=effect.priority,
            timeout=effect.timeout,
            resume_from=effect.resume_from,
        )
        if len(known) == 1:
            output = known[0][1].stream(request=request)
            await self._run_model(record, attempt, engine=known[0][1], output=output)
            return
        await self._run_spans(record, attempt, engines=known, request=request)

    async def _run_spans(
        self,
        record: ModelRecord,
        attempt: Attempt,
        *,
        engines: tuple[tuple[TargetName, Engine], ...],
        request: EngineRequest,
    ) -> None:
        run = SpanRun(
            engines=dict(engines),
            request=request,
            prompt_tokens=record.call.prompt_tokens,
            output_tokens=record.call.output_tokens,
            seed=xxh3_64_intdigest(f"{request.call}/{request.attempt}".encode()),
        )
        try:
            await self._run_model(record, attempt, engine=engines[-1][1], output=run.stream())
        finally:
            self._tasks.spawn(run.release(), name=f"{record.call.id}/{attempt.number} release")

    async def _run_model(
        self,
        record: ModelRecord,
        attempt: Attempt,
        *,
        engine: Engine,
        output: AsyncIterator[Chunk],
    ) -> None:
        end = await _ended(self._relay(record, attempt, output), record, attempt)
        await _close(output)
        if end.end not in (AttemptEnd.COMPLETE, AttemptEnd.REFUSED):
            self._cancel_at_engine(record, attempt, engine)
        self._end(record, attempt, end)

    async def _relay(
        self, record: ModelRecord, attempt: Attempt, output: AsyncIterator[Chunk]
    ) -> _End:
        """Pass output to the caller, one step per chunk regardless of its size."""
        answer = record.answer
        number = attempt.number
        first = True
        report_at = 0.0
        before = prelude = b""
        async for chunk in output:
            if first and not chunk.tokens and not chunk.last:
                # Events without tokens, such as comments, do not decide which attempt answers.
                prelude += chunk.data
                continue
            if prelude:
                chunk, prelude = replace(chunk, data=prelude + chunk.data), b""
            offset = attempt.offset
            if first and chunk.tokens:
                if attempt.cancelled or not answer.accepts(attempt=number, offset=offset):
                    return _End(end=AttemptEnd.CANCELLED)
                first = False
                report_at = self._clock() + PROGRESS_PERIOD_SECONDS
                self._first_token(record, number)
            attempt.offset = offset + chunk.tokens
            if attempt.cancelled or not await answer.put(
                attempt=number, offset=offset, chunk=chunk
            ):
                return _End(end=AttemptEnd.CANCELLED)
            if chunk.last:
                return _End(end=AttemptEnd.COMPLETE, cached=cached_tokens(before + chunk.data))
            before = chunk.data
            now = self._clock()
            if now >= report_at and not first:
                report_at = now + PROGRESS_PERIOD_SECONDS
                self._progress(record, number, now)
        error = TargetBrokenError(target=attempt.targets[-1], tokens=attempt.offset)
        return _End(end=AttemptEnd.BROKEN, error=error)

    def _first_token(self, record: ModelRecord, number: int) -> None:
        event = FirstTokenArrived(now=self._clock(), call=record.call.id, attempt=number)
        self._dispatch(event)

    def _progress(self, record: ModelRecord, number: int, now: float) -> None:
        tokens = record.answer.tokens
        event = TokensArrived(now=now, call=record.call.id, attempt=number, tokens=tokens)
        self._dispatch(event)
        if record.durable:
            work = self._jobs.progress(call=record.call.id, tokens=tokens)
            self._tasks.spawn(work, name=f"{record.call.id} progress")

    def _cancel_at_engine(self, record: ModelRecord, attempt: Attempt, engine: Engine) -> None:
        async def cancel() -> None:
            await engine.cancel(call=record.call.id, attempt=attempt.number)

        name = f"{record.call.id}/{attempt.number} cancel"
        self._tasks.spawn(_retry(cancel), name=name)

    # --- Plain targets ----------------------------------------------------------------------------

    async def _plain(self, record: PlainRecord, attempt: Attempt, effect: StartAttempt) -> None:
        end = await _ended(self._send(record, attempt, effect), record, attempt)
        self._end(record, attempt, end)

    async def _send(self, record: PlainRecord, attempt: Attempt, effect: StartAttempt) -> _End:
        name = attempt.targets[0]
        target = self._targets.plain(name)
        if target is None:
            raise TargetRefusedError(target=name)
        payload = record.payload
        request = PlainRequest(
            call=record.call.id,
            method=payload.method,
            path=payload.path,
            headers=payload.headers,
            body=payload.body,
            idempotency_key=record.call.idempotency_key,
            timeout=effect.timeout,
        )
        answer = await target.send(request=request)
        if attempt.cancelled or not record.answer.put(attempt=attempt.number, answer=answer):
            return _End(end=AttemptEnd.CANCELLED)
        return _End(end=AttemptEnd.COMPLETE)

    def _end(self, record: ModelRecord | PlainRecord, attempt: Attempt, end: _End) -> None:
        if record.attempts.pop(attempt.number, None) is None:
            return
        record.answer.release(attempt=attempt.number)
        event = AttemptEnded(
            now=self._clock(),
            call=record.call.id,
            attempt=attempt.number,
            end=end.end,
            tokens=record.answer.tokens,
            cached_tokens=end.cached,
            retry_after=end.retry_after,
            error=end.error,
        )
        self._dispatch(event)


async def _close(output: AsyncIterator[Chunk]) -> None:
    """Close the connection of a stream that was not read to its end."""
    if isinstance(output, AsyncGenerator):
        await output.aclose()


async def _ended(work: Awaitable[_End], record: Record, attempt: Attempt) -> _End:
    """Return how an attempt ended, including by an exception."""
    try:
        return await work
    except asyncio.CancelledError:
        return _End(end=AttemptEnd.CANCELLED)
    except AzureswitchError as error:
        return _failed(error)
    except Exception:
        logging.exception("entry: Attempt %d of %s failed.", attempt.number, record.call.id)
        return _failed(TargetBrokenError(target=attempt.targets[-1]))


async def _log_error(work: Awaitable[None]) -> None:
    try:
        await work
    except AzureswitchError as error:
        logging.debug("entry: %s", error)


async def _retry(work: Callable[[], Awaitable[None]]) -> None:
    """Release memory at an engine, with retries after failures."""
    for attempt in range(MAX_CLEANUP_ATTEMPTS):
        try:
            async with asyncio.timeout(CLEANUP_TIMEOUT_SECONDS):
                await work()
        except (AzureswitchError, TimeoutError):
            await asyncio.sleep(BASE_CLEANUP_BACKOFF_SECONDS * 2**attempt)
        else:
            return
    logging.warning("entry: An engine did not answer requests to release memory.")
