"""A target over HTTP."""

import asyncio
from http import HTTPStatus
from random import Random

import msgspec
from absl import logging

from azureswitch.client import Headers
from azureswitch.exceptions import AzureswitchError
from azureswitch.platform import ORDER_PATH, header_names
from azureswitch.server import CallerLimits, Exchange, HttpServer
from azureswitch.tasks import Tasks
from azureswitch_standins.target._cold import ColdPhase
from azureswitch_standins.target._content import answer_body, event, event_count, seal
from azureswitch_standins.target._model import Act, Memory, Slots, TargetFaults, TargetPlan, draw
from azureswitch_standins.target._runs import NoteKind, Notes, digest
from azureswitch_standins.target._silence import Silence

FAULTS_PATH = "/standin/faults"
"""Not of the platform: what goes wrong is set there."""

LIMIT_PATH = "/standin/limit"
"""Not of the platform: the limit that is named in all answers from now on, or null."""

COLD_PATH = "/standin/cold"
"""Not of the platform: the target becomes cold again, while it runs on."""

SILENCE_PATH = "/standin/silence"
"""Not of the platform: the target falls silent for so many seconds and then goes on."""

FATAL_PART = "dead"
"""What the ids of parts begin with under which an engine crashes as it begins to answer."""

REPORT_PATH = "/api/report"
HEALTH_PATH = "/health"

TURN_SECONDS = 0.005
"""Seconds between two looks whether a place is free."""

LIMITS = CallerLimits(idle_seconds=6.0)


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order as it arrives; what it leaves out has no meaning for its operation."""

    operation: str = msgspec.field(name="Operation", default="")
    ticket: str = msgspec.field(name="Id", default="")
    tokens: int = msgspec.field(name="Tokens", default=0)
    milliseconds: float = msgspec.field(name="HoldMs", default=0.0)


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself."""

    running: int = msgspec.field(name="Running")
    tickets: tuple[str, ...] = msgspec.field(name="Tickets")
    sequence: int = msgspec.field(name="Sequence")


class TargetStandin:
    """One target.

    Args:
        plan: What it is.
        notes: Takes what it does.
        address: ``IP:PORT`` to listen on.
        seed: Seeds what goes wrong.
        born: When its process started, in milliseconds of the wall clock; zero where unsaid.
    """

    def __init__(
        self, *, plan: TargetPlan, notes: Notes, address: str, seed: int, born: int = 0
    ) -> None:
        self._plan = plan
        self._notes = notes
        self._listen = address
        self._random = Random(seed)
        self._faults = TargetFaults()
        self._slots = Slots(count=plan.slots, queue=plan.queue)
        self._memory = Memory(tokens=plan.memory)
        self._server = HttpServer(handler=self)
        self._tasks = Tasks(prefix="target")
        self._cold = ColdPhase(plan=plan)
        self._silence = Silence(clock=self._now, random=Random(f"{seed} silence"))
        self._crashed = asyncio.Event()
        self._running = 0
        self._leaving = False
        self._limit: str | None = None
        self._born = born
        self._sequence = 0

    @property
    def limits(self) -> CallerLimits:
        """What a connection may ask."""
        return LIMITS

    @property
    def closing(self) -> bool:
        """Whether callers are told to use another connection."""
        return self._leaving

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    @property
    def busy(self) -> bool:
        """Whether requests run or wait."""
        return self._running > 0

    @property
    def sequence(self) -> int:
        """Orders that it has taken since its process started."""
        return self._sequence

    @property
    def crashed(self) -> asyncio.Event:
        """Set once it has crashed, after which it answers nothing."""
        return self._crashed

    @property
    def cold_left(self) -> float:
        """Seconds for which it stays cold."""
        return self._cold.left(self._now())

    async def start(self) -> None:
        """Listen, cold at first."""
        self._cold.begin(self._now())
        await self._server.start(address=self._listen)

    def leave(self) -> None:
        """Tell callers to use other connections."""
        self._leaving = True

    def refuse(self, exchange: Exchange, error: AzureswitchError) -> None:
        """Answer what is no request."""
        exchange.respond(status=HTTPStatus.BAD_REQUEST, headers=(), body=b"")

    def handle(self, exchange: Exchange) -> None:
        """Take what a test says, answer a page, or do with a request what the faults say."""
        if self._take_control(exchange):
            return
        if not self._is_page(exchange) and self._is_meant(exchange):
            self._notes.write(NoteKind.ARRIVED, id=_id_of(exchange))
        if self._silence.now:
            self._tasks.spawn(self._serve_later(exchange), name="silence")
        else:
            self._serve(exchange)

    def _take_control(self, exchange: Exchange) -> bool:
        """Do what a test says, also during a silence, and return whether it was that."""
        path, body = exchange.request.target, exchange.request.body
        if path == FAULTS_PATH:
            self._faults = msgspec.json.decode(body, type=TargetFaults)
        elif path == LIMIT_PATH:
            self._limit = msgspec.json.decode(body, type=str | None)
        elif path == COLD_PATH:
            self._cold.begin(self._now())
        elif path == SILENCE_PATH:
            self._silence.begin(msgspec.json.decode(body, type=float))
        else:
            return False
        exchange.respond(status=HTTPStatus.OK, headers=(), body=b"")
        return True

    async def _serve_later(self, exchange: Exchange) -> None:
        await self._silence.over()
        self._serve(exchange)

    def _serve(self, exchange: Exchange) -> None:
        path = exchange.request.target
        if path == ORDER_PATH:
            self._order(exchange)
        elif path == REPORT_PATH:
            held = tuple(self._memory.held(self._now()))
            body = msgspec.json.encode(
                Report(running=self._running, tickets=held, sequence=self._sequence)
            )
            exchange.respond(status=HTTPStatus.OK, headers=(), body=body)
        elif path == HEALTH_PATH:
            status = HTTPStatus.SERVICE_UNAVAILABLE if self._leaving else HTTPStatus.OK
            exchange.respond(status=status, headers=(), body=b"")
        else:
            self._request(exchange)

    def _is_page(self, exchange: Exchange) -> bool:
        return exchange.request.target in (ORDER_PATH, REPORT_PATH, HEALTH_PATH)

    def _is_meant(self, exchange: Exchange) -> bool:
        """Return whether a request expects this target, or any."""
        expected = dict(exchange.request.headers).get(header_names.EXPECTED_TARGET)
        return expected in (None, self._plan.name)

    def _crash(self, id: str = "") -> None:
        """End without an answer to anyone, as a killed process does, under a request if named."""
        self._notes.write(NoteKind.CRASHED, id=id)
        self._crashed.set()
        self._server.stop_listening()
        self._server.abort()

    def _order(self, exchange: Exchange) -> None:
        if self._cold.count(self._now()):
            self._crash()
            return
        order = msgspec.json.decode(exchange.request.body, type=Order)
        now = self._now()
        done = True
        if order.operation == "reserve":
            until = now + order.milliseconds / 1_000.0
            done = self._memory.reserve(order.ticket, order.tokens, until=until, now=now)
        else:
            self._memory.release(order.ticket)
        self._sequence += done
        status = HTTPStatus.OK if done else HTTPStatus.CONFLICT
        exchange.respond(status=status, headers=self._said(), body=b"{}")

    def _request(self, exchange: Exchange) -> None:
        headers = dict(exchange.request.headers)
        id = _id_of(exchange)
        if not self._is_meant(exchange):
            exchange.respond(status=HTTPStatus.MISDIRECTED_REQUEST, headers=(), body=b"")
            return
        if self._cold.count(self._now()):
            self._crash()
            return
        act = draw(self._faults, random=self._random)
        if act is Act.MUTE:
            return
        if act is Act.SHED or self._slots.full:
            self._notes.write(NoteKind.REFUSED, id=id)
            refused = ((header_names.NOT_RUN, "1"), *self._said())
            exchange.respond(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=refused, body=b"")
            return
        # It stands in line from now on, so that the next one to arrive sees it there.
        ticket = object()
        self._slots.wait(ticket)
        task = self._tasks.spawn(self._run(exchange, headers, ticket, act), name=id)

        def left() -> None:
            # A task that is called off before its first step leaves nothing in order by itself.
            self._slots.leave(ticket)
            task.cancel()

        exchange.on_left(left)
        if exchange.over:
            # Its caller left during a silence; a process that stood still reads and begins it.
            asyncio.get_running_loop().call_soon(left)

    async def _run(
        self, exchange: Exchange, headers: dict[str, str], ticket: object, act: Act
    ) -> None:
        id = headers.get(header_names.ID, "")
        left = float(headers.get(header_names.MILLISECONDS_LEFT, "0")) / 1_000.0
        self._running += 1
        began = False
        try:
            try:
                async with asyncio.timeout(left):
                    while self._silence.now or not self._slots.take(ticket):
                        await asyncio.sleep(TURN_SECONDS)
                    began = True
                    self._note_run(exchange, headers, id, left)
                    await self._act(exchange, headers, id, act)
            except TimeoutError:
                await self._silence.over()
                self._late(exchange, id, began)
        except asyncio.CancelledError:
            self._notes.write(NoteKind.CALLER_LEFT, id=id)
        finally:
            self._running -= 1
            self._slots.free() if began else self._slots.leave(ticket)
        self._notes.write(NoteKind.OVER, id=id)

    def _note_run(self, exchange: Exchange, headers: dict[str, str], id: str, left: float) -> None:
        request = exchange.request
        self._notes.write(
            NoteKind.RUN,
            id=id,
            customer=headers.get(header_names.CUSTOMER, ""),
            digest=digest(method=request.method, path=request.target, body=request.body),
            keyed=header_names.KEY in headers,
            left=left,
        )

    def _late(self, exchange: Exchange, id: str, began: bool) -> None:
        """End a request at its deadline; one that still waited for a place did not run."""
        if exchange.started:
            exchange.abort()
        elif began:
            exchange.respond(status=HTTPStatus.GATEWAY_TIMEOUT, headers=self._sealed(id), body=b"")
        else:
            self._notes.write(NoteKind.REFUSED, id=id)
            headers = ((header_names.NOT_RUN, "1"), *self._said())
            exchange.respond(status=HTTPStatus.SERVICE_UNAVAILABLE, headers=headers, body=b"")

    async def _act(self, exchange: Exchange, headers: dict[str, str], id: str, act: Act) -> None:
        slowdown = self._cold.slowdown(self._now())
        if self._plan.streams:
            await self._silence.work(slowdown * _prompt(headers) / self._plan.read_rate)
        if act is Act.HANG:
            await asyncio.Event().wait()
        elif act is Act.FAIL:
            exchange.respond(
                status=HTTPStatus.INTERNAL_SERVER_ERROR, headers=self._sealed(id), body=b"failed"
            )
        elif self._plan.streams:
            await self._stream(exchange, headers, id, act)
        else:
            await self._silence.work(slowdown * self._plan.work)
            await self._answer(exchange, id, act)

    async def _answer(self, exchange: Exchange, id: str, act: Act) -> None:
        if act is Act.LOSE:
            exchange.abort()
        elif act is Act.BREAK:
            exchange.begin(status=HTTPStatus.OK, headers=self._sealed(id))
            exchange.write(answer_body(id)[:100])
            exchange.abort()
        elif act is Act.CROSS:
            other = f"{id}-other"
            exchange.respond(
                status=HTTPStatus.OK, headers=self._sealed(other), body=answer_body(other)
            )
        else:
            await self._silence.respond(
                exchange, status=HTTPStatus.OK, headers=self._sealed(id), body=answer_body(id)
            )

    async def _stream(self, exchange: Exchange, headers: dict[str, str], id: str, act: Act) -> None:
        if act is Act.LOSE:
            exchange.abort()
            return
        if _is_fatal(headers):
            self._crash(id)
            return
        of = f"{id}-other" if act is Act.CROSS else id
        first = int(headers.get(header_names.LAST_EVENT, "0")) + 1
        count = event_count(id)
        seals = self._sealed(of)
        await self._silence.begin_answer(exchange, status=HTTPStatus.OK, headers=seals)
        for number in range(first, count + 1):
            data = event(of, number)
            if act is Act.BREAK and number == (first + count) // 2:
                exchange.write(data[: len(data) // 2])
                await self._silence.work(self._plan.work)
                exchange.abort()
                return
            await self._silence.write(exchange, data)
            await self._silence.work(self._plan.work)
        if act is Act.EXTRA:
            exchange.write(event(id, count))
        exchange.finish()

    def _sealed(self, id: str) -> Headers:
        mark = (header_names.SEAL, seal(id, born=self._born))
        return ((header_names.ID, id), mark, *self._said())

    def _said(self) -> Headers:
        """Return what it says of itself in each answer."""
        return () if self._limit is None else ((header_names.LIMIT, self._limit),)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _id_of(exchange: Exchange) -> str:
    return dict(exchange.request.headers).get(header_names.ID, "")


def _is_fatal(headers: dict[str, str]) -> bool:
    """Return whether a prompt has a part that crashes engines."""
    parts = headers.get(header_names.PROMPT_PARTS, "").split(",")
    return any(part.strip().startswith(FATAL_PART) for part in parts)


def _prompt(headers: dict[str, str]) -> int:
    tokens = headers.get(header_names.TOKENS, "0").partition(",")[0]
    try:
        return int(tokens)
    except ValueError:
        logging.warning("target: The count of tokens %r is no number.", tokens)
        return 0
