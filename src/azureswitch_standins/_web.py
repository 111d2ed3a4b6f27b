"""Runs the HTTP side of a stand-in in the event loop of its test or program."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Iterator, Mapping
from typing import Protocol

from blacksheep import Application, Request, Response
from blacksheep.server.routing import Router
from uvicorn import Config, Server


class WebServer:
    """An application on an address of its own, which can vanish and come back."""

    def __init__(self, *, app: Application, host: str = "127.0.0.1", port: int = 0) -> None:
        self._app = app
        self._config = Config(
            app,
            host=host,
            port=port,
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
        )
        self._server = _QuietServer(self._config)
        self._ticks: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """``IP:PORT``, known once the server has started."""
        return f"{self._config.host}:{self._config.port}"

    async def start(self) -> None:
        """Listen and serve."""
        await self._app.start()  # type: ignore[no-untyped-call]
        self._config.load()
        self._server.lifespan = self._config.lifespan_class(self._config)
        await self.resume()
        self._ticks = asyncio.create_task(self._server.main_loop())

    async def stop(self) -> None:
        """Stop listening and break what still runs."""
        self.pause()
        self._server.should_exit = True
        if self._ticks is not None:
            await self._ticks
        for task in tuple(self._server.server_state.tasks):
            task.cancel()
        await asyncio.gather(*self._server.server_state.tasks, return_exceptions=True)
        await self._app.stop()  # type: ignore[no-untyped-call]

    def pause(self) -> None:
        """Stop listening and break every connection, as when the process dies."""
        for listener in self._server.servers:
            listener.close()
        for connection in tuple(self._server.server_state.connections):
            connection.transport.abort()

    def abort(self, *, request: Request) -> None:
        """Break the connection that a request came by."""
        client = request.scope["client"]
        for connection in tuple(self._server.server_state.connections):
            if connection.transport.get_extra_info("peername") == client:
                connection.transport.abort()

    async def resume(self) -> None:
        """Listen on the same address again."""
        await self._server.startup()
        listener = self._server.servers[0]
        self._config.port = listener.sockets[0].getsockname()[1]


Handler = Callable[[Request], Awaitable[Response]]


def application(*, routes: Mapping[tuple[str, str], Handler]) -> Application:
    """Return an application of handlers by method and path."""
    app = Application(router=Router())
    for (method, path), handler in routes.items():
        app.router.add(method, path, _function(handler))
    return app


def _function(handler: Handler) -> Handler:
    # The router marks its handlers, which bound methods do not allow.
    async def handle(request: Request) -> Response:
        return await handler(request)

    return handle


def route_value(*, request: Request, name: str) -> str:
    """Return a value of the request's route."""
    return (request.route_values or {}).get(name) or ""


class Runnable(Protocol):
    """A stand-in that listens."""

    @property
    def address(self) -> str:
        """``IP:PORT``."""

    async def start(self) -> None:
        """Listen and serve."""

    async def stop(self) -> None:
        """Stop."""


async def run_until_signal(*, server: Runnable) -> None:
    """Serve until SIGTERM or SIGINT."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await server.start()
    print(f"Listening on {server.address}", flush=True)
    await ended.wait()
    await server.stop()


class _QuietServer(Server):
    """A server that leaves the signals of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield
