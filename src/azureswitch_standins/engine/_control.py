"""The engine's interface for reports and orders."""

from collections.abc import Mapping

from blacksheep import Request, Response

from azureswitch_standins._web import Handler
from azureswitch_standins.engine._live import LiveEngine
from azureswitch_standins.engine._reading import query_number, read_json
from azureswitch_standins.engine._wire import ListedModel, ModelList, OrderBody, json_answer


class ControlHandlers:
    """Reports the engine's state and carries out orders.

    Args:
        live: The engine.
    """

    def __init__(self, *, live: LiveEngine) -> None:
        self._live = live

    @property
    def routes(self) -> Mapping[tuple[str, str], Handler]:
        """The handlers by method and path."""
        return {
            ("GET", "/v1/models"): self._models,
            ("GET", "/engine/load"): self._load,
            ("GET", "/engine/cache"): self._cache,
            ("POST", "/engine/orders"): self._order,
            ("GET", "/engine/state"): self._state,
        }

    async def _models(self, request: Request) -> Response:
        models = self._live.model.state(now=self._live.now).models
        return json_answer(ModelList(data=[ListedModel(id=model) for model in models]))

    async def _load(self, request: Request) -> Response:
        return json_answer(self._live.model.load(now=self._live.now))

    async def _cache(self, request: Request) -> Response:
        return json_answer(
            self._live.model.cache(now=self._live.now, after=query_number(request, "after"))
        )

    async def _state(self, request: Request) -> Response:
        return json_answer(self._live.model.state(now=self._live.now))

    async def _order(self, request: Request) -> Response:
        body = await read_json(request, OrderBody)
        state = self._live.model.order(now=self._live.now, order=body.order)
        self._live.update()
        return json_answer(state)
