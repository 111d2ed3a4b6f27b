"""A model engine in virtual time: deterministic, without I/O and without a clock of its own."""

from itertools import count
from math import inf

from msgspec.structs import replace

from azureswitch.core import CallId, TargetName
from azureswitch.ports import CacheEvents, EngineState, Holding, HoldingKind, LoadReport, Order
from azureswitch_standins.engine._attempts import Attempts
from azureswitch_standins.engine._batch import Batch, Job
from azureswitch_standins.engine._errors import (
    ContextLengthError,
    DrainingError,
    ModelMissingError,
    QueueFullError,
    RequestMissingError,
)
from azureswitch_standins.engine._kv import Span
from azureswitch_standins.engine._memory import Memory
from azureswitch_standins.engine._orders import OrderedState
from azureswitch_standins.engine._outputs import Failure, Output, RunRequest
from azureswitch_standins.engine._prompt import Prompt
from azureswitch_standins.engine._reports import LoadReports
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._spans import SpanWorks
from azureswitch_standins.engine._timers import (
    AttemptTimeout,
    ModelLoaded,
    SpanCopied,
    Timer,
    Timers,
)
from azureswitch_standins.engine._work import AttemptWork, Key, SpanWork


class EngineModel:
    """One engine.

    Every method takes the current time and first advances the model to it.  Outputs are collected
    until `advance` returns them.
    """

    def __init__(self, *, settings: EngineSettings, started: int = 1) -> None:
        self._settings = settings
        self._orders = OrderedState(settings=settings)
        self._outputs: list[Output] = []
        self._order = count(1)
        self._reset(started, next_report=0.0)

    @property
    def settings(self) -> EngineSettings:
        """The settings of the engine."""
        return self._settings

    @property
    def alive(self) -> bool:
        """Whether it is running."""
        return self._alive

    @property
    def memory_used(self) -> int:
        """KV tokens in use by requests and holdings."""
        return self._memory.used

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """Memory held outside running requests."""
        return self._memory.holdings.all

    @property
    def attempts(self) -> tuple[Key, ...]:
        """Attempts that wait or run."""
        return self._attempts.keys

    def next_event_time(self) -> float:
        """Return when `advance` must be called next; infinite if nothing is in progress."""
        if self._outputs:
            return self._outputs[0].at
        return min(self._batch.end, self._timers.next_time)

    def next_step_time(self, now: float) -> float:
        """Return when the next output tokens may be produced; infinite if nothing decodes."""
        return self._batch.next_step(now) if self._batch.decoding else inf

    def advance(self, now: float) -> list[Output]:
        """Advance to ``now`` and return the outputs since the last call."""
        self._run(now)
        outputs = self._outputs.copy()
        self._outputs.clear()
        return outputs

    def submit(self, *, now: float, request: RunRequest) -> None:
        """Submit an attempt.

        Raises:
            EngineError: It is refused and did not run.
        """
        self._run(now)
        key = (request.call, request.attempt)
        self._attempts.check_new(key)
        reservation = self._memory.holdings.reserved(*key)
        self._check(request, reservation)
        attempt = self._attempts.add(
            request=request, order=next(self._order), reserved=reservation is not None
        )
        if request.timeout is not None:
            self._timers.add(now + request.timeout, AttemptTimeout(attempt=attempt))
        self._replan(now)

    def cancel(self, *, now: float, call: CallId, attempt: int) -> None:
        """Cancel an attempt and free its memory, except its holdings; idempotent."""
        self._run(now)
        key = (call, attempt)
        self._attempts.cancel(key, now)
        for work in self._spans.of_attempt(key):
            self._spans.stop(work, Failure.CANCELLED, now)
        self._replan(now)

    def prioritize(self, *, now: float, call: CallId, attempt: int, priority: int) -> None:
        """Change the priority of an attempt, if it is known."""
        self._run(now)
        if self._attempts.prioritize((call, attempt), priority):
            self._replan(now)

    def produced(self, *, now: float, call: CallId, attempt: int) -> int:
        """Return how many output tokens of the whole answer have been produced.

        Raises:
            RequestMissingError: The attempt does not run.
        """
        found = self._attempts.find((call, attempt))
        if found is None:
            raise RequestMissingError()
        return self._attempts.produced(found, now)

    def load(self, *, now: float) -> LoadReport:
        """Return the last load report."""
        self._run(now)
        return self._reports.last

    def cache(self, *, now: float, after: int) -> CacheEvents:
        """Return the published cache events after a sequence number."""
        self._run(now)
        sequence, complete, added, removed = self._memory.cache.events(after=after, now=now)
        return CacheEvents(
            target=TargetName(self._settings.name),
            started=self._started,
            sequence=sequence,
            complete=complete,
            added=added,
            removed=removed,
        )

    def reserve(self, *, now: float, holding: Holding) -> None:
        """Allocate the memory of a holding.

        Raises:
            EngineError: It cannot be allocated.
        """
        self._run(now)
        if self._orders.draining:
            raise DrainingError()
        if not self._memory.holdings.known(holding):
            self._memory.hold(holding, now)

    def prefill(
        self, *, now: float, holding: Holding, prompt: Prompt, start: int, priority: int
    ) -> None:
        """Begin to prefill a span into reserved memory; `SpanReady` or `SpanFailed` follows.

        Raises:
            HoldingError: The memory is not reserved, or the context before it is not imported.
        """
        self._run(now)
        self._spans.prefill(
            holding=holding,
            prompt=prompt,
            start=start,
            priority=priority,
            order=next(self._order),
        )
        self._replan(now)

    def export(self, *, now: float, holding: Holding) -> Span:
        """Make a prefilled holding readable for other engines and return its span.

        Raises:
            HoldingError: It is not prefilled.
        """
        self._run(now)
        return self._memory.holdings.export(holding)

    def exported(self, *, holding: str) -> Span:
        """Return the span of an export.

        Raises:
            HoldingError: There is no such export.
        """
        return self._memory.holdings.exported(holding)

    def fetch(self, *, now: float, holding: Holding, span: Span) -> None:
        """Begin to import a span that another engine exports; `SpanReady` follows.

        Raises:
            EngineError: There is no memory for the import.
        """
        self._run(now)
        if not self._memory.holdings.known(holding):
            self._memory.hold(replace(holding, kind=HoldingKind.IMPORT), now)
        work = self._spans.copy(holding=holding, span=span)
        seconds = 0.0 if work.span.remote else holding.tokens / self._settings.cost.copy_rate
        self._timers.add(now + seconds, SpanCopied(work=work))

    def release(self, *, now: float, holding: str) -> None:
        """Free a holding and stop work for it; idempotent."""
        self._run(now)
        work = self._spans.find(holding)
        if work is not None:
            self._spans.stop(work, Failure.CANCELLED, now)
        self._memory.holdings.release(holding)
        self._replan(now)

    def order(self, *, now: float, order: Order) -> EngineState:
        """Execute an order.

        Raises:
            FencedError: The engine checks fencing numbers and has seen a greater one.
        """
        self._run(now)
        model = self._orders.apply(order)
        if model is not None:
            self._timers.add(now + self._settings.load_seconds, ModelLoaded(model=model))
        return self.state(now=now)

    def state(self, *, now: float) -> EngineState:
        """Return the state that orders have produced."""
        self._run(now)
        return self._orders.state

    def stall(self, *, now: float, seconds: float) -> None:
        """Stop progress for some seconds."""
        self._run(now)
        self._batch.stall(seconds, now=now)
        self._stalled = now + seconds

    def die(self, *, now: float) -> None:
        """Fail all work and lose all memory."""
        self._run(now)
        for work in self._spans.all:
            self._spans.stop(work, Failure.DIED, now)
        for attempt in self._attempts.all:
            self._attempts.fail(attempt, Failure.DIED, now)
        self._reset(self._started, next_report=self._reports.next_time)
        self._alive = False

    def restart(self, *, now: float, started: int) -> None:
        """Restart with empty memory, the models of the settings and no orders."""
        self._orders = OrderedState(settings=self._settings)
        self._reset(started, next_report=now)

    def _reset(self, started: int, *, next_report: float) -> None:
        settings = self._settings
        self._started = started
        self._alive = True
        self._stalled = 0.0
        self._batch: Batch = Batch(cost=settings.cost)
        self._memory = Memory(settings=settings, started=started)
        self._jobs: dict[Job, AttemptWork | SpanWork] = {}
        self._timers = Timers()
        self._attempts: Attempts = Attempts(
            settings=settings,
            memory=self._memory,
            batch=self._batch,
            jobs=self._jobs,
            outputs=self._outputs,
        )
        self._spans: SpanWorks = SpanWorks(
            cost=settings.cost,
            holdings=self._memory.holdings,
            batch=self._batch,
            jobs=self._jobs,
            outputs=self._outputs,
        )
        self._reports: LoadReports = LoadReports(
            settings=settings,
            started=started,
            batch=self._batch,
            jobs=self._jobs,
            waiting=self._attempts.waiting,
            memory=self._memory,
            orders=self._orders,
            next_time=next_report,
        )

    def _check(self, request: RunRequest, reservation: Holding | None) -> None:
        if not self._orders.serves(request.model):
            raise ModelMissingError(detail=f"no model {request.model!r}")
        if self._orders.draining:
            raise DrainingError()
        need = request.prompt.tokens + request.max_tokens
        limit = self._settings.memory
        if reservation is not None:
            need -= self._memory.holdings.covered(request.call, request.attempt)[0]
            limit = reservation.tokens
        if need > limit:
            raise ContextLengthError(detail=f"{need} tokens; the limit is {limit}")
        if len(self._attempts.waiting) >= self._settings.queue:
            raise QueueFullError(retry_after=self._backlog())

    def _backlog(self) -> float:
        return max(1.0, self._reports.waiting_tokens(inf) / self._settings.cost.prefill_rate)

    def _run(self, now: float) -> None:
        while True:
            timer = self._timers.next_time
            due = min(self._batch.end, timer)
            if due > now:
                break
            self._reports.update(due)
            if timer <= self._batch.end:
                self._fire(self._timers.pop(), due)
            else:
                self._step(due)
        self._reports.update(now)

    def _step(self, now: float) -> None:
        prefilled, finished = self._batch.finish()
        for job in prefilled:
            work = self._jobs[job]
            if isinstance(work, SpanWork):
                self._spans.finish(work, now)
            else:
                self._attempts.end_prefill(work, now)
        for job in finished:
            work = self._jobs[job]
            if isinstance(work, AttemptWork):
                self._attempts.finish(work, now)
        self._plan(now)

    def _plan(self, now: float) -> None:
        self._attempts.admit(now)
        self._batch.plan(max(now, self._stalled))

    def _replan(self, now: float) -> None:
        if self._batch.idle:
            self._plan(now)
        else:
            self._batch.cut(now)

    def _fire(self, timer: Timer, now: float) -> None:
        if isinstance(timer, ModelLoaded):
            self._orders.loaded(timer.model)
        elif isinstance(timer, SpanCopied):
            if self._spans.find(timer.work.holding.id) is timer.work:
                self._spans.finish(timer.work, now)
        elif self._attempts.find(timer.attempt.key) is timer.attempt:
            self._attempts.fail(timer.attempt, Failure.TIMEOUT, now)
            self._replan(now)
