"""The work that an engine has accepted: attempts and spans."""

from msgspec import Struct

from azureswitch.core import CallId
from azureswitch.ports import Holding
from azureswitch_standins.engine._batch import Job
from azureswitch_standins.engine._kv import Span
from azureswitch_standins.engine._outputs import RunRequest

Key = tuple[CallId, int]
"""A call and the number of its attempt."""


class AttemptWork(Struct, kw_only=True, eq=False):
    """An attempt that waits or runs.

    Attributes:
        request: What is run.
        priority: Smaller runs first.
        order: The number of its arrival.
        reserved: Whether it runs in memory that was reserved before.
        job: Its job in the batch, or None while it waits.
        hits: Leading blocks of its prompt that were cached when it began.
        cached: Prompt tokens that need no prefill.
        private: KV tokens that only this attempt uses.
        pinned: Cached blocks that it keeps from eviction.
    """

    request: RunRequest
    priority: int
    order: int
    reserved: bool
    job: Job | None = None
    hits: int = 0
    cached: int = 0
    private: int = 0
    pinned: tuple[int, ...] = ()

    @property
    def key(self) -> Key:
        """The call and the number of the attempt."""
        return self.request.call, self.request.attempt


class SpanWork(Struct, kw_only=True, eq=False):
    """A span that is being prefilled or copied.

    Attributes:
        holding: Where its KV goes.
        span: The span.
        job: Its job in the batch, or None for a copy.
    """

    holding: Holding
    span: Span
    job: Job | None = None

    @property
    def key(self) -> Key:
        """The call and the attempt that it is for."""
        return self.holding.call, self.holding.attempt
