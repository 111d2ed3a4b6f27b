"""A plain service behind HTTP, which counts what it runs."""

import asyncio
from collections import Counter
from http import HTTPStatus

from blacksheep import Application, Content, Request, Response
from msgspec import MsgspecError, Struct
from msgspec.json import decode, encode
from msgspec.structs import replace

from azureswitch_standins._web import WebServer, application


class ServiceFaults(Struct, frozen=True, kw_only=True):
    """What goes wrong at a stand-in service.

    Attributes:
        refuse: Calls are refused with status 503 and do not run.
        delay: Seconds that a call takes before it runs.
        answer_delay: Seconds between a call's run and its answer.
        lose_answers: The connection breaks after this many of the next calls have run.
        dead: The process is gone: connections are refused and broken.
    """

    refuse: bool = False
    delay: float = 0.0
    answer_delay: float = 0.0
    lose_answers: int = 0
    dead: bool = False


class ServiceCounters(Struct, frozen=True, kw_only=True):
    """What a stand-in service has counted.

    Attributes:
        runs: Calls that ran.
        refused: Calls that were refused.
        lost: Calls that ran and whose answer was lost.
        by_key: Runs by Idempotency-Key.
        by_request: Runs by request id.
    """

    runs: int
    refused: int
    lost: int
    by_key: dict[str, int]
    by_request: dict[str, int]


class Receipt(Struct):
    """What a call that ran is answered.

    Attributes:
        receipt: Counts the calls that ran, from 1.
        service: The name of this stand-in.
        method: The method of the call.
        path: Its path and query.
        body: Its body.
        request_id: Its request id.
        idempotency_key: Its Idempotency-Key, or an empty string.
    """

    receipt: int
    service: str
    method: str
    path: str
    body: str
    request_id: str
    idempotency_key: str


class ServiceStandin:
    """A plain service that listens on loopback and takes any method and path.

    Args:
        name: Its name, which its answers carry.
        host: The IP to listen on.
        port: The port to listen on; zero for any.
    """

    def __init__(self, *, name: str = "service", host: str = "127.0.0.1", port: int = 0) -> None:
        self._name = name
        self._server = WebServer(app=self._routes(), host=host, port=port)
        self._faults = ServiceFaults()
        self._counts: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()
        self._by_request: Counter[str] = Counter()

    @property
    def address(self) -> str:
        """``IP:PORT``, known once it has started."""
        return self._server.address

    @property
    def faults(self) -> ServiceFaults:
        """What goes wrong now."""
        return self._faults

    @property
    def counters(self) -> ServiceCounters:
        """What has been counted since the start."""
        return ServiceCounters(
            runs=self._counts["runs"],
            refused=self._counts["refused"],
            lost=self._counts["lost"],
            by_key=dict(self._by_key),
            by_request=dict(self._by_request),
        )

    async def start(self) -> None:
        """Listen and serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop, breaking what still runs."""
        await self._server.stop()

    async def kill(self) -> None:
        """Die as a process does: connections break and new ones are refused."""
        await self.set_faults(faults=replace(self._faults, dead=True))

    async def revive(self) -> None:
        """Come back on the same address, with the counters kept."""
        await self.set_faults(faults=replace(self._faults, dead=False))

    async def set_faults(self, *, faults: ServiceFaults) -> None:
        """Change what goes wrong."""
        was_dead = self._faults.dead
        self._faults = faults
        if faults.dead and not was_dead:
            self._server.pause()
        if was_dead and not faults.dead:
            await self._server.resume()

    def _routes(self) -> Application:
        app = application(
            routes={
                ("GET", "/standin/counters"): self._get_counters,
                ("POST", "/standin/faults"): self._post_faults,
            }
        )

        async def fallback(request: Request) -> Response:
            return await self._call(request)

        app.router.fallback = fallback
        return app

    async def _call(self, request: Request) -> Response:
        body = await request.read() or b""
        if self._faults.refuse:
            self._counts["refused"] += 1
            return _refused()
        await asyncio.sleep(self._faults.delay)
        receipt = self._run(request, body)
        await asyncio.sleep(self._faults.answer_delay)
        if self._faults.lose_answers:
            self._faults = replace(self._faults, lose_answers=self._faults.lose_answers - 1)
            self._counts["lost"] += 1
            self._server.abort(request=request)
        return _json(HTTPStatus.OK, receipt)

    def _run(self, request: Request, body: bytes) -> Receipt:
        key, call = _header(request, "idempotency-key"), _header(request, "x-request-id")
        self._counts["runs"] += 1
        if key:
            self._by_key[key] += 1
        if call:
            self._by_request[call] += 1
        return Receipt(
            receipt=self._counts["runs"],
            service=self._name,
            method=request.method,
            path=request.url.value.decode(),
            body=body.decode(errors="replace"),
            request_id=call,
            idempotency_key=key,
        )

    async def _post_faults(self, request: Request) -> Response:
        try:
            faults = decode(await request.read() or b"{}", type=ServiceFaults)
        except MsgspecError:
            return Response(HTTPStatus.BAD_REQUEST)
        # The answer goes out before the connection may break.
        asyncio.get_running_loop().call_soon(
            lambda: asyncio.ensure_future(self.set_faults(faults=faults))
        )
        return _json(HTTPStatus.OK, faults)

    async def _get_counters(self, request: Request) -> Response:
        return _json(HTTPStatus.OK, self.counters)


def _header(request: Request, name: str) -> str:
    value = request.get_first_header(name.encode())
    return "" if value is None else value.decode("latin-1")


def _refused() -> Response:
    response = _json(
        HTTPStatus.SERVICE_UNAVAILABLE, {"error": {"type": "refused", "not_run": True}}
    )
    response.add_header(b"retry-after", b"1")
    return response


def _json(status: HTTPStatus, body: object) -> Response:
    return Response(status, content=Content(b"application/json", encode(body)))
