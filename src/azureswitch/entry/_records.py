"""The shell's records of requests in progress."""

from asyncio import Event, Task
from collections.abc import Callable

from msgspec import Struct, field

from azureswitch.core import TargetName
from azureswitch.entry._answers import PlainSlot, StreamAnswer
from azureswitch.ports import Surface
from azureswitch.serving import Call


class ModelPayload(Struct, frozen=True, kw_only=True):
    """The parts of a request that are sent to an engine.

    Attributes:
        surface: The interface.
        body: The caller's body, unchanged.
        cache_scope: The scope within which prefixes are shared.
    """

    surface: Surface
    body: bytes
    cache_scope: str


class PlainPayload(Struct, frozen=True, kw_only=True):
    """The parts of a request that are sent to a plain target."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Attempt(Struct, kw_only=True, eq=False):
    """A running attempt.

    Attributes:
        number: Its number among the attempts of the request, from 1.
        targets: Where it runs.
        offset: Number of output tokens of the request, including this attempt's.
        task: The task that executes it.
        cancelled: Whether it was cancelled and no more of its output is accepted.
    """

    number: int
    targets: tuple[TargetName, ...]
    offset: int
    task: Task[None] | None = None
    cancelled: bool = False


class ModelRecord(Struct, kw_only=True, eq=False):
    """A request to engines.

    Attributes:
        call: The request.
        payload: What is sent to an engine.
        answer: The answer to the caller.
        attempts: The running attempts.
        abort: Aborts the caller's connection.
        durable: Whether any host can find it while it runs.
        job: Its job id, once there is one.
        job_recorded: Set once an attempt has started and was recorded, if that was possible.
    """

    call: Call
    payload: ModelPayload
    answer: StreamAnswer
    attempts: dict[int, Attempt] = field(default_factory=dict)
    abort: Callable[[], None] | None = None
    durable: bool = False
    job: str | None = None
    job_recorded: Event = field(default_factory=Event)


class PlainRecord(Struct, kw_only=True, eq=False):
    """A request to a plain service."""

    call: Call
    payload: PlainPayload
    answer: PlainSlot
    attempts: dict[int, Attempt] = field(default_factory=dict)


Record = ModelRecord | PlainRecord
