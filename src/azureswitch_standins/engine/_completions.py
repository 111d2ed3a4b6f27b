"""The engine's interface for completions."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping

from blacksheep import Request, Response, StreamedContent

from azureswitch.core import CallId, HostName, Incarnation
from azureswitch.ports import Surface
from azureswitch_standins._web import Handler
from azureswitch_standins.engine._errors import (
    EngineError,
    MalformedError,
    RefusedByFaultError,
    RequestMissingError,
)
from azureswitch_standins.engine._live import LiveEngine
from azureswitch_standins.engine._outputs import Failed, Finished, RunRequest
from azureswitch_standins.engine._prompt import Question
from azureswitch_standins.engine._reading import (
    attempt_key,
    header,
    query_number,
    read_json,
    read_request,
    wait_disconnected,
    wait_first,
)
from azureswitch_standins.engine._streams import LiveStream
from azureswitch_standins.engine._wire import EventEncoder, PriorityBody, json_answer


class CompletionHandlers:
    """Runs attempts and answers them, as a stream or whole.

    Args:
        live: The engine.
        abort: Breaks the connection of a request.
    """

    def __init__(self, *, live: LiveEngine, abort: Callable[[Request], None]) -> None:
        self._live = live
        self._abort = abort

    @property
    def routes(self) -> Mapping[tuple[str, str], Handler]:
        """The handlers by method and path."""
        attempt = "/engine/requests/:call/:attempt"
        return {
            ("POST", Surface.COMPLETION.value): self._completion,
            ("POST", Surface.CHAT.value): self._chat,
            ("GET", f"{attempt}/stream"): self._attach,
            ("POST", f"{attempt}/cancel"): self._cancel,
            ("POST", f"{attempt}/priority"): self._priority,
        }

    async def _completion(self, request: Request) -> Response:
        return await self._run(request, Surface.COMPLETION)

    async def _chat(self, request: Request) -> Response:
        return await self._run(request, Surface.CHAT)

    async def _run(self, request: Request, surface: Surface) -> Response:
        try:
            question = await read_request(request, surface)
            run = self._run_request(request, question)
            self._check(run)
            encoder = EventEncoder(call=run.call, surface=surface, question=question)
            stream = self._live.submit(run, encoder)
        except EngineError:
            self._live.counts["refused"] += 1
            raise
        if question.stream or header(request, "x-stream") == "sse":
            return self._streamed(request, stream, run.resume_from)
        return await self._whole(request, stream)

    def _run_request(self, request: Request, question: Question) -> RunRequest:
        self._live.counts["asked"] += 1
        call = header(request, "x-request-id") or f"direct-{self._live.counts['asked']}"
        host, _, started = header(request, "x-owner").rpartition(":")
        timeout = header(request, "x-timeout")
        try:
            return RunRequest(
                call=CallId(call),
                attempt=int(header(request, "x-attempt") or "1"),
                owner=Incarnation(host=HostName(host), started=int(started or "0")),
                model=question.model,
                prompt=question.prompt,
                max_tokens=question.max_tokens,
                priority=int(header(request, "x-priority") or "0"),
                timeout=float(timeout) * self._live.speed if timeout else None,
                resume_from=int(header(request, "x-resume-from") or "0"),
            )
        except ValueError as error:
            raise MalformedError(detail=str(error)) from error

    def _check(self, run: RunRequest) -> None:
        if self._live.faults.refuse:
            raise RefusedByFaultError(retry_after=1.0)
        if run.resume_from > run.max_tokens:
            raise MalformedError(detail="the caller has more tokens than were asked for")

    async def _attach(self, request: Request) -> Response:
        stream = self._live.streams.get(attempt_key(request))
        if stream is None:
            raise RequestMissingError()
        return self._streamed(request, stream, query_number(request, "offset"))

    def _streamed(self, request: Request, stream: LiveStream, offset: int) -> Response:
        stream.readers += 1

        async def events() -> AsyncIterator[bytes]:
            left = asyncio.ensure_future(wait_disconnected(request))
            try:
                async for data in self._events(request, stream, offset, left):
                    yield data
            finally:
                left.cancel()
                stream.readers -= 1
                self._live.expire(stream)

        return Response(200, content=StreamedContent(b"text/event-stream", events))

    async def _events(
        self, request: Request, stream: LiveStream, offset: int, left: asyncio.Future[None]
    ) -> AsyncIterator[bytes]:
        first = offset
        while not left.done():
            # Taken before the state is read, so that no change in between is missed.
            changed = stream.changed
            produced, end = stream.produced, stream.end
            cut = self._live.faults.cut_after
            if cut:
                produced = min(produced, first + cut)
            if produced > offset:
                self._live.counts["tokens"] += produced - offset
                yield self._encoder(stream).tokens(start=offset, end=produced)
                offset = produced
            if cut and offset >= first + cut:
                self._abort(request)
                return
            if isinstance(end, Finished):
                yield stream.encoder.usage(cached=end.cached_tokens)
                return
            if isinstance(end, Failed):
                self._abort(request)
                return
            await wait_first(changed.wait(), left)

    def _encoder(self, stream: LiveStream) -> EventEncoder:
        """Return the encoder of a stream, or of another one where answers are crossed."""
        if not self._live.faults.cross:
            return stream.encoder
        for other in self._live.streams.values():
            if other is not stream:
                return other.encoder
        return stream.encoder.crossed()

    async def _whole(self, request: Request, stream: LiveStream) -> Response:
        stream.readers += 1
        left = asyncio.ensure_future(wait_disconnected(request))
        try:
            while stream.end is None and not left.done():
                await wait_first(stream.changed.wait(), left)
        finally:
            left.cancel()
            stream.readers -= 1
            self._live.expire(stream)
        if isinstance(stream.end, Finished):
            start = stream.request.resume_from
            self._live.counts["tokens"] += stream.request.max_tokens - start
            return self._encoder(stream).whole(start=start, cached=stream.end.cached_tokens)
        self._abort(request)
        return Response(500)

    async def _cancel(self, request: Request) -> Response:
        self._live.cancel(attempt_key(request))
        return json_answer({})

    async def _priority(self, request: Request) -> Response:
        call, attempt = attempt_key(request)
        body = await read_json(request, PriorityBody)
        self._live.model.prioritize(
            now=self._live.now, call=call, attempt=attempt, priority=body.priority
        )
        self._live.update()
        return json_answer({})
