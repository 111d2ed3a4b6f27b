"""The API for callers: completions, models and plain services."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from re import compile
from urllib.parse import unquote

from blacksheep import Application, Content, Request, Response, Router, StreamedContent
from msgspec import Struct
from msgspec.json import encode

from azureswitch.coordination.journal import Resilience, resilience
from azureswitch.core import CallId, CustomerName, ServiceName
from azureswitch.engines import CONNECTION_HEADERS, end_to_end
from azureswitch.entry._answers import PlainSlot, Recording, Relay, StreamAnswer
from azureswitch.entry._bodies import Completion, read_completion
from azureswitch.entry._errors import error_event, error_response
from azureswitch.entry._events import whole_answer
from azureswitch.entry._handlers import Answerer, typed
from azureswitch.entry._records import ModelPayload, ModelRecord, PlainPayload, PlainRecord
from azureswitch.entry._requests import (
    aborter,
    header,
    idempotency_key,
    read_body,
    receiver,
    request_timeout,
    response_writer,
    wait_disconnected,
)
from azureswitch.entry._settings import Limits
from azureswitch.entry._shell import Shell
from azureswitch.exceptions import (
    CallerLeftError,
    LeavingError,
    MissingIdempotencyKeyError,
    UnknownPathError,
)
from azureswitch.fingerprints import fingerprint
from azureswitch.inventory import SHORTEST_KEY_RETENTION, Customer
from azureswitch.ports import PlainAnswer, Surface
from azureswitch.serving import Call
from azureswitch.tasks import Tasks

SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
"""HTTP methods that are routed to plain services."""

EVENT_STREAM = b"text/event-stream"
"""The content type of server-sent events."""

MAX_CLAIMED_SECONDS = SHORTEST_KEY_RETENTION / 2.0
"""Upper bound in seconds of the deadline of a claimed call, which its key must outlast."""

_CONSUMED_HEADERS = frozenset(
    (
        "authorization",
        "expect",
        "host",
        "idempotency-key",
        "x-request-id",
        "x-request-timeout",
    )
)
"""Headers of callers that are not forwarded unchanged."""

_SEPARATORS = compile(r"[/\\]")

_STATUSES = range(200, 600)
"""Statuses that are accepted from a plain target."""

_ID_PREFIXES = {Surface.COMPLETION: "cmpl", Surface.CHAT: "chatcmpl"}


class ModelEntry(Struct, kw_only=True):
    """One model of the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "azureswitch"


class ModelList(Struct, kw_only=True):
    """The list of models."""

    data: list[ModelEntry]
    object: str = "list"


class CallerApi:
    """Answers callers.

    Args:
        shell: Runs requests.
        limits: The limits for a caller.
    """

    def __init__(self, *, shell: Shell, limits: Limits) -> None:
        self._shell = shell
        self._limits = limits
        self._tasks = Tasks(prefix="entry")

    def install(self, app: Application) -> None:
        """Add the routes."""
        router: Router = app.router
        for surface, prefix in _ID_PREFIXES.items():
            router.add_post(surface.value, typed(prefix, self._completer(surface)))
        router.add_get("/v1/models", typed("models", self._models))
        service = typed("call", self._service)
        for method in SERVICE_METHODS:
            router.add(method, "/s/*", service)
        router.fallback = typed("none", _unknown_path)

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await self._tasks.stop()

    def admit(self, request: Request) -> Customer:
        """Return the customer who sends a request.

        Raises:
            LeavingError: This host accepts no new work.
            UnauthenticatedError: The key is missing or not known.
        """
        if self._shell.leaving:
            raise LeavingError()
        return self._shell.directory.customer(header(request, b"authorization"))

    async def body(self, request: Request) -> bytes:
        """Read a body within the limits."""
        limit = min(self._limits.body_bytes, self._shell.directory.rules.body_limit)
        return await read_body(request, limit=limit, timeout=self._limits.read_timeout)

    def model_record(
        self,
        *,
        call: CallId,
        customer: CustomerName,
        surface: Surface,
        body: bytes,
        completion: Completion,
        timeout: float | None,
        answer: StreamAnswer,
    ) -> ModelRecord:
        """Return the record of a request to engines."""
        directory = self._shell.directory
        service = directory.model_service(completion.model)
        long = completion.prompt_tokens >= directory.rules.long_prompt
        rule = directory.rules.long_deadline if long else directory.rules.short_deadline
        return ModelRecord(
            call=Call(
                id=call,
                customer=customer,
                service=service.name,
                model=completion.model,
                prompt_tokens=completion.prompt_tokens,
                output_tokens=completion.output_tokens,
                prefix=completion.prefix,
                deadline=self._shell.now + (timeout or rule),
                fingerprint=fingerprint(
                    method="POST", scope=service.name, path=surface.value, body=body
                ),
            ),
            payload=ModelPayload(surface=surface, body=body, cache_scope=str(customer)),
            answer=answer,
        )

    # --- Completions ------------------------------------------------------------------------------

    def _completer(self, surface: Surface) -> Answerer:
        async def answer(request: Request, call: CallId) -> Response:
            return await self._complete(request, call, surface)

        return answer

    async def _complete(self, request: Request, call: CallId, surface: Surface) -> Response:
        customer = self.admit(request)
        timeout = request_timeout(request)
        body = await self.body(request)
        completion = read_completion(body, surface, scope=str(customer.name))
        limits = self._limits
        answer: Relay | Recording = Recording(limit=limits.answer_bytes)
        if completion.stream:
            answer = Relay(limit=limits.buffer_bytes, clock=lambda: self._shell.now)
        record = self.model_record(
            call=call,
            customer=customer.name,
            surface=surface,
            body=body,
            completion=completion,
            timeout=timeout,
            answer=answer,
        )
        record.abort = aborter(request)
        kept = resilience(call=record.call, rules=self._shell.directory.rules)
        record.durable = completion.stream and kept is Resilience.JOURNAL
        self._shell.submit(record)
        self.watch_disconnect(request, call)
        if isinstance(answer, Relay):
            return await self._streamed(request, record, answer)
        await answer.wait_ended()
        if answer.error is not None:
            return error_response(answer.error, call=call)
        return json_answer(whole_answer(answer.data, surface), call=call)

    async def _streamed(self, request: Request, record: ModelRecord, relay: Relay) -> Response:
        call = record.call.id
        await relay.wait_started()
        if relay.error is not None and not relay.started:
            return error_response(relay.error, call=call)

        if record.durable:
            await record.job_recorded.wait()
        writer = response_writer(request)
        headers = stream_headers(call=call, job=record.job)
        await writer.begin(status=200, headers=[(b"content-type", EVENT_STREAM), *headers])
        try:
            await relay.serve(writer.write)
            if relay.error is not None:
                await writer.write(error_event(relay.error))
        finally:
            self._shell.leave(call)
        await writer.end()
        return Response(200)

    def watch_disconnect(self, request: Request, call: CallId) -> None:
        """End a request when its caller closes the connection."""
        receive = receiver(request)

        async def watch() -> None:
            await wait_disconnected(receive)
            self._shell.leave(call)

        self._tasks.spawn(watch(), name=f"{call} watch")

    # --- Models -----------------------------------------------------------------------------------

    async def _models(self, request: Request, call: CallId) -> Response:
        self._shell.directory.customer(header(request, b"authorization"))
        entries = [ModelEntry(id=model) for model in self._shell.directory.models]
        return json_answer(encode(ModelList(data=entries)), call=call)

    # --- Plain services ---------------------------------------------------------------------------

    async def _service(self, request: Request, call: CallId) -> Response:
        customer = self.admit(request)
        name, path = _service_path(request)
        service = self._shell.directory.plain_service(name)
        timeout = request_timeout(request)
        key = idempotency_key(request)
        repeatable = request.method in service.repeatable_methods
        if not repeatable and key is None:
            raise MissingIdempotencyKeyError(service=name)
        body = await self.body(request)
        slot = PlainSlot()
        seconds = timeout or self._shell.directory.rules.plain_deadline
        record = PlainRecord(
            call=Call(
                id=call,
                customer=customer.name,
                service=ServiceName(name),
                deadline=self._shell.now
                + (seconds if repeatable else min(seconds, MAX_CLAIMED_SECONDS)),
                repeatable=repeatable,
                idempotency_key=key,
                fingerprint=fingerprint(method=request.method, scope=name, path=path, body=body),
            ),
            payload=PlainPayload(
                method=request.method, path=path, headers=_forwarded_headers(request), body=body
            ),
            answer=slot,
        )
        self._shell.submit(record)
        self.watch_disconnect(request, call)
        await slot.wait_ended()
        if slot.error is not None or slot.answer is None:
            return error_response(slot.error or CallerLeftError(), call=call)
        return _plain_response(slot.answer, call=call)


def event_stream(
    output: Callable[[], AsyncIterator[bytes]], *, call: CallId, job: str | None = None
) -> Response:
    """Return a response of server-sent events."""
    return Response(200, stream_headers(call=call, job=job), StreamedContent(EVENT_STREAM, output))


def stream_headers(*, call: CallId, job: str | None) -> list[tuple[bytes, bytes]]:
    """Return the headers of server-sent events, except the content type."""
    headers = [(b"x-request-id", call.encode()), (b"cache-control", b"no-cache")]
    if job is not None:
        headers.append((b"x-job-id", job.encode()))
    return headers


def json_answer(body: bytes, *, call: CallId, status: int = 200) -> Response:
    """Return a JSON response with its request id."""
    headers = [(b"x-request-id", call.encode())]
    return Response(status, headers, Content(b"application/json", body))


async def _unknown_path(request: Request, call: CallId) -> Response:
    raise UnknownPathError()


def _service_path(request: Request) -> tuple[str, str]:
    """Return the service and the path and query below its root."""
    raw = request.url.path.decode("latin-1")
    _, _, name, *rest = raw.split("/", 3)
    path = "/" + "".join(rest)
    # Targets differ in how they decode, split and normalise paths, so dot segments are rejected.
    segments = _SEPARATORS.split(unquote(path))
    if any(segment.partition(";")[0] in (".", "..") for segment in segments):
        raise UnknownPathError()
    query = request.url.query
    return name, f"{path}?{query.decode('latin-1')}" if query else path


def _forwarded_headers(request: Request) -> tuple[tuple[str, str], ...]:
    headers = tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in request.headers
    )
    return tuple(item for item in end_to_end(headers) if item[0] not in _CONSUMED_HEADERS)


def _plain_response(answer: PlainAnswer, *, call: CallId) -> Response:
    headers = [(b"x-request-id", call.encode())]
    content_type = b""
    for name, value in answer.headers:
        lower = name.lower()
        if lower == "content-type":
            content_type = value.encode("latin-1", "replace")
        elif lower not in CONNECTION_HEADERS and lower not in ("x-request-id", "date", "server"):
            headers.append((lower.encode(), value.encode("latin-1", "replace")))
    status = answer.status if answer.status in _STATUSES else int(HTTPStatus.BAD_GATEWAY)
    return Response(status, headers, Content(content_type, answer.body) if answer.body else None)
