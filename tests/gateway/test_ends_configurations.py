"""How requests end whose route, service, key, customer or target a configuration takes away."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

import pytest
from msgspec.structs import replace

from azureswitch.client import Abortable, DirectConnector, HttpAnswer, HttpClient
from azureswitch.core import CustomerName, PlaceName, ServiceName, TargetName
from azureswitch.exceptions import AzureswitchError
from azureswitch.gateway import Deployment, Gateway, RouteKind
from azureswitch.inventory import Service, ServiceKind, Target
from azureswitch.server import CallerLimits, Exchange, HttpServer
from azureswitch.serving import _attempts, _dispatch
from azureswitch.serving.quarantine import Crashes, Hold
from tests.gateway.fixtures import (
    PACE,
    PATIENCE,
    SEAL,
    FakeReservations,
    RecordingLog,
    deployment,
    event,
    make_gateway,
    model_headers,
    route,
    usual_headers,
    whole_stream,
)
from tests.gateway.test_gateway import run
from tests.waiting import reach

COUNT = 4

STATUSES = (
    HTTPStatus.OK,
    HTTPStatus.UNAUTHORIZED,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)

ENDS = ("Request refused.", "Request answered.", "Request failed.")

PLACE = PlaceName("p1")

WAIT_SECONDS = 0.12
"""Seconds for which a request waits at a step while configurations are adopted."""

STREAMS = ("/ask/", "/once/")
WHOLE = ("/read/", "/book/")

LARGE_PROMPT = 700_000
"""Tokens of a prompt that takes memory on several engines."""


@dataclass(slots=True, kw_only=True)
class HeldTarget:
    """A target that waits before its answers, or within them.

    Attributes:
        go: Lets it go on.
        within: Whether it waits within an answer, and not before it.
        closes: Requests that it closes the connection of at first.
        runs: Requests that it ran.
    """

    go: asyncio.Event = field(default_factory=asyncio.Event)
    within: bool = False
    closes: int = 0
    runs: int = 0
    limits: CallerLimits = field(default_factory=CallerLimits)
    closing: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer 400 to invalid requests."""
        exchange.respond(status=HTTPStatus.BAD_REQUEST, headers=(), body=b"")

    def handle(self, exchange: Exchange) -> None:
        """Answer a request."""
        self.runs += 1
        if self.closes:
            self.closes -= 1
            exchange.abort()
            return
        task = asyncio.get_running_loop().create_task(self._answer(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, exchange: Exchange) -> None:
        request = exchange.request
        if not self.within:
            await self.go.wait()
        headers = (
            ("x-azureswitch-attempt-id", request.header("x-azureswitch-attempt-id") or ""),
            *SEAL,
        )
        exchange.begin(status=HTTPStatus.OK, headers=headers)
        streams = request.target in STREAMS
        parts = [event(n) for n in range(1, COUNT + 1)] if streams else [b"who", b"le"]
        exchange.write(parts[0])
        if self.within:
            await self.go.wait()
        exchange.write(b"".join(parts[1:]))
        exchange.finish()


@dataclass(slots=True, kw_only=True)
class Bed:
    """A gateway before a held target that is listed under several names."""

    gateway: Gateway
    target: HeldTarget
    address: str
    log: RecordingLog
    reservations: FakeReservations

    async def ask(self, path: str, *, id: str = "r1", prompt: int = 1_000) -> HttpAnswer:
        """Send a request and return its answer."""
        client = HttpClient(address=self.gateway.callers_address)
        model = model_headers(prompt=prompt) if path in STREAMS else ()
        try:
            return await client.request(
                method="POST",
                path=path,
                headers=(*usual_headers(id), *model),
                body=b"body",
                timeout=PATIENCE,
            )
        finally:
            client.close()

    def targets(self, *, names: str = "", services: str = "") -> tuple[Target, ...]:
        """Return the list of targets; their names and services end in what is given."""
        return tuple(
            Target(
                name=TargetName(f"{kind}{number}{names}"),
                service=ServiceName(("pool" if kind == "e" else "plain") + services),
                place=PLACE,
                address=self.address,
                models=("m",) if kind == "e" else (),
                memory=PACE.memory if kind == "e" else 0,
            )
            for kind in ("e", "s")
            for number in range(3)
        )


@asynccontextmanager
async def serve() -> AsyncIterator[Bed]:
    """Run a gateway before a held target."""
    target, log, reservations = HeldTarget(), RecordingLog(), FakeReservations()
    server = HttpServer(handler=target)
    await server.start(address="127.0.0.1:0")
    gateway = make_gateway(log=log, reservations=reservations)
    await gateway.start()
    bed = Bed(
        gateway=gateway,
        target=target,
        address=server.address,
        log=log,
        reservations=reservations,
    )
    gateway.set_targets(bed.targets())
    gateway.adopt(deployment(1))
    try:
        yield bed
    finally:
        gateway.abort()
        server.stop_listening()
        server.abort()


# --- Changes --------------------------------------------------------------------------------------


def other_services(version: int) -> Deployment:
    """Return a configuration whose services have other names."""
    return replace(
        deployment(
            version,
            routes=(
                route(RouteKind.IDEMPOTENT, prefix="/read/", service="plain2"),
                route(RouteKind.STREAMING, prefix="/ask/", service="pool2", resumable=True),
            ),
        ),
        services=(
            Service(name=ServiceName("plain2"), kind=ServiceKind.PLAIN),
            Service(name=ServiceName("pool2"), kind=ServiceKind.MODEL, pace=PACE),
        ),
    )


def drop_routes(bed: Bed) -> None:
    """Drop all routes."""
    bed.gateway.adopt(deployment(2, routes=()))


def drop_keys(bed: Bed) -> None:
    """Drop the customer and its key."""
    bed.gateway.adopt(deployment(2, customers={"key-bob": CustomerName("bob")}))


def rename_customer(bed: Bed) -> None:
    """Give the key to another customer."""
    bed.gateway.adopt(deployment(2, customers={"key-ann": CustomerName("ann2")}))


def drop_services(bed: Bed) -> None:
    """Drop all services, with their targets."""
    bed.gateway.adopt(replace(deployment(2, routes=()), services=()))
    bed.gateway.set_targets(())


def rename_services(bed: Bed) -> None:
    """Give the services other names, and the targets with them."""
    bed.gateway.adopt(other_services(2))
    bed.gateway.set_targets(bed.targets(services="2"))


def drop_targets(bed: Bed) -> None:
    """Drop all targets."""
    bed.gateway.set_targets(())


def rename_targets(bed: Bed) -> None:
    """Give the targets other names."""
    bed.gateway.set_targets(bed.targets(names="x"))


def shorten(bed: Bed) -> None:
    """Lower the routes' timeouts and the limits of connections."""
    short = tuple(replace(known, timeout=0.05) for known in deployment(2).routes)
    limits = CallerLimits(header_seconds=0.05, idle_seconds=0.05)
    bed.gateway.adopt(replace(deployment(2, routes=short), limits=limits))


def go_back_and_forth(bed: Bed) -> None:
    """Drop all of it, and put it back."""
    bed.gateway.adopt(replace(deployment(2, routes=()), services=()))
    bed.gateway.set_targets(())
    bed.gateway.adopt(deployment(3))
    bed.gateway.set_targets(bed.targets())


KEEPING = {
    "routes dropped": drop_routes,
    "keys dropped": drop_keys,
    "customer renamed": rename_customer,
    "targets renamed": rename_targets,
    "limits lowered": shorten,
    "dropped and put back": go_back_and_forth,
}
"""Changes after which the request's service has targets."""

TAKING = {"services dropped": drop_services, "targets dropped": drop_targets}
"""Changes after which it has none."""

CHANGES = KEEPING | TAKING | {"services renamed": rename_services}

Change = Callable[[Bed], None]


# --- Steps ----------------------------------------------------------------------------------------


def check_whole(answer: HttpAnswer, path: str) -> None:
    """Check that an answer is the target's whole one."""
    whole = whole_stream(COUNT) if path in STREAMS else b"whole"
    assert (answer.head.status, answer.body) == (HTTPStatus.OK, whole)


class TestSent:
    """A request that was sent is answered by its target, whatever is taken away meanwhile."""

    @pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES.keys())
    @pytest.mark.parametrize("within", [False, True], ids=("before", "within"))
    @pytest.mark.parametrize("path", [*WHOLE, *STREAMS])
    def test_answered(self, path: str, within: bool, change: Change) -> None:
        """The caller gets the whole answer of the one run."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.target.within = within
                asking = asyncio.create_task(bed.ask(path))
                await reach(lambda: bed.target.runs == 1)
                change(bed)
                await asyncio.sleep(WAIT_SECONDS)
                bed.target.go.set()
                check_whole(await asking, path)
                assert bed.target.runs == 1
                assert bed.log.about("r1")[-1] == "Request answered."

        run(scenario)


class GatedConnector:
    """Opens direct connections once it may."""

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.asked = 0

    async def connect(
        self, *, address: str, protocol: Callable[[], Abortable], timeout: float
    ) -> Abortable:
        """Open a connection."""
        self.asked += 1
        await self.go.wait()
        return await DirectConnector().connect(address=address, protocol=protocol, timeout=timeout)


class GatedReservations(FakeReservations):
    """Reserves memory once it may."""

    def __init__(self) -> None:
        super().__init__()
        self.go = asyncio.Event()

    async def reserve(self, *, address: str, ticket: str, tokens: int, seconds: float) -> None:
        """Reserve memory."""
        self.asked += 1
        await self.go.wait()
        self.held[address, ticket] = tokens


class TestBeingSent:
    """A request for which a connection is opened or memory reserved is sent and answered."""

    @pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES.keys())
    @pytest.mark.parametrize("path", [*WHOLE, *STREAMS])
    def test_connection(self, path: str, change: Change) -> None:
        """The connection opens after the change."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.target.go.set()
                connector = GatedConnector()
                bed.gateway.paths._dialer._direct = connector  # type: ignore[assignment]
                asking = asyncio.create_task(bed.ask(path))
                await reach(lambda: connector.asked > 0)
                change(bed)
                await asyncio.sleep(WAIT_SECONDS / 4)
                connector.go.set()
                check_whole(await asking, path)
                assert bed.target.runs == 1

        run(scenario)

    @pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES.keys())
    def test_ticket(self, change: Change) -> None:
        """The ticket comes after the change."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.target.go.set()
                reservations = GatedReservations()
                bed.gateway._tickets._reservations = reservations
                asking = asyncio.create_task(bed.ask("/ask/", prompt=LARGE_PROMPT))
                await reach(lambda: reservations.asked > 0)
                change(bed)
                await asyncio.sleep(WAIT_SECONDS)
                reservations.go.set()
                check_whole(await asking, "/ask/")
                await reach(lambda: not reservations.held)

        run(scenario)


@dataclass(frozen=True, slots=True, kw_only=True)
class Gate:
    """Holds requests back at one step of the reducer until a time has come.

    Attributes:
        begin: Installs it.
        closes: Requests that a target closes the connection of before.
    """

    begin: Callable[[pytest.MonkeyPatch, float], None]
    closes: int = 0


def hold_for_part(patch: pytest.MonkeyPatch, until: float) -> None:
    """Let requests wait for the outcome of a trial."""
    holds = Crashes.hold

    def hold(crashes: Crashes, *args: object, now: float, **more: object) -> Hold | None:
        if time.monotonic() < until:
            return Hold(seconds=until - time.monotonic(), brief=True)
        return holds(crashes, *args, now=now, **more)  # type: ignore[arg-type]

    patch.setattr(Crashes, "hold", hold)


def queue(patch: pytest.MonkeyPatch, until: float) -> None:
    """Let requests wait for a target with room."""
    choose = _dispatch.choose

    def choose_later(*args: object, **more: object) -> object:
        if time.monotonic() < until:
            return None
        return choose(*args, **more)  # type: ignore[arg-type]

    patch.setattr(_dispatch, "choose", choose_later)


def back_off(patch: pytest.MonkeyPatch, until: float) -> None:
    """Let requests wait before a retry."""
    patch.setattr(_attempts, "retry_delay", lambda *_, **__: max(0.0, until - time.monotonic()))


GATES = {
    "held for a part": Gate(begin=hold_for_part),
    "queued": Gate(begin=queue),
    "before a retry": Gate(begin=back_off, closes=1),
}


async def ask_at(
    bed: Bed, patch: pytest.MonkeyPatch, gate: Gate, path: str, change: Change
) -> HttpAnswer:
    """Send a request that waits at a gate while a change comes, and return its answer."""
    bed.target.go.set()
    bed.target.closes = gate.closes
    gate.begin(patch, time.monotonic() + WAIT_SECONDS)
    asking = asyncio.create_task(bed.ask(path))
    await reach(lambda: bool(bed.log.about("r1")))
    await reach(lambda: bed.target.runs == gate.closes)
    await asyncio.sleep(WAIT_SECONDS / 2)
    change(bed)
    return await asking


class TestWaiting:
    """A request that waits to be sent is answered or refused, once, and soon."""

    @pytest.mark.parametrize("change", KEEPING.values(), ids=KEEPING.keys())
    @pytest.mark.parametrize("gate", GATES.values(), ids=GATES.keys())
    @pytest.mark.parametrize("path", ["/read/", "/ask/"])
    def test_answered(
        self, path: str, gate: Gate, change: Change, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It is sent to what is left, as the configuration said when it was read."""

        async def scenario() -> None:
            async with serve() as bed:
                check_whole(await ask_at(bed, monkeypatch, gate, path, change), path)
                assert bed.log.about("r1")[-1] == "Request answered."

        run(scenario)

    @pytest.mark.parametrize("change", TAKING.values(), ids=TAKING.keys())
    @pytest.mark.parametrize("gate", GATES.values(), ids=GATES.keys())
    @pytest.mark.parametrize("path", ["/read/", "/ask/"])
    def test_refused(
        self, path: str, gate: Gate, change: Change, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It is told so within a second, as not run where it did not run."""

        async def scenario() -> None:
            async with serve() as bed:
                begun = time.monotonic()
                answer = await ask_at(bed, monkeypatch, gate, path, change)
                ran = HTTPStatus.BAD_GATEWAY if gate.closes else HTTPStatus.SERVICE_UNAVAILABLE
                assert answer.head.status == ran
                assert answer.head.retry_after
                assert time.monotonic() - begun < WAIT_SECONDS + 1.0
                assert bed.log.about("r1")[-1] == "Request failed."
                assert bed.gateway.shell.open_calls == 0

        run(scenario)

    @pytest.mark.parametrize("gate", GATES.values(), ids=GATES.keys())
    @pytest.mark.parametrize("path", ["/read/", "/ask/"])
    def test_renamed(self, path: str, gate: Gate, monkeypatch: pytest.MonkeyPatch) -> None:
        """One whose service has another name now is answered whole, or refused."""

        async def scenario() -> None:
            async with serve() as bed:
                answer = await ask_at(bed, monkeypatch, gate, path, rename_services)
                ran = HTTPStatus.BAD_GATEWAY if gate.closes else HTTPStatus.SERVICE_UNAVAILABLE
                if answer.head.status != ran:
                    check_whole(answer, path)
                assert bed.log.about("r1")[-1] in ENDS
                assert bed.gateway.shell.open_calls == 0

        run(scenario)


class TestSameTurn:
    """A request that is read in the turn of the loop in which a configuration is adopted."""

    @pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES.keys())
    @pytest.mark.parametrize("kept", [False, True], ids=("new", "kept"))
    def test_ended(self, kept: bool, change: Change) -> None:
        """It is answered or refused by the new configuration."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.target.go.set()
                host, _, port = bed.gateway.callers_address.rpartition(":")
                with socket.create_connection((host, int(port)), timeout=5.0) as caller:
                    if kept:
                        caller.sendall(lookup("r0", last=False))
                        assert (await receive(caller, b"whole")).startswith(b"HTTP/1.1 200 ")

                    def adopt() -> None:
                        caller.sendall(lookup("r1"))
                        change(bed)
                        time.sleep(0.1)

                    asyncio.get_running_loop().call_soon(adopt)
                    got = await receive(caller)
                status = int(got.split()[1])
                assert got.count(b"HTTP/1.1 ") == 1
                sound = change in (rename_customer, rename_targets, go_back_and_forth)
                assert status == HTTPStatus.OK if sound else status in STATUSES
                assert bed.log.about("r1")[-1] in ENDS

        run(scenario)


def lookup(id: str, *, last: bool = True) -> bytes:
    """Return a request that may be repeated."""
    pairs = (*usual_headers(id), *((("connection", "close"),) if last else ()))
    lines = "".join(f"{name}: {value}\r\n" for name, value in pairs)
    return f"GET /read/ HTTP/1.1\r\n{lines}\r\n".encode()


async def receive(caller: socket.socket, until: bytes = b"") -> bytes:
    """Return what comes up to some bytes, or to the end of the connection."""

    def read() -> bytes:
        got = b""
        while data := caller.recv(65_536):
            got += data
            if until and got.count(until):
                break
        return got

    return await asyncio.to_thread(read)
