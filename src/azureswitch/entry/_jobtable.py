"""The jobs that run or have ended on this host, for its own callers and for other hosts."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from azureswitch.core import CallId, CustomerName
from azureswitch.entry._answers import Recording
from azureswitch.entry._errors import error_body
from azureswitch.ports import Peers

PULL_WAIT = 1.0
"""Seconds that a host waits for output before it answers a pull with none."""

PART_BYTES = 1_048_576
"""Bytes of output in one part, about."""


class JobPull(Struct, frozen=True, kw_only=True):
    """Asks a host for the output of a job from a token offset on.

    Attributes:
        call: The request.
        customer: Who asks; only the job's own customer gets anything.
        offset: Output tokens that the asker has.
        follow: Whether to wait a little where there is none yet.
    """

    call: CallId
    customer: CustomerName
    offset: int
    follow: bool


class JobPart(Struct, frozen=True, kw_only=True):
    """A run of a job's output.

    Attributes:
        found: Whether the host has the job.
        data: Whole server-sent events.
        tokens: Output tokens in them.
        total: Output tokens of the job so far.
        over: Whether nothing comes after them.
        error: The body of the failure, where the job failed.
    """

    found: bool
    data: bytes = b""
    tokens: int = 0
    total: int = 0
    over: bool = False
    error: bytes = b""


class Job(Struct, kw_only=True, eq=False):
    """One job.

    Attributes:
        call: The request.
        customer: Who sent it.
        output: What it has given so far.
        ended: When it ended, on the host's monotonic clock.
    """

    call: CallId
    customer: CustomerName
    output: Recording
    ended: float | None = None


class JobTable:
    """Jobs by request, kept for some time after their end.

    Args:
        peers: Other hosts, whose pulls are answered here.
        retention: Seconds for which an ended job is kept.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, peers: Peers, retention: float, clock: Callable[[], float]) -> None:
        self._retention = retention
        self._clock = clock
        self._jobs: dict[CallId, Job] = {}
        peers.handle(JobPull, self.pull)

    def add(self, job: Job) -> None:
        """Keep a job and forget those that ended long ago."""
        self._expire()
        self._jobs[job.call] = job

    def find(self, *, call: CallId, customer: CustomerName) -> Job | None:
        """Return a customer's job, or None."""
        self._expire()
        job = self._jobs.get(call)
        return job if job is not None and job.customer == customer else None

    def remove(self, call: CallId) -> None:
        """Forget a job that was never placed."""
        self._jobs.pop(call, None)

    async def pull(self, ask: JobPull) -> JobPart:
        """Return output after an offset."""
        job = self.find(call=ask.call, customer=ask.customer)
        if job is None:
            return JobPart(found=False)
        output = job.output
        if ask.follow and output.tokens <= ask.offset and not output.over:
            try:
                async with asyncio.timeout(PULL_WAIT):
                    await output.wait_changed()
            except TimeoutError:
                pass
        part = output.part(offset=ask.offset, limit=PART_BYTES)
        return JobPart(
            found=True,
            data=part.data,
            tokens=part.tokens,
            total=output.tokens,
            over=(output.over or output.whole) and part.complete,
            error=error_body(output.error) if output.error else b"",
        )

    def _expire(self) -> None:
        now = self._clock()
        for job in tuple(self._jobs.values()):
            if job.output.over and job.ended is None:
                job.ended = now
            if job.ended is not None and now > job.ended + self._retention:
                del self._jobs[job.call]
