"""The engine in real time behind its HTTP interface."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import wraps
from typing import Any
from urllib.parse import quote, unquote

from blacksheep import Application, Request, Response, StreamedContent
from msgspec.structs import replace

from azureswitch.core import CallId, HostName, Incarnation
from azureswitch.ports import Holding, Surface
from azureswitch_standins._web import WebServer, application, route_value
from azureswitch_standins.engine._errors import (
    EngineError,
    HoldingError,
    MalformedError,
    RefusedByFaultError,
    RequestMissingError,
)
from azureswitch_standins.engine._live import LiveEngine
from azureswitch_standins.engine._outputs import (
    Failed,
    Finished,
    RunRequest,
)
from azureswitch_standins.engine._prompt import Question
from azureswitch_standins.engine._reading import (
    attempt_key,
    either,
    exported_span,
    gone,
    header,
    query_number,
    read_body,
    read_json,
    read_request,
)
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._streams import EngineCounters, EngineFaults, LiveStream
from azureswitch_standins.engine._wire import (
    EventEncoder,
    Exported,
    FetchBody,
    HoldingBody,
    Holdings,
    ListedModel,
    ModelList,
    OrderBody,
    PrefillBody,
    PriorityBody,
    ReleaseBody,
    error_answer,
    json_answer,
)

GRACE = 5.0
"""Seconds that an attempt goes on without a reader, and that an ended one can be attached to."""

_WATCH_PERIOD = 0.5
"""Seconds between two looks at whether an engine that a span is read from is still there."""

Handler = Callable[[Any, Request], Awaitable[Response]]


def _answered(handler: Handler) -> Handler:
    """Turn refusals into answers, and delay answers as the faults say."""

    @wraps(handler)
    async def answer(self: "EngineStandin", request: Request) -> Response:
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        try:
            return await handler(self, request)
        except EngineError as error:
            return error_answer(error)

    return answer


class EngineStandin:
    """An engine that listens on loopback.

    Args:
        settings: What the engine is.
        host: The IP to listen on.
        port: The port to listen on; zero for any.
        speed: Seconds of the model in one second.
        grace: Seconds that an attempt goes on without a reader.
        started: The engine's start, in milliseconds of its wall clock.
    """

    def __init__(
        self,
        *,
        settings: EngineSettings | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        speed: float = 1.0,
        grace: float = GRACE,
        started: int = 1,
    ) -> None:
        self._live = LiveEngine(
            settings=settings or EngineSettings(), speed=speed, grace=grace, started=started
        )
        self._server = WebServer(app=self._routes(), host=host, port=port)
        self._faults = EngineFaults()
        self._watches: set[asyncio.Future[None]] = set()

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    @property
    def faults(self) -> EngineFaults:
        """What goes wrong now."""
        return self._faults

    @property
    def counters(self) -> EngineCounters:
        """What has been counted since the start."""
        return self._live.counters

    async def start(self) -> None:
        """Listen and serve."""
        self._live.start()
        await self._server.start()

    async def stop(self) -> None:
        """Stop, breaking what still runs."""
        for watch in tuple(self._watches):
            watch.cancel()
        self._live.stop()
        await self._server.stop()

    async def kill(self) -> None:
        """Die as a process does: connections break and memory is lost."""
        await self.set_faults(faults=replace(self._faults, dead=True))

    async def revive(self) -> None:
        """Come back on the same address with empty memory."""
        await self.set_faults(faults=replace(self._faults, dead=False))

    async def set_faults(self, *, faults: EngineFaults) -> None:
        """Change what goes wrong."""
        was_dead = self._faults.dead
        self._faults = replace(faults, stall=0.0)
        if faults.stall:
            self._live.stall(faults.stall)
        if faults.dead and not was_dead:
            self._server.pause()
            self._live.lose()
        if was_dead and not faults.dead:
            self._live.restart()
            await self._server.resume()

    def _routes(self) -> Application:
        attempt = "/engine/requests/:call/:attempt"
        return application(
            routes={
                ("POST", Surface.COMPLETION.value): self._completion,
                ("POST", Surface.CHAT.value): self._chat,
                ("GET", "/v1/models"): self._models,
                ("GET", f"{attempt}/stream"): self._attach,
                ("POST", f"{attempt}/cancel"): self._cancel,
                ("POST", f"{attempt}/priority"): self._priority,
                ("GET", "/engine/load"): self._load,
                ("GET", "/engine/cache"): self._cache,
                ("GET", "/engine/kv"): self._kv,
                ("POST", "/engine/kv/reserve"): self._reserve,
                ("POST", "/engine/kv/prefill"): self._prefill,
                ("POST", "/engine/kv/export"): self._export,
                ("GET", "/engine/kv/exports/:holding"): self._exported,
                ("POST", "/engine/kv/fetch"): self._fetch,
                ("POST", "/engine/kv/release"): self._release,
                ("POST", "/engine/orders"): self._order,
                ("GET", "/engine/state"): self._state,
                ("POST", "/standin/faults"): self._post_faults,
                ("GET", "/standin/counters"): self._get_counters,
            }
        )

    # --- Completions ------------------------------------------------------------------------------

    async def _completion(self, request: Request) -> Response:
        return await self._run(request, Surface.COMPLETION)

    async def _chat(self, request: Request) -> Response:
        return await self._run(request, Surface.CHAT)

    async def _run(self, request: Request, surface: Surface) -> Response:
        if self._faults.delay:
            await asyncio.sleep(self._faults.delay)
        try:
            question = await read_request(request, surface)
            run = self._run_request(request, question)
            self._check(run)
            encoder = EventEncoder(call=run.call, surface=surface, question=question)
            stream = self._live.submit(run, encoder)
        except EngineError as error:
            self._live.counts["refused"] += 1
            return error_answer(error)
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
        if self._faults.refuse:
            raise RefusedByFaultError(retry_after=1.0)
        if run.resume_from > run.max_tokens:
            raise MalformedError(detail="the caller has more tokens than were asked for")

    @_answered
    async def _attach(self, request: Request) -> Response:
        stream = self._live.streams.get(attempt_key(request))
        if stream is None:
            raise RequestMissingError()
        return self._streamed(request, stream, query_number(request, "offset"))

    def _streamed(self, request: Request, stream: LiveStream, offset: int) -> Response:
        stream.readers += 1

        async def events() -> AsyncIterator[bytes]:
            left = asyncio.ensure_future(gone(request))
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
            bell = stream.bell
            produced, end = stream.produced, stream.end
            cut = self._faults.cut_after
            if cut:
                produced = min(produced, first + cut)
            if produced > offset:
                self._live.counts["tokens"] += produced - offset
                yield self._encoder(stream).tokens(start=offset, end=produced)
                offset = produced
            if cut and offset >= first + cut:
                self._server.abort(request=request)
                return
            if isinstance(end, Finished):
                yield stream.encoder.usage(cached=end.cached_tokens)
                return
            if isinstance(end, Failed):
                self._server.abort(request=request)
                return
            await either(bell.wait(), left)

    def _encoder(self, stream: LiveStream) -> EventEncoder:
        """Return the encoder of a stream, or of another one where answers are crossed."""
        if not self._faults.cross:
            return stream.encoder
        for other in self._live.streams.values():
            if other is not stream:
                return other.encoder
        return stream.encoder.crossed()

    async def _whole(self, request: Request, stream: LiveStream) -> Response:
        stream.readers += 1
        left = asyncio.ensure_future(gone(request))
        try:
            while stream.end is None and not left.done():
                await either(stream.bell.wait(), left)
        finally:
            left.cancel()
            stream.readers -= 1
            self._live.expire(stream)
        if isinstance(stream.end, Finished):
            start = stream.request.resume_from
            self._live.counts["tokens"] += stream.request.max_tokens - start
            return self._encoder(stream).whole(start=start, cached=stream.end.cached_tokens)
        self._server.abort(request=request)
        return Response(500)

    @_answered
    async def _cancel(self, request: Request) -> Response:
        self._live.cancel(attempt_key(request))
        return json_answer({})

    @_answered
    async def _priority(self, request: Request) -> Response:
        call, attempt = attempt_key(request)
        body = await read_json(request, PriorityBody)
        self._live.model.prioritize(
            now=self._live.now, call=call, attempt=attempt, priority=body.priority
        )
        self._live.turn()
        return json_answer({})

    # --- Reports ----------------------------------------------------------------------------------

    @_answered
    async def _models(self, request: Request) -> Response:
        models = self._live.model.state(now=self._live.now).models
        return json_answer(ModelList(data=[ListedModel(id=model) for model in models]))

    @_answered
    async def _load(self, request: Request) -> Response:
        return json_answer(self._live.model.load(now=self._live.now))

    @_answered
    async def _cache(self, request: Request) -> Response:
        return json_answer(
            self._live.model.cache(now=self._live.now, after=query_number(request, "after"))
        )

    @_answered
    async def _state(self, request: Request) -> Response:
        return json_answer(self._live.model.state(now=self._live.now))

    @_answered
    async def _order(self, request: Request) -> Response:
        body = await read_json(request, OrderBody)
        state = self._live.model.order(now=self._live.now, order=body.order)
        self._live.turn()
        return json_answer(state)

    # --- KV ---------------------------------------------------------------------------------------

    @_answered
    async def _kv(self, request: Request) -> Response:
        return json_answer(Holdings(holdings=self._live.model.holdings))

    @_answered
    async def _reserve(self, request: Request) -> Response:
        body = await read_json(request, HoldingBody)
        if self._faults.refuse:
            raise RefusedByFaultError(retry_after=1.0)
        self._live.model.reserve(now=self._live.now, holding=body.holding)
        return json_answer({})

    @_answered
    async def _prefill(self, request: Request) -> Response:
        body = await read_json(request, PrefillBody)
        question = read_body(body.request.surface, body.request.body, body.request.cache_scope)
        self._live.model.prefill(
            now=self._live.now,
            holding=body.holding,
            prompt=question.prompt,
            start=body.start,
            priority=body.request.priority,
        )
        await self._live.filled(body.holding.id)
        return json_answer({})

    @_answered
    async def _export(self, request: Request) -> Response:
        body = await read_json(request, HoldingBody)
        self._live.model.export(now=self._live.now, holding=body.holding)
        holding = quote(body.holding.id, safe="")
        return json_answer(Exported(address=f"{self.address}/engine/kv/exports/{holding}"))

    @_answered
    async def _exported(self, request: Request) -> Response:
        holding = unquote(route_value(request=request, name="holding"))
        return json_answer(self._live.model.exported(holding=holding))

    @_answered
    async def _fetch(self, request: Request) -> Response:
        body = await read_json(request, FetchBody)
        span = await exported_span(body.source)
        self._live.model.fetch(now=self._live.now, holding=body.holding, span=span)
        await self._live.filled(body.holding.id)
        if body.holding.tokens < span.end - span.start:
            self._watch(body.holding, body.source)
        return json_answer({})

    def _watch(self, holding: Holding, source: str) -> None:
        """End the attempt that reads a remote span when that is gone."""
        watch = asyncio.ensure_future(self._watched(holding, source))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)

    async def _watched(self, holding: Holding, source: str) -> None:
        while any(held.id == holding.id for held in self._live.model.holdings):
            try:
                await exported_span(source)
            except HoldingError:
                self._live.cancel((holding.call, holding.attempt))
                return
            await asyncio.sleep(_WATCH_PERIOD / self._live.speed)

    @_answered
    async def _release(self, request: Request) -> Response:
        body = await read_json(request, ReleaseBody)
        self._live.model.release(now=self._live.now, holding=body.holding)
        self._live.turn()
        return json_answer({})

    # --- Control ----------------------------------------------------------------------------------

    async def _post_faults(self, request: Request) -> Response:
        try:
            faults = await read_json(request, EngineFaults)
        except EngineError as error:
            return error_answer(error)
        asyncio.get_running_loop().call_soon(
            lambda: asyncio.ensure_future(self.set_faults(faults=faults))
        )
        return json_answer({})

    async def _get_counters(self, request: Request) -> Response:
        return json_answer(self.counters)
