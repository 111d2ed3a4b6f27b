"""Tests that a stopping process answers or refuses each request that it has read."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

import pytest

from azureswitch.client import Headers, HttpAnswer
from azureswitch.exceptions import AzureswitchError, HttpBrokenError
from azureswitch.gateway import Neighbours
from azureswitch.logs import Entry
from azureswitch.platform import PlatformDialect
from tests.gateway.fixtures import (
    PATIENCE,
    Act,
    Bed,
    RecordingLog,
    model_headers,
    serve,
    usual_headers,
)
from tests.waiting import reach

GRACE = 2.0
"""Grace period in seconds; the process exits slightly earlier."""

FLUSH_SECONDS = 0.2
"""Seconds after the stop within which sent answers must arrive over loopback."""

ENDS = ("Request answered.", "Request failed.")


LONG_OUTPUT_TOKENS = 3_000
"""Output tokens that take the engines 3.9 s, which is more than the grace period."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest:
    """A request that cannot complete within the grace period.

    Attributes:
        path: Where it is sent.
        acts: What targets do with it.
        status: The status that its caller gets, or None if an answer that has begun is aborted.
        runs: Number of runs.
        again: Whether the answer has a retry delay.
    """

    path: str
    acts: tuple[Act, ...]
    status: HTTPStatus | None
    runs: int
    again: bool = True


REFUSALS = (Act.REFUSE,) * 200

CASES = {
    "a lookup whose target is silent": OpenRequest(
        path="/read/", acts=(Act.HANG,), status=HTTPStatus.BAD_GATEWAY, runs=1
    ),
    "a booking whose target is silent": OpenRequest(
        path="/book/", acts=(Act.HANG,), status=HTTPStatus.BAD_GATEWAY, runs=1, again=False
    ),
    "a stream that has not begun": OpenRequest(
        path="/once/", acts=(Act.HANG,), status=HTTPStatus.BAD_GATEWAY, runs=1, again=False
    ),
    "a stream that outlasts the grace period": OpenRequest(
        path="/ask/", acts=(), status=None, runs=1, again=False
    ),
    "a lookup that every target refuses": OpenRequest(
        path="/read/", acts=REFUSALS, status=HTTPStatus.SERVICE_UNAVAILABLE, runs=0
    ),
    "a booking that every target refuses": OpenRequest(
        path="/book/", acts=REFUSALS, status=HTTPStatus.SERVICE_UNAVAILABLE, runs=0
    ),
}


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())


async def outcome(bed: Bed, path: str, *, id: str = "r1") -> HttpAnswer | None:
    """Send a request and return its answer, or None if it was aborted."""
    streams = path in ("/ask/", "/once/")
    try:
        return await bed.ask(path, id=id, headers=model_headers() if streams else ())
    except HttpBrokenError:
        return None


class TestOpenRequests:
    """Requests still open when the grace period ends get one final answer before the exit."""

    @pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
    def test_decided(self, case: OpenRequest) -> None:
        """The answer correctly says if the request ran; it is not retried; its end is logged."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve(acts=case.acts, grace=GRACE, log=log) as bed:
                bed.fleet.events, bed.fleet.pause = 1_000, 0.05
                asking = asyncio.create_task(outcome(bed, case.path))
                await reach(lambda: bed.fleet.arrivals > 0)
                await bed.gateway.stop()
                done, _ = await asyncio.wait({asking}, timeout=FLUSH_SECONDS)
                assert done, "The caller has neither an answer nor a refusal."
                answer = asking.result()
                assert (answer.head.status if answer else None) == case.status
                if answer is not None:
                    assert (answer.head.retry_after is not None) is case.again
                arrivals = bed.fleet.arrivals
                await asyncio.sleep(FLUSH_SECONDS)
                assert bed.fleet.arrivals == arrivals
                assert len(bed.fleet.runs) == case.runs
                assert log.about("r1")[-1] in ENDS or log.about("r1")[-2] in ENDS
                assert "Request cut off." not in log.about("r1")
                assert not bed.reservations.held

        run(scenario)


class TestNewRequests:
    """A leaving host starts no request that would be aborted when it exits."""

    @pytest.mark.parametrize(
        ("path", "output", "status"),
        [
            ("/ask/", 100, HTTPStatus.OK),
            ("/ask/", LONG_OUTPUT_TOKENS, HTTPStatus.SERVICE_UNAVAILABLE),
            ("/read/", 0, HTTPStatus.OK),
            ("/book/", 0, HTTPStatus.OK),
        ],
    )
    def test_read_late(self, path: str, output: int, status: HTTPStatus) -> None:
        """Requests that can complete are answered; others are refused with a retry delay."""

        async def scenario() -> None:
            async with serve(grace=GRACE) as bed:
                stopping = asyncio.create_task(bed.gateway.stop())
                await reach(lambda: not bed.gateway.ready)
                headers = model_headers(output=output) if output else ()
                answer = await bed.ask(path, headers=headers)
                assert answer.head.status == status
                refused = status == HTTPStatus.SERVICE_UNAVAILABLE
                assert (answer.head.retry_after is not None) is refused
                assert len(bed.fleet.runs) == (0 if refused else 1)
                await stopping

        run(scenario)

    def test_memory(self) -> None:
        """Reserved memory is released before the process exits."""

        async def scenario() -> None:
            async with serve(acts=(Act.HANG,), grace=GRACE) as bed:
                bed.reservations.delay = 0.02
                asking = asyncio.create_task(
                    bed.ask("/ask/", headers=model_headers(prompt=700_000))
                )
                await reach(lambda: bed.fleet.arrivals > 0)
                assert bed.reservations.held
                await bed.gateway.stop()
                assert not bed.reservations.held
                await asking

        run(scenario)

    def test_cut_off(self) -> None:
        """Requests still open when the process exits are logged."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve(acts=(Act.HANG,), log=log) as bed:
                asking = asyncio.create_task(outcome(bed, "/read/"))
                await reach(lambda: bed.fleet.arrivals > 0)
                bed.gateway.shell.report_cut_off()
                assert log.about("r1")[-1] == "Request cut off."
                asking.cancel()

        run(scenario)

    def test_step_fails(self) -> None:
        """If a step of the stop raises, open requests still get a final answer."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve(acts=(Act.HANG,), grace=GRACE, log=log) as bed:
                asking = asyncio.create_task(outcome(bed, "/read/"))
                await reach(lambda: bed.fleet.arrivals > 0)
                bed.gateway._neighbours = _fail
                await bed.gateway.stop()
                answer = await asking
                assert answer is not None
                assert answer.head.status == HTTPStatus.BAD_GATEWAY
                assert log.about("r1")[-1] in ENDS or log.about("r1")[-2] in ENDS

        run(scenario)


class TestListener:
    """Callers that connected before a leaving host stops listening are served."""

    def test_waiting(self) -> None:
        """A caller that connects just before the close is answered; later ones are refused."""
        callers: list[socket.socket] = []

        async def scenario() -> None:
            async with serve(grace=GRACE) as bed:
                host, port = bed.gateway.callers_address.split(":")

                def connect() -> Neighbours:
                    # Called right before each step of the stop, within the same loop iteration.
                    with suppress(ConnectionRefusedError):
                        callers.append(socket.create_connection((host, int(port)), timeout=5.0))
                        callers[-1].sendall(_lookup(f"r{len(callers)}"))
                    return Neighbours()

                bed.gateway._neighbours = connect
                await bed.gateway.stop()
                for caller in callers:
                    assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")
                with pytest.raises(ConnectionRefusedError):
                    socket.create_connection((host, int(port)), timeout=5.0)

        try:
            run(scenario)
        finally:
            for caller in callers:
                caller.close()


def _lookup(id: str) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in usual_headers(id))
    return f"GET /read/ HTTP/1.1\r\n{lines}\r\n".encode()


class BrokenLog(RecordingLog):
    """A log that fails to write the end of one request."""

    def write(self, entry: Entry) -> None:
        """Record an entry, or raise."""
        if entry.request == "r1" and entry.sentence in ENDS:
            raise OSError
        super().write(entry)


class BrokenDialect(PlatformDialect):
    """A dialect that cannot encode errors."""

    def failure(self, error: AzureswitchError) -> tuple[Headers, bytes]:
        """Raise an error."""
        raise RuntimeError


class TestFaults:
    """An internal error while ending one request does not keep others from ending."""

    def test_log(self) -> None:
        """All requests are answered, including the one whose end cannot be logged."""

        async def scenario() -> None:
            async with serve(acts=(Act.HANG,) * 3, grace=GRACE, log=BrokenLog()) as bed:
                asking = [
                    asyncio.create_task(bed.ask("/read/", id=id)) for id in ("r1", "r2", "r3")
                ]
                await reach(lambda: bed.fleet.arrivals == len(asking))
                await bed.gateway.stop()
                done, _ = await asyncio.wait(asking, timeout=FLUSH_SECONDS)
                assert [task.result().head.status for task in done] == [HTTPStatus.BAD_GATEWAY] * 3

        run(scenario)

    def test_no_form(self) -> None:
        """If an error cannot be encoded, the connection is closed."""

        async def scenario() -> None:
            async with serve(acts=(Act.HANG,) * 2, grace=GRACE) as bed:
                asking = [asyncio.create_task(outcome(bed, "/read/", id=id)) for id in ("r1", "r2")]
                await reach(lambda: bed.fleet.arrivals == len(asking))
                bed.gateway.shell._dialect = BrokenDialect()
                await bed.gateway.stop()
                done, _ = await asyncio.wait(asking, timeout=FLUSH_SECONDS)
                assert [task.result() for task in done] == [None, None]
                assert bed.gateway.shell.open_calls == 0

        run(scenario)

    def test_step(self) -> None:
        """If a step of the stop raises, reserved memory is still released."""

        async def scenario() -> None:
            async with serve(acts=(Act.HANG,), grace=GRACE) as bed:
                bed.reservations.delay = 0.02
                headers = model_headers(prompt=700_000)
                asking = asyncio.create_task(bed.ask("/ask/", headers=headers))
                await reach(lambda: bed.fleet.arrivals > 0)
                assert bed.reservations.held
                bed.gateway._neighbours = _fail
                await bed.gateway.stop()
                assert not bed.reservations.held
                await asking

        run(scenario)


def _fail() -> Neighbours:
    raise RuntimeError


class TestLateRequests:
    """Requests read late in a stop are started only with a larger time margin."""

    @pytest.mark.parametrize(
        ("wait", "status"), [(0.0, HTTPStatus.OK), (2.6, HTTPStatus.SERVICE_UNAVAILABLE)]
    )
    def test_stream(self, wait: float, status: HTTPStatus) -> None:
        """A stream of 1.5 s with 2.9 s or more left is started early in the stop, refused later."""

        async def scenario() -> None:
            async with serve(grace=6.0, neighbours=lambda: Neighbours(known=2, before=2)) as bed:
                stopping = asyncio.create_task(bed.gateway.stop())
                await reach(lambda: not bed.gateway.ready)
                await asyncio.sleep(wait)
                answer = await bed.ask("/ask/", headers=model_headers(output=1_150))
                assert answer.head.status == status
                assert len(bed.fleet.runs) == (1 if status == HTTPStatus.OK else 0)
                await stopping

        run(scenario)
