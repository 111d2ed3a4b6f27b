"""What the shell keeps of a request while it runs."""

from asyncio import Event, Task
from collections.abc import Callable

from msgspec import Struct, field

from azureswitch.core import TargetName
from azureswitch.entry._answers import PlainSlot, StreamAnswer
from azureswitch.ports import Surface
from azureswitch.serving import Call


class ModelPayload(Struct, frozen=True, kw_only=True):
    """What goes to an engine.

    Attributes:
        surface: The interface.
        body: The caller's body, unchanged.
        cache_scope: Prefixes are shared only inside it.
    """

    surface: Surface
    body: bytes
    cache_scope: str


class PlainPayload(Struct, frozen=True, kw_only=True):
    """What goes to a plain target."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Attempt(Struct, kw_only=True, eq=False):
    """One attempt that runs.

    Attributes:
        number: Counts the attempts at the request from 1.
        targets: Where it runs.
        offset: Output tokens of the request up to and with this attempt's.
        task: What carries it out.
        cancelled: Whether it was called off; then nothing more of it is taken.
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
        payload: What goes to an engine.
        answer: What the caller gets.
        attempts: The attempts that run.
        abort: Closes the caller's connection at once.
        durable: Whether it is to be found by any host while it runs.
        job: The job id that finds it, once there is one.
        placed: Set once an attempt has started and the job id is known.
    """

    call: Call
    payload: ModelPayload
    answer: StreamAnswer
    attempts: dict[int, Attempt] = field(default_factory=dict)
    abort: Callable[[], None] | None = None
    durable: bool = False
    job: str | None = None
    placed: Event = field(default_factory=Event)


class PlainRecord(Struct, kw_only=True, eq=False):
    """A request to a plain service."""

    call: Call
    payload: PlainPayload
    answer: PlainSlot
    attempts: dict[int, Attempt] = field(default_factory=dict)


Record = ModelRecord | PlainRecord
