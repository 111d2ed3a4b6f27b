"""Tests of a gateway over loopback: what callers receive and targets run under failures."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from socket import create_server
from time import sleep

import pytest

from azureswitch.client import HttpClient, HttpHead
from azureswitch.exceptions import (
    HttpBrokenError,
    TargetBrokenError,
    TargetError,
    TargetRefusedError,
)
from azureswitch.gateway import AnswerInfo
from azureswitch.platform import PlatformDialect
from azureswitch.server import CallerLimits
from azureswitch.serving._retries import MIN_OUTPUT_GAP_SECONDS
from tests.gateway.fixtures import (
    PATIENCE,
    Act,
    Bed,
    deployment,
    model_headers,
    serve,
    usual_headers,
    whole_stream,
)
from tests.waiting import reach


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())


class TestPlain:
    """Requests to plain services."""

    def test_forwarded(self) -> None:
        """Requests and answers are forwarded unchanged, except keys and hop-by-hop headers."""

        async def scenario() -> None:
            async with serve() as bed:
                answer = await bed.ask(
                    "/book/x?y=1",
                    headers=(("x-azureswitch-tenant", "bob"), ("x-own", "1")),
                )
                assert (answer.head.status, answer.body) == (200, b"whole r1")
                assert answer.head.header(name="x-azureswitch-response-seal") == "seal"
                (ran,) = bed.fleet.runs
                assert ran.body == b"body"
                assert ran.headers["host"] == "a.example"
                assert ran.headers["x-own"] == "1"
                assert ran.headers["x-azureswitch-tenant"] == "ann"
                assert "authorization" not in ran.headers
                assert 0 < int(ran.headers["x-azureswitch-time-remaining"]) <= 5_000

        run(scenario)

    @pytest.mark.parametrize(
        ("path", "acts", "status", "runs"),
        [
            ("/read/", [Act.REFUSE], HTTPStatus.OK, 1),
            ("/read/", [Act.CLOSE], HTTPStatus.OK, 2),
            ("/read/", [Act.BREAK], HTTPStatus.OK, 2),
            ("/read/", [Act.CROSS], HTTPStatus.OK, 2),
            ("/read/", [Act.ENCODE], HTTPStatus.OK, 2),
            ("/read/", [Act.FAIL], HTTPStatus.OK, 2),
            ("/read/", [Act.FAIL, Act.FAIL], HTTPStatus.INTERNAL_SERVER_ERROR, 2),
            ("/read/", [Act.CLOSE, Act.CLOSE], HTTPStatus.BAD_GATEWAY, 2),
            ("/book/", [Act.REFUSE, Act.REFUSE], HTTPStatus.OK, 1),
            ("/book/", [Act.CLOSE], HTTPStatus.BAD_GATEWAY, 1),
            ("/book/", [Act.BREAK], HTTPStatus.BAD_GATEWAY, 1),
            ("/book/", [Act.CROSS], HTTPStatus.BAD_GATEWAY, 1),
            ("/book/", [Act.FAIL], HTTPStatus.INTERNAL_SERVER_ERROR, 1),
            ("/book/", [Act.REFUSE, Act.CLOSE], HTTPStatus.BAD_GATEWAY, 1),
            ("/book/", [Act.REJECT], HTTPStatus.NOT_FOUND, 1),
            ("/read/", [Act.REJECT], HTTPStatus.NOT_FOUND, 1),
        ],
    )
    def test_failures(self, path: str, acts: list[Act], status: HTTPStatus, runs: int) -> None:
        """Repeatable requests are retried, others run once; the caller gets one answer."""

        async def scenario() -> None:
            async with serve(acts=acts) as bed:
                answer = await bed.ask(path)
                assert answer.head.status == status
                assert len(bed.fleet.runs) == runs
                sealed = answer.head.header(name="x-azureswitch-response-seal") is not None
                assert sealed is (status in (200, 404, 500))

        run(scenario)

    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_all_refuse(self, path: str) -> None:
        """If every target refuses, the caller gets a 503 with a retry time, and nothing runs."""

        async def scenario() -> None:
            async with serve(acts=[Act.REFUSE] * 40) as bed:
                answer = await bed.ask(path)
                assert answer.head.status == HTTPStatus.SERVICE_UNAVAILABLE
                assert answer.head.retry_after is not None
                assert not bed.fleet.runs

        run(scenario)

    def test_deadline(self) -> None:
        """A request that its target does not answer ends with a timeout at its deadline."""

        async def scenario() -> None:
            async with serve(acts=[Act.HANG]) as bed:
                answer = await bed.ask("/book/", headers=())
                assert answer.head.status == HTTPStatus.GATEWAY_TIMEOUT

        run(scenario)


class TestStreams:
    """Streams of server-sent events."""

    @pytest.mark.parametrize(
        ("acts", "runs"),
        [
            ([], 1),
            ([Act.REFUSE], 1),
            ([Act.CLOSE], 2),
            ([Act.BREAK], 2),
            ([Act.TEAR], 2),
            ([Act.BREAK, Act.REPEAT], 2),
            ([Act.CROSS], 2),
            ([Act.FAIL], 2),
        ],
    )
    def test_whole(self, acts: list[Act], runs: int) -> None:
        """A resumable stream arrives complete and in order, with the head of its first answer."""

        async def scenario() -> None:
            async with serve(acts=acts) as bed:
                answer = await bed.ask("/ask/", headers=model_headers())
                assert (answer.head.status, answer.body) == (200, whole_stream(5))
                assert len(bed.fleet.runs) == runs
                if acts and acts[0] in (Act.BREAK, Act.TEAR):
                    assert answer.head.header(name="x-from") == bed.fleet.runs[0].target
                    assert bed.fleet.runs[1].headers["last-event-id"] == "2"

        run(scenario)

    @pytest.mark.parametrize("second", [Act.REJECT, Act.FAIL, Act.CLOSE])
    def test_not_resumed(self, second: Act) -> None:
        """A stream that cannot be resumed is aborted at once; its caller sees it is incomplete."""

        async def scenario() -> None:
            async with serve(acts=[Act.BREAK, second]) as bed:
                begun = asyncio.get_running_loop().time()
                with pytest.raises(HttpBrokenError):
                    await bed.ask("/ask/", headers=model_headers())
                assert asyncio.get_running_loop().time() - begun < 3.0

        run(scenario)

    def test_resumed_by_caller(self) -> None:
        """A caller that already has some events gets only the remaining ones."""

        async def scenario() -> None:
            async with serve() as bed:
                headers = (*model_headers(), ("last-event-id", "3"))
                answer = await bed.ask("/ask/", headers=headers)
                assert answer.body == whole_stream(5, first=4)

        run(scenario)

    @pytest.mark.parametrize("act", [Act.BREAK, Act.TEAR])
    def test_broken(self, act: Act) -> None:
        """A broken stream that is not resumable runs once, and its caller sees it is incomplete."""

        async def scenario() -> None:
            async with serve(acts=[act]) as bed:
                with pytest.raises(HttpBrokenError):
                    await bed.ask("/once/", headers=model_headers())
                assert len(bed.fleet.runs) == 1

        run(scenario)

    @pytest.mark.parametrize("path", ["/ask/", "/once/"])
    def test_caller_left(self, path: str) -> None:
        """If the caller disconnects, its stream is cancelled at the target, resumable or not."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.fleet.events = 1_000
                bed.fleet.pause = 0.05
                asking = asyncio.ensure_future(bed.ask(path, headers=model_headers()))
                await reach(lambda: len(bed.fleet.runs) == 1)
                asking.cancel()
                await reach(lambda: bed.fleet.runs[0].closed)

        run(scenario)

    @pytest.mark.parametrize(("pause", "on_time"), [(0.0, "true"), (0.4, "false")])
    def test_pauses(self, pause: float, on_time: str) -> None:
        """A stream with a pause longer than the route's objective is counted as late."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.fleet.pause = pause
                bed.fleet.events = 2
                await bed.ask("/ask/", headers=model_headers())
                text = bed.metrics.text()[0].decode()
                counted = [line for line in text.splitlines() if "answers_total{" in line]
                assert [f'on_time="{on_time}"' in line for line in counted] == [True]
                assert 'azureswitch_pause_count{route="/ask/"} 1' in text

        run(scenario)

    @pytest.mark.parametrize("path", ["/ask/", "/once/"])
    def test_host_stalled(self, path: str) -> None:
        """After a stall of its own, a host continues its streams and does not retry them."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.fleet.pause = 0.05
                asking = asyncio.ensure_future(bed.ask(path, headers=model_headers()))
                await reach(lambda: len(bed.fleet.runs) == 1)
                await asyncio.sleep(0.1)
                sleep(2.0 * MIN_OUTPUT_GAP_SECONDS)
                answer = await asking
                assert (answer.head.status, answer.body) == (200, whole_stream(5))
                assert len(bed.fleet.runs) == 1

        run(scenario)

    @pytest.mark.parametrize(("prompt", "holders"), [(100_000, 0), (600_000, 1), (900_000, 2)])
    def test_memory(self, prompt: int, holders: int) -> None:
        """Memory is reserved for prompts that exceed one engine, and released at the end."""

        async def scenario() -> None:
            async with serve(count=4) as bed:
                answer = await bed.ask("/ask/", headers=model_headers(prompt=prompt))
                assert answer.body == whole_stream(5)
                assert bed.reservations.asked == holders
                helpers = bed.fleet.runs[0].headers["x-azureswitch-helpers"]
                assert helpers.count("/") == holders
                await reach(lambda: not bed.reservations.held)

        run(scenario)

    @pytest.mark.parametrize("fails", [TargetRefusedError, TargetBrokenError])
    def test_memory_refused(self, fails: type[TargetError]) -> None:
        """If a reservation fails, other engines are tried and no memory stays reserved."""

        async def scenario() -> None:
            async with serve(count=4) as bed:
                bed.reservations.failing = {bed.targets[0].address: fails}
                answer = await bed.ask("/ask/", headers=model_headers(prompt=900_000))
                assert answer.body == whole_stream(5)
                await reach(lambda: not bed.reservations.held)

        run(scenario)

    def test_slow_caller(self) -> None:
        """A slowly reading caller is not mistaken for a silent target."""

        async def scenario() -> None:
            async with serve() as bed:
                bed.fleet.events = 40_000
                bed.fleet.padding = 500
                host, _, port = bed.gateway.callers_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port), limit=1_000)
                pairs = (*usual_headers("r1"), *model_headers())
                lines = [f"{name}: {value}" for name, value in pairs]
                writer.write("\r\n".join(("GET /ask/ HTTP/1.1", *lines, "", "")).encode())
                await reach(lambda: len(bed.fleet.runs) == 1)
                await asyncio.sleep(2.0)
                body = b""
                while b"0\r\n\r\n" not in body[-5:]:
                    body += await reader.read(65_536)
                assert body.count(b"data: ") == 40_000
                assert len(bed.fleet.runs) == 1
                writer.close()

        run(scenario)

    def test_internal_error(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An internal error ends a request at once, not at its deadline."""

        def decode_answer(self: PlatformDialect, head: HttpHead) -> AnswerInfo:
            raise RuntimeError

        async def scenario() -> None:
            async with serve() as bed:
                monkeypatch.setattr(PlatformDialect, "decode_answer", decode_answer)
                begun = asyncio.get_running_loop().time()
                answer = await bed.ask("/ask/", headers=model_headers())
                assert answer.head.status == HTTPStatus.BAD_GATEWAY
                assert asyncio.get_running_loop().time() - begun < 3.0

        run(scenario)


class TestCallers:
    """Validation and routing of callers' requests."""

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/none/", (), HTTPStatus.NOT_FOUND),
            ("/read", (), HTTPStatus.NOT_FOUND),
            ("/read/", (("authorization", "Bearer wrong"),), HTTPStatus.UNAUTHORIZED),
            ("/read/", (("authorization", ""),), HTTPStatus.UNAUTHORIZED),
            ("/open/", (("authorization", "Bearer wrong"),), HTTPStatus.OK),
            ("/read/", (("x-azureswitch-attempt-id", ""),), HTTPStatus.BAD_REQUEST),
            ("/read/", (("x-azureswitch-time-remaining", "x"),), HTTPStatus.BAD_REQUEST),
            ("/ask/", (("x-azureswitch-token-counts", "a,b"),), HTTPStatus.BAD_REQUEST),
            ("/read/", (("x-long", "x" * 20_000),), HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        ],
    )
    def test_refused(
        self, path: str, headers: tuple[tuple[str, str], ...], status: HTTPStatus
    ) -> None:
        """Refused requests get the matching status and run on no target."""

        async def scenario() -> None:
            async with serve() as bed:
                given = dict((*usual_headers("r1"), *headers))
                client = HttpClient(address=bed.gateway.callers_address)
                answer = await client.request(
                    method="GET", path=path, headers=tuple(given.items()), timeout=PATIENCE
                )
                client.close()
                assert answer.head.status == status
                assert len(bed.fleet.runs) == (status == HTTPStatus.OK)

        run(scenario)

    def test_body_limit(self) -> None:
        """A body larger than the limit is refused."""

        async def scenario() -> None:
            limits = CallerLimits(body_bytes=10)
            async with serve(configure=lambda g: g.adopt(deployment(limits=limits))) as bed:
                answer = await bed.ask("/read/", body=b"x" * 11)
                assert answer.head.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE

        run(scenario)

    def test_unconfigured(self) -> None:
        """A gateway without a configuration refuses requests and is not ready."""

        async def scenario() -> None:
            async with serve(configure=lambda gateway: None) as bed:
                assert not bed.gateway.ready
                answer = await bed.ask("/read/")
                assert answer.head.status == HTTPStatus.SERVICE_UNAVAILABLE
                bed.gateway.adopt(deployment())
                assert bed.gateway.ready
                assert (await bed.ask("/read/")).head.status == HTTPStatus.OK

        run(scenario)

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /read/ HTTP/1.1\r\nhost: a.example\r\n", b"408"),
            (
                b"POST /read/ HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
        ],
    )
    def test_malformed(self, data: bytes, status: bytes) -> None:
        """Malformed requests, and ones not complete within the timeout, are refused."""

        async def scenario() -> None:
            limits = CallerLimits(header_seconds=0.1)
            async with serve(configure=lambda g: g.adopt(deployment(limits=limits))) as bed:
                host, _, port = bed.gateway.callers_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                answer = await reader.read()
                assert answer.split(b" ")[1] == status
                assert b"connection: close" in answer
                writer.close()

        run(scenario)

    def test_pipelined(self) -> None:
        """Pipelined requests are answered in order."""

        async def scenario() -> None:
            async with serve() as bed:
                host, _, port = bed.gateway.callers_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                for id in ("r1", "r2", "r3"):
                    lines = [f"{name}: {value}" for name, value in usual_headers(id)]
                    head = "\r\n".join(("GET /read/ HTTP/1.1", *lines, "", ""))
                    writer.write(head.encode())
                for id in ("r1", "r2", "r3"):
                    await reader.readuntil(f"whole {id}".encode())
                writer.close()

        run(scenario)

    def test_versions(self) -> None:
        """An older configuration never replaces a newer one."""

        async def scenario() -> None:
            async with serve(configure=lambda g: g.adopt(deployment(5))) as bed:
                bed.gateway.adopt(deployment(4, routes=()))
                assert (await bed.ask("/read/")).head.status == HTTPStatus.OK
                bed.gateway.adopt(deployment(6, routes=()))
                assert (await bed.ask("/read/")).head.status == HTTPStatus.NOT_FOUND

        run(scenario)


async def _ready(bed: Bed) -> int:
    client = HttpClient(address=bed.gateway.readiness_address)
    answer = await client.request(method="GET", path="/api/readiness", timeout=PATIENCE)
    client.close()
    return answer.head.status


class TestStart:
    """Startup of a gateway."""

    def test_waiting_callers(self) -> None:
        """Callers that connected to the socket before startup are answered."""

        async def scenario() -> None:
            listener = create_server(("127.0.0.1", 0))
            ip, port = listener.getsockname()
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(b"GET /ask/ HTTP/1.1\r\nhost: a.example\r\n\r\n")
            async with serve(listener=listener) as bed:
                assert bed.gateway.callers_address == f"{ip}:{port}"
                assert (await reader.readline()).startswith(b"HTTP/1.1 ")
            writer.close()

        run(scenario)


class TestStop:
    """A graceful stop."""

    def test_cuts_nothing_short(self) -> None:
        """Running requests complete, later ones are served, and the process is not ready."""

        async def scenario() -> None:
            async with serve() as bed:
                assert await _ready(bed) == HTTPStatus.OK
                bed.fleet.pause = 0.3
                asking = asyncio.ensure_future(bed.ask("/ask/", headers=model_headers()))
                await reach(lambda: len(bed.fleet.runs) == 1)
                stopping = asyncio.ensure_future(bed.gateway.stop())
                await asyncio.sleep(0)
                assert await _ready(bed) == HTTPStatus.SERVICE_UNAVAILABLE
                late = await bed.ask("/read/", id="r2")
                assert late.head.status == HTTPStatus.OK
                assert late.head.header(name="connection") == "close"
                assert (await asking).body == whole_stream(5)
                await stopping

        run(scenario)
