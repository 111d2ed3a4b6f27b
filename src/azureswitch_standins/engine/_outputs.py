"""Requests to an engine and its outputs."""

from enum import Enum

from msgspec import Struct

from azureswitch.core import CallId, Incarnation
from azureswitch_standins.engine._prompt import Prompt


class RunRequest(Struct, frozen=True, kw_only=True):
    """One attempt to run a request.

    Attributes:
        call: The call.
        attempt: The attempt.
        owner: Who owns the attempt.
        model: The requested model.
        prompt: The prompt.
        max_tokens: Output tokens of the whole answer.
        priority: Smaller runs first.
        timeout: Seconds after which the engine cancels the attempt, or None.
        resume_from: Number of output tokens that the caller already has.
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


class Output(Struct, frozen=True, kw_only=True):
    """Base of an engine's outputs.

    Attributes:
        at: The time.
        call: The call.
        attempt: The attempt.
    """

    at: float
    call: CallId
    attempt: int


class FirstToken(Output, frozen=True, kw_only=True):
    """The prompt is prefilled and the first output token is produced."""


class Finished(Output, frozen=True, kw_only=True):
    """The last output token is produced and the memory is free.

    Attributes:
        cached_tokens: Prompt tokens that were found in the cache.
    """

    cached_tokens: int


class Failed(Output, frozen=True, kw_only=True):
    """An attempt ended early and its memory is free.

    Attributes:
        failure: The reason.
        tokens: Output tokens of the whole answer that were produced.
    """

    failure: Failure
    tokens: int


class SpanReady(Output, frozen=True, kw_only=True):
    """A span is prefilled or copied into its holding."""

    holding: str


class SpanFailed(Output, frozen=True, kw_only=True):
    """Work for a holding stopped; the holding itself stays until it is released."""

    holding: str
    failure: Failure
