"""What an engine is asked to run and what comes out of it."""

from dataclasses import dataclass
from enum import Enum

from azureswitch.core import CallId, Incarnation
from azureswitch_standins.engine._prompt import Prompt


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRequest:
    """One attempt to run a request.

    Attributes:
        call: The call.
        attempt: The attempt.
        owner: Who owns the attempt.
        model: The model asked for.
        prompt: The prompt.
        max_tokens: Output tokens of the whole answer.
        priority: Smaller runs first.
        timeout: Seconds after which the engine cancels the attempt, or None.
        resume_from: Output tokens that the caller has already.
    """

    call: CallId
    attempt: int
    owner: Incarnation
    model: str
    prompt: Prompt
    max_tokens: int
    priority: int = 0
    timeout: float | None = None
    resume_from: int = 0


class Failure(Enum):
    """Why an attempt or a span ended without its result."""

    CANCELLED = "cancelled"
    TIMEOUT = "timeout"
    DIED = "died"


@dataclass(frozen=True, slots=True, kw_only=True)
class Output:
    """Something that came out of an engine.

    Attributes:
        at: When.
        call: The call.
        attempt: The attempt.
    """

    at: float
    call: CallId
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FirstToken(Output):
    """The prompt is prefilled and the first output token is there."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Finished(Output):
    """The last output token is there and the memory is free.

    Attributes:
        cached_tokens: Prompt tokens that were found in the cache.
    """

    cached_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Output):
    """An attempt ended early and its memory is free.

    Attributes:
        failure: Why.
        tokens: Output tokens of the whole answer that were produced.
    """

    failure: Failure
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanReady(Output):
    """A span is prefilled or copied into its holding."""

    holding: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanFailed(Output):
    """Work for a holding stopped; the holding itself stays until it is released."""

    holding: str
    failure: Failure
