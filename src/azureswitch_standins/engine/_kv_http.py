"""The engine's interface for memory that is held outside running requests."""

import asyncio
from collections.abc import Callable, Mapping
from urllib.parse import quote, unquote

from blacksheep import Request, Response

from azureswitch.ports import Holding
from azureswitch_standins._web import Handler, route_value
from azureswitch_standins.engine._errors import HoldingError, RefusedByFaultError
from azureswitch_standins.engine._live import LiveEngine
from azureswitch_standins.engine._reading import exported_span, read_body, read_json
from azureswitch_standins.engine._wire import (
    Exported,
    FetchBody,
    HoldingBody,
    Holdings,
    PrefillBody,
    ReleaseBody,
    json_answer,
)

_WATCH_PERIOD = 0.5
"""Seconds between two checks that the engine a remote span is read from still exports it."""


class KvHandlers:
    """Reserves, prefills, exports, imports and releases holdings.

    Args:
        live: The engine.
        address: Returns the ``IP:PORT`` that exports are read from.
    """

    def __init__(self, *, live: LiveEngine, address: Callable[[], str]) -> None:
        self._live = live
        self._address = address
        self._watches: set[asyncio.Future[None]] = set()

    @property
    def routes(self) -> Mapping[tuple[str, str], Handler]:
        """The handlers by method and path."""
        return {
            ("GET", "/engine/kv"): self._kv,
            ("POST", "/engine/kv/reserve"): self._reserve,
            ("POST", "/engine/kv/prefill"): self._prefill,
            ("POST", "/engine/kv/export"): self._export,
            ("GET", "/engine/kv/exports/:holding"): self._exported,
            ("POST", "/engine/kv/fetch"): self._fetch,
            ("POST", "/engine/kv/release"): self._release,
        }

    def stop(self) -> None:
        """Stop checking the spans that other engines export."""
        for watch in tuple(self._watches):
            watch.cancel()

    async def _kv(self, request: Request) -> Response:
        return json_answer(Holdings(holdings=self._live.model.holdings))

    async def _reserve(self, request: Request) -> Response:
        body = await read_json(request, HoldingBody)
        if self._live.faults.refuse:
            raise RefusedByFaultError(retry_after=1.0)
        self._live.model.reserve(now=self._live.now, holding=body.holding)
        return json_answer({})

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
        await self._live.wait_filled(body.holding.id)
        return json_answer({})

    async def _export(self, request: Request) -> Response:
        body = await read_json(request, HoldingBody)
        self._live.model.export(now=self._live.now, holding=body.holding)
        holding = quote(body.holding.id, safe="")
        return json_answer(Exported(address=f"{self._address()}/engine/kv/exports/{holding}"))

    async def _exported(self, request: Request) -> Response:
        holding = unquote(route_value(request=request, name="holding"))
        return json_answer(self._live.model.exported(holding=holding))

    async def _fetch(self, request: Request) -> Response:
        body = await read_json(request, FetchBody)
        span = await exported_span(body.source)
        self._live.model.fetch(now=self._live.now, holding=body.holding, span=span)
        await self._live.wait_filled(body.holding.id)
        if body.holding.tokens < span.end - span.start:
            self._watch(body.holding, body.source)
        return json_answer({})

    def _watch(self, holding: Holding, source: str) -> None:
        """Cancel the attempt that reads a remote span once that is no longer exported."""
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

    async def _release(self, request: Request) -> Response:
        body = await read_json(request, ReleaseBody)
        self._live.model.release(now=self._live.now, holding=body.holding)
        self._live.update()
        return json_answer({})
