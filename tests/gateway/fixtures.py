"""A gateway on loopback in front of fake targets with scripted behaviour."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from socket import socket
from time import monotonic

from azureswitch.client import Headers, HttpAnswer, HttpClient
from azureswitch.coordination.membership import Member
from azureswitch.core import CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.exceptions import AzureswitchError, TargetError, TargetRefusedError
from azureswitch.gateway import (
    Deployment,
    Gateway,
    GatewaySettings,
    Neighbours,
    Route,
    RouteKind,
    Share,
)
from azureswitch.inventory import EnginePace, Place, Service, ServiceKind, Target
from azureswitch.logs import Entry, Log
from azureswitch.metrics import Metrics
from azureswitch.platform import PlatformDialect
from azureswitch.server import CallerLimits, Exchange, HttpServer
from azureswitch.status import ForeignCollection

PATIENCE = 20.0
"""Seconds that a test waits for an expected event, even on a busy machine."""

SEAL: Headers = (("x-azureswitch-response-seal", "seal"),)

PACE = EnginePace(step=0.00131, read_rate=154_000.0, pair=1e-13, stride=34, slots=8, memory=405_000)

CUSTOMERS = {"key-ann": CustomerName("ann"), "key-bob": CustomerName("bob")}


class Act(Enum):
    """How a target handles a request."""

    ANSWER = "answers"
    FAIL = "runs it and answers with a failure of its own"
    REFUSE = "promises that it did not run it"
    CLOSE = "runs it and closes the connection without an answer"
    HANG = "runs it and does not answer"
    CROSS = "answers another request"
    BREAK = "breaks off in the middle of the answer"
    TEAR = "breaks off in the middle of an event"
    ENCODE = "answers in an encoding"
    REJECT = "answers that the request is wrong"
    PAUSE = "falls silent in the middle of the answer and goes on"
    REPEAT = "begins a stream anew, whatever its caller has"


@dataclass(slots=True, kw_only=True)
class Run:
    """One request that a target ran."""

    target: str
    id: str
    headers: dict[str, str]
    body: bytes
    closed: bool = False


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Targets that share a script of acts, applied to requests in order of arrival."""

    acts: list[Act] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    arrivals: int = 0
    events: int = 5
    pause: float = 0.0
    silence: float = 0.0
    padding: int = 0
    leaving: set[str] = field(default_factory=set)
    limits: dict[str, str] = field(default_factory=dict)
    times: dict[str, list[float]] = field(default_factory=dict)

    def next_act(self) -> Act:
        """Return the act for the next request: the next one scripted, or else `Act.ANSWER`."""
        self.arrivals += 1
        return self.acts.pop(0) if self.acts else Act.ANSWER


class FakeTarget:
    """A target that is served over HTTP.

    Args:
        name: Its name, which requests must carry.
        fleet: The script.
        streams: Whether it answers with server-sent events.
    """

    def __init__(self, *, name: str, fleet: Fleet, streams: bool) -> None:
        self._name = name
        self._fleet = fleet
        self._streams = streams
        self._server = HttpServer(handler=self)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def limits(self) -> CallerLimits:
        """The limits on connections."""
        return CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether connections are closed after an answer; always False."""
        return False

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start(address="127.0.0.1:0")

    def stop(self) -> None:
        """Stop listening and abort open requests."""
        self._server.stop_listening()
        self._server.abort()

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer 400 to invalid requests."""
        exchange.respond(status=400, headers=(), body=b"")

    def handle(self, exchange: Exchange) -> None:
        """Handle a request according to the script."""
        headers = dict(exchange.request.headers)
        act = self._fleet.next_act()
        said = self._state_headers()
        self._fleet.times.setdefault(self._name, []).append(monotonic())
        if headers.get("x-azureswitch-target-instance") != self._name:
            exchange.respond(status=421, headers=said, body=b"")
            return
        if act is Act.REFUSE:
            not_run = ("x-azureswitch-not-executed", "1")
            exchange.respond(status=503, headers=(not_run, *said), body=b"full")
            return
        run = Run(
            target=self._name,
            id=headers.get("x-azureswitch-attempt-id", ""),
            headers=headers,
            body=exchange.request.body,
        )
        self._fleet.runs.append(run)
        exchange.on_left(lambda: setattr(run, "closed", True))
        task = asyncio.get_running_loop().create_task(self._answer(exchange, run, act, said))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _state_headers(self) -> Headers:
        """Return the headers with which each answer reports the target's state."""
        leaving: Headers = (("server-leaving", "1"),) if self._name in self._fleet.leaving else ()
        limit = self._fleet.limits.get(self._name)
        return leaving if limit is None else (*leaving, ("server-limit", limit))

    async def _answer(self, exchange: Exchange, run: Run, act: Act, said: Headers) -> None:
        id = "another" if act is Act.CROSS else run.id
        headers: Headers = (
            ("x-azureswitch-attempt-id", id),
            ("x-from", self._name),
            *SEAL,
            *said,
        )
        if act is Act.ENCODE:
            headers = (*headers, ("content-encoding", "gzip"))
        if act is Act.HANG:
            return
        if act is Act.CLOSE:
            exchange.abort()
        elif act is Act.REJECT:
            exchange.respond(status=404, headers=headers, body=b"rejected")
        elif act is Act.FAIL:
            exchange.respond(status=500, headers=headers, body=b"failed")
        elif self._streams:
            await self._stream(exchange, run, act, headers)
        elif act in (Act.BREAK, Act.TEAR):
            exchange.begin(status=200, headers=headers)
            exchange.write(b"half")
            await asyncio.sleep(0)
            exchange.abort()
        else:
            exchange.respond(status=200, headers=headers, body=f"whole {id}".encode())

    async def _stream(self, exchange: Exchange, run: Run, act: Act, headers: Headers) -> None:
        had = 0 if act is Act.REPEAT else int(run.headers.get("last-event-id", "0"))
        first = had + 1
        middle = (first + self._fleet.events) // 2
        exchange.begin(status=200, headers=headers)
        for number in range(first, self._fleet.events + 1):
            if number == middle and act in (Act.BREAK, Act.TEAR):
                exchange.write(f"id: {number}\nda".encode() if act is Act.TEAR else b"")
                await asyncio.sleep(0.01)
                exchange.abort()
                return
            if number == middle and act is Act.PAUSE:
                await asyncio.sleep(self._fleet.silence)
            exchange.write(event(number, padding=self._fleet.padding))
            await asyncio.sleep(self._fleet.pause)
        exchange.finish()


class RecordingLog(Log):
    """A log that records its entries."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: list[Entry] = []

    def write(self, entry: Entry) -> None:
        """Record an entry."""
        self.entries.append(entry)

    def about(self, request: str) -> list[str]:
        """Return the sentences about a request, in order."""
        return [entry.sentence for entry in self.entries if entry.request == request]


FOREVER_SECONDS = 3_600.0


class FakeReservations:
    """In-memory reservations of engines' memory.

    Attributes:
        held: Reserved tokens by address and ticket.
        asked: Number of reservation calls.
        delay: Seconds that a release takes.
        failing: The error that an engine raises, by its address.
        room: Capacity of each engine in tokens, or None for no limit.
        unresponsive: Addresses of engines that never answer a release.
    """

    def __init__(self) -> None:
        self.held: dict[tuple[str, str], int] = {}
        self.asked = 0
        self.delay = 0.0
        self.failing: dict[str, type[TargetError]] = {}
        self.room: int | None = None
        self.unresponsive: set[str] = set()

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Reserve memory."""
        self.asked += 1
        if address in self.failing:
            raise self.failing[address](target=address)
        here = {id: n for (where, id), n in self.held.items() if where == address}
        others = sum(n for id, n in here.items() if id != ticket)
        if self.room is not None and others + tokens > self.room:
            raise TargetRefusedError(target=address)
        self.held[address, ticket] = tokens

    async def release(self, *, address: str, ticket: str) -> None:
        """Release a reservation."""
        await asyncio.sleep(FOREVER_SECONDS if address in self.unresponsive else self.delay)
        self.held.pop((address, ticket), None)


def event(number: int, *, padding: int = 0) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: token {number}{'x' * padding}\n\n".encode()


def whole_stream(count: int, *, first: int = 1) -> bytes:
    """Return the events of a whole stream."""
    return b"".join(event(number) for number in range(first, count + 1))


def route(kind: RouteKind, *, prefix: str, service: str, **more: object) -> Route:
    """Return a route of the host ``a.example``."""
    fields: dict[str, object] = {"timeout": 5.0, "runs": 2, **more}
    return Route(
        name=prefix,
        host="a.example",
        prefix=prefix,
        kind=kind,
        shares=(Share(service=ServiceName(service)),),
        **fields,  # type: ignore[arg-type]
    )


ROUTES = (
    route(RouteKind.IDEMPOTENT, prefix="/read/", service="plain"),
    route(RouteKind.NON_IDEMPOTENT, prefix="/book/", service="plain", runs=1),
    route(RouteKind.STREAMING, prefix="/ask/", service="pool", resumable=True, gap_objective=0.25),
    route(RouteKind.STREAMING, prefix="/once/", service="pool", runs=1),
    route(RouteKind.IDEMPOTENT, prefix="/open/", service="plain", anonymous=True),
)


def deployment(version: int = 1, **more: object) -> Deployment:
    """Return a configuration with the default routes."""
    fields: dict[str, object] = {"routes": ROUTES, "customers": CUSTOMERS, **more}
    return Deployment(
        version=version,
        services=(
            Service(name=ServiceName("plain"), kind=ServiceKind.PLAIN),
            Service(name=ServiceName("pool"), kind=ServiceKind.MODEL, pace=PACE),
        ),
        **fields,  # type: ignore[arg-type]
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Bed:
    """A gateway with its fake targets and reservations."""

    gateway: Gateway
    metrics: Metrics
    fleet: Fleet
    reservations: FakeReservations
    targets: tuple[FakeTarget, ...]

    async def ask(
        self,
        path: str,
        *,
        id: str = "r1",
        method: str = "POST",
        body: bytes = b"body",
        headers: Iterable[tuple[str, str]] = (),
    ) -> HttpAnswer:
        """Send a request as customer ann and return the complete answer."""
        client = HttpClient(address=self.gateway.callers_address)
        try:
            return await client.request(
                method=method,
                path=path,
                headers=(*usual_headers(id), *headers),
                body=body,
                timeout=PATIENCE,
            )
        finally:
            client.close()


def usual_headers(id: str) -> Headers:
    """Return the headers of a request by customer ann."""
    return (
        ("host", "a.example"),
        ("x-azureswitch-attempt-id", id),
        ("x-azureswitch-time-remaining", "5000"),
        ("authorization", "Bearer key-ann"),
    )


def model_headers(*, prompt: int = 1_000, output: int = 100) -> Headers:
    """Return the headers of a model request."""
    return (("x-azureswitch-model", "m"), ("x-azureswitch-token-counts", f"{prompt},{output}"))


def listed(target: FakeTarget, name: str, *, streams: bool) -> Target:
    """Return the list entry of a fake target."""
    return Target(
        name=TargetName(name),
        service=ServiceName("pool" if streams else "plain"),
        place=PlaceName("p1"),
        address=target.address,
        models=("m",) if streams else (),
        memory=PACE.memory if streams else 0,
    )


def make_gateway(
    *,
    callers: str = "127.0.0.1:0",
    readiness: str = "127.0.0.1:0",
    metrics_address: str = "127.0.0.1:0",
    grace: float = 4.0,
    reservations: FakeReservations | None = None,
    metrics: Metrics | None = None,
    log: Log | None = None,
    neighbours: Callable[[], Neighbours] = Neighbours,
    members: Callable[[], Iterable[Member]] = tuple,
    foreign: Callable[[], tuple[ForeignCollection, ...]] = tuple,
    evacuations: bool = False,
    host: str = "h1",
    tunnels: str = "",
    hosts: Callable[[], Iterable[Member]] = tuple,
    memory: int = 0,
) -> Gateway:
    """Return a gateway that has not been started."""
    return Gateway(
        settings=GatewaySettings(
            host=HostName(host),
            place=PlaceName("p1"),
            places=tuple(Place(name=PlaceName(name), region="r") for name in ("p1", "p2")),
            callers=callers,
            readiness=readiness,
            metrics=metrics_address,
            grace=grace,
            retry_share=0.2,
            retry_burst=50.0,
            hosts=1,
            evacuations=evacuations,
            tunnels=tunnels,
            memory=memory,
        ),
        dialect=PlatformDialect(),
        reservations=reservations or FakeReservations(),
        publish=lambda effect: None,
        metrics=metrics or Metrics(),
        log=log or Log(),
        seed=1,
        neighbours=neighbours,
        members=members,
        hosts=hosts,
        foreign=foreign,
    )


@asynccontextmanager
async def serve(
    *,
    acts: Iterable[Act] = (),
    count: int = 3,
    configure: Callable[[Gateway], None] | None = None,
    listener: socket | None = None,
    grace: float = 4.0,
    log: Log | None = None,
    neighbours: Callable[[], Neighbours] = Neighbours,
    members: Callable[[], Iterable[Member]] = tuple,
    foreign: Callable[[], tuple[ForeignCollection, ...]] = tuple,
    evacuations: bool = False,
) -> AsyncIterator[Bed]:
    """Run a gateway with ``count`` targets of each service, all following one script."""
    fleet = Fleet(acts=list(acts))
    reservations = FakeReservations()
    metrics = Metrics()
    gateway = make_gateway(
        grace=grace,
        reservations=reservations,
        metrics=metrics,
        log=log,
        neighbours=neighbours,
        members=members,
        foreign=foreign,
        evacuations=evacuations,
    )
    await gateway.start(callers=listener)
    names = [(f"{kind}{n}", kind == "e") for kind in ("e", "s") for n in range(count)]
    targets = [FakeTarget(name=name, fleet=fleet, streams=streams) for name, streams in names]
    for target in targets:
        await target.start()
    entries = zip(targets, names, strict=True)
    gateway.set_targets(
        tuple(listed(target, name, streams=streams) for target, (name, streams) in entries)
    )
    if configure is None:
        gateway.adopt(deployment())
    else:
        configure(gateway)
    try:
        yield Bed(
            gateway=gateway,
            metrics=metrics,
            fleet=fleet,
            reservations=reservations,
            targets=tuple(targets),
        )
    finally:
        gateway.abort()
        for target in targets:
            target.stop()
