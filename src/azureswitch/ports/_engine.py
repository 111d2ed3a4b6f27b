"""A model engine as azureswitch sees it."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import Protocol

from msgspec import Struct

from azureswitch.core import CallId, Incarnation, TargetName


class Surface(Enum):
    """Which of the two completion interfaces a request uses."""

    COMPLETION = "/v1/completions"
    CHAT = "/v1/chat/completions"


class EngineRequest(Struct, frozen=True, kw_only=True):
    """One attempt to run a request on an engine.

    Attributes:
        call: The request's id, which the engine returns in every chunk.
        attempt: Counts attempts at this request from 1.
        owner: The process that holds the engine's memory for this attempt.
        surface: The interface.
        body: The caller's JSON body, unchanged.
        cache_scope: Prefixes are shared only between requests of the same scope.
        priority: Smaller runs first.
        timeout: Seconds that the request has left.
        resume_from: How many output tokens the caller has; the engine goes on after them.
    """

    call: CallId
    attempt: int
    owner: Incarnation
    surface: Surface
    body: bytes
    cache_scope: str
    priority: int
    timeout: float
    resume_from: int = 0


class Chunk(Struct, frozen=True, kw_only=True):
    """A run of whole server-sent events.

    Attributes:
        data: The bytes to relay, each event ending in a blank line.
        tokens: How many output tokens they carry.
        last: Whether they end with the engine's end-of-stream event.
    """

    data: bytes
    tokens: int
    last: bool


class LoadReport(Struct, frozen=True, kw_only=True):
    """What an engine says of its load, with a lag.

    Attributes:
        target: The engine.
        started: Its start, in milliseconds of its wall clock; changes when it restarts.
        sequence: Grows with every report of one start.
        running: Requests in the batch.
        waiting: Requests not yet in the batch.
        waiting_tokens: Prompt tokens still to be prefilled, over all requests.
        urgent_tokens: The part of ``waiting_tokens`` of requests with priority 0 or less.
        memory_used: KV tokens in use, reservations and exports included, cache excluded.
        memory_total: KV tokens in all.
        models: The models that are loaded.
        draining: Whether it takes no new work.
    """

    target: TargetName
    started: int
    sequence: int
    running: int
    waiting: int
    waiting_tokens: int
    urgent_tokens: int
    memory_used: int
    memory_total: int
    models: tuple[str, ...]
    draining: bool = False


class CacheEvents(Struct, frozen=True, kw_only=True):
    """Which prefix blocks an engine cached and evicted after a sequence number.

    Attributes:
        target: The engine.
        started: Its start, as in `LoadReport`.
        sequence: The number of the last event covered.
        complete: Whether nothing between the asked number and ``sequence`` is missing.
        added: Hashes of blocks cached.
        removed: Hashes of blocks evicted.
    """

    target: TargetName
    started: int
    sequence: int
    complete: bool
    added: tuple[int, ...]
    removed: tuple[int, ...]


class HoldingKind(Enum):
    """Why engine memory is held outside a running request."""

    RESERVATION = "reservation"
    EXPORT = "export"
    IMPORT = "import"


class Holding(Struct, frozen=True, kw_only=True):
    """Engine memory held under an owner's name.

    Attributes:
        id: Its id, unique on the engine.
        kind: Why it is held.
        call: The request that it is held for.
        attempt: The attempt that it is held for.
        owner: The process that must release it.
        tokens: KV tokens held.
    """

    id: str
    kind: HoldingKind
    call: CallId
    attempt: int
    owner: Incarnation
    tokens: int


class OrderKind(Enum):
    """What an order sets."""

    MODEL = "model"
    ADAPTER = "adapter"
    ROLE = "role"


class Order(Struct, frozen=True, kw_only=True):
    """A declarative order: the wanted value of one property of an engine.

    Attributes:
        kind: Which property.
        value: The wanted value, such as a model with its version.
        present: Whether the value must be there or must be gone.
        fence: The fencing number of the holder that sends it.
    """

    kind: OrderKind
    value: str
    present: bool
    fence: int


class EngineState(Struct, frozen=True, kw_only=True):
    """What an engine reads back of its orders.

    Attributes:
        fence: The newest fencing number seen.
        models: Models loaded, with versions.
        adapters: Adapters loaded.
        role: Its role.
    """

    fence: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str


class Engine(Protocol):
    """One engine.

    All methods raise `TargetRefusedError` where nothing ran and `TargetBrokenError` where the
    engine may have acted.
    """

    def stream(self, *, request: EngineRequest) -> AsyncIterator[Chunk]:
        """Run a request and yield its output as server-sent events.

        Raises:
            TargetRejectedError: The engine says that the request is wrong.
            TargetAnswerError: The answer is not that of this request.
        """

    def attach(self, *, call: CallId, attempt: int, offset: int) -> AsyncIterator[Chunk]:
        """Yield the output of a request that runs already, from a token offset on."""

    async def cancel(self, *, call: CallId, attempt: int) -> None:
        """Stop an attempt and free its memory; harmless when it is not there."""

    async def prioritize(self, *, call: CallId, attempt: int, priority: int) -> None:
        """Change the priority of an attempt; harmless when it is not there."""

    async def load(self) -> LoadReport:
        """Return the load report."""

    async def cache(self, *, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""

    async def reserve(self, *, holding: Holding) -> None:
        """Hold memory all or nothing; repeating the same holding changes nothing."""

    async def prefill(self, *, holding: Holding, request: EngineRequest, start: int) -> None:
        """Prefill the span of a prompt that starts at a token into reserved memory."""

    async def export(self, *, holding: Holding) -> str:
        """Make the KV of a holding readable for other engines and return its address."""

    async def fetch(self, *, holding: Holding, source: str) -> None:
        """Import exported KV from an address into reserved memory."""

    async def release(self, *, holding: str) -> None:
        """Free a holding; harmless when it is not there."""

    async def holdings(self) -> tuple[Holding, ...]:
        """Return all holdings, those of running requests excluded."""

    async def order(self, *, order: Order) -> EngineState:
        """Carry out an order.

        Raises:
            OrderRefusedError: The engine checks fencing numbers and has seen a newer one.
        """

    async def state(self) -> EngineState:
        """Read back what the engine holds."""
