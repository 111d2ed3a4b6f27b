"""The engine in real time with its HTTP interface."""

import asyncio

from blacksheep import Application, Request, Response
from msgspec.structs import replace

from azureswitch_standins._web import Handler, WebServer, application
from azureswitch_standins.engine._completions import CompletionHandlers
from azureswitch_standins.engine._control import ControlHandlers
from azureswitch_standins.engine._errors import EngineError
from azureswitch_standins.engine._kv_http import KvHandlers
from azureswitch_standins.engine._live import LiveEngine
from azureswitch_standins.engine._reading import read_json
from azureswitch_standins.engine._settings import EngineSettings
from azureswitch_standins.engine._streams import EngineCounters, EngineFaults
from azureswitch_standins.engine._wire import error_answer, json_answer

GRACE = 5.0
"""Seconds for which an attempt runs without a reader, and an ended one can be attached to."""


class EngineStandin:
    """An engine that listens on loopback.

    Args:
        settings: The settings of the engine.
        host: The IP to listen on.
        port: The port to listen on; zero for any.
        speed: Seconds of the model's clock per second.
        grace: Seconds for which an attempt runs without a reader.
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
        self._completions = CompletionHandlers(live=self._live, abort=self._abort)
        self._kv = KvHandlers(live=self._live, address=lambda: self.address)
        self._control = ControlHandlers(live=self._live)
        self._server = WebServer(app=self._application(), host=host, port=port)

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    @property
    def faults(self) -> EngineFaults:
        """The injected faults."""
        return self._live.faults

    @property
    def counters(self) -> EngineCounters:
        """The counters since the start."""
        return self._live.counters

    async def start(self) -> None:
        """Listen and serve."""
        self._live.start()
        await self._server.start()

    async def stop(self) -> None:
        """Stop and abort what still runs."""
        self._kv.stop()
        self._live.stop()
        await self._server.stop()

    async def kill(self) -> None:
        """Stop like a killed process: connections are aborted and memory is lost."""
        await self.set_faults(faults=replace(self._live.faults, dead=True))

    async def revive(self) -> None:
        """Restart on the same address with empty memory."""
        await self.set_faults(faults=replace(self._live.faults, dead=False))

    async def set_faults(self, *, faults: EngineFaults) -> None:
        """Change the injected faults."""
        was_dead = self._live.faults.dead
        self._live.faults = replace(faults, stall=0.0)
        if faults.stall:
            self._live.stall(faults.stall)
        if faults.dead and not was_dead:
            self._server.pause()
            self._live.lose()
        if was_dead and not faults.dead:
            self._live.restart()
            await self._server.resume()

    def _application(self) -> Application:
        routes = {**self._completions.routes, **self._kv.routes, **self._control.routes}
        standin: dict[tuple[str, str], Handler] = {
            ("POST", "/standin/faults"): self._post_faults,
            ("GET", "/standin/counters"): self._get_counters,
        }
        delayed = {route: _delayed(handler, self._live) for route, handler in routes.items()}
        return application(
            routes={route: _refusing(handler) for route, handler in {**delayed, **standin}.items()}
        )

    def _abort(self, request: Request) -> None:
        self._server.abort(request=request)

    async def _post_faults(self, request: Request) -> Response:
        faults = await read_json(request, EngineFaults)
        asyncio.get_running_loop().call_soon(
            lambda: asyncio.ensure_future(self.set_faults(faults=faults))
        )
        return json_answer({})

    async def _get_counters(self, request: Request) -> Response:
        return json_answer(self.counters)


def _delayed(handler: Handler, live: LiveEngine) -> Handler:
    """Delay the answers of a handler by the fault `EngineFaults.delay`."""

    async def answer(request: Request) -> Response:
        if live.faults.delay:
            await asyncio.sleep(live.faults.delay)
        return await handler(request)

    return answer


def _refusing(handler: Handler) -> Handler:
    """Turn the refusals of a handler into answers."""

    async def answer(request: Request) -> Response:
        try:
            return await handler(request)
        except EngineError as error:
            return error_answer(error)

    return answer
