"""One attempt at engines or at a plain target, as the entry's shell carries it out."""

from collections.abc import Callable, Generator
from random import Random

from msgspec.structs import replace

from azureswitch.core import Incarnation
from azureswitch.exceptions import (
    AzureswitchError,
    TargetBrokenError,
    TargetRefusedError,
    TargetRejectedError,
)
from azureswitch.ports import Holding, HoldingKind
from azureswitch.serving import AttemptEnd, StartAttempt
from azureswitch_standins.engine import (
    EngineError,
    Failed,
    Finished,
    Output,
    Prompt,
    RunRequest,
    Span,
    SpanFailed,
)
from bench.policy._queue import EventQueue
from bench.policy._targets import PlainTargets, VirtualEngine
from bench.policy._workload import Arrival

PLAIN_SECONDS = (0.02, 0.05)
"""Fewest and most seconds of a call to the plain service."""

PLAIN_LOST = 0.01
"""Share of the plain calls whose answer is lost after they ran."""

OnFirst = Callable[["ModelAttempt"], None]
OnEnd = Callable[["ModelAttempt | PlainAttempt", AttemptEnd, "AzureswitchError | None"], None]


class ModelAttempt:
    """An attempt at one engine, or at several that hold a long prompt together."""

    def __init__(
        self,
        *,
        effect: StartAttempt,
        arrival: Arrival,
        model: str,
        owner: Incarnation,
        engines: tuple[VirtualEngine, ...],
        queue: EventQueue,
        latency: float,
        on_first: OnFirst,
        on_end: OnEnd,
    ) -> None:
        self._effect = effect
        self._arrival = arrival
        self._model = model
        self._owner = owner
        self._engines = engines
        self._queue = queue
        self._latency = latency
        self._on_first = on_first
        self._on_end = on_end
        self._steps: Generator[VirtualEngine | None, Output | None, None] | None = None
        self._holdings: list[tuple[VirtualEngine, str]] = []
        self._over = False
        self.ran = False
        self.tokens = effect.resume_from
        self.cached_tokens = 0
        self.first_at: float | None = None

    @property
    def effect(self) -> StartAttempt:
        """What was asked for."""
        return self._effect

    def start(self) -> None:
        """Begin."""
        if len(self._engines) == 1:
            self._queue.after(self._latency, self._submit)
            return
        for engine in self._engines:
            engine.join(self, self._member_lost)
        self._steps = self._span_steps()
        self._queue.after(self._latency, self._step, None)

    def cancel(self) -> None:
        """Call it off."""
        if not self._over:
            self._finish(AttemptEnd.CANCELLED, None)

    def prioritize(self, priority: int) -> None:
        """Change its priority at the engine that runs it."""
        self._queue.after(self._latency, self._prioritize, priority)

    def _prioritize(self, priority: int) -> None:
        engine = self._engines[-1]
        engine.model.prioritize(
            now=self._queue.now,
            call=self._arrival.id,
            attempt=self._effect.attempt,
            priority=priority,
        )
        engine.settle()

    def _submit(self) -> None:
        if self._over:
            return
        engine, effect = self._engines[-1], self._effect
        if not engine.alive:
            self._refused(None)
            return
        prompt = Prompt(tokens=self._arrival.prompt, key=0, blocks=self._arrival.blocks)
        request = RunRequest(
            call=self._arrival.id,
            attempt=effect.attempt,
            owner=self._owner,
            model=self._model,
            prompt=prompt,
            max_tokens=self._arrival.output,
            priority=effect.priority,
            timeout=effect.timeout,
            resume_from=effect.resume_from,
        )
        try:
            engine.model.submit(now=self._queue.now, request=request)
        except EngineError as error:
            self._refused(error)
            return
        self.ran = True
        engine.listen(self._arrival.id, effect.attempt, self._hear)
        engine.settle()

    def _refused(self, error: EngineError | None) -> None:
        target = self._engines[-1].name
        if error is not None and error.status < 409:
            rejected = TargetRejectedError(target_status=error.status, detail=error.type)
            self._later_end(AttemptEnd.REJECTED, rejected)
            return
        seconds = None if error is None else error.retry_after
        self._later_end(AttemptEnd.REFUSED, TargetRefusedError(target=target, seconds=seconds))

    def _later_end(self, end: AttemptEnd, error: AzureswitchError | None) -> None:
        self._queue.after(self._latency, self._finish, end, error)

    def _hear(self, output: Output) -> None:
        if isinstance(output, Finished):
            self.cached_tokens = output.cached_tokens
            self._queue.after(self._latency, self._whole)
        elif isinstance(output, Failed):
            self.tokens = max(self.tokens, output.tokens)
            self._later_end(AttemptEnd.BROKEN, self._broken())
        else:
            self._queue.after(self._latency, self._first)

    def _broken(self) -> TargetBrokenError:
        return TargetBrokenError(target=self._engines[-1].name, tokens=self.tokens)

    def _first(self) -> None:
        if not self._over and self.first_at is None:
            self.first_at = self._queue.now
            self._on_first(self)

    def _whole(self) -> None:
        if not self._over:
            self._first()
            self.tokens = self._arrival.output
            self._finish(AttemptEnd.COMPLETE, None)

    def _finish(self, end: AttemptEnd, error: AzureswitchError | None) -> None:
        if self._over:
            return
        self._over = True
        if end not in (AttemptEnd.COMPLETE, AttemptEnd.REFUSED):
            self._queue.after(self._latency, self._cancel_at_engines)
        self._queue.after(self._latency, self._give_back)
        self._on_end(self, end, error)

    def _cancel_at_engines(self) -> None:
        for engine in self._engines:
            if engine.alive:
                engine.model.cancel(
                    now=self._queue.now, call=self._arrival.id, attempt=self._effect.attempt
                )
                engine.settle()

    def _give_back(self) -> None:
        for engine in self._engines:
            engine.part(self)
        for engine, holding in self._holdings:
            if engine.alive:
                engine.model.release(now=self._queue.now, holding=holding)
                engine.settle()

    # --- Spans ------------------------------------------------------------------------------------

    def _member_lost(self) -> None:
        # The engine that reads a lost span notices at once, and its stream ends.
        self._later_end(AttemptEnd.BROKEN, self._broken())

    def _step(self, output: Output | None) -> None:
        """Go on with the spans; each step waits for a round trip or for an engine's work."""
        if self._over or self._steps is None:
            return
        try:
            waiting = self._steps.send(output)
        except StopIteration:
            return
        except EngineError as error:
            self._refused(error)
            return
        if waiting is None:
            self._queue.after(2 * self._latency, self._step, None)

    def _span_steps(self) -> Generator[VirtualEngine | None, Output | None, None]:
        """Reserve in the order of names, then prefill, export and import span by span."""
        holdings = self._spans()
        for engine, holding in sorted(holdings, key=lambda item: item[0].name):
            if not engine.alive:
                self._refused(None)
                return
            engine.model.reserve(now=self._queue.now, holding=holding)
            self._holdings.append((engine, holding.id))
            yield None
        spans: list[Span] = []
        start = 0
        for index, (engine, holding) in enumerate(holdings):
            yield from self._import(engine, holding, spans)
            if index == len(holdings) - 1:
                self._submit()
                return
            yield from self._prefill(engine, holding, start)
            if self._over:
                return
            spans.append(engine.model.export(now=self._queue.now, holding=holding))
            start += holding.tokens
            yield None

    def _spans(self) -> list[tuple[VirtualEngine, Holding]]:
        count = len(self._engines)
        span = -(-(self._arrival.prompt + self._arrival.output) // count)
        holdings = []
        for index, engine in enumerate(self._engines):
            last = index == count - 1
            rest = self._arrival.prompt - index * span + self._arrival.output
            holding = Holding(
                id=f"{self._arrival.id}.{self._effect.attempt}.{index}",
                kind=HoldingKind.RESERVATION,
                call=self._arrival.id,
                attempt=self._effect.attempt,
                owner=self._owner,
                tokens=rest if last else span,
            )
            holdings.append((engine, holding))
        return holdings

    def _import(
        self, engine: VirtualEngine, holding: Holding, spans: list[Span]
    ) -> Generator[VirtualEngine | None, Output | None, None]:
        for number, span in enumerate(spans):
            copy = replace(holding, id=f"{holding.id}.{number}", kind=HoldingKind.IMPORT, tokens=0)
            engine.model.fetch(now=self._queue.now, holding=copy, span=span)
            self._holdings.append((engine, copy.id))
            engine.settle()
            yield None

    def _prefill(
        self, engine: VirtualEngine, holding: Holding, start: int
    ) -> Generator[VirtualEngine | None, Output | None, None]:
        prompt = Prompt(tokens=self._arrival.prompt, key=0)
        engine.model.prefill(
            now=self._queue.now,
            holding=holding,
            prompt=prompt,
            start=start,
            priority=self._effect.priority,
        )
        self.ran = True
        engine.await_fill(holding.id, self._step)
        engine.settle()
        output = yield engine
        if isinstance(output, SpanFailed):
            self._later_end(AttemptEnd.BROKEN, self._broken())
            yield engine


class PlainAttempt:
    """An attempt at the plain service."""

    def __init__(
        self,
        *,
        effect: StartAttempt,
        arrival: Arrival,
        targets: PlainTargets,
        queue: EventQueue,
        random: Random,
        on_end: OnEnd,
    ) -> None:
        self._effect = effect
        self._arrival = arrival
        self._targets = targets
        self._queue = queue
        self._random = random
        self._on_end = on_end
        self.ran = False
        self.tokens = 0
        self.cached_tokens = 0

    @property
    def effect(self) -> StartAttempt:
        """What was asked for."""
        return self._effect

    def start(self) -> None:
        """Begin."""
        self._queue.after(self._random.uniform(*PLAIN_SECONDS), self._run)

    def cancel(self) -> None:
        """Stop waiting; the call may have run."""

    def prioritize(self, priority: int) -> None:
        """Plain targets have no priorities."""

    def _run(self) -> None:
        self.ran = True
        self._targets.run(self._arrival.id)
        if self._random.random() < PLAIN_LOST:
            error = TargetBrokenError(target=self._effect.targets[0])
            self._on_end(self, AttemptEnd.BROKEN, error)
            return
        self._on_end(self, AttemptEnd.COMPLETE, None)
