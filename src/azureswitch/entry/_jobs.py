"""Jobs: submission, status and streams of long work, at any host."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

from blacksheep import Application, Request, Response
from msgspec import Raw, Struct
from msgspec.json import encode
from msgspec.structs import replace

from azureswitch.coordination.journal import JobRecord, Journal
from azureswitch.coordination.membership import Member
from azureswitch.core import CallId, CustomerName
from azureswitch.entry._answers import Recording
from azureswitch.entry._api import CallerApi, event_stream, json_answer
from azureswitch.entry._bodies import is_chat, read_completion
from azureswitch.entry._errors import error_body, error_event, error_response
from azureswitch.entry._events import whole_answer
from azureswitch.entry._handlers import typed
from azureswitch.entry._jobtable import Job, JobPart, JobPull, JobTable
from azureswitch.entry._records import ModelRecord
from azureswitch.entry._requests import (
    header,
    receiver,
    request_timeout,
    stream_offset,
    wait_disconnected,
)
from azureswitch.entry._settings import Limits
from azureswitch.entry._shell import Shell
from azureswitch.exceptions import (
    AzureswitchError,
    LongWorkLostError,
    PeerError,
    UnknownCallError,
)
from azureswitch.ports import Peers, Surface
from azureswitch.tasks import Tasks

PULL_TIMEOUT_SECONDS = 3.0
"""Timeout in seconds of a pull from another host."""

STORED_OUTPUT_TIMEOUT_SECONDS = 2.0
"""Timeout in seconds of reading the stored output of a job whose host does not answer."""

DRAIN_POLL_SECONDS = 0.05
"""Seconds between two checks for open streams of jobs."""

MAX_FIND_ATTEMPTS = 4
"""Number of attempts to read a job that neither a host nor its engine has."""

BASE_FIND_BACKOFF_SECONDS = 0.5
"""Seconds before the first retry; it grows by as much with each further one."""


class JobBody(Struct, kw_only=True):
    """The status of a job.

    Attributes:
        id: The job's id.
        status: ``running``, ``done`` or ``failed``.
        tokens: Number of output tokens so far.
        answer: The whole answer of a job that is done.
        error: The error of a job that failed.
    """

    id: str
    status: str
    tokens: int
    object: str = "job"
    answer: Raw | None = None
    error: Raw | None = None


class _Found(Struct, frozen=True, kw_only=True):
    """A job that was found.

    Attributes:
        id: The job's id.
        call: The request.
        customer: The customer who submitted it.
        record: Its record in the journal, or None for a job of this host without one.
    """

    id: str
    call: CallId
    customer: CustomerName
    record: JobRecord | None


class JobApi:
    """Answers requests about jobs.

    Args:
        api: Reads requests.
        shell: Runs requests.
        journal: Finds long work.
        table: The jobs of this host.
        peers: Sends messages to other hosts.
        members: Returns the current members.
        limits: The limits for a caller.
    """

    def __init__(
        self,
        *,
        api: CallerApi,
        shell: Shell,
        journal: Journal,
        table: JobTable,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        limits: Limits,
    ) -> None:
        self._api = api
        self._shell = shell
        self._journal = journal
        self._table = table
        self._peers = peers
        self._members = members
        self._limits = limits
        self._tasks = Tasks(prefix="entry")
        self._readers: dict[asyncio.Task[object], float | None] = {}

    def install(self, app: Application) -> None:
        """Add the routes."""
        app.router.add_post("/v1/jobs", typed("job", self._submit))
        app.router.add_get("/v1/jobs/:id", typed("jobs", self._show))
        app.router.add_get("/v1/jobs/:id/stream", typed("jobs", self._stream))

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.stop()

    async def wait_drained(self) -> None:
        """Wait until every stream of a job has ended, except those whose callers do not read.

        A job can outlast the shutdown of the host that serves its stream.
        """
        limit = self._limits.write_timeout
        while any(
            since is None or self._shell.now - since < limit for since in self._readers.values()
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    # --- Submitting -------------------------------------------------------------------------------

    async def _submit(self, request: Request, call: CallId) -> Response:
        customer = self._api.admit(request)
        timeout = request_timeout(request)
        body = await self._api.body(request)
        surface = Surface.CHAT if is_chat(body) else Surface.COMPLETION
        output = Recording(limit=self._limits.answer_bytes)
        record = self._api.model_record(
            call=call,
            customer=customer.name,
            surface=surface,
            body=body,
            completion=read_completion(body, surface, scope=str(customer.name)),
            timeout=timeout or self._shell.directory.rules.long_deadline,
            answer=output,
        )
        record.durable = True
        self._table.add(Job(call=call, customer=customer.name, output=output))
        self._shell.submit(record)
        self._watch(request, record)
        await record.job_recorded.wait()
        if record.job is None and output.ended and output.error is not None:
            self._table.remove(call)
            return error_response(output.error, call=call)
        body = encode(JobBody(id=record.job or call, status="running", tokens=output.tokens))
        return json_answer(body, call=call, status=202)

    def _watch(self, request: Request, record: ModelRecord) -> None:
        """End a job whose caller disconnects before it has the job's id."""
        receive = receiver(request)

        async def watch() -> None:
            await wait_disconnected(receive)
            if not record.job_recorded.is_set():
                self._shell.leave(record.call.id)

        self._tasks.spawn(watch(), name=f"{record.call.id} watch")

    # --- Status -----------------------------------------------------------------------------------

    async def _show(self, request: Request, call: CallId) -> Response:
        found = await self._find(request)
        part = await self._read(found)
        body = JobBody(id=found.id, status="running", tokens=part.total)
        if part.error:
            body.status = "failed"
            body.error = Raw(part.error)
        elif part.over:
            body.status = "done"
            body.answer = Raw(whole_answer(part.data, _surface(found.call, part.data)))
        return json_answer(encode(body), call=call)

    async def _read(self, found: _Found) -> JobPart:
        """Return the whole output of a job so far."""
        pulled = [part async for part in self._pull(found, offset=0, follow=False)]
        if pulled and pulled[-1].found:
            last = pulled[-1]
            data = b"".join(part.data for part in pulled)
            return JobPart(
                found=True, data=data, total=last.total, over=last.over, error=last.error
            )
        return await self._read_stored(found)

    async def _read_stored(self, found: _Found) -> JobPart:
        assert found.record is not None
        pieces = []
        tokens = 0
        try:
            async with asyncio.timeout(STORED_OUTPUT_TIMEOUT_SECONDS):
                async for chunk in self._journal.output(record=found.record, offset=0):
                    pieces.append(chunk.data)
                    tokens += chunk.tokens
        except TimeoutError:
            return JobPart(found=True, total=tokens)
        except AzureswitchError as error:
            return JobPart(found=True, total=tokens, over=True, error=error_body(error))
        return JobPart(found=True, data=b"".join(pieces), total=tokens, over=True)

    # --- Streams ----------------------------------------------------------------------------------

    async def _stream(self, request: Request, call: CallId) -> Response:
        offset = stream_offset(request)
        found = await self._find(request)
        reader = self._add_reader()
        events = self._events(found, offset)
        first = await anext(events, b"")
        self._readers[reader] = self._shell.now

        async def output() -> AsyncIterator[bytes]:
            if first:
                yield first
            self._readers[reader] = None
            async for data in events:
                self._readers[reader] = self._shell.now
                yield data
                self._readers[reader] = None

        return event_stream(output, call=found.call, job=found.id)

    def _add_reader(self) -> asyncio.Task[object]:
        """Register a stream until its task ends, with the time since when output is unread."""
        reader = asyncio.current_task()
        assert reader is not None
        self._readers[reader] = None
        reader.add_done_callback(lambda ended: self._readers.pop(ended, None))
        return reader

    async def _events(self, found: _Found, offset: int) -> AsyncIterator[bytes]:
        """Yield a job's events from an offset on, whichever host runs it.

        Raises:
            AzureswitchError: None of its output is available.
        """
        at = offset
        for attempt in range(MAX_FIND_ATTEMPTS):
            try:
                async for part in self._parts(found, at):
                    at += part.tokens
                    yield part.data
                return
            except AzureswitchError as error:
                lost = error
            if not isinstance(lost, LongWorkLostError):
                break
            # Its host may have just died, and its successor may not have taken over yet.
            await asyncio.sleep(BASE_FIND_BACKOFF_SECONDS * (attempt + 1))
            found = await self._find_again(found)
        if at == offset:
            raise lost
        yield error_event(lost)

    async def _parts(self, found: _Found, offset: int) -> AsyncIterator[JobPart]:
        async for part in self._pull(found, offset=offset, follow=True):
            offset += part.tokens
            if part.data:
                yield part
            if part.over:
                if part.error:
                    yield JobPart(found=True, data=b"data: " + part.error + b"\n\n")
                return
        if found.record is None:
            raise UnknownCallError(call=found.id)
        async for chunk in self._journal.output(record=found.record, offset=offset):
            yield JobPart(found=True, data=chunk.data, tokens=chunk.tokens)

    async def _find_again(self, found: _Found) -> _Found:
        record = await self._journal.find(job=found.id, customer=found.customer)
        return replace(found, record=record or found.record)

    async def _pull(self, found: _Found, *, offset: int, follow: bool) -> AsyncIterator[JobPart]:
        """Yield the parts that the job's host has; none if it does not answer.

        Args:
            found: The job.
            offset: The token offset to begin at.
            follow: Whether to continue until the job has ended.
        """
        while True:
            ask = JobPull(call=found.call, customer=found.customer, offset=offset, follow=follow)
            part = await self._request_part(found, ask)
            if part is None or not part.found:
                return
            offset += part.tokens
            yield part
            if part.over or not (follow or offset < part.total):
                return

    async def _request_part(self, found: _Found, ask: JobPull) -> JobPart | None:
        if self._table.find(call=found.call, customer=found.customer) is not None:
            return await self._table.pull(ask)
        owners = [
            member.address
            for member in self._members()
            if found.record is not None and member.incarnation == found.record.owner
        ]
        for address in owners:
            try:
                return await self._peers.call(
                    address=address, request=ask, reply=JobPart, timeout=PULL_TIMEOUT_SECONDS
                )
            except PeerError:
                return None
        return None

    async def _find(self, request: Request) -> _Found:
        customer = self._shell.directory.customer(header(request, b"authorization"))
        job = request.route_values["id"] or ""
        record = await self._journal.find(job=job, customer=customer.name)
        if record is not None:
            return _Found(id=job, call=record.call, customer=customer.name, record=record)
        if self._table.find(call=CallId(job), customer=customer.name) is not None:
            return _Found(id=job, call=CallId(job), customer=customer.name, record=None)
        raise UnknownCallError(call=job)


def _surface(call: CallId, data: bytes) -> Surface:
    return Surface.CHAT if b'"chat.completion.chunk"' in data[:512] else Surface.COMPLETION
