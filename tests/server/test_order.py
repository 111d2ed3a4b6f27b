"""What must hold of a connection however its bytes are cut, and whenever it is ended."""

import asyncio
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from itertools import accumulate
from unittest.mock import patch

from absl import logging
from httptools import HttpResponseParser
from hypothesis import given, settings
from hypothesis import strategies as st

from azureswitch.server import CloseReason, Exchange
from tests.server.fixtures import Bed, Script, answer, never, request, run, serve
from tests.waiting import reach

MOST_REQUESTS = 8
TURN_SECONDS = 0.001

TRAVEL_SECONDS = 0.005
"""Seconds in which bytes cross loopback, while the loop does not read them."""


class Act(Enum):
    """What a handler does with a request."""

    ANSWER = "answers at once"
    LATER = "answers later"
    STREAM = "answers in parts"
    NEVER = "does not answer"
    ABORT = "breaks off"
    FAIL = "fails"
    FAIL_LATE = "fails after a part of the answer"


ANSWERED = (Act.ANSWER, Act.LATER, Act.STREAM, Act.FAIL)
BROKEN = {Act.ABORT: CloseReason.BROKEN_OFF, Act.FAIL_LATE: CloseReason.FAULT}


class Event(Enum):
    """What happens between two pieces of what a caller sends."""

    NOTHING = "nothing"
    TURN = "the loop takes some turns"
    LEAVE = "the host begins to leave"
    CLOSE_IDLE = "idle connections are closed"
    ABORT = "all connections are closed"
    GO = "the caller goes"


QUIET = (Event.NOTHING, Event.TURN)
CUTS = (Event.ABORT, Event.GO)
SIZES = st.one_of(st.just(len(request("/0"))), st.integers(1, 120))
EVENTS = st.one_of(
    st.sampled_from(QUIET), st.sampled_from((Event.TURN, Event.CLOSE_IDLE)), st.sampled_from(Event)
)
ACTS = st.one_of(st.sampled_from(ANSWERED), st.sampled_from(Act))


@dataclass(frozen=True, slots=True, kw_only=True)
class Play:
    """What is sent, and what happens meanwhile.

    Attributes:
        acts: What is done with the requests.
        bodies: Bytes of their bodies.
        pieces: After how many bytes which event comes.
        last: Whether the last request says that it is.
    """

    acts: list[Act]
    bodies: list[int]
    pieces: list[tuple[int, Event]]
    last: bool

    @property
    def data(self) -> bytes:
        """All requests in one."""
        return b"".join(self._request(number) for number in range(len(self.acts)))

    def whole(self, size: int) -> int:
        """Return how many requests are whole after so many bytes."""
        ends = accumulate(len(self._request(number)) for number in range(len(self.acts)))
        return sum(end <= size for end in ends)

    def _request(self, number: int) -> bytes:
        size = self.bodies[number]
        headers = f"content-length: {size}\r\n" if size else ""
        if self.last and number == len(self.acts) - 1:
            headers += "connection: close\r\n"
        return request(f"/{number}", headers=headers) + b"b" * size


@st.composite
def plays(draw: st.DrawFn) -> Play:
    """Draw a play."""
    acts = draw(st.lists(ACTS, min_size=1, max_size=MOST_REQUESTS))
    size = st.sampled_from((0, 0, 1, 40))
    return Play(
        acts=acts,
        bodies=draw(st.lists(size, min_size=len(acts), max_size=len(acts))),
        pieces=draw(st.one_of(st.just([]), st.lists(st.tuples(SIZES, EVENTS), max_size=12))),
        last=draw(st.booleans()),
    )


@dataclass(slots=True, kw_only=True)
class Answers:
    """Parses answers; what is not whole is none.

    Attributes:
        whole: The bodies of those that are.
        body: That of the one that comes.
    """

    whole: list[str] = field(default_factory=list)
    body: bytes = b""

    def on_body(self, data: bytes) -> None:
        """Keep a part."""
        self.body += data

    def on_message_complete(self) -> None:
        """Keep a whole answer."""
        self.whole.append(self.body.decode())
        self.body = b""


def do(act: Act, exchange: Exchange) -> None:
    """Do with a request what the play says."""
    loop = asyncio.get_running_loop()
    if act is Act.LATER:
        loop.call_later(TURN_SECONDS, answer, exchange)
    elif act is Act.ABORT:
        loop.call_later(TURN_SECONDS, exchange.abort)
    elif act is Act.NEVER:
        never(exchange)
    elif act is Act.FAIL:
        raise KeyError("fault")
    elif act in (Act.STREAM, Act.FAIL_LATE):
        exchange.begin(status=HTTPStatus.OK, headers=())
        exchange.write(exchange.request.target.encode())
        if act is Act.FAIL_LATE:
            raise KeyError("fault")
        loop.call_later(TURN_SECONDS, exchange.finish)
    else:
        answer(exchange)


class PlainCaller:
    """A caller that keeps all that arrives, for which a stream of asyncio does not do.

    That drops what it has not handed out yet once a write fails or a reset is seen.

    Args:
        port: Where it connects.
    """

    def __init__(self, *, port: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setblocking(False)
        self._gone = False

    async def send(self, data: bytes) -> None:
        """Send, unless either side has closed."""
        if self._gone:
            return
        try:
            await self._loop.sock_sendall(self._socket, data)
        except ConnectionError:
            self._gone = True

    async def receive(self) -> bytes:
        """Return all that comes until the connection ends."""
        got = b""
        try:
            while data := await self._loop.sock_recv(self._socket, 65_536):
                got += data
        except ConnectionError:
            self._gone = True
        return got

    def go(self) -> None:
        """Send nothing more, which a server takes for the end."""
        if not self._gone:
            self._gone = True
            with suppress(OSError):  # The server may have closed it in this very moment.
                self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close."""
        self._socket.close()


async def happen(event: Event, bed: Bed, caller: PlainCaller) -> None:
    """Bring an event about."""
    if event is Event.TURN:
        await asyncio.sleep(TURN_SECONDS)
    elif event is Event.LEAVE:
        bed.script.closing = True
    elif event is Event.CLOSE_IDLE:
        time.sleep(TRAVEL_SECONDS)
        bed.server.close_idle()
        await asyncio.sleep(TURN_SECONDS)
    elif event is Event.ABORT:
        bed.server.abort()
    elif event is Event.GO:
        caller.go()


@dataclass(slots=True, kw_only=True)
class PlayScript(Script):
    """A handler that does what a play says, and keeps the exchanges."""

    play: Play
    exchanges: list[Exchange] = field(default_factory=list)

    @property
    def stopped(self) -> bool:
        """Whether the connection was closed for idleness, and not by a cut from outside."""
        cut = any(event in CUTS for _, event in self.play.pieces)
        return not cut and any(closed.reason is CloseReason.STOP for closed in self.closed)

    @property
    def settled(self) -> bool:
        """Whether the connection has ended, or all that can be answered has been."""
        acts = self.play.acts[: len(self.exchanges)]
        if self.closed or Act.NEVER in acts:
            return True
        return len(acts) == len(self.play.acts) and all(e.over for e in self.exchanges)

    def handle(self, exchange: Exchange) -> None:
        """Do what the play says with a request in its turn."""
        act = self.play.acts[len(self.exchanges)]
        self.exchanges.append(exchange)
        self.handled.append(exchange.request.target)
        do(act, exchange)


async def play_out(script: PlayScript) -> bytes:
    """Send all, wait until nothing more can be answered, and return what came."""
    data = script.play.data
    async with serve(script) as bed:
        caller = PlainCaller(port=bed.port)
        receiving = asyncio.create_task(caller.receive())
        for size, event in script.play.pieces:
            await caller.send(data[:size])
            data = data[size:]
            await happen(event, bed, caller)
            if event is Event.CLOSE_IDLE and script.stopped:
                # Nothing that had arrived is lost to a close for idleness.
                sent = len(script.play.data) - len(data)
                assert len(script.handled) >= script.play.whole(sent)
                break
        await caller.send(data)
        await reach(lambda: script.settled)
        bed.server.abort()
        await reach(lambda: bool(script.closed))
        got = await receiving
        caller.close()
        return got


def check(script: PlayScript, data: bytes) -> None:
    """Check what a caller and the owner of the server saw."""
    assert len(script.closed) == 1
    closed = script.closed[0]
    handled, acts = script.handled, script.play.acts
    unserved = [request.target for request in closed.unserved]
    paths = [f"/{number}" for number in range(len(acts))]
    assert handled + unserved == paths[: len(handled) + len(unserved)]
    if not script.play.pieces:
        assert handled + unserved == paths
    answers = Answers()
    HttpResponseParser(answers).feed_data(data)
    due = [
        "internal_error" if act is Act.FAIL else path
        for act, path in zip(acts, handled, strict=False)
    ]
    assert answers.whole == due[: len(answers.whole)]
    if any(event in CUTS for _, event in script.play.pieces):
        return
    last = acts[len(handled) - 1] if handled else Act.ANSWER
    if last in ANSWERED:
        assert answers.whole == due
        assert closed.reason in (CloseReason.ANSWERED, CloseReason.STOP)
        # Only the head of an answer in parts may go out before what came behind it is read.
        assert last is Act.STREAM or not unserved
    else:
        assert answers.whole == due[:-1]
        assert closed.reason is BROKEN.get(last, CloseReason.STOP)


class TestOrder:
    """Each request that was read is answered once, in order, or its connection's end is told."""

    @settings(max_examples=100, deadline=None)
    @given(play=plays())
    def test_order(self, play: Play) -> None:
        """However its bytes are cut, and whenever the host leaves or either side closes."""
        script = PlayScript(play=play)

        async def scenario() -> None:
            check(script, await play_out(script))

        with patch.object(logging, "exception"):
            run(scenario)
