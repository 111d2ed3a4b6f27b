"""One entry host of a run: a policy, and a shell that carries out its effects."""

from collections.abc import Callable
from random import Random
from time import perf_counter
from typing import Protocol

from msgspec import Struct

from azureswitch.core import CallId, Effect, HostName, Incarnation, PlaceName, TargetName
from azureswitch.exceptions import AzureswitchError, ClaimUnavailableError, Ran
from azureswitch.inventory import ServiceKind, Snapshot
from azureswitch.serving import (
    TICK_SECONDS,
    AttemptEnd,
    AttemptEnded,
    CacheReported,
    Call,
    CallArrived,
    CancelAttempt,
    ClaimCall,
    ClaimDenied,
    ClaimGranted,
    Digest,
    DigestReceived,
    FinishCall,
    FirstTokenArrived,
    HostSelf,
    LoadReported,
    PeersChanged,
    PrioritizeAttempt,
    PublishDigest,
    ServingEvent,
    ServingState,
    ShutdownBegan,
    SnapshotAdopted,
    StartAttempt,
    TargetUnreachable,
    Ticked,
    reduce,
)
from bench.policy._attempts import ModelAttempt, PlainAttempt
from bench.policy._queue import EventQueue
from bench.policy._targets import PlainTargets, VirtualEngine
from bench.policy._workload import Arrival, Scenario

POLL_PERIOD = 0.25
"""Seconds between two polls of one engine by one host."""

CLAIM_SECONDS = 0.004
"""Seconds that a claim at the store takes."""

CLAIM_TIMEOUT = 1.0
"""Seconds until a claim fails while the store is down."""


class Policy(Protocol):
    """What decides on one host."""

    polls: bool

    def handle(self, event: ServingEvent) -> tuple[Effect, ...]:
        """Return the effects of an event."""


class ReducerPolicy:
    """The serving reducer."""

    polls = True

    def __init__(self, *, myself: HostSelf, seed: int) -> None:
        self._state = ServingState(myself=myself, seed=seed)

    def handle(self, event: ServingEvent) -> tuple[Effect, ...]:
        """Return the effects of an event."""
        return tuple(reduce(self._state, event))


class Served(Struct, kw_only=True):
    """One call at one host.

    Attributes:
        arrival: The request.
        sent: When its caller sent it here.
        host: Where.
        deadline: When it must have ended.
        admitted: Whether an attempt or a claim followed, or may still.
        ran: Whether a target took it.
        tokens: Output tokens that its caller has.
        gaps: Attempts that went on after tokens that the caller did not have.
        first_at: When its first token came.
        ended_at: When its one final answer came.
        answers: How many final answers came.
        error: The code of the failure, where it failed.
        not_run: Whether its caller was told that it did not run.
        retry_after: When its caller was told to come back, in seconds.
        leaving: Whether the host was leaving when it ended.
    """

    arrival: Arrival
    sent: float
    host: HostName
    deadline: float
    admitted: bool = True
    ran: bool = False
    tokens: int = 0
    gaps: int = 0
    first_at: float | None = None
    ended_at: float | None = None
    answers: int = 0
    error: str | None = None
    not_run: bool = False
    retry_after: float | None = None
    leaving: bool = False


class World(Protocol):
    """What an entry host stands in."""

    queue: EventQueue
    scenario: Scenario
    engines: dict[TargetName, VirtualEngine]
    plain: PlainTargets
    store_up: bool
    snapshot: Snapshot

    def publish(self, sender: "Entry", digest: Digest) -> None:
        """Send a digest to the other hosts."""


class Entry:
    """One entry host."""

    def __init__(
        self,
        *,
        name: HostName,
        place: PlaceName,
        started: int,
        world: World,
        make: Callable[[HostSelf, int], Policy],
        seed: int,
        on_end: Callable[[Served], None],
    ) -> None:
        self._myself = HostSelf(name=name, place=place, started=started)
        self._world = world
        self._queue = world.queue
        self._policy = make(self._myself, seed)
        self._random = Random(seed)
        self._on_end = on_end
        self._served: dict[CallId, Served] = {}
        self._done: dict[CallId, Served] = {}
        self._attempts: dict[tuple[CallId, int], ModelAttempt | PlainAttempt] = {}
        self._cache_seen: dict[TargetName, tuple[int, int]] = {}
        self._gone = False
        self.leaving = False
        self.started_attempts = 0
        self.events = 0
        self.seconds = 0.0

    @property
    def name(self) -> HostName:
        """Its name."""
        return self._myself.name

    @property
    def place(self) -> PlaceName:
        """Its failure domain."""
        return self._myself.place

    @property
    def started(self) -> int:
        """The start of this incarnation."""
        return self._myself.started

    @property
    def busy(self) -> bool:
        """Whether calls have not ended."""
        return bool(self._served)

    def begin(self, hosts: tuple[HostName, ...]) -> None:
        """Adopt the configuration, and begin to poll and to tick."""
        self.adopt(self._world.snapshot)
        self.dispatch(PeersChanged(now=self._queue.now, hosts=hosts))
        self._queue.after(self._random.uniform(0, TICK_SECONDS), self._tick)
        if self._policy.polls:
            for engine in self._world.engines.values():
                self._queue.after(self._random.uniform(0, POLL_PERIOD), self._poll, engine)

    def adopt(self, snapshot: Snapshot) -> None:
        """Serve by a configuration."""
        self.dispatch(SnapshotAdopted(now=self._queue.now, snapshot=snapshot))

    def peers_changed(self, hosts: tuple[HostName, ...]) -> None:
        """Tell the policy which hosts are live."""
        self.dispatch(PeersChanged(now=self._queue.now, hosts=hosts))

    def leave(self) -> None:
        """Begin a graceful shutdown."""
        self.leaving = True
        self.dispatch(ShutdownBegan(now=self._queue.now))

    def stop(self) -> None:
        """Be gone."""
        self._gone = True

    def hear(self, digest: Digest) -> None:
        """Take a peer's digest."""
        if not self._gone:
            self.dispatch(DigestReceived(now=self._queue.now, digest=digest))

    def take(self, arrival: Arrival) -> None:
        """Take a caller's request."""
        now, rules = self._queue.now, self._world.scenario.rules
        long = arrival.prompt >= rules.long_prompt
        seconds = rules.long_deadline if long else rules.short_deadline
        deadline = now + (rules.plain_deadline if arrival.plain else seconds)
        served = Served(arrival=arrival, sent=now, host=self.name, deadline=deadline)
        self._served[arrival.id] = served
        self.dispatch(CallArrived(now=now, call=self._call(arrival, deadline)))

    def _call(self, arrival: Arrival, deadline: float) -> Call:
        scenario = self._world.scenario
        if arrival.plain:
            return Call(
                id=arrival.id,
                customer=arrival.customer,
                service=scenario.service(ServiceKind.PLAIN),
                deadline=deadline,
                repeatable=False,
                idempotency_key=arrival.id,
            )
        return Call(
            id=arrival.id,
            customer=arrival.customer,
            service=scenario.service(ServiceKind.MODEL),
            model=scenario.model,
            prompt_tokens=arrival.prompt,
            output_tokens=arrival.output,
            prefix=arrival.blocks,
            deadline=deadline,
        )

    def dispatch(self, event: ServingEvent) -> None:
        """Hand an event to the policy and carry out what it says."""
        begun = perf_counter()
        effects = self._policy.handle(event)
        self.seconds += perf_counter() - begun
        self.events += 1
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            self._start(effect)
        elif isinstance(effect, CancelAttempt):
            attempt = self._attempts.pop((effect.call, effect.attempt), None)
            if attempt is not None:
                self._note(attempt)
                attempt.cancel()
        elif isinstance(effect, PrioritizeAttempt):
            running = self._attempts.get((effect.call, effect.attempt))
            if running is not None:
                running.prioritize(effect.priority)
        elif isinstance(effect, ClaimCall):
            self._claim(effect)
        elif isinstance(effect, FinishCall):
            self._finish(effect)
        elif isinstance(effect, PublishDigest):
            self._world.publish(self, effect.digest)

    def _start(self, effect: StartAttempt) -> None:
        served = self._served[effect.call]
        if effect.resume_from > served.tokens:
            served.gaps += 1
        self.started_attempts += 1
        attempt: ModelAttempt | PlainAttempt
        if served.arrival.plain:
            attempt = PlainAttempt(
                effect=effect,
                arrival=served.arrival,
                targets=self._world.plain,
                queue=self._queue,
                random=self._random,
                on_end=self._attempt_ended,
            )
        else:
            attempt = ModelAttempt(
                effect=effect,
                arrival=served.arrival,
                model=self._world.scenario.model,
                owner=Incarnation(host=self.name, started=self.started),
                engines=tuple(self._world.engines[name] for name in effect.targets),
                queue=self._queue,
                latency=self._world.scenario.latency,
                on_first=self._first_token,
                on_end=self._attempt_ended,
            )
        self._attempts[effect.call, effect.attempt] = attempt
        attempt.start()

    def _first_token(self, attempt: ModelAttempt) -> None:
        effect = attempt.effect
        served = self._served.get(effect.call)
        if served is not None:
            served.first_at = served.first_at or self._queue.now
            served.tokens = max(served.tokens, effect.resume_from + 1)
        self.dispatch(
            FirstTokenArrived(now=self._queue.now, call=effect.call, attempt=effect.attempt)
        )

    def _attempt_ended(
        self,
        attempt: ModelAttempt | PlainAttempt,
        end: AttemptEnd,
        error: AzureswitchError | None,
    ) -> None:
        effect = attempt.effect
        if self._attempts.pop((effect.call, effect.attempt), None) is None:
            return
        self._note(attempt)
        served = self._served.get(effect.call)
        if served is not None:
            served.tokens = max(served.tokens, attempt.tokens)
        event = AttemptEnded(
            now=self._queue.now,
            call=effect.call,
            attempt=effect.attempt,
            end=end,
            tokens=served.tokens if served else 0,
            cached_tokens=attempt.cached_tokens,
            retry_after=error.retry_after if error else None,
            error=error,
        )
        self.dispatch(event)

    def _note(self, attempt: ModelAttempt | PlainAttempt) -> None:
        served = self._served.get(attempt.effect.call)
        if served is not None and attempt.ran:
            served.ran = True

    def _finish(self, effect: FinishCall) -> None:
        served = self._served.pop(effect.call, None)
        if served is None:
            self._done[effect.call].answers += 1
            return
        self._done[effect.call] = served
        for (call, _), attempt in self._attempts.items():
            if call == effect.call and attempt.ran:
                served.ran = True
        served.answers += 1
        served.ended_at = self._queue.now
        if effect.error is not None:
            served.error = effect.error.code
            served.not_run = effect.error.ran is Ran.NOT_RUN
            served.retry_after = effect.error.retry_after
        served.leaving = self.leaving
        self._on_end(served)

    def _claim(self, effect: ClaimCall) -> None:
        if self._world.store_up:
            self._queue.after(CLAIM_SECONDS, self._granted, effect.call)
        else:
            self._queue.after(CLAIM_TIMEOUT, self._denied, effect.call)

    def _granted(self, call: CallId) -> None:
        self.dispatch(ClaimGranted(now=self._queue.now, call=call))

    def _denied(self, call: CallId) -> None:
        error = ClaimUnavailableError()
        self.dispatch(ClaimDenied(now=self._queue.now, call=call, error=error))

    def _tick(self) -> None:
        if not self._gone:
            self.dispatch(Ticked(now=self._queue.now))
            self._queue.after(TICK_SECONDS, self._tick)

    def _poll(self, engine: VirtualEngine) -> None:
        if self._gone:
            return
        self._queue.after(POLL_PERIOD * self._random.uniform(0.9, 1.1), self._poll, engine)
        now = self._queue.now
        if not engine.alive:
            self.dispatch(TargetUnreachable(now=now, target=engine.name))
            return
        report = engine.model.load(now=now)
        self.dispatch(LoadReported(now=now, report=report, age=self._world.scenario.latency))
        started, after = self._cache_seen.get(engine.name, (report.started, 0))
        after = after if started == report.started else 0
        events = engine.model.cache(now=now, after=after)
        self._cache_seen[engine.name] = (report.started, events.sequence)
        if events.added or events.removed or not events.complete:
            self.dispatch(CacheReported(now=now, events=events))
        if engine.model.next_event_time() <= now:
            engine.settle()
