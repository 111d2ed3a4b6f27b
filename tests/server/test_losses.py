"""Each request that a server or its host has taken ends in a way that callers know."""

import asyncio
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

import pytest
from absl import logging

from azureswitch.exceptions import AzureswitchError
from azureswitch.server import CallerLimits, CloseReason, Exchange
from tests.gateway.fixtures import serve as serve_gateway
from tests.server.fixtures import Script, answer, answer_after, bodies, request, run, serve
from tests.waiting import reach

TRAVEL_SECONDS = 0.02
"""Seconds in which bytes cross loopback however busy it is."""

LAST = "connection: close\r\n"


@contextmanager
def plain_caller(port: int) -> Iterator[socket.socket]:
    """Connect without the loop, which is busy."""
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as caller:
        yield caller


async def answer_to(caller: socket.socket) -> list[str]:
    """Return the body of the next answer, or nothing where the connection is closed."""

    def receive() -> bytes:
        try:
            return caller.recv(65_536)
        except ConnectionError:
            return b""

    return bodies(await asyncio.to_thread(receive))


class TestUnread:
    """What has arrived and was not read yet is read before anything is closed for idleness."""

    def test_stop(self) -> None:
        """A request that came while the loop was busy is answered by a host that stops."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    assert await answer_to(caller) == ["/1"]
                    caller.sendall(request("/2"))
                    time.sleep(TRAVEL_SECONDS)
                    bed.server.close_idle()
                    assert await answer_to(caller) == ["/2"]

        run(scenario)

    def test_timer(self) -> None:
        """A request that came while the loop was busy is answered after the idle time too."""

        async def scenario() -> None:
            idle = 0.1
            async with serve(Script(limits=CallerLimits(idle_seconds=idle))) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    assert await answer_to(caller) == ["/1"]

                    def send() -> None:
                        caller.sendall(request("/2"))
                        time.sleep(TRAVEL_SECONDS)

                    # Both are due in one turn of the loop: this, then the idle time.
                    asyncio.get_running_loop().call_later(0.0, send)
                    time.sleep(2.0 * idle)
                    assert await answer_to(caller) == ["/2"]

        run(scenario)


class TestListener:
    """Who has connected before the listening socket is closed is served."""

    def test_waiting(self) -> None:
        """A connection that waits to be accepted is served by a host that stops."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                with plain_caller(bed.port) as caller:
                    caller.sendall(request("/1"))
                    time.sleep(TRAVEL_SECONDS)
                    await bed.server.finish_listening()
                    bed.server.close_idle()
                    assert await answer_to(caller) == ["/1"]

        run(scenario)

    def test_many(self) -> None:
        """So are many that have connected since the loop last looked."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                with ExitStack() as stack:
                    callers = [stack.enter_context(plain_caller(bed.port)) for _ in range(200)]
                    for caller in callers:
                        caller.sendall(request("/1"))
                    await bed.server.finish_listening()
                    assert bed.server.connections == len(callers)
                    bed.server.close_idle()
                    for caller in callers:
                        assert await answer_to(caller) == ["/1"]

        run(scenario)

    def test_quiet(self) -> None:
        """A connection whose first request is under way is served by a host that stops."""

        async def scenario() -> None:
            async with serve(Script()) as bed:
                with plain_caller(bed.port) as caller:
                    await bed.server.finish_listening()
                    bed.server.close_idle()
                    await asyncio.sleep(TRAVEL_SECONDS)
                    caller.sendall(request("/1"))
                    assert await answer_to(caller) == ["/1"]

        run(scenario)


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Requests that stand behind another on one connection.

    Attributes:
        sent: What is sent at once.
        later: What is sent once the first is being answered.
        closing: Whether the host leaves.
        acts: What is done with requests, by path.
        answers: The bodies that come back, in order.
        handled: The requests that are handed over.
    """

    sent: bytes
    answers: tuple[str, ...]
    handled: tuple[str, ...]
    later: bytes = b""
    closing: bool = False
    acts: dict[str, Callable[[Exchange], None]] = field(default_factory=dict)


MANY = tuple(f"/{number}" for number in range(1, 501))
SLOW: dict[str, Callable[[Exchange], None]] = {"/1": answer_after(0.05)}
SLOWER: dict[str, Callable[[Exchange], None]] = {"/1": answer_after(0.4)}

QUEUES = {
    "a host that leaves": Queue(
        sent=request("/1") + request("/2"),
        closing=True,
        answers=("/1", "/2"),
        handled=("/1", "/2"),
    ),
    "a host that leaves, answering slowly": Queue(
        sent=request("/1") + request("/2") + request("/3"),
        closing=True,
        acts=SLOW,
        answers=("/1", "/2", "/3"),
        handled=("/1", "/2", "/3"),
    ),
    "what is no request behind them": Queue(
        sent=request("/1") + request("/2") + b"\x00\r\n\r\n",
        acts=SLOW,
        answers=("/1", "/2", "malformed_request"),
        handled=("/1", "/2"),
    ),
    "a caller that asks to close": Queue(
        sent=request("/1", headers=LAST) + request("/2"), answers=("/1",), handled=("/1",)
    ),
    "more than the stack is deep": Queue(
        sent=b"".join(request(path) for path in MANY) + request("/end", headers=LAST),
        acts=SLOW,
        answers=(*MANY, "/end"),
        handled=(*MANY, "/end"),
    ),
    "a part of one that is not read on": Queue(
        sent=request("/1") + request("/2") + request("/3", headers=LAST)[:20],
        later=request("/3", headers=LAST)[20:],
        acts=SLOWER,
        answers=("/1", "/2", "/3"),
        handled=("/1", "/2", "/3"),
    ),
}


class TestQueue:
    """What stands behind another request on its connection is answered in its turn."""

    @pytest.mark.parametrize("queue", QUEUES.values(), ids=QUEUES.keys())
    def test_answered(self, queue: Queue) -> None:
        """All that is a request has its answer, in order, and the connection ends behind it."""

        async def scenario() -> None:
            limits = CallerLimits(header_seconds=0.2)
            script = Script(limits=limits, closing=queue.closing, acts=queue.acts)
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(queue.sent)
                await reach(lambda: bool(script.handled))
                caller.send(queue.later)
                async with asyncio.timeout(5.0):
                    assert bodies(await caller.rest()) == list(queue.answers)
                assert tuple(script.handled) == queue.handled
                assert len(script.refused) == len(queue.answers) - len(queue.handled)
                assert script.closed[0].unserved == ()

        run(scenario)


class TestContinue:
    """Leave to send a body does not stand in the middle of another answer."""

    def test_behind(self) -> None:
        """It comes once the answer under way is whole, and the body's request is answered."""

        async def scenario() -> None:
            script = Script(acts={"/1": answer_after(0.05)})
            async with serve(script) as bed:
                caller = await bed.connect()
                wish = "expect: 100-continue\r\ncontent-length: 4\r\n" + LAST
                caller.send(request("/1") + request("/2", headers=wish))
                first = await caller.reader.readuntil(b"\r\n\r\n/1")
                leave = await caller.reader.readuntil(b"\r\n\r\n")
                caller.send(b"body")
                assert bodies(first) == ["/1"]
                assert leave == b"HTTP/1.1 100 Continue\r\n\r\n"
                assert bodies(await caller.rest()) == ["/2"]

        run(scenario)


def fail(exchange: Exchange) -> None:
    """Fail by what is no failure of ours."""
    raise KeyError("fault")


def begin_and_fail(exchange: Exchange) -> None:
    """Fail after the head of the answer."""
    exchange.begin(status=HTTPStatus.OK, headers=())
    fail(exchange)


def answer_and_fail(exchange: Exchange) -> None:
    """Fail after the whole answer."""
    answer(exchange)
    fail(exchange)


class FaultyScript(Script):
    """A handler that fails in refusing too."""

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Fail."""
        fail(exchange)


class TestFault:
    """A fault in the code that takes requests is logged, and its request ends."""

    @pytest.fixture(autouse=True)
    def _logged(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.logged: list[str] = []
        monkeypatch.setattr(logging, "exception", lambda text, *args: self.logged.append(text))

    @pytest.mark.parametrize(
        ("act", "answers", "left"),
        [
            (fail, ["internal_error", "/2"], ["/1"]),
            (answer_and_fail, ["/1", "/2"], []),
        ],
    )
    def test_answered(
        self, act: Callable[[Exchange], None], answers: list[str], left: list[str]
    ) -> None:
        """The caller is told that it may have run, the handler that it is over; others go on."""

        async def scenario() -> None:
            script = Script(acts={"/1": act})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1") + request("/2", headers=LAST))
                async with asyncio.timeout(5.0):
                    assert bodies(await caller.rest()) == answers
                assert [error.code for error in script.refused] == answers[: len(left)]
                assert script.left == left
                assert len(self.logged) == 1

        run(scenario)

    @pytest.mark.parametrize(
        ("kind", "act"), [(Script, begin_and_fail), (FaultyScript, fail)], ids=("begun", "refuse")
    )
    def test_broken_off(self, kind: type[Script], act: Callable[[Exchange], None]) -> None:
        """An answer that has begun, or that can't be given, is broken off for that reason."""

        async def scenario() -> None:
            script = kind(acts={"/1": act})
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1"))
                async with asyncio.timeout(5.0):
                    await caller.rest()
                assert [closed.reason for closed in script.closed] == [CloseReason.FAULT]
                assert script.left == ["/1"]
                assert self.logged

        run(scenario)

    def test_reading(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A fault in reading is no malformed request."""

        def fault(reader: object, url: bytes) -> None:
            raise KeyError("fault")

        monkeypatch.setattr("azureswitch.server._reader.RequestReader.on_url", fault)

        async def scenario() -> None:
            script = Script()
            async with serve(script) as bed:
                caller = await bed.connect()
                caller.send(request("/1"))
                async with asyncio.timeout(5.0):
                    assert bodies(await caller.rest()) == ["internal_error"]
                assert self.logged

        run(scenario)

    def test_gateway(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A fault after a gateway has taken a request leaves none open."""

        async def scenario() -> None:
            async with serve_gateway() as bed:
                with monkeypatch.context() as patch:
                    patch.setattr("azureswitch.serving._loop.reduce", _fail_reducing)
                    async with asyncio.timeout(5.0):
                        answer = await bed.ask("/read/")
                assert answer.head.status == HTTPStatus.INTERNAL_SERVER_ERROR
                assert bed.gateway.shell.open_calls == 0

        run(scenario)


def _fail_reducing(state: object, event: object) -> None:
    raise KeyError("fault")
