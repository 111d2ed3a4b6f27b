"""A model engine in virtual time: deterministic, without I/O and without a clock of its own."""

from bisect import insort
from heapq import heappop, heappush
from math import inf

from msgspec import Struct, field
from msgspec.structs import replace

from azureswitch.core import CallId, TargetName
from azureswitch.ports import (
    CacheEvents,
    EngineState,
    Holding,
    HoldingKind,
    LoadReport,
    Order,
    OrderKind,
)
from azureswitch_standins.engine._batch import Batch, Job
from azureswitch_standins.engine._cache import PrefixCache
from azureswitch_standins.engine._errors import (
    AttemptExistsError,
    ContextLengthError,
    DrainingError,
    FencedError,
    HoldingError,
    MemoryFullError,
    ModelMissingError,
    QueueFullError,
    RequestMissingError,
)
from azureswitch_standins.engine._kv import Holdings, Span
from azureswitch_standins.engine._outputs import (
    Failed,
    Failure,
    Finished,
    FirstToken,
    Output,
    RunRequest,
    SpanFailed,
    SpanReady,
)
from azureswitch_standins.engine._prompt import BLOCK_TOKENS, Prompt
from azureswitch_standins.engine._settings import EngineSettings

_ENDED_LIMIT = 4_096
"""Ended and cancelled attempts that are remembered, so that one that comes late does not run."""

_MEMORY_RETRY = 1.0
"""Seconds after which memory that is full now may be asked for again."""

Key = tuple[CallId, int]


class _Attempt(Struct, kw_only=True, eq=False):
    request: RunRequest
    order: int
    reserved: bool
    job: Job | None = None
    hits: int = 0
    cached: int = 0
    private: int = 0
    pinned: tuple[int, ...] = ()

    @property
    def key(self) -> Key:
        return self.request.call, self.request.attempt


class _SpanWork(Struct, kw_only=True, eq=False):
    holding: Holding
    span: Span
    job: Job | None = None


class _Timeout(Struct, frozen=True, kw_only=True):
    attempt: _Attempt


class _Loaded(Struct, frozen=True, kw_only=True):
    model: str


class _Copied(Struct, frozen=True, kw_only=True):
    work: _SpanWork


class _Orders(Struct, kw_only=True):
    fence: int = 0
    models: tuple[str, ...] = ()
    loading: set[str] = field(default_factory=set)
    adapters: tuple[str, ...] = ()
    role: str = "serving"


class EngineModel:
    """One engine.

    Every method takes the time, first catches up with it, and then acts.  What comes out is
    collected until `advance` returns it.
    """

    def __init__(self, *, settings: EngineSettings, started: int = 1) -> None:
        self._settings = settings
        self._orders = _Orders(models=settings.models)
        self._outputs: list[Output] = []
        self._order = 0
        self._next_report = 0.0
        self._boot(started)

    @property
    def settings(self) -> EngineSettings:
        """What the engine is."""
        return self._settings

    @property
    def alive(self) -> bool:
        """Whether it has not died."""
        return self._alive

    @property
    def memory_used(self) -> int:
        """KV tokens in use by requests and holdings."""
        return self._holdings.tokens + self._private + self._cache.pinned_tokens

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """Memory held outside running requests."""
        return self._holdings.all

    @property
    def attempts(self) -> tuple[Key, ...]:
        """Attempts that wait or run."""
        return tuple(self._attempts)

    def next_event_time(self) -> float:
        """Return when `advance` has something to do next; infinite where nothing is under way."""
        if self._outputs:
            return self._outputs[0].at
        timer = self._timers[0][0] if self._timers else inf
        return min(self._batch.end, timer)

    def next_step_time(self, now: float) -> float:
        """Return when the next output tokens may be there; infinite where none are under way."""
        return self._batch.next_step(now) if self._batch.decoding else inf

    def advance(self, now: float) -> list[Output]:
        """Work up to ``now`` and return what came out since the last call."""
        self._run(now)
        outputs, self._outputs = self._outputs, []
        return outputs

    def submit(self, *, now: float, request: RunRequest) -> None:
        """Take an attempt.

        Raises:
            EngineError: It is refused, and did not run.
        """
        self._run(now)
        key = (request.call, request.attempt)
        if key in self._attempts or key in self._ended:
            raise AttemptExistsError()
        reservation = self._holdings.reserved(*key)
        self._check(request, reservation)
        self._order += 1
        attempt = _Attempt(request=request, order=self._order, reserved=reservation is not None)
        self._attempts[key] = attempt
        if request.timeout is not None:
            self._timer(now + request.timeout, _Timeout(attempt=attempt))
        insort(self._waiting, (request.priority, attempt.order, attempt))
        self._wake(now)

    def cancel(self, *, now: float, call: CallId, attempt: int) -> None:
        """Stop an attempt and free its memory, not its holdings; harmless when it is not there."""
        self._run(now)
        key = (call, attempt)
        self._remember(key)
        found = self._attempts.get(key)
        if found is not None:
            self._fail(found, Failure.CANCELLED, now)
        for work in self._works_of(key):
            self._drop_work(work, Failure.CANCELLED, now)
        self._wake(now)

    def prioritize(self, *, now: float, call: CallId, attempt: int, priority: int) -> None:
        """Change an attempt's priority; harmless when it is not there."""
        self._run(now)
        found = self._attempts.get((call, attempt))
        if found is None:
            return
        if found.job is None:
            self._waiting.remove((found.request.priority, found.order, found))
            found.request = replace(found.request, priority=priority)
            insort(self._waiting, (priority, found.order, found))
        else:
            self._batch.prioritize(found.job, priority)
        self._wake(now)

    def produced(self, *, now: float, call: CallId, attempt: int) -> int:
        """Return how many output tokens of the whole answer are there.

        Raises:
            RequestMissingError: The attempt does not run.
        """
        found = self._attempts.get((call, attempt))
        if found is None:
            raise RequestMissingError()
        return self._produced(found, now)

    def load(self, *, now: float) -> LoadReport:
        """Return the last load report."""
        self._run(now)
        return self._report

    def cache(self, *, now: float, after: int) -> CacheEvents:
        """Return the cache events after a sequence number that have come out by now."""
        self._run(now)
        sequence, complete, added, removed = self._cache.events(after=after, now=now)
        return CacheEvents(
            target=TargetName(self._settings.name),
            started=self._started,
            sequence=sequence,
            complete=complete,
            added=added,
            removed=removed,
        )

    def reserve(self, *, now: float, holding: Holding) -> None:
        """Hold memory, all or nothing.

        Raises:
            EngineError: It is not held.
        """
        self._run(now)
        if self._orders.role == "draining":
            raise DrainingError()
        if not self._holdings.known(holding):
            self._hold(holding, now)

    def prefill(
        self, *, now: float, holding: Holding, prompt: Prompt, start: int, priority: int
    ) -> None:
        """Begin to prefill a span into reserved memory; `SpanReady` or `SpanFailed` follows.

        Raises:
            HoldingError: The memory is not reserved, or the context before it is not imported.
        """
        self._run(now)
        reservation = self._holdings.reservation(holding)
        covered, remote = self._holdings.covered(holding.call, holding.attempt)
        if covered < start:
            raise HoldingError(detail=f"prompt tokens from {covered} on are not imported")
        if reservation.id in self._works:
            raise HoldingError(detail="the holding is being filled")
        end = min(start + reservation.tokens, prompt.tokens)
        self._order += 1
        job = Job(
            order=self._order,
            priority=priority,
            left=self._settings.cost.prefill_seconds(start=start, end=end),
            tokens=end - start,
            output=0,
            context=0,
            remote=remote,
        )
        work = _SpanWork(holding=reservation, span=Span(start=start, end=end), job=job)
        self._works[reservation.id] = work
        self._by_job[job] = work
        self._batch.add(job)
        self._wake(now)

    def export(self, *, now: float, holding: Holding) -> Span:
        """Make a prefilled holding readable for other engines and return its span.

        Raises:
            HoldingError: It is not prefilled.
        """
        self._run(now)
        return self._holdings.export(holding)

    def exported(self, *, holding: str) -> Span:
        """Return the span of an export.

        Raises:
            HoldingError: There is no such export.
        """
        return self._holdings.exported(holding)

    def fetch(self, *, now: float, holding: Holding, span: Span) -> None:
        """Begin to import a span that another engine exports; `SpanReady` follows.

        Raises:
            EngineError: There is no memory for the import.
        """
        self._run(now)
        if not self._holdings.known(holding):
            self._hold(replace(holding, kind=HoldingKind.IMPORT), now)
        remote = holding.tokens < span.end - span.start
        work = _SpanWork(holding=holding, span=replace(span, remote=remote))
        self._works[holding.id] = work
        seconds = 0.0 if remote else holding.tokens / self._settings.cost.copy_rate
        self._timer(now + seconds, _Copied(work=work))

    def release(self, *, now: float, holding: str) -> None:
        """Free a holding and stop work for it; harmless when it is not there."""
        self._run(now)
        work = self._works.get(holding)
        if work is not None:
            self._drop_work(work, Failure.CANCELLED, now)
        self._holdings.release(holding)
        self._wake(now)

    def order(self, *, now: float, order: Order) -> EngineState:
        """Carry out an order.

        Raises:
            FencedError: The engine checks fencing numbers and has seen a greater one.
        """
        self._run(now)
        orders = self._orders
        if self._settings.checks_fence and order.fence < orders.fence:
            raise FencedError(fence=order.fence, newest=orders.fence)
        orders.fence = max(orders.fence, order.fence)
        if order.kind is OrderKind.ROLE:
            orders.role = order.value if order.present else "serving"
        elif order.kind is OrderKind.ADAPTER:
            orders.adapters = _with(orders.adapters, order.value, order.present)
        elif not order.present:
            orders.loading.discard(order.value)
            orders.models = _with(orders.models, order.value, False)
        elif order.value not in orders.models and order.value not in orders.loading:
            orders.loading.add(order.value)
            self._timer(now + self._settings.load_seconds, _Loaded(model=order.value))
        return self.state(now=now)

    def state(self, *, now: float) -> EngineState:
        """Return what the orders came to."""
        self._run(now)
        orders = self._orders
        return EngineState(
            fence=orders.fence, models=orders.models, adapters=orders.adapters, role=orders.role
        )

    def stall(self, *, now: float, seconds: float) -> None:
        """Make no progress for a while."""
        self._run(now)
        self._batch.stall(seconds, now=now)
        self._stalled = now + seconds

    def die(self, *, now: float) -> None:
        """Lose everything that runs and all memory."""
        self._run(now)
        for work in tuple(self._works.values()):
            self._drop_work(work, Failure.DIED, now)
        for attempt in tuple(self._attempts.values()):
            self._fail(attempt, Failure.DIED, now)
        self._boot(self._started)
        self._alive = False

    def restart(self, *, now: float, started: int) -> None:
        """Come back with empty memory, the models of the settings and no orders."""
        self._next_report = now
        self._orders = _Orders(models=self._settings.models)
        self._boot(started)

    def _boot(self, started: int) -> None:
        settings = self._settings
        self._started = started
        self._alive = True
        self._stalled = 0.0
        self._sequence = 0
        self._private = 0
        self._batch: Batch = Batch(cost=settings.cost)
        self._cache = PrefixCache(
            lag=settings.cache_lag, gap=settings.cache_gap, seed=settings.seed + started
        )
        self._holdings = Holdings()
        self._attempts: dict[Key, _Attempt] = {}
        self._ended: dict[Key, None] = {}
        self._waiting: list[tuple[int, int, _Attempt]] = []
        self._works: dict[str, _SpanWork] = {}
        self._by_job: dict[Job, _Attempt | _SpanWork] = {}
        self._timers: list[tuple[float, int, _Timeout | _Loaded | _Copied]] = []
        self._report = self._measure()

    def _check(self, request: RunRequest, reservation: Holding | None) -> None:
        loaded = self._orders.models
        if request.model not in (*loaded, *(model.split("@")[0] for model in loaded)):
            raise ModelMissingError(detail=f"no model {request.model!r}")
        if self._orders.role == "draining":
            raise DrainingError()
        need = request.prompt.tokens + request.max_tokens
        limit = self._settings.memory
        if reservation is not None:
            need -= self._holdings.covered(request.call, request.attempt)[0]
            limit = reservation.tokens
        if need > limit:
            raise ContextLengthError(detail=f"{need} tokens; the limit is {limit}")
        if len(self._waiting) >= self._settings.queue:
            raise QueueFullError(retry_after=self._backlog())

    def _backlog(self) -> float:
        return max(1.0, self._waiting_tokens(inf) / self._settings.cost.prefill_rate)

    def _run(self, now: float) -> None:
        while True:
            timer = self._timers[0][0] if self._timers else inf
            due = min(self._batch.end, timer)
            if due > now:
                break
            self._measured(due)
            if timer <= self._batch.end:
                self._fire(heappop(self._timers)[2], due)
            else:
                self._step(due)
        self._measured(now)

    def _step(self, now: float) -> None:
        prefilled, finished = self._batch.finish()
        for job in prefilled:
            self._prefilled(self._by_job[job], now)
        for job in finished:
            self._finished(self._by_job[job], now)
        self._plan(now)

    def _plan(self, now: float) -> None:
        self._admit(now)
        self._batch.plan(max(now, self._stalled))

    def _wake(self, now: float) -> None:
        if self._batch.idle:
            self._plan(now)
        else:
            self._batch.cut(now)

    def _prefilled(self, work: _Attempt | _SpanWork, now: float) -> None:
        if isinstance(work, _SpanWork):
            self._span_ready(work, now)
            return
        request = work.request
        if not work.reserved:
            rest = request.prompt.blocks[work.hits :]
            self._cache.pin(rest, now=now)
            work.pinned += rest
            self._private -= len(rest) * BLOCK_TOKENS
            work.private -= len(rest) * BLOCK_TOKENS
        self._outputs.append(FirstToken(at=now, call=request.call, attempt=request.attempt))

    def _finished(self, work: _Attempt | _SpanWork, now: float) -> None:
        if isinstance(work, _SpanWork):
            return
        self._free(work)
        self._outputs.append(
            Finished(
                at=now,
                call=work.request.call,
                attempt=work.request.attempt,
                cached_tokens=work.cached,
            )
        )

    def _span_ready(self, work: _SpanWork, now: float) -> None:
        holding = work.holding
        self._forget_work(work)
        self._holdings.fill(holding.id, work.span)
        self._outputs.append(
            SpanReady(at=now, call=holding.call, attempt=holding.attempt, holding=holding.id)
        )

    def _fire(self, timer: _Timeout | _Loaded | _Copied, now: float) -> None:
        if isinstance(timer, _Loaded):
            if timer.model in self._orders.loading:
                self._orders.loading.discard(timer.model)
                self._orders.models = _with(self._orders.models, timer.model, True)
        elif isinstance(timer, _Copied):
            if self._works.get(timer.work.holding.id) is timer.work:
                self._span_ready(timer.work, now)
        elif self._attempts.get(timer.attempt.key) is timer.attempt:
            self._fail(timer.attempt, Failure.TIMEOUT, now)
            self._wake(now)

    def _timer(self, at: float, timer: _Timeout | _Loaded | _Copied) -> None:
        self._order += 1
        heappush(self._timers, (at, self._order, timer))

    def _admit(self, now: float) -> None:
        while self._waiting and self._batch.sequences < self._settings.sequences:
            attempt = self._waiting[0][2]
            if not attempt.reserved and not self._take_memory(attempt, now):
                return
            del self._waiting[0]
            self._begin(attempt)

    def _take_memory(self, attempt: _Attempt, now: float) -> bool:
        prompt = attempt.request.prompt
        hits = self._cache.matched(prompt.blocks)
        if hits * BLOCK_TOKENS >= prompt.tokens:
            hits -= 1
        found = prompt.blocks[:hits]
        self._cache.pin(found, now=now)
        need = prompt.tokens + attempt.request.max_tokens - hits * BLOCK_TOKENS
        if not self._make_room(need, now):
            self._cache.unpin(found)
            return False
        attempt.hits = hits
        attempt.cached = hits * BLOCK_TOKENS
        attempt.pinned = found
        attempt.private = need
        self._private += need
        return True

    def _make_room(self, tokens: int, now: float) -> bool:
        room = self._settings.memory - self.memory_used
        if tokens > room:
            return False
        self._cache.evict(tokens - (room - self._cache.free_tokens), now=now)
        return True

    def _hold(self, holding: Holding, now: float) -> None:
        if not self._make_room(holding.tokens, now):
            raise MemoryFullError(retry_after=_MEMORY_RETRY)
        self._holdings.add(holding)

    def _begin(self, attempt: _Attempt) -> None:
        request = attempt.request
        start, remote = attempt.cached, 0
        if attempt.reserved:
            start, remote = self._holdings.covered(request.call, request.attempt)
            attempt.cached = start
        end = max(start, request.prompt.tokens + request.resume_from)
        attempt.job = Job(
            order=attempt.order,
            priority=request.priority,
            left=self._settings.cost.prefill_seconds(start=start, end=end),
            tokens=end - start,
            output=max(1, request.max_tokens - request.resume_from),
            context=end,
            remote=remote,
        )
        self._by_job[attempt.job] = attempt
        self._batch.add(attempt.job)

    def _remember(self, key: Key) -> None:
        self._ended[key] = None
        if len(self._ended) > _ENDED_LIMIT:
            del self._ended[next(iter(self._ended))]

    def _free(self, attempt: _Attempt) -> None:
        del self._attempts[attempt.key]
        self._remember(attempt.key)
        if attempt.job is not None:
            del self._by_job[attempt.job]
        self._cache.unpin(attempt.pinned)
        self._private -= attempt.private

    def _fail(self, attempt: _Attempt, failure: Failure, now: float) -> None:
        tokens = self._produced(attempt, now)
        if attempt.job is None:
            self._waiting.remove((attempt.request.priority, attempt.order, attempt))
        else:
            self._batch.remove(attempt.job)
        self._free(attempt)
        call, number = attempt.key
        self._outputs.append(
            Failed(at=now, call=call, attempt=number, failure=failure, tokens=tokens)
        )

    def _produced(self, attempt: _Attempt, now: float) -> int:
        made = 0 if attempt.job is None else self._batch.produced(attempt.job, now)
        return attempt.request.resume_from + made

    def _works_of(self, key: Key) -> tuple[_SpanWork, ...]:
        works = self._works.values()
        return tuple(work for work in works if (work.holding.call, work.holding.attempt) == key)

    def _drop_work(self, work: _SpanWork, failure: Failure, now: float) -> None:
        holding = work.holding
        if work.job is not None:
            self._batch.remove(work.job)
        self._forget_work(work)
        self._outputs.append(
            SpanFailed(
                at=now,
                call=holding.call,
                attempt=holding.attempt,
                holding=holding.id,
                failure=failure,
            )
        )

    def _forget_work(self, work: _SpanWork) -> None:
        del self._works[work.holding.id]
        if work.job is not None:
            del self._by_job[work.job]

    def _measured(self, now: float) -> None:
        if now < self._next_report:
            return
        interval = self._settings.report_interval
        self._next_report = now - now % interval + interval
        self._sequence += 1
        self._batch.settle(now)
        self._report = self._measure()

    def _measure(self) -> LoadReport:
        return LoadReport(
            target=TargetName(self._settings.name),
            started=self._started,
            sequence=self._sequence,
            running=self._batch.sequences,
            waiting=len(self._waiting),
            waiting_tokens=self._waiting_tokens(inf),
            urgent_tokens=self._waiting_tokens(0),
            memory_used=self.memory_used,
            memory_total=self._settings.memory,
            models=self._orders.models,
            draining=self._orders.role == "draining",
        )

    def _waiting_tokens(self, priority: float) -> int:
        """Return the prompt tokens to be prefilled of requests up to a priority."""
        waiting = sum(
            attempt.request.prompt.tokens
            for number, _, attempt in self._waiting
            if number <= priority
        )
        return waiting + sum(job.waiting_tokens for job in self._by_job if job.priority <= priority)


def _with(values: tuple[str, ...], value: str, present: bool) -> tuple[str, ...]:
    others = tuple(item for item in values if item != value)
    return (*others, value) if present else others
