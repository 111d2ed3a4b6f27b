"""The running and ended jobs of this host, for its own callers and for other hosts."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from azureswitch.core import CallId, CustomerName
from azureswitch.entry._answers import Recording
from azureswitch.entry._errors import error_body
from azureswitch.ports import Peers

PULL_WAIT_SECONDS = 1.0
"""Seconds for which a host waits for output before it answers a pull without any."""

TARGET_PART_BYTES = 1_048_576
"""Bytes of output after which a part is not extended."""


class JobPull(Struct, frozen=True, kw_only=True):
    """Requests the output of a job from a token offset on.

    Attributes:
        call: The request.
        customer: The requesting customer, who must be the job's own.
        offset: Number of output tokens that the requester has.
        follow: Whether to wait for output if there is none yet.
    """

    call: CallId
    customer: CustomerName
    offset: int
    follow: bool


class JobPart(Struct, frozen=True, kw_only=True):
    """A part of a job's output.

    Attributes:
        found: Whether the host has the job.
        data: Whole server-sent events.
        tokens: Output tokens in them.
        total: Output tokens of the job so far.
        over: Whether this is the end of the output.
        error: The body of the error if the job failed.
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
        customer: The customer who submitted it.
        output: Its output so far.
        ended: When it ended, on the host's monotonic clock.
    """

    call: CallId
    customer: CustomerName
    output: Recording
    ended: float | None = None


class JobTable:
    """Jobs by request, kept for some time after their end.

    Args:
        peers: Receives pulls of other hosts.
        retention: Seconds for which an ended job is kept.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(self, *, peers: Peers, retention: float, clock: Callable[[], float]) -> None:
        self._retention = retention
        self._clock = clock
        self._jobs: dict[CallId, Job] = {}
        peers.handle(JobPull, self.pull)

    def add(self, job: Job) -> None:
        """Add a job and remove those whose retention has expired."""
        self._expire()
        self._jobs[job.call] = job

    def find(self, *, call: CallId, customer: CustomerName) -> Job | None:
        """Return a customer's job, or None."""
        self._expire()
        job = self._jobs.get(call)
        return job if job is not None and job.customer == customer else None

    def remove(self, call: CallId) -> None:
        """Remove a job that was not admitted."""
        self._jobs.pop(call, None)

    async def pull(self, ask: JobPull) -> JobPart:
        """Return output after an offset."""
        job = self.find(call=ask.call, customer=ask.customer)
        if job is None:
            return JobPart(found=False)
        output = job.output
        if ask.follow and output.tokens <= ask.offset and not output.ended:
            try:
                async with asyncio.timeout(PULL_WAIT_SECONDS):
                    await output.wait_changed()
            except TimeoutError:
                pass
        part = output.part(offset=ask.offset, limit=TARGET_PART_BYTES)
        return JobPart(
            found=True,
            data=part.data,
            tokens=part.tokens,
            total=output.tokens,
            over=(output.ended or output.complete) and part.complete,
            error=error_body(output.error) if output.error else b"",
        )

    def _expire(self) -> None:
        now = self._clock()
        for job in tuple(self._jobs.values()):
            if job.output.ended and job.ended is None:
                job.ended = now
            if job.ended is not None and now > job.ended + self._retention:
                del self._jobs[job.call]
