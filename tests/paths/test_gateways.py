"""Tests two gateways of which one has lost its paths to the targets, over real connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from time import monotonic

import pytest

from azureswitch.client import HttpAnswer, HttpClient
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import HostName, Incarnation, PlaceName
from azureswitch.gateway import Gateway
from azureswitch.gateway._log import AttemptOver
from azureswitch.paths._log import TunnelOpenedEntry
from azureswitch_load.demo import free_address
from tests.gateway.fixtures import (
    PATIENCE,
    Act,
    FakeTarget,
    Fleet,
    RecordingLog,
    deployment,
    event,
    listed,
    make_gateway,
    model_headers,
    usual_headers,
    whole_stream,
)
from tests.paths.fixtures import LostConnector, run
from tests.waiting import reach

EVENTS = 6

STREAMS = ("/ask/", "/once/")

PLACE = PlaceName("p1")


@dataclass(frozen=True, slots=True, kw_only=True)
class Pair:
    """Two gateways before the same targets."""

    cut: Gateway
    other: Gateway
    logs: tuple[RecordingLog, RecordingLog]
    fleet: Fleet
    members: list[Member]

    async def ask(self, path: str, *, id: str = "r1") -> HttpAnswer:
        """Send a request to the gateway without paths."""
        client = HttpClient(address=self.cut.callers_address)
        model = model_headers() if path in STREAMS else ()
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

    def lose_paths(self, gateway: Gateway) -> None:
        """Cut a gateway off from all targets."""
        gateway.paths._dialer._direct = LostConnector()


@asynccontextmanager
async def pair(*, acts: tuple[Act, ...] = (), count: int = 3) -> AsyncIterator[Pair]:
    """Run two gateways, the first of which has lost its paths to the targets."""
    fleet = Fleet(acts=list(acts), events=EVENTS)
    port = str(free_address()).rpartition(":")[2]
    ips = ("127.0.0.2", "127.0.0.3")
    members = [
        Member(
            incarnation=Incarnation(host=HostName(f"h{number}"), started=1),
            place=PLACE,
            address=f"{ip}:1",
            status=MemberStatus.ALIVE,
        )
        for number, ip in enumerate(ips, start=1)
    ]
    logs = (RecordingLog(), RecordingLog())
    gateways = [
        make_gateway(
            host=f"h{number}", tunnels=f"{ip}:{port}", hosts=lambda: members, log=logs[number - 1]
        )
        for number, ip in enumerate(ips, start=1)
    ]
    names = [(f"{kind}{n}", kind == "e") for kind in ("e", "s") for n in range(count)]
    targets = [FakeTarget(name=name, fleet=fleet, streams=streams) for name, streams in names]
    for target in targets:
        await target.start()
    entries = tuple(
        listed(target, name, streams=streams)
        for target, (name, streams) in zip(targets, names, strict=True)
    )
    for gateway in gateways:
        await gateway.start()
        gateway.set_targets(entries)
        gateway.adopt(deployment())
    cut, other = gateways
    running = Pair(cut=cut, other=other, logs=logs, fleet=fleet, members=members)
    running.lose_paths(cut)
    try:
        yield running
    finally:
        for gateway in gateways:
            gateway.abort()
        for target in targets:
            target.stop()


class TestDetour:
    """Requests of a gateway without paths run through another one, and count once."""

    @pytest.mark.parametrize("path", ["/read/", "/book/", "/ask/", "/once/"])
    def test_served(self, path: str) -> None:
        """Each kind of request is served, runs once, and is decided by the first gateway alone."""

        async def scenario() -> None:
            async with pair() as hosts:
                answer = await hosts.ask(path)
                assert answer.head.status == HTTPStatus.OK
                if path in STREAMS:
                    assert answer.body == whole_stream(EVENTS)
                assert len(hosts.fleet.runs) == 1
                assert hosts.other.shell.open_calls == 0
                admitted = [e for e in hosts.logs[1].entries if e.request == "r1"]
                assert [type(e) for e in admitted][:1] == [TunnelOpenedEntry]
                (over,) = [e for e in hosts.logs[0].entries if isinstance(e, AttemptOver)]
                assert over.via == "h2"

        run(scenario)

    @pytest.mark.parametrize(("path", "runs"), [("/book/", 1), ("/once/", 1), ("/ask/", 2)])
    def test_other_gateway_dies(self, path: str, runs: int) -> None:
        """What may not run twice does not, and a stream is resumed once there is a path again."""

        async def scenario() -> None:
            acts = (Act.HANG,) if path == "/book/" else ()
            async with pair(acts=acts) as hosts:
                hosts.fleet.pause = 0.05
                asking = asyncio.create_task(hosts.ask(path))
                await reach(lambda: bool(hosts.fleet.runs) and hosts.cut.paths.used == 1)
                await asyncio.sleep(0.1)
                hosts.other.abort()
                hosts.cut.paths._dialer._direct = type(hosts.other.paths._dialer._direct)()
                if path == "/ask/":
                    assert (await asking).body == whole_stream(EVENTS)
                elif path == "/book/":
                    answer = await asking
                    assert answer.head.status == HTTPStatus.BAD_GATEWAY
                else:
                    results = await asyncio.gather(asking, return_exceptions=True)
                    assert isinstance(results[0], Exception)
                assert len(hosts.fleet.runs) == runs

        run(scenario)

    def test_events_pass_as_they_arrive(self) -> None:
        """Events reach the caller one by one."""

        async def scenario() -> None:
            async with pair() as hosts:
                hosts.fleet.pause = 0.2
                client = HttpClient(address=hosts.cut.callers_address)
                exchange = client.stream(
                    method="POST",
                    path="/ask/",
                    headers=(*usual_headers("r1"), *model_headers()),
                    timeout=PATIENCE,
                )
                async with exchange as answer:
                    assert await answer.read() == event(1)
                    begin = monotonic()
                    assert await answer.read() == event(2)
                    assert monotonic() - begin > 0.1

        run(scenario)

    def test_no_path_at_all(self) -> None:
        """Where no gateway reaches a target the refusal comes at once, as not run."""

        async def scenario() -> None:
            async with pair() as hosts:
                hosts.lose_paths(hosts.other)
                begin = monotonic()
                answer = await hosts.ask("/book/")
                assert monotonic() - begin < 1.0
                assert answer.head.status == HTTPStatus.SERVICE_UNAVAILABLE
                assert answer.head.header(name="retry-after")
                assert b"no_target" in answer.body
                assert not hosts.fleet.arrivals

        run(scenario)


class TestGracefulStop:
    """A gateway that carries tunnels stops."""

    def test_carried_tunnels_are_finished(self) -> None:
        """It carries what is open to its end, and the other one finds no new tunnel there."""

        async def scenario() -> None:
            async with pair() as hosts:
                hosts.fleet.pause = 0.2
                asking = asyncio.create_task(hosts.ask("/ask/"))
                await reach(lambda: hosts.other.paths.carried == 1)
                stopping = asyncio.create_task(hosts.other.stop())
                assert (await asking).body == whole_stream(EVENTS)
                refused = await hosts.ask("/book/", id="r2")
                assert refused.head.status == HTTPStatus.SERVICE_UNAVAILABLE
                await stopping
                assert len(hosts.fleet.runs) == 1

        run(scenario)
