"""Plain policies to compare with: each host picks an engine by one rule and admits everything."""

from collections import Counter
from collections.abc import Callable
from random import Random

from msgspec import Struct, field
from xxhash import xxh64_intdigest

from azureswitch.core import CallId, Effect, TargetName
from azureswitch.exceptions import (
    DeadlineExceededError,
    LeavingError,
    OutcomeLostError,
    RetriesExhaustedError,
)
from azureswitch.inventory import Target
from azureswitch.serving import (
    AttemptEnd,
    AttemptEnded,
    Call,
    CallArrived,
    CancelAttempt,
    FinishCall,
    HostSelf,
    ServingEvent,
    ShutdownBegan,
    SnapshotAdopted,
    StartAttempt,
    Ticked,
)

MEMORY_FILL = 0.9
"""Share of an engine's memory that a span of a longer prompt may fill."""

LONG_WORK = 0.6
"""Share of all prefill work that long prompts make; the static split gives them as many engines."""

MOST_ATTEMPTS = 10
"""Attempts at one call, at most."""

BACKOFF = 0.1
"""Seconds before the first retry; doubled for each further one."""

BACKOFF_MOST = 5.0
"""Seconds before a retry, at most."""

Order = Callable[["BaselinePolicy", Call], list[TargetName]]


class _Running(Struct, kw_only=True):
    call: Call
    attempts: int = 0
    targets: tuple[TargetName, ...] = ()
    tokens: int = 0
    retry_at: float | None = None


class _Outstanding(Struct, kw_only=True):
    """What this host has at its targets."""

    requests: Counter[TargetName] = field(default_factory=Counter)
    tokens: Counter[TargetName] = field(default_factory=Counter)


class BaselinePolicy:
    """A policy that orders the engines by a rule and takes the first of them.

    It has no reports, no digests, no priorities and no admission.  It tries again with backoff
    where an engine refuses or breaks, resumes broken streams, and ends calls at their deadlines.
    """

    polls = False

    def __init__(self, *, order: Order, myself: HostSelf, seed: int) -> None:
        self._order = order
        self._random = Random(seed)
        self._engines: tuple[Target, ...] = ()
        self._plain: tuple[Target, ...] = ()
        self._long_prompt = 0
        self._leaving = False
        self._calls: dict[CallId, _Running] = {}
        self._turns = Counter({"": self._random.randrange(100)})
        self.outstanding = _Outstanding()

    @property
    def engines(self) -> list[TargetName]:
        """The engines of the pool."""
        return [target.name for target in self._engines]

    @property
    def long_prompt(self) -> int:
        """Prompt tokens from which a prompt is long."""
        return self._long_prompt

    def next_turn(self, group: str) -> int:
        """Count up and return a number of turns."""
        self._turns[group] += 1
        return self._turns[group]

    def handle(self, event: ServingEvent) -> tuple[Effect, ...]:
        """Return the effects of an event."""
        if isinstance(event, CallArrived):
            return self._arrived(event)
        if isinstance(event, AttemptEnded):
            return self._ended(event)
        if isinstance(event, Ticked):
            return self._ticked(event.now)
        if isinstance(event, SnapshotAdopted):
            targets = event.snapshot.inventory.targets
            self._engines = tuple(target for target in targets if target.models)
            self._plain = tuple(target for target in targets if not target.models)
            self._long_prompt = event.snapshot.rules.long_prompt
        elif isinstance(event, ShutdownBegan):
            self._leaving = True
        return ()

    def _arrived(self, event: CallArrived) -> tuple[Effect, ...]:
        if self._leaving:
            return (FinishCall(call=event.call.id, error=LeavingError()),)
        running = _Running(call=event.call)
        self._calls[event.call.id] = running
        return (self._start(running, now=event.now),)

    def _start(self, running: _Running, *, now: float) -> Effect:
        call = running.call
        running.attempts += 1
        running.retry_at = None
        running.targets = self._choose(call)
        for target in running.targets:
            self.outstanding.requests[target] += 1
            self.outstanding.tokens[target] += call.prompt_tokens // len(running.targets)
        return StartAttempt(
            call=call.id,
            attempt=running.attempts,
            targets=running.targets,
            priority=0,
            resume_from=running.tokens,
            timeout=max(0.0, call.deadline - now),
        )

    def _choose(self, call: Call) -> tuple[TargetName, ...]:
        if not call.model:
            return (self._random.choice(self._plain).name,)
        memory = min(target.memory for target in self._engines)
        need = call.prompt_tokens + call.output_tokens
        count = 1 if need <= memory else -(-need // int(memory * MEMORY_FILL))
        return tuple(self._order(self, call)[:count])

    def _ended(self, event: AttemptEnded) -> tuple[Effect, ...]:
        running = self._calls.get(event.call)
        if running is None:
            return ()
        self._forget(running)
        running.tokens = max(running.tokens, event.tokens)
        if event.end is AttemptEnd.COMPLETE:
            del self._calls[event.call]
            return (FinishCall(call=event.call, error=None),)
        if not running.call.repeatable:
            del self._calls[event.call]
            return (FinishCall(call=event.call, error=OutcomeLostError()),)
        if event.end is AttemptEnd.REJECTED or running.attempts >= MOST_ATTEMPTS:
            del self._calls[event.call]
            error = event.error or RetriesExhaustedError(attempts=running.attempts)
            if running.attempts > 1:
                error = RetriesExhaustedError(attempts=running.attempts)
            return (FinishCall(call=event.call, error=error),)
        pause = min(BACKOFF_MOST, BACKOFF * 2.0**running.attempts)
        running.retry_at = event.now + pause * self._random.uniform(0.5, 1.0)
        return ()

    def _forget(self, running: _Running) -> None:
        for target in running.targets:
            self.outstanding.requests[target] -= 1
            self.outstanding.tokens[target] -= running.call.prompt_tokens // len(running.targets)
        running.targets = ()

    def _ticked(self, now: float) -> tuple[Effect, ...]:
        effects: list[Effect] = []
        for running in tuple(self._calls.values()):
            call = running.call
            if now >= call.deadline - 0.1:
                del self._calls[call.id]
                if running.targets:
                    number, targets = running.attempts, running.targets
                    self._forget(running)
                    effects.append(CancelAttempt(call=call.id, attempt=number, targets=targets))
                effects.append(FinishCall(call=call.id, error=DeadlineExceededError()))
            elif running.retry_at is not None and now >= running.retry_at:
                effects.append(self._start(running, now=now))
        return tuple(effects)


def _round_robin(policy: BaselinePolicy, call: Call) -> list[TargetName]:
    engines, turn = policy.engines, policy.next_turn("")
    return [engines[(turn + index) % len(engines)] for index in range(len(engines))]


def _least_requests(policy: BaselinePolicy, call: Call) -> list[TargetName]:
    return _least(policy, policy.engines, policy.outstanding.requests)


def _least_tokens(policy: BaselinePolicy, call: Call) -> list[TargetName]:
    return _least(policy, policy.engines, policy.outstanding.tokens)


def _least(
    policy: BaselinePolicy, engines: list[TargetName], outstanding: Counter[TargetName]
) -> list[TargetName]:
    turn = policy.next_turn("")
    turned = [engines[(turn + index) % len(engines)] for index in range(len(engines))]
    return sorted(turned, key=lambda name: outstanding[name])


def _prefix_hash(policy: BaselinePolicy, call: Call) -> list[TargetName]:
    seed = (
        call.prefix[0] & 0xFFFF_FFFF_FFFF_FFFF if call.prefix else xxh64_intdigest(call.id.encode())
    )
    return sorted(policy.engines, key=lambda name: xxh64_intdigest(name.encode(), seed))


def _static_split(policy: BaselinePolicy, call: Call) -> list[TargetName]:
    engines = policy.engines
    border = round(len(engines) * LONG_WORK)
    long = call.prompt_tokens >= policy.long_prompt
    return _least(policy, engines[:border] if long else engines[border:], policy.outstanding.tokens)


ORDERS: dict[str, Order] = {
    "round_robin": _round_robin,
    "least_requests": _least_requests,
    "least_tokens": _least_tokens,
    "prefix_hash": _prefix_hash,
    "static_split": _static_split,
}
"""The rules, by the name of the baseline."""
