"""What a caller gets whose answer comes through the tunnel of a host that changes or is silent."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from http import HTTPStatus

import pytest
from msgspec.structs import replace

from azureswitch.client import HttpAnswer
from azureswitch.core import CustomerName
from azureswitch.server import CallerLimits
from tests.gateway.fixtures import Act, deployment, whole_stream
from tests.paths.fixtures import run
from tests.paths.test_gateways import EVENTS, STREAMS, Pair, pair
from tests.waiting import reach

PAUSE_SECONDS = 0.08
"""Seconds between two events of a stream."""

PATHS = ("/ask/", "/once/")


def drop_all(hosts: Pair, *, carrier: bool) -> None:
    """Take all routes and services away."""
    gateway = hosts.other if carrier else hosts.cut
    gateway.adopt(replace(deployment(2, routes=()), services=()))


def drop_targets(hosts: Pair, *, carrier: bool) -> None:
    """Take all targets away."""
    gateway = hosts.other if carrier else hosts.cut
    gateway.set_targets(())


def drop_keys(hosts: Pair, *, carrier: bool) -> None:
    """Take the caller's key away."""
    gateway = hosts.other if carrier else hosts.cut
    gateway.adopt(deployment(2, customers={"key-bob": CustomerName("bob")}))


def shorten(hosts: Pair, *, carrier: bool) -> None:
    """Lower timeouts and the limits of connections, in series."""
    gateway = hosts.other if carrier else hosts.cut
    for version, seconds in enumerate((0.05, 5.0, 0.02), start=2):
        routes = tuple(replace(known, timeout=seconds) for known in deployment(1).routes)
        limits = CallerLimits(header_seconds=seconds, idle_seconds=seconds)
        gateway.adopt(replace(deployment(version, routes=routes), limits=limits))


CHANGES = {
    "routes and services": drop_all,
    "targets": drop_targets,
    "keys": drop_keys,
    "limits": shorten,
}


async def begin(hosts: Pair, path: str) -> "asyncio.Task[HttpAnswer]":
    """Send a request, and return once its answer is under way through a tunnel."""
    hosts.fleet.pause = PAUSE_SECONDS
    asking = asyncio.create_task(hosts.ask(path))
    await reach(lambda: bool(hosts.fleet.runs) and hosts.cut.paths.used == 1)
    return asking


class TestChange:
    """A configuration that is adopted while an answer comes through a tunnel."""

    @pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES.keys())
    @pytest.mark.parametrize("carrier", [False, True], ids=("sender", "carrier"))
    @pytest.mark.parametrize("path", PATHS)
    def test_answered(self, path: str, carrier: bool, change: Callable[..., None]) -> None:
        """The caller gets the whole answer of the one run."""

        async def scenario() -> None:
            async with pair() as hosts:
                asking = await begin(hosts, path)
                change(hosts, carrier=carrier)
                answer = await asking
                assert (answer.head.status, answer.body) == (HTTPStatus.OK, whole_stream(EVENTS))
                assert len(hosts.fleet.runs) == 1

        run(scenario)

    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_target_dropped_before(self, path: str) -> None:
        """A carrier that knows the target no more refuses, and the caller is told as not run."""

        async def scenario() -> None:
            async with pair() as hosts:
                hosts.other.set_targets(())
                answer = await hosts.ask(path)
                assert answer.head.status == HTTPStatus.SERVICE_UNAVAILABLE
                assert not hosts.fleet.arrivals

        run(scenario)


@asynccontextmanager
async def silence(hosts: Pair) -> AsyncIterator[None]:
    """Have the carrier pass nothing on and answer no other host, and then go on."""
    server = hosts.other.paths._server
    decide = server.asked
    waiting: list[tuple[object, object]] = []
    server.asked = lambda *asked: waiting.append(asked)  # type: ignore[method-assign]
    ends = [session._target for session in server._sessions if session._target is not None]
    for end in ends:
        end.pause_reading()
    try:
        yield
    finally:
        server.asked = decide  # type: ignore[method-assign]
        for end in ends:
            end.resume_reading()
        for asked in waiting:
            decide(*asked)  # type: ignore[arg-type]


class TestSilence:
    """A carrier that is silent while an answer is under way, and goes on."""

    @pytest.mark.parametrize("seconds", [0.3, 1.0])
    @pytest.mark.parametrize("path", PATHS)
    def test_short(self, path: str, seconds: float) -> None:
        """The caller gets the whole answer of the one run."""

        async def scenario() -> None:
            async with pair() as hosts:
                asking = await begin(hosts, path)
                await asyncio.sleep(2.0 * PAUSE_SECONDS)
                async with silence(hosts):
                    await asyncio.sleep(seconds)
                assert (await asking).body == whole_stream(EVENTS)
                assert len(hosts.fleet.runs) == 1

        run(scenario)

    @pytest.mark.parametrize("path", PATHS)
    def test_long(self, path: str) -> None:
        """So it does of a silence of 1.5 s."""

        async def scenario() -> None:
            async with pair() as hosts:
                asking = await begin(hosts, path)
                await asyncio.sleep(2.0 * PAUSE_SECONDS)
                async with silence(hosts):
                    await asyncio.sleep(1.5)
                assert (await asking).body == whole_stream(EVENTS)

        run(scenario)

    @pytest.mark.parametrize("path", ["/read/", "/book/"])
    def test_whole(self, path: str) -> None:
        """A whole answer that is late for it arrives."""

        async def scenario() -> None:
            async with pair(acts=(Act.HANG,)) as hosts:
                asking = asyncio.create_task(hosts.ask(path))
                await reach(lambda: bool(hosts.fleet.runs) and hosts.cut.paths.used == 1)
                async with silence(hosts):
                    await asyncio.sleep(1.5)
                assert not asking.done()
                asking.cancel()

        run(scenario)


class TestGone:
    """A carrier that ends, with no other one."""

    @pytest.mark.parametrize("path", ["/read/", "/book/", *STREAMS])
    def test_told(self, path: str) -> None:
        """A failure, or an answer that does not look whole; nothing stays open."""

        async def scenario() -> None:
            acts = (Act.HANG,) if path not in STREAMS else ()
            async with pair(acts=acts) as hosts:
                asking = await begin(hosts, path)
                await asyncio.sleep(2.0 * PAUSE_SECONDS)
                hosts.other.abort()
                (result,) = await asyncio.gather(asking, return_exceptions=True)
                if path in STREAMS:
                    assert isinstance(result, Exception)
                else:
                    assert isinstance(result, HttpAnswer)
                    assert result.head.status == HTTPStatus.BAD_GATEWAY
                assert hosts.logs[0].about("r1")[-1] == "Request failed."
                assert hosts.cut.shell.open_calls == 0

        run(scenario)
