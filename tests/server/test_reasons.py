"""Each connection that ends tells why, and which requests it takes with it."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import pytest

from azureswitch.server import CallerLimits, CloseReason, Exchange
from tests.gateway.fixtures import Act, RecordingLog, usual_headers
from tests.gateway.fixtures import serve as serve_gateway
from tests.server.fixtures import Bed, Caller, Script, abort_after, never, request, run, serve
from tests.waiting import reach

IDLE_SECONDS = 0.2


async def leave(bed: Bed, caller: Caller) -> None:
    """Close the connection as its caller."""
    caller.writer.close()


async def stop(bed: Bed, caller: Caller) -> None:
    """Close what is idle."""
    bed.server.close_idle()


async def wait(bed: Bed, caller: Caller) -> None:
    """Let the idle time pass."""
    await asyncio.sleep(IDLE_SECONDS)


async def babble(bed: Bed, caller: Caller) -> None:
    """Send what is no request."""
    caller.send(b"\x00\r\n\r\n")


async def ask_last(bed: Bed, caller: Caller) -> None:
    """Send a last request."""
    caller.send(request("/", headers="connection: close\r\n"))


async def be_cut(bed: Bed, caller: Caller) -> None:
    """Send a request whose answer is broken off."""
    caller.send(request("/cut"))


ENDS = {
    CloseReason.CALLER: leave,
    CloseReason.STOP: stop,
    CloseReason.IDLE: wait,
    CloseReason.REFUSED: babble,
    CloseReason.ANSWERED: ask_last,
    CloseReason.BROKEN_OFF: be_cut,
}


def stream(exchange: Exchange) -> None:
    """Begin an answer and end it later."""
    exchange.begin(status=HTTPStatus.OK, headers=())
    asyncio.get_running_loop().call_later(0.05, exchange.finish)


class TestReasons:
    """The owner of a server is told of each connection that ended."""

    @pytest.mark.parametrize("reason", ENDS, ids=lambda reason: reason.value)
    def test_reason(self, reason: CloseReason) -> None:
        """The reason is the one that brought the end about."""
        end: Callable[[Bed, Caller], Awaitable[None]] = ENDS[reason]

        async def scenario() -> None:
            idle = IDLE_SECONDS if reason is CloseReason.IDLE else 60.0
            script = Script(limits=CallerLimits(idle_seconds=idle), acts={"/cut": abort_after(0.0)})
            async with serve(script) as bed:
                caller = await bed.connect()
                await caller.ask("/first")
                await end(bed, caller)
                await reach(lambda: bool(script.closed))
                assert [closed.reason for closed in script.closed] == [reason]
                assert script.closed[0].unserved == ()

        run(scenario)

    @pytest.mark.parametrize(
        ("act", "closing", "reason"),
        [
            (abort_after(0.05), False, CloseReason.BROKEN_OFF),
            (stream, True, CloseReason.ANSWERED),
        ],
        ids=("broken off", "said to be the last"),
    )
    def test_behind(
        self, act: Callable[[Exchange], None], closing: bool, reason: CloseReason
    ) -> None:
        """What comes behind an answer after which nothing can be sent is told as not begun."""

        async def scenario() -> None:
            script = Script(acts={"/1": act}, closing=closing)
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1"))
                await reach(lambda: bool(script.handled))
                caller.send(request("/2"))
                await reach(lambda: bool(script.closed))
                assert script.closed[0].reason is reason
                assert [request.target for request in script.closed[0].unserved] == ["/2"]
                assert script.handled == ["/1"]

        run(scenario)

    def test_lost(self) -> None:
        """What was handed over and what was not are told apart."""

        async def scenario() -> None:
            script = Script(acts={"/1": never})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1") + request("/2"))
                await reach(lambda: bool(script.handled))
                caller.writer.close()
                # Reading is held back behind the second, so that the caller's end is not seen.
                bed.server.abort()
                await reach(lambda: bool(script.closed))
                closed = script.closed[0]
                assert closed.unanswered is not None
                assert closed.unanswered.target == "/1"
                assert [request.target for request in closed.unserved] == ["/2"]
                assert script.handled == script.left == ["/1"]

        run(scenario)


def as_ann(id: str) -> bytes:
    """Return a request of a known customer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in usual_headers(id))
    return f"GET /read/ HTTP/1.1\r\n{lines}\r\n".encode()


class TestGateway:
    """A gateway logs and counts what its server tells of the ends of connections."""

    def test_told(self) -> None:
        """A request that was not begun has a line with its id, and its connection a count."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve_gateway(acts=[Act.HANG], log=log) as bed:
                port = int(bed.gateway.callers_address.rpartition(":")[2])
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(as_ann("r1") + as_ann("r2"))
                await reach(lambda: bed.fleet.arrivals > 0)
                bed.gateway.abort()
                await reach(lambda: bool(log.about("r2")))
                assert log.about("r2") == ["Request not served."]
                text = bed.metrics.text()[0].decode()
                assert 'azureswitch_connections_closed_total{reason="stop"} 1' in text

        run(scenario)
