"""A server on loopback whose handler does as it is told."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

from azureswitch.buffers import BufferBudget
from azureswitch.client import Headers
from azureswitch.exceptions import AzureswitchError
from azureswitch.server import CallerLimits, ConnectionClosed, Exchange, HttpServer
from tests.waiting import PATIENCE

LOST = b"<lost>"
"""What a caller notes where its connection was reset."""


def request(path: str, *, headers: str = "") -> bytes:
    """Return a request without a body."""
    return f"GET {path} HTTP/1.1\r\nhost: a\r\n{headers}\r\n".encode()


@dataclass(slots=True, kw_only=True)
class Script:
    """The `Handler` of the tests; it answers at once what has no task of its own.

    Attributes:
        limits: What a connection may ask.
        closing: Whether callers are told to use another connection.
        acts: What is done with requests, by path.
        handled: Paths of the requests that were handed over, in order.
        refused: The refusals.
        left: Paths of the requests whose callers left before the answer was whole.
        closed: The connections that ended.
    """

    limits: CallerLimits = field(default_factory=CallerLimits)
    closing: bool = False
    acts: dict[str, Callable[[Exchange], None]] = field(default_factory=dict)
    handled: list[str] = field(default_factory=list)
    refused: list[AzureswitchError] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    closed: list[ConnectionClosed] = field(default_factory=list)

    def handle(self, exchange: Exchange) -> None:
        """Answer a request with its path, or do with it what the script says."""
        path = exchange.request.target
        self.handled.append(path)
        exchange.on_left(lambda: self.left.append(path))
        act = self.acts.get(path, answer)
        act(exchange)

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer with the failure's code."""
        self.refused.append(error)
        exchange.respond(status=error.status, headers=(), body=error.code.encode())


def answer(exchange: Exchange, *, headers: Headers = ()) -> None:
    """Answer a request with its path."""
    exchange.respond(status=HTTPStatus.OK, headers=headers, body=exchange.request.target.encode())


def answer_after(seconds: float) -> Callable[[Exchange], None]:
    """Return an act that answers later."""

    def act(exchange: Exchange) -> None:
        asyncio.get_running_loop().call_later(seconds, answer, exchange)

    return act


def abort_after(seconds: float) -> Callable[[Exchange], None]:
    """Return an act that breaks off later."""

    def act(exchange: Exchange) -> None:
        asyncio.get_running_loop().call_later(seconds, exchange.abort)

    return act


def never(exchange: Exchange) -> None:
    """Leave a request without an answer."""


@dataclass(slots=True, kw_only=True)
class Bed:
    """A server and its script."""

    server: HttpServer
    script: Script

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.server.address.rpartition(":")[2])

    async def connect(self) -> "Caller":
        """Connect to it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        return Caller(reader=reader, writer=writer)


@dataclass(slots=True, kw_only=True)
class Caller:
    """One connection, as its caller sees it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def ask(self, path: str) -> bytes:
        """Send a request and return the head and the body of its answer."""
        self.send(request(path))
        head = await self.reader.readuntil(b"\r\n\r\n")
        return head + await self.reader.readexactly(_length(head))

    async def rest(self) -> bytes:
        """Return all that comes until the connection ends; a reset adds `LOST`."""
        got = b""
        try:
            while data := await self.reader.read(65_536):
                got += data
        except ConnectionError:
            return got + LOST
        return got


def bodies(data: bytes) -> list[str]:
    """Return the bodies of some answers, in order; what is no whole answer is one of them."""
    found = []
    while data:
        head, separator, rest = data.partition(b"\r\n\r\n")
        length = _length(head) if separator else 0
        found.append(rest[:length].decode() if separator else data.decode())
        data = rest[length:] if separator else b""
    return found


def _length(head: bytes) -> int:
    lines = head.lower().split(b"\r\n")
    return next(int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length:"))


@asynccontextmanager
async def serve(script: Script, *, budget: BufferBudget | None = None) -> AsyncIterator[Bed]:
    """Serve by a script, within a budget of memory if one is given."""
    server = HttpServer(handler=script, closed=script.closed.append, budget=budget)
    await server.start(address="127.0.0.1:0")
    try:
        yield Bed(server=server, script=script)
    finally:
        server.stop_listening()
        server.abort()


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())
