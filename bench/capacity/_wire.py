"""Bytes of a poll of an engine, counted between a real client and a stand-in engine."""

import asyncio
from collections.abc import Awaitable, Callable

from azureswitch.core import TargetName
from azureswitch.engines import HttpEngine
from azureswitch_standins.engine import EngineSettings, EngineStandin
from bench.capacity._series import Series, series

COUNTS = (1, 10, 50, 100)
"""Polls of one measurement."""

CHUNK = 65_536


class _Tap:
    """Passes bytes on and counts them, TCP and IP headers left out."""

    def __init__(self, *, address: str) -> None:
        self._ip, port = address.rsplit(":", 1)
        self._port = int(port)
        self._tasks: set[asyncio.Task[None]] = set()
        self.bytes = 0
        self.address = ""

    async def start(self) -> asyncio.Server:
        """Listen."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        return server

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(self._ip, self._port)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pass(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        while data := await source.read(CHUNK):
            self.bytes += len(data)
            sink.write(data)
        sink.close()


async def _measure() -> dict[str, dict[int, float]]:
    standin = EngineStandin(settings=EngineSettings(models=("model-a", "model-b", "model-c")))
    await standin.start()
    tap = _Tap(address=str(standin.address))
    server = await tap.start()
    engine = HttpEngine(target=TargetName("lm-001"), address=tap.address)
    kinds: dict[str, Callable[[], Awaitable[object]]] = {
        "load": engine.load,
        "cache": lambda: engine.cache(after=0),
        "holdings": engine.holdings,
    }
    found: dict[str, dict[int, float]] = {}
    for kind, ask in kinds.items():
        for count in COUNTS:
            before = tap.bytes
            for _ in range(count):
                await ask()
            found.setdefault(kind, {})[count] = float(tap.bytes - before)
    server.close()
    await standin.stop()
    return found


def wire() -> list[Series]:
    """Measure polls of the load, of idle cache events and of holdings."""
    return [
        series(f"wire.{kind}", unit="bytes", by="polls", size=1, points=points)
        for kind, points in asyncio.run(_measure()).items()
    ]
