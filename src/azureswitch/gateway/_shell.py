"""The shell around the serving reducer: hands it events and carries out its effects."""

import asyncio
from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from absl import logging

from azureswitch.client import HttpHead
from azureswitch.clock import elapsed, suspended, until_step
from azureswitch.core import CallId, Effect, TargetName
from azureswitch.exceptions import AzureswitchError
from azureswitch.gateway._failures import respond_failure
from azureswitch.gateway._log import (
    LOGGED_DIGITS,
    HostSuspended,
    LimitEnded,
    LimitUnreadable,
    QuarantineEnded,
    RequestAnswered,
    RequestCutOff,
    RequestFailed,
    RequestQuarantined,
    TargetLimited,
)
from azureswitch.gateway._notices import Hearing
from azureswitch.gateway._ports import Dialect, Published
from azureswitch.gateway._records import CallRecord
from azureswitch.gateway._relay import Relay
from azureswitch.gateway._tickets import Tickets
from azureswitch.inventory import Target
from azureswitch.logs import Entry, Log
from azureswitch.metrics import Metrics
from azureswitch.server import CloseReason
from azureswitch.serving import (
    TICK,
    AnnounceLimit,
    AnnounceQuarantine,
    AnswerPermit,
    AskPermit,
    CallArrived,
    CallerLeft,
    CancelAttempt,
    FinishCall,
    GraceEnded,
    Loop,
    Observe,
    PublishDigest,
    PublishTotals,
    ServingEvent,
    ServingState,
    ShutdownBegan,
    StartAttempt,
    TargetLeaving,
    Ticked,
)
from azureswitch.tasks import Tasks

ATTEMPTS_SECONDS = 0.05
"""Seconds in which attempts end that are called off as the process ends; each takes a turn."""

SUSPENSION_LEAST = 0.05
"""Seconds of a suspension that are logged at least; the two clocks are read one after the other."""

ROUNDING = 0.001
"""Seconds by which a deadline is looked at late, lest it be found a moment too early."""

PAUSE_BOUNDS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1.0, 2.0)
"""Upper bounds of the buckets for pauses, in seconds; callers ask for 0.25 to 1."""


class Shell:
    """Runs the serving reducer of one gateway.

    Args:
        state: The reducer's state.
        dialect: The headers towards targets and callers.
        tickets: Sets memory aside for prompts larger than one engine.
        targets: Returns the targets that are listed now, by name.
        publish: Tells the peers what the reducer asks for.
        metrics: Counts and measures.
        log: Takes what is decided.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        state: ServingState,
        dialect: Dialect,
        tickets: Tickets,
        targets: Callable[[], Mapping[TargetName, Target]],
        publish: Callable[[Published], None],
        metrics: Metrics,
        log: Log,
        clock: Callable[[], float] = elapsed,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._publish = publish
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._hearing = Hearing(
            limited=state.limits.knows, dispatch=self.dispatch, log=log, clock=clock
        )
        self._relay = Relay(
            dialect=dialect,
            tickets=tickets,
            targets=targets,
            hearing=self._hearing,
            dispatch=self.dispatch,
            log=log,
            clock=clock,
        )
        self._records: dict[CallId, CallRecord] = {}
        self._loop = Loop(state=state, run=self._run)
        self._tasks = Tasks(prefix="gateway")
        self._deadlines: dict[CallId, asyncio.TimerHandle] = {}
        self._lag = 0.0

    @property
    def lag(self) -> float:
        """Seconds by which the last regular step was late."""
        return self._lag

    @property
    def open_calls(self) -> int:
        """Requests that have not been answered."""
        return len(self._records)

    @property
    def quarantined(self) -> int:
        """Requests that are sent to no target, since targets crashed under them."""
        return self._state.crashes.quarantined()

    @property
    def limits(self) -> dict[TargetName, float]:
        """The requests a second that targets take which name a limit now."""
        return self._state.limits.rates(now=self.now)

    @property
    def now(self) -> float:
        """Seconds of the monotonic clock."""
        return self._clock()

    def submit(self, record: CallRecord) -> bool:
        """Take a request, and return whether its id was not in use already."""
        call = record.call.id
        if call in self._records:
            return False
        self._records[call] = record
        record.exchange.on_left(lambda: self._left(call))
        seconds = max(0.0, self._state.ends_at(record.call) - self.now) + ROUNDING
        due = asyncio.get_running_loop().call_later(seconds, self._due, call)
        self._deadlines[call] = due
        if self._loop.busy:
            # Within another request's event a fault at this one would be told to that one's source,
            # and this one left open: 5 s without an answer, as seen on loopback.
            asyncio.get_running_loop().call_soon(self._begin_later, record)
        else:
            self._begin(record)
        return True

    def _begin(self, record: CallRecord) -> None:
        """Hand a request to the reducer."""
        try:
            self.dispatch(CallArrived(now=self.now, call=record.call))
        except Exception:
            # A fault of ours must not leave it open; the reducer drops what it has by the deadline.
            self._records.pop(record.call.id, None)
            for task in record.tasks.values():
                task.cancel()
            raise

    def _begin_later(self, record: CallRecord) -> None:
        """Hand a request to the reducer unless its caller left, and answer it where that fails."""
        if record.exchange.over:
            self._records.pop(record.call.id, None)
            return
        try:
            self._begin(record)
        except Exception:
            logging.exception("gateway: Request %s failed.", record.call.id)
            if not record.exchange.over:
                self._fail(record, AzureswitchError())

    def dispatch(self, event: ServingEvent) -> None:
        """Hand an event to the reducer and carry out what it asks for, in order."""
        self._loop.dispatch(event)

    async def run(self) -> None:
        """Let time pass for the reducer until cancelled."""
        before = suspended()
        while True:
            pause = until_step(TICK)
            due = self.now + pause
            await asyncio.sleep(pause)
            before = self._report_suspension(before)
            self._lag = max(0.0, self.now - due)
            self.dispatch(Ticked(now=self.now))

    def _report_suspension(self, before: float) -> float:
        """Log what comes on top of an earlier sum of suspensions, and return the new sum."""
        total = suspended()
        if total - before >= SUSPENSION_LEAST:
            self._log.write(
                HostSuspended(seconds=round(total - before, 3), open_requests=self.open_calls)
            )
            self._metrics.count(
                name="suspensions", help="Times that the host was found to have been suspended."
            )
        return total

    def note_leaving(self, target: Target) -> None:
        """Send nothing new to a target that leaves."""
        self.dispatch(TargetLeaving(now=self.now, target=target.name, started=target.started))

    def handle_order_answer(self, target: Target, head: HttpHead, *, order: str) -> None:
        """Take what a target says of itself in the answer to an order."""
        self._hearing.hear(target, self._dialect.decode_answer(head), id=order)

    def begin_shutdown(self, *, until: float) -> None:
        """Begin nothing more that cannot end by a moment of the monotonic clock."""
        self.dispatch(ShutdownBegan(now=self.now, until=until))

    async def end(self) -> None:
        """Give each open request its final answer, and wait a moment for its attempts to end."""
        self.dispatch(GraceEnded(now=self.now))
        await self._tasks.stop(timeout=ATTEMPTS_SECONDS)

    def report_cut_off(self) -> None:
        """Log the requests that have no end, as the process ends now."""
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

    def _due(self, call: CallId) -> None:
        """Let the time of a request's deadline pass at once, and not with the next tick."""
        self._deadlines.pop(call, None)
        self.dispatch(Ticked(now=self.now))

    def _left(self, call: CallId) -> None:
        self.dispatch(CallerLeft(now=self.now, call=call))

    @singledispatchmethod
    def _run(self, effect: Effect) -> None:
        """Do nothing for effects that have no meaning here."""

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
        due = self._deadlines.pop(effect.call, None)
        if due is not None:
            due.cancel()
        if record is None:
            return
        if effect.error is not None and not record.exchange.over:
            self._fail_or_close(record, effect.error)
        self._tell(record, effect.error)

    @_run.register
    def _(self, effect: PublishDigest) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: PublishTotals) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: AnnounceQuarantine) -> None:
        report = effect.change.report
        kind = QuarantineEnded if effect.change.ended else RequestQuarantined
        self._log.write(
            kind(
                customer=report.customer,
                fingerprint=report.fingerprint[:LOGGED_DIGITS],
                targets=",".join(start.target for start in report.crashes),
                seen_here=effect.change.keep,
            )
        )
        self._publish(effect)

    @_run.register
    def _(self, effect: AskPermit) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: AnswerPermit) -> None:
        self._publish(effect)

    @_run.register
    def _(self, effect: AnnounceLimit) -> None:
        self._log.write(_limit_entry(effect))

    @_run.register
    def _(self, effect: Observe) -> None:
        self._metrics.observe(effect)

    def _fail_or_close(self, record: CallRecord, error: AzureswitchError) -> None:
        """Tell the caller of a failure; where that itself fails, its connection ends."""
        try:
            self._fail(record, error)
        except Exception:
            logging.exception("gateway: Request %s was not told of its failure.", record.call.id)
            record.exchange.abort(CloseReason.FAULT)

    def _fail(self, record: CallRecord, error: AzureswitchError) -> None:
        """Tell the caller of a failure; an answer that has begun is broken off."""
        if record.exchange.started:
            record.exchange.abort()
        elif record.fallback is not None:
            self._relay.respond(record, record.fallback)
        else:
            respond_failure(record.exchange, error, dialect=self._dialect)

    def _tell(self, record: CallRecord, error: AzureswitchError | None) -> None:
        """Log and count how a request ended."""
        seconds = round(self.now - record.started, 3)
        first = 0.0 if record.first_event is None else record.first_event - record.started
        if error is None:
            on_time = _on_time(record, first)
            self._log.write(
                RequestAnswered(
                    id=record.arrival.id,
                    seconds=seconds,
                    first=round(first, 3),
                    pause=round(record.longest_pause, 3),
                    on_time=on_time,
                    attempts=len(record.targets),
                )
            )
            self._metrics.count(
                name="answers",
                help="Requests answered whole, by route and whether on time.",
                route=record.route.name,
                on_time=str(on_time).lower(),
            )
            if record.route.gap_objective:
                self._metrics.measure(
                    name="pause",
                    help="The most seconds between two events of a stream, by route.",
                    bounds=PAUSE_BOUNDS,
                    value=record.longest_pause,
                    route=record.route.name,
                )
            return
        broken = record.first_event is not None
        self._log.write(
            RequestFailed(
                id=record.arrival.id,
                code=error.code,
                status=0 if broken else int(error.status),
                ran=error.ran.value,
                seconds=seconds,
                attempts=len(record.targets),
                targets=",".join(record.targets),
            )
        )
        self._metrics.count(
            name="failures",
            help="Requests that failed after they were admitted, by route and failure.",
            route=record.route.name,
            code=error.code,
        )


def _limit_entry(effect: AnnounceLimit) -> Entry:
    """Return the line that tells operators of another limit, or of its end."""
    change = effect.change
    before = change.before or 0.0
    age = round(change.age, 3)
    if change.rate is None:
        return LimitEnded(target=change.target, before=before, age=age)
    kind = TargetLimited if effect.readable else LimitUnreadable
    return kind(
        target=change.target, rate=change.rate, before=before, said=effect.text or "", age=age
    )


def _on_time(record: CallRecord, first: float) -> bool:
    """Return whether an answer kept its route's objectives, of which there may be none."""
    route = record.route
    prompt = not route.objective or first <= route.objective
    steady = not route.gap_objective or record.longest_pause <= route.gap_objective
    return prompt and steady
