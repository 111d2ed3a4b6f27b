"""Drives the serving reducer: dispatches events to it and executes its effects."""

import asyncio
from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from absl import logging

from azureswitch.buffers import BufferBudget
from azureswitch.client import HttpHead
from azureswitch.clock import elapsed
from azureswitch.core import CallId, CustomerName, Effect, TargetName
from azureswitch.exceptions import AzureswitchError, DeadlineExceededError
from azureswitch.gateway._announced import announcement
from azureswitch.gateway._deadlines import Deadlines
from azureswitch.gateway._failures import respond_failure
from azureswitch.gateway._log import RequestCutOff
from azureswitch.gateway._notices import TargetNotices
from azureswitch.gateway._outcomes import Outcomes
from azureswitch.gateway._ports import Dialect, Published
from azureswitch.gateway._process import ProcessWatch
from azureswitch.gateway._records import CallRecord
from azureswitch.gateway._relay import Relay
from azureswitch.gateway._tickets import Tickets
from azureswitch.gateway._warmth import warmth_entry
from azureswitch.inventory import Target
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.paths import Paths
from azureswitch.server import CloseReason
from azureswitch.serving import (
    TICK_SECONDS,
    AnnounceEvacuation,
    AnnounceLimit,
    AnnounceQuarantine,
    AnnounceWarmth,
    AnswerPermit,
    AskPermit,
    CallArrived,
    CallerLeft,
    CancelAttempt,
    EvacuatedPlace,
    FinishCall,
    GraceEnded,
    Loop,
    Observe,
    PublishDigest,
    PublishTotals,
    QuarantinedCause,
    QuarantineEnded,
    ServingEvent,
    ServingState,
    ShutdownBegan,
    StartAttempt,
    TargetLeaving,
    Ticked,
)
from azureswitch.tasks import Tasks

CANCEL_TIMEOUT_SECONDS = 0.05
"""Timeout in seconds for cancelled attempts to end at shutdown; each takes one loop iteration."""


class Shell:
    """Runs the serving reducer of one gateway.

    Args:
        state: The reducer's state.
        dialect: Encodes and decodes the headers exchanged with callers and targets.
        tickets: Reserves memory for prompts larger than one engine.
        targets: Returns the listed targets by name.
        paths: Connects to the targets.
        publish: Sends the reducer's messages to the peers.
        metrics: The metrics registry.
        log: Receives the log entries.
        memory: The memory limit of the process, in bytes; zero where there is none.
        budget: Counts the memory of answers.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        state: ServingState,
        dialect: Dialect,
        tickets: Tickets,
        targets: Callable[[], Mapping[TargetName, Target]],
        paths: Paths,
        publish: Callable[[Published], None],
        metrics: Metrics,
        log: Log,
        memory: int = 0,
        budget: BufferBudget | None = None,
        clock: Callable[[], float] = elapsed,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._publish = publish
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._notices = TargetNotices(
            limited=state.limits.knows, dispatch=self.dispatch, log=log, clock=clock
        )
        self._relay = Relay(
            dialect=dialect,
            tickets=tickets,
            targets=targets,
            paths=paths,
            notices=self._notices,
            evacuated=state.evacuations.holds,
            dispatch=self.dispatch,
            budget=budget or BufferBudget(),
            metrics=metrics,
            log=log,
            clock=clock,
        )
        self._outcomes = Outcomes(metrics=metrics, log=log, clock=clock)
        self._records: dict[CallId, CallRecord] = {}
        self._loop = Loop(state=state, run=self._run)
        self._tasks = Tasks(prefix="gateway")
        self._deadlines = Deadlines(reached=self._deadline_reached)
        self._watch = ProcessWatch(
            tick=lambda: self.dispatch(Ticked(now=self.now)),
            seconds=TICK_SECONDS,
            memory=memory,
            open_requests=lambda: self.open_calls,
            metrics=metrics,
            log=log,
            clock=clock,
        )

    @property
    def lag(self) -> float:
        """Seconds by which the last tick was late."""
        return self._watch.lag

    @property
    def open_calls(self) -> int:
        """Number of requests that have not been answered."""
        return len(self._records)

    @property
    def quarantined(self) -> int:
        """Number of requests in quarantine, sent to no target as targets crashed running them."""
        return self._state.crashes.quarantined()

    @property
    def quarantined_parts(self) -> int:
        """Number of parts of prompts in quarantine, as targets crashed under what shares them."""
        return self._state.crashes.quarantined(shared=True)

    @property
    def quarantines(self) -> tuple[QuarantinedCause, ...]:
        """The requests and parts of prompts that are suspected or held."""
        return self._state.crashes.known(now=self.now)

    @property
    def limits(self) -> dict[TargetName, float]:
        """The advertised rate limits of targets, in requests per second."""
        return self._state.limits.rates(now=self.now)

    @property
    def evacuations(self) -> tuple[EvacuatedPlace, ...]:
        """The evacuated failure domains, and how many attempts still run there."""
        return self._state.evacuations.places

    @property
    def cold_targets(self) -> dict[TargetName, float]:
        """The cold targets, with the seconds for which each of them stays cold."""
        return self._state.warmup.cold_targets(now=self.now)

    @property
    def ejected(self) -> int:
        """Number of targets that are avoided since attempts of this host failed."""
        return self._state.fleet.ejected(now=self.now)

    @property
    def suspected(self) -> int:
        """Number of targets that are avoided since another host reports them."""
        return self._state.fleet.suspected(now=self.now)

    @property
    def retries_left(self) -> float:
        """Retries that the budget of this host permits now."""
        return self._state.retries.left

    @property
    def now(self) -> float:
        """Seconds of the monotonic clock."""
        return self._clock()

    def takes_work(self, name: TargetName) -> bool:
        """Return whether a target may get new work: it is not leaving, and not evacuated."""
        return self._state.fleet.takes_work(name)

    def submit(self, record: CallRecord) -> bool:
        """Start a request and return True, or return False if its id is already in use."""
        call = record.call.id
        if call in self._records:
            return False
        self._records[call] = record
        # An attempt may go on after the caller has left.
        record.exchange.hold_memory()
        record.exchange.on_left(lambda: self._caller_left(call))
        self._deadlines.set(call, seconds=self._state.ends_at(record.call) - self.now)
        if self._loop.busy:
            # Dispatched inside another request's event, an error of this request would be raised to
            # the source of that event and leave this one open (5 s without an answer, seen on
            # loopback).
            asyncio.get_running_loop().call_soon(self._begin_later, record)
        else:
            self._begin(record)
        return True

    def _begin(self, record: CallRecord) -> None:
        """Dispatch a request to the reducer."""
        try:
            self.dispatch(CallArrived(now=self.now, call=record.call))
        except Exception:
            # An internal error must not leave it open; the reducer drops its state by the deadline.
            self._drop(record)
            for task in record.tasks.values():
                task.cancel()
            raise

    def _drop(self, record: CallRecord) -> None:
        """Forget a request, and what it holds of the memory."""
        self._records.pop(record.call.id, None)
        record.exchange.free_memory()

    def _begin_later(self, record: CallRecord) -> None:
        """Dispatch a request unless its caller disconnected; answer it if dispatching fails."""
        if record.exchange.over:
            self._drop(record)
            return
        try:
            self._begin(record)
        except Exception:
            logging.exception("gateway: Request %s failed.", record.call.id)
            if not record.exchange.over:
                self._fail(record, AzureswitchError())

    def dispatch(self, event: ServingEvent) -> None:
        """Dispatch an event to the reducer and execute its effects in order."""
        self._loop.dispatch(event)

    async def run(self) -> None:
        """Dispatch periodic ticks to the reducer until cancelled."""
        await self._watch.run()

    def release(self, customer: CustomerName, fingerprint: str) -> bool:
        """End a quarantine for an operator and return whether it was known."""
        names = {(known.customer, known.fingerprint) for known in self.quarantines}
        if (customer, fingerprint) not in names:
            return False
        ended = QuarantineEnded(now=self.now, customer=customer, fingerprint=fingerprint)
        self.dispatch(ended)
        return True

    def note_leaving(self, target: Target) -> None:
        """Stop sending new requests to a target that is leaving."""
        self.dispatch(TargetLeaving(now=self.now, target=target.name, started=target.started))

    def handle_order_answer(self, target: Target, head: HttpHead, *, order: str) -> None:
        """Apply the target state in the head of an answer to an order."""
        self._notices.handle(target, self._dialect.decode_answer(head), id=order)

    def begin_shutdown(self, *, until: float) -> None:
        """Refuse requests that cannot end by ``until``, in seconds of the monotonic clock."""
        self.dispatch(ShutdownBegan(now=self.now, until=until))

    async def end(self) -> None:
        """Give each open request its final answer and wait briefly for its attempts to end."""
        self.dispatch(GraceEnded(now=self.now))
        await self._tasks.stop(timeout=CANCEL_TIMEOUT_SECONDS)

    def report_cut_off(self) -> None:
        """Log the requests that are still open when the process exits."""
        for record in self._records.values():
            self._log.write(
                RequestCutOff(
                    id=record.arrival.id,
                    sent=bool(record.tasks),
                    begun=record.exchange.started,
                    seconds=round(self.now - record.started, 3),
                    attempts=len(record.targets),
                    targets=",".join(record.targets),
                )
            )

    def _deadline_reached(self, call: CallId) -> None:
        """Tick at a request's deadline instead of waiting for the next periodic tick.

        The caller is answered even where the reducer does not know the request any more.
        """
        try:
            self.dispatch(Ticked(now=self.now))
        finally:
            record = self._records.get(call)
            if record is not None:
                logging.error("gateway: Request %s was still open at its deadline.", call)
                for task in record.tasks.values():
                    task.cancel()
                self._run(FinishCall(call=call, error=DeadlineExceededError()))

    def _caller_left(self, call: CallId) -> None:
        self.dispatch(CallerLeft(now=self.now, call=call))

    @singledispatchmethod
    def _run(self, effect: Effect) -> None:
        """Ignore effects that do not apply to a gateway."""

    @_run.register
    def _(self, effect: StartAttempt) -> None:
        record = self._records.get(effect.call)
        if record is None:
            return
        work = self._relay.run(record, effect)
        record.tasks[effect.attempt] = self._tasks.spawn(work, name=f"{effect.call}")

    @_run.register
    def _(self, effect: CancelAttempt) -> None:
        record = self._records.get(effect.call)
        task = record.tasks.pop(effect.attempt, None) if record else None
        if task is not None:
            task.cancel()

    @_run.register
    def _(self, effect: FinishCall) -> None:
        record = self._records.pop(effect.call, None)
        self._deadlines.discard(effect.call)
        if record is None:
            return
        record.exchange.free_memory()
        if effect.error is not None and not record.exchange.over:
            self._fail_or_close(record, effect.error)
        self._outcomes.record(record, effect.error)

    @_run.register
    def _(self, effect: PublishDigest) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: PublishTotals) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: AnnounceQuarantine) -> None:
        self._log.write(announcement(effect))
        self._publish(effect)

    @_run.register
    def _(self, effect: AskPermit) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: AnswerPermit) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: AnnounceLimit) -> None:
        self._log.write(announcement(effect))

    @_run.register
    def _(self, effect: AnnounceEvacuation) -> None:
        self._log.write(announcement(effect))

    @_run.register
    def _(self, effect: AnnounceWarmth) -> None:
        self._log.write(warmth_entry(effect))

    @_run.register
    def _(self, effect: Observe) -> None:
        self._metrics.observe(effect)

    def _fail_or_close(self, record: CallRecord, error: AzureswitchError) -> None:
        """Answer the caller with a failure; close the connection if that raises."""
        try:
            self._fail(record, error)
        except Exception:
            logging.exception(
                "gateway: The failure of request %s could not be sent to its caller.",
                record.call.id,
            )
            record.exchange.abort(CloseReason.FAULT)

    def _fail(self, record: CallRecord, error: AzureswitchError) -> None:
        """Answer the caller with a failure; abort the answer if it has begun."""
        if record.exchange.started:
            record.exchange.abort()
        elif record.fallback is not None:
            self._relay.respond(record, record.fallback)
        else:
            respond_failure(record.exchange, error, dialect=self._dialect)
