"""How a request that was read whole ends when its connection's limits or ends come in between."""

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import pytest
from msgspec.structs import replace

from azureswitch.server import CallerLimits, CloseReason, Exchange
from tests.server.fixtures import (
    LOST,
    Bed,
    Caller,
    Script,
    answer_after,
    bodies,
    request,
    run,
    serve,
)
from tests.server.test_losses import LAST, TRAVEL_SECONDS, answer_to, plain_caller
from tests.waiting import reach

SHORT = 0.1
LONG = 5.0

UPGRADE = "connection: upgrade\r\nupgrade: websocket\r\n"


def post(path: str, body: bytes, *, headers: str = "") -> bytes:
    """Return a request with a body."""
    return request(path, headers=f"content-length: {len(body)}\r\n{headers}") + body


def set_idle(bed: Bed, seconds: float) -> None:
    """Put another idle limit in force."""
    bed.script.limits = replace(bed.script.limits, idle_seconds=seconds)


class TestLimitsInSeries:
    """Idle limits that fall and rise under open connections."""

    @pytest.mark.parametrize(
        "series",
        [(SHORT,), (SHORT, LONG), (SHORT, LONG, SHORT), (2.0 * SHORT, SHORT, 3.0 * SHORT, SHORT)],
        ids=lambda series: "-".join(map(str, series)),
    )
    def test_kept(self, series: tuple[float, ...]) -> None:
        """A request within the time that its caller was told is answered, whatever came since."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=1.5))) as bed:
                caller = await bed.connect()
                for round in range(3):
                    assert (await caller.ask(f"/{round}")).endswith(b"/%d" % round)
                    for seconds in series:
                        set_idle(bed, seconds)
                        await asyncio.sleep(0.9 / len(series))
                    set_idle(bed, 1.5)
                assert bed.script.closed == []

        run(scenario)

    @pytest.mark.parametrize("series", [(SHORT,), (SHORT, LONG), (0.0,)], ids=str)
    def test_answer_under_way(self, series: tuple[float, ...]) -> None:
        """An answer that takes longer than the new limit arrives, and so does the one behind it."""

        async def scenario() -> None:
            script = Script(acts={"/1": answer_after(5.0 * SHORT)})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1") + request("/2", headers=LAST))
                await reach(lambda: bool(script.handled))
                for seconds in series:
                    set_idle(bed, seconds)
                    await asyncio.sleep(SHORT)
                assert bodies(await caller.rest()) == ["/1", "/2"]

        run(scenario)

    def test_body_within(self) -> None:
        """A body whose parts are as far apart as the limit allows is read, though it fell once."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                caller = await bed.connect()
                data = post("/1", b"12345678", headers=LAST)
                caller.send(data[:-8])
                await asyncio.sleep(TRAVEL_SECONDS)
                set_idle(bed, 4.0 * SHORT)
                for number in range(8):
                    caller.send(data[len(data) - 8 + number :][:1])
                    await asyncio.sleep(SHORT)
                assert bodies(await caller.rest()) == ["/1"]

        run(scenario)

    def test_body_late(self) -> None:
        """A body that stays away for longer than the limit is refused, which its caller is told."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=SHORT))) as bed:
                caller = await bed.connect()
                caller.send(post("/1", b"12345678")[:-1])
                assert bodies(await caller.rest()) == ["caller_too_slow"]
                assert bed.script.handled == []

        run(scenario)


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Bytes that hold one whole request, and something else that concerns its end.

    Attributes:
        sent: The bytes, in one packet.
        answers: The bodies of the answers.
    """

    sent: bytes
    answers: tuple[str, ...] = ("/1",)


SHAPES = {
    "asks to close": Shape(sent=request("/1", headers=LAST)),
    "asks to close, bytes behind": Shape(sent=request("/1", headers=LAST) + b"\x00 no request"),
    "asks to close, half a request behind": Shape(
        sent=request("/1", headers=LAST) + request("/2")[:10]
    ),
    "upgrades": Shape(sent=request("/1", headers=UPGRADE)),
    "upgrades, bytes behind": Shape(sent=request("/1", headers=UPGRADE) + b"\x81\x05hello"),
    "upgrades with a body": Shape(sent=post("/1", b"body", headers=UPGRADE)),
    "upgrades with a body, bytes behind": Shape(
        sent=post("/1", b"body", headers=UPGRADE) + b"\x81\x05hello"
    ),
    "connects": Shape(sent=b"CONNECT /1 HTTP/1.1\r\nhost: a\r\n\r\nbytes"),
    "expects with the body behind": Shape(
        sent=post("/1", b"body", headers="expect: 100-continue\r\n" + LAST)
    ),
    "an older version": Shape(sent=request("/1").replace(b"1.1", b"1.0", 1)),
    "no request behind": Shape(
        sent=request("/1") + b"\x00\r\n", answers=("/1", "malformed_request")
    ),
    "a head too long behind": Shape(
        sent=request("/1") + request("/2", headers=f"x: {'y' * 20_000}\r\n"),
        answers=("/1", "headers_too_large"),
    ),
}


class TestShapes:
    """A whole request is answered whatever stands behind it or asks for the connection's end."""

    @pytest.mark.parametrize("slow", [False, True], ids=("at once", "slowly"))
    @pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES.keys())
    def test_answered(self, shape: Shape, slow: bool) -> None:
        """The answer is whole, and then the connection ends."""

        async def scenario() -> None:
            script = Script(acts={"/1": answer_after(SHORT)} if slow else {})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(shape.sent)
                async with asyncio.timeout(5.0):
                    assert tuple(bodies(await caller.rest())) == shape.answers
                assert script.handled == ["/1"]
                assert script.closed[0].unserved == ()

        run(scenario)

    @pytest.mark.parametrize("slow", [False, True], ids=("at once", "slowly"))
    def test_head(self, slow: bool) -> None:
        """An answer to a request for the head alone is a head, and the next one follows it."""

        async def scenario() -> None:
            script = Script(acts={"/1": answer_after(SHORT)} if slow else {})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1").replace(b"GET", b"HEAD") + request("/2", headers=LAST))
                got = await caller.rest()
                assert got.count(b"HTTP/1.1 200 ") == 2
                assert got.endswith(b"\r\n\r\n/2")
                assert got.count(b"/1") == got.count(b"HTTP/1.1")

        run(scenario)

    def test_continue_beside_a_lower_limit(self) -> None:
        """A caller that waits for leave gets it, and its body is read, as the limit falls."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                caller = await bed.connect()
                data = post("/1", b"body", headers="expect: 100-continue\r\n" + LAST)
                caller.send(data[:-4])
                await caller.reader.readuntil(b"100 Continue\r\n\r\n")
                set_idle(bed, 3.0 * SHORT)
                caller.send(data[-4:])
                assert bodies(await caller.rest()) == ["/1"]

        run(scenario)


class TestCallersEnd:
    """A caller that closes its sending side has left, which the owner of the server is told."""

    def test_answered_before(self) -> None:
        """An answer that was given in the same turn is sent, though the end came with it."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    caller.shutdown(socket.SHUT_WR)
                    assert await answer_to(caller) == ["/1"]
                await reach(lambda: bool(bed.script.closed))
                assert bed.script.closed[0].unanswered is None

        run(scenario)

    def test_given_up(self) -> None:
        """An answer that takes its time is given up, and the request is named as unanswered."""

        async def scenario() -> None:
            script = Script(acts={"/1": answer_after(SHORT)})
            async with serve(script) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    caller.shutdown(socket.SHUT_WR)
                    assert await answer_to(caller) == []
                closed = script.closed[0]
                assert closed.reason is CloseReason.CALLER
                assert closed.unanswered is not None
                assert closed.unanswered.target == "/1"
                assert closed.unserved == ()
                assert script.left == ["/1"]

        run(scenario)

    def test_behind_another(self) -> None:
        """An end behind two requests is read once they are answered."""

        async def scenario() -> None:
            script = Script(acts={"/1": answer_after(SHORT)})
            async with serve(script) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1") + request("/2"))
                    caller.shutdown(socket.SHUT_WR)
                    got = await asyncio.to_thread(_receive_all, caller)
                assert bodies(got) == ["/1", "/2"]

        run(scenario)


class TestBusyLoop:
    """What arrives while the loop is held up for long, as by a large configuration."""

    @pytest.mark.parametrize("held", [0.05, 0.3])
    def test_idle_limit_falls(self, held: float) -> None:
        """A request that arrives in the turn in which the limit falls to less is answered."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(idle_seconds=SHORT))) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    assert await answer_to(caller) == ["/1"]

                    def adopt() -> None:
                        caller.sendall(request("/2"))
                        time.sleep(held)
                        set_idle(bed, 0.01)

                    asyncio.get_running_loop().call_later(0.0, adopt)
                    time.sleep(SHORT)
                    assert await answer_to(caller) == ["/2"]

        run(scenario)

    def test_two_packets(self) -> None:
        """A request whose end arrives in a long turn is not late for that."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(header_seconds=SHORT))) as bed:
                with plain_caller(bed.port) as caller:
                    data = request("/1")
                    caller.sendall(data[:10])
                    await asyncio.sleep(TRAVEL_SECONDS)

                    def hold() -> None:
                        caller.sendall(data[10:])
                        time.sleep(3.0 * SHORT)

                    asyncio.get_running_loop().call_later(0.0, hold)
                    await asyncio.sleep(TRAVEL_SECONDS)
                    assert await answer_to(caller) == ["/1"]

        run(scenario)


async def leave(bed: Bed, caller: Caller) -> None:
    """Close the connection as its caller."""
    caller.writer.close()


async def cut(bed: Bed, caller: Caller) -> None:
    """Close all connections at once."""
    bed.server.abort()


ENDS = {"caller": leave, "host": cut}


class TestAborted:
    """A connection that is closed at once, before or after its request was read."""

    @pytest.mark.parametrize("end", ENDS.values(), ids=ENDS.keys())
    def test_half_read(self, end: Callable[[Bed, Caller], object]) -> None:
        """What was read in part is no request: nobody is told of one."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                caller = await bed.connect()
                caller.send(request("/1")[:-3])
                await reach(lambda: bed.server.connections == 1)
                await asyncio.sleep(TRAVEL_SECONDS)
                await end(bed, caller)  # type: ignore[misc]
                await reach(lambda: bool(bed.script.closed))
                assert bed.script.closed[0].unanswered is None
                assert bed.script.closed[0].unserved == ()

        run(scenario)

    @pytest.mark.parametrize("end", ENDS.values(), ids=ENDS.keys())
    def test_bytes_behind_a_close(self, end: Callable[[Bed, Caller], object]) -> None:
        """Bytes that arrive once a reason to close is set are not read as a request."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                caller = await bed.connect()
                caller.send(request("/1", headers=LAST) + request("/2"))
                assert bodies((await caller.rest()).replace(LOST, b"")) == ["/1"]
                await end(bed, caller)  # type: ignore[misc]
                assert bed.script.handled == ["/1"]
                assert bed.script.closed[0].reason is CloseReason.ANSWERED

        run(scenario)


class TestSlowReader:
    """A caller that reads slowly holds back who answers it, and nobody else."""

    def test_drained(self) -> None:
        """All parts arrive in order, and the answer behind them."""
        part, count = b"p" * 65_536, 64

        async def send(exchange: Exchange) -> None:
            exchange.begin(status=HTTPStatus.OK, headers=())
            for _ in range(count):
                exchange.write(part)
                await exchange.drain()
            exchange.finish()

        tasks: list[asyncio.Task[None]] = []

        def act(exchange: Exchange) -> None:
            tasks.append(asyncio.get_running_loop().create_task(send(exchange)))

        async def scenario() -> None:
            async with serve(Script(acts={"/1": act})) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1") + request("/2", headers=LAST))
                    await reach(lambda: bool(tasks))
                    await asyncio.sleep(3.0 * SHORT)
                    got = await asyncio.to_thread(_receive_all, caller)
                assert got.count(part) == count
                assert got.endswith(b"\r\n\r\n/2")

        run(scenario)

    def test_leaves(self) -> None:
        """Who waits for it to read is woken as it leaves."""
        left: list[bool] = []

        async def send(exchange: Exchange) -> None:
            exchange.begin(status=HTTPStatus.OK, headers=())
            while not exchange.over:
                exchange.write(b"p" * 65_536)
                await exchange.drain()
            left.append(True)

        tasks: list[asyncio.Task[None]] = []

        def act(exchange: Exchange) -> None:
            tasks.append(asyncio.get_running_loop().create_task(send(exchange)))

        async def scenario() -> None:
            async with serve(Script(acts={"/1": act})) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    await reach(lambda: bool(tasks))
                    await asyncio.sleep(SHORT)
                await reach(lambda: bool(left))

        run(scenario)


def _receive_all(caller: socket.socket) -> bytes:
    got = b""
    while data := caller.recv(65_536):
        got += data
    return got


class TestRefusedUnread:
    """A request that is refused before its caller has sent it all."""

    def test_body_still_coming(self) -> None:
        """The caller that goes on sending gets the refusal, and no bare reset."""

        async def scenario() -> None:
            async with serve(Script(limits=CallerLimits(body_bytes=1_000))) as bed:
                with plain_caller(bed.port) as caller:

                    def send() -> None:
                        caller.sendall(request("/1", headers="content-length: 900000\r\n"))
                        try:
                            for _ in range(90):
                                caller.sendall(b"b" * 10_000)
                                time.sleep(0.002)
                        except ConnectionError:
                            pass

                    await asyncio.to_thread(send)
                    assert await answer_to(caller) == ["body_too_large"]

        run(scenario)
