"""Engines that work in passes, and the requests that they prefill and decode."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from azureswitch.core import CallId, TargetName


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """Size distribution and objectives of one kind of request."""

    prompt: int
    sigma: float
    max_prompt: int
    events: int
    objective: float
    max_pause: float
    weight: float
    deadline: float = 15.0
    priority: int = 0


@dataclass(slots=True, kw_only=True)
class Request:
    """One request and the latencies that its caller observed."""

    call: CallId
    kind: Workload
    prompt: int
    arrived: float
    first: float | None = None
    last_event: float = 0.0
    max_pause: float = 0.0
    left: int = 0
    parts: set[TargetName] = field(default_factory=set)

    @property
    def on_time(self) -> bool:
        """Whether it completed with its first token and all pauses within the objectives."""
        prompt = self.first is not None and self.first - self.arrived <= self.kind.objective
        return prompt and self.max_pause <= self.kind.max_pause and not self.left


@dataclass(slots=True, kw_only=True)
class Part:
    """Remaining prefill of a prompt on one engine; parts of helpers take precedence."""

    request: Request
    tokens: float
    seconds: float
    helper: bool

    def advance(self, max_tokens: float) -> tuple[float, float]:
        """Prefill at most ``max_tokens``, and return the tokens and seconds of prefill done."""
        share = min(1.0, max_tokens / self.tokens)
        tokens, seconds = share * self.tokens, share * self.seconds
        self.tokens -= tokens
        self.seconds -= seconds
        return tokens, seconds


@dataclass(slots=True, kw_only=True)
class Engine:
    """An engine; each pass prefills as much as fits and emits one event per stream.

    Attributes:
        prefilling: Parts that it prefills.
        decoding: Streams, each with a function to call at its end.
        running: Whether a pass is under way.
        slots: Requests that run at once; parts of helpers take none.
        max_queue: Requests that wait for a slot at most; further ones are rejected.
        taken: Slots in use.
        queue: Requests that wait for a slot.
    """

    prefilling: list[Part] = field(default_factory=list)
    decoding: list[tuple[Request, Callable[[], None]]] = field(default_factory=list)
    running: bool = False
    slots: float = inf
    max_queue: float = inf
    taken: int = 0
    queue: list[Part] = field(default_factory=list)

    def accept(self, part: Part) -> bool:
        """Start a part in a free slot or queue it; return whether the queue had room for it."""
        if part.helper:
            self.prefilling.append(part)
        elif self.taken < self.slots:
            self.taken += 1
            self.prefilling.append(part)
        elif len(self.queue) < self.max_queue:
            self.queue.append(part)
        else:
            return False
        return True

    def remove(self, request: Request) -> None:
        """Remove a request that was cancelled, and free its slot if it had one."""
        decoding = [entry for entry in self.decoding if entry[0] is not request]
        prefilling = [part for part in self.prefilling if part.request is not request]
        had_slot = len(decoding) < len(self.decoding) or any(
            part.request is request and not part.helper for part in self.prefilling
        )
        self.decoding, self.prefilling = decoding, prefilling
        self.queue = [part for part in self.queue if part.request is not request]
        if had_slot:
            self.free_slot()

    def free_slot(self) -> None:
        """Free the slot of a request that has ended, and start the next one in the queue."""
        self.taken -= 1
        if self.queue:
            self.taken += 1
            self.prefilling.append(self.queue.pop(0))
