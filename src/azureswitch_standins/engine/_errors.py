"""Why an engine says no; every one of these means that nothing ran."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import ClassVar


@dataclass(kw_only=True, eq=False)
class EngineError(Exception):
    """Base of the engine's refusals.

    Attributes:
        type: The name on the wire.
        status: The HTTP status.
        retry_after: Seconds after which a new try may be taken, or None.
    """

    type: ClassVar[str]
    status: ClassVar[HTTPStatus]
    detail: str = ""
    retry_after: float | None = None


class MalformedError(EngineError):
    """The request cannot be read."""

    type = "malformed_body"
    status = HTTPStatus.BAD_REQUEST


class ContextLengthError(EngineError):
    """The request can never fit the engine's memory."""

    type = "context_length_exceeded"
    status = HTTPStatus.BAD_REQUEST


class ModelMissingError(EngineError):
    """The model is not loaded."""

    type = "model_not_found"
    status = HTTPStatus.NOT_FOUND


class RequestMissingError(EngineError):
    """No such attempt is known."""

    type = "request_not_found"
    status = HTTPStatus.NOT_FOUND


class AttemptExistsError(EngineError):
    """The attempt runs already, or was cancelled before it came."""

    type = "attempt_exists"
    status = HTTPStatus.CONFLICT


class HoldingError(EngineError):
    """The holding is not what the operation needs."""

    type = "holding_conflict"
    status = HTTPStatus.CONFLICT


class QueueFullError(EngineError):
    """Too many requests wait."""

    type = "queue_full"
    status = HTTPStatus.TOO_MANY_REQUESTS


class MemoryFullError(EngineError):
    """The memory asked for is not free now."""

    type = "memory_full"
    status = HTTPStatus.SERVICE_UNAVAILABLE


class DrainingError(EngineError):
    """The engine takes no new work."""

    type = "draining"
    status = HTTPStatus.SERVICE_UNAVAILABLE


class RefusedByFaultError(EngineError):
    """The engine was told to refuse."""

    type = "refused"
    status = HTTPStatus.SERVICE_UNAVAILABLE


@dataclass(kw_only=True, eq=False)
class FencedError(EngineError):
    """The order's fencing number is old."""

    type: ClassVar[str] = "order_fenced"
    status: ClassVar[HTTPStatus] = HTTPStatus.CONFLICT
    fence: int
    newest: int
