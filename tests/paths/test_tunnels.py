"""Tests tunnels between the paths of hosts, over real connections to fake targets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)
from struct import pack
from time import monotonic

import pytest

from azureswitch.client import HttpClient
from azureswitch.core import HostName, PlaceName, ServiceName, TargetName
from azureswitch.exceptions import HttpBrokenError, NoPathError, NotSent
from azureswitch.inventory import Target
from azureswitch.metrics import Metrics
from azureswitch.paths import Paths, PeerHost, Verdict
from azureswitch.paths._client import TunnelTransport
from azureswitch.paths._log import PathLostEntry, TunnelClosedEntry, TunnelOpenedEntry
from azureswitch.paths._paths import ProbeConnection
from azureswitch.paths._server import MAX_TUNNELS
from tests.gateway.fixtures import PATIENCE, RecordingLog
from tests.paths.fixtures import LostConnector, run
from tests.waiting import reach

PLACE = PlaceName("p1")

RESET_ON_CLOSE = pack("ii", 1, 0)
"""Value of `SO_LINGER` with which a close resets the connection."""

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nto the end"


@dataclass(slots=True, kw_only=True)
class RawTarget:
    """A target that sends given bytes, and closes or resets its connections.

    Attributes:
        answer: What it sends once a request has arrived.
        closes: Whether it then closes the connection.
        resets: Whether it then resets the connection.
        received: The bytes that have arrived.
        gone: Connections that their other end has closed.
    """

    answer: bytes = ANSWER
    closes: bool = False
    resets: bool = False
    received: bytearray = field(default_factory=bytearray)
    gone: int = 0
    server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        assert self.server is not None
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.received += await reader.read(65_536)
            writer.write(self.answer)
            await writer.drain()
            if self.resets:
                writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
            elif not self.closes:
                while data := await reader.read(65_536):
                    self.received += data
                self.gone += 1
        except ConnectionError:
            self.gone += 1
        writer.close()


@dataclass(slots=True, kw_only=True)
class Directory:
    """The targets that a host knows.

    Attributes:
        targets: By address.
        withheld: Whether they get no new work.
    """

    targets: dict[str, Target] = field(default_factory=dict)
    withheld: bool = False

    def target_at(self, address: str) -> Target | None:
        """Return the target at an address, or None."""
        return self.targets.get(address)

    def takes_work(self, target: Target) -> bool:
        """Return whether a target may get new work."""
        return not self.withheld


@dataclass(slots=True, kw_only=True)
class Host:
    """The paths of one host."""

    paths: Paths
    directory: Directory
    log: RecordingLog
    peers: list[PeerHost]

    async def ask(self, address: str, *, body: bytes = b"") -> bytes:
        """Send a request to a target and return the body of its answer."""
        client = HttpClient(
            address=address, connector=self.paths.dial(request="r1", seconds=PATIENCE)
        )
        answer = await client.request(
            method="POST", path="/", body=body, timeout=PATIENCE, fresh=True
        )
        client.close()
        return answer.body


@asynccontextmanager
async def hosts(
    *targets: RawTarget, lost: int = 1, count: int = 2, hangs: bool = False
) -> AsyncIterator[list[Host]]:
    """Run hosts, of which the first ones have lost all direct paths, before targets."""
    directory = {}
    for number, target in enumerate(targets):
        await target.start()
        directory[target.address] = Target(
            name=TargetName(f"t{number}"),
            service=ServiceName("pool"),
            place=PLACE,
            address=target.address,
        )
    running: list[Host] = []
    ips = [f"127.0.0.{2 + number}" for number in range(count)]
    for number, ip in enumerate(ips):
        log, peers = RecordingLog(), list[PeerHost]()
        known = Directory(targets=dict(directory))
        paths = Paths(
            place=PLACE,
            local_ip=ip,
            directory=known,
            peers=lambda peers=peers: peers,  # type: ignore[misc]
            metrics=Metrics(),
            log=log,
            seed=1,
            connector=LostConnector(hangs=hangs) if number < lost else None,
        )
        await paths.start(address=f"{ip}:0")
        running.append(Host(paths=paths, directory=known, log=log, peers=peers))
    for host in running:
        host.peers.extend(
            PeerHost(host=HostName(f"h{number}"), place=PLACE, address=other.paths.tunnel_address)
            for number, other in enumerate(running)
            if other is not host
        )
    try:
        yield running
    finally:
        for host in running:
            host.paths.abort()
        for target in targets:
            if target.server is not None:
                target.server.close()


class TestDetour:
    """A host that has lost a path sends through another one."""

    @pytest.mark.parametrize("hangs", [False, True])
    @pytest.mark.parametrize("target", [RawTarget(), RawTarget(answer=UNFRAMED, closes=True)])
    def test_whole_answer(self, target: RawTarget, hangs: bool) -> None:
        """It gets the whole answer, whether its length or its end says where it ends."""

        async def scenario() -> None:
            async with hosts(target, hangs=hangs) as (cut, other):
                answer = await cut.ask(target.address, body=b"x" * 100_000)
                assert answer == (b"to the end" if target.closes else b"whole")
                await reach(lambda: not other.paths.carried and not cut.paths.used)

        run(scenario)

    @pytest.mark.parametrize("hangs", [False, True])
    def test_path_is_found_lost(self, hangs: bool) -> None:
        """The path counts as lost once its failure is sure, and both hosts log the request."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target, hangs=hangs) as (cut, other):
                await cut.ask(target.address)
                await reach(lambda: target.address in cut.paths.lost)
                (lost,) = [e for e in cut.log.entries if isinstance(e, PathLostEntry)]
                assert lost.cause == ("timed_out" if hangs else "refused")
                assert not other.paths.lost
                opened = [e for e in other.log.entries if isinstance(e, TunnelOpenedEntry)]
                assert [(e.id, e.target) for e in opened] == [("r1", "t0")]

        run(scenario)

    def test_broken_answer(self) -> None:
        """An answer that the target breaks off does not look whole, though it has no length."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED, resets=True)
            async with hosts(target) as (cut, other):
                with pytest.raises(HttpBrokenError):
                    await cut.ask(target.address)
                await reach(lambda: not other.paths.carried)

        run(scenario)

    def test_other_host_dies(self) -> None:
        """An answer is broken if the other host ends before it is whole."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED)
            async with hosts(target) as (cut, other):
                asking = asyncio.create_task(cut.ask(target.address))
                await reach(lambda: bool(other.paths.carried and target.received))
                other.paths.abort()
                with pytest.raises(HttpBrokenError):
                    await asking

        run(scenario)

    def test_caller_leaves(self) -> None:
        """A request that is called off ends at the target too."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED)
            async with hosts(target) as (cut, other):
                asking = asyncio.create_task(cut.ask(target.address))
                await reach(lambda: bool(target.received))
                asking.cancel()
                await reach(lambda: target.gone == 1)
                await reach(lambda: not other.paths.carried and not cut.paths.used)
                (closed,) = [e for e in other.log.entries if isinstance(e, TunnelClosedEntry)]
                assert not closed.whole

        run(scenario)

    def test_time_is_over(self) -> None:
        """A tunnel ends with the time of its request, also where nobody closes it."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED)
            async with hosts(target) as (cut, other):
                dial = cut.paths.dial(request="r1", seconds=0.3)
                client = HttpClient(address=target.address, connector=dial)
                begin = monotonic()
                with pytest.raises(HttpBrokenError):
                    await client.request(method="GET", path="/", timeout=PATIENCE)
                assert 0.25 < monotonic() - begin < 2.0
                await reach(lambda: not other.paths.carried)
                await reach(lambda: target.gone == 1)

        run(scenario)

    def test_late_bytes(self) -> None:
        """Bytes that a host reads once the time of the request is over do not reach the target."""

        async def scenario() -> None:
            target = RawTarget(answer=b"")
            async with hosts(target) as (cut, other):
                dial = cut.paths.dial(request="r1", seconds=0.3)
                connection = await dial.connect(
                    address=target.address, protocol=ProbeConnection, timeout=PATIENCE
                )
                assert isinstance(connection._transport, TunnelTransport)
                (session,) = other.paths._server._sessions
                # As after a freeze of the host, whose sockets are read before its timers run.
                assert session._timer is not None
                session._timer.cancel()
                await asyncio.sleep(0.4)
                connection._transport.write(b"POST / HTTP/1.1\r\n\r\n")
                await reach(lambda: not other.paths.carried)
                assert not target.received

        run(scenario)

    def test_silent_end_is_noticed(self) -> None:
        """An idle tunnel whose other end is gone is given up after 3 s; a slow reader is not."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED)
            async with hosts(target) as (cut, other):
                asking = asyncio.create_task(cut.ask(target.address))
                await reach(lambda: bool(other.paths.carried and target.received))
                (session,) = other.paths._server._sessions
                assert session._transport is not None
                sock = session._transport.get_extra_info("socket")
                options = (TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT)
                idle, interval, probes = (sock.getsockopt(IPPROTO_TCP, o) for o in options)
                assert sock.getsockopt(SOL_SOCKET, SO_KEEPALIVE)
                assert idle + interval * probes == 3
                # Where it is set, it decides also while the other end lives and does not read.
                assert sock.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT) == 0
                asking.cancel()

        run(scenario)

    def test_slow_reader(self) -> None:
        """A host that does not read holds back the target through the tunnel."""

        async def scenario() -> None:
            size = 32_000_000
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
            target = RawTarget(answer=head + bytes(size))
            async with hosts(target) as (cut, _):
                client = HttpClient(
                    address=target.address, connector=cut.paths.dial(request="r1", seconds=PATIENCE)
                )
                exchange = client.stream(method="POST", path="/", timeout=PATIENCE, fresh=True)
                async with exchange as answer:
                    await asyncio.sleep(0.5)
                    assert not target.gone
                    received = 0
                    while data := await answer.read():
                        received += len(data)
                    assert received == size

        run(scenario)


class TestRefusals:
    """When a host opens no tunnel, and what follows."""

    @pytest.mark.parametrize("case", ["stranger", "unknown", "withheld", "leaving", "cut itself"])
    def test_nothing_is_sent(self, case: str) -> None:
        """Nothing reaches the target, and the request is known not to have been sent."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target, lost=2 if case == "cut itself" else 1) as (cut, other):
                if case == "stranger":
                    other.peers.clear()
                elif case == "unknown":
                    other.directory.targets.clear()
                elif case == "withheld":
                    other.directory.withheld = True
                elif case == "leaving":
                    other.paths.leave()
                with pytest.raises(NoPathError) as caught:
                    await cut.ask(target.address)
                assert not target.received
                assert not caught.value.witnessed
                withheld = caught.value.reason is NotSent.NOT_PERMITTED
                assert withheld is (case == "withheld")

        run(scenario)

    def test_orders_pass_where_work_is_withheld(self) -> None:
        """Memory at a target that gets no new work can still be released."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target) as (cut, other):
                other.directory.withheld = True
                dial = cut.paths.dial(request="ticket", seconds=PATIENCE, new_work=False)
                client = HttpClient(address=target.address, connector=dial)
                answer = await client.request(method="POST", path="/", timeout=PATIENCE)
                assert answer.body == b"whole"
                client.close()

        run(scenario)

    @pytest.mark.parametrize("begin", [b"", b"POST /x HTTP/1.1\r\nhost: a\r\nx-a: "])
    def test_head_without_end(self, begin: bytes) -> None:
        """A connection that asks for no tunnel is closed after few bytes."""

        async def scenario() -> None:
            async with hosts(RawTarget()) as (_, other):
                host, _, port = other.paths.tunnel_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(begin + b"a" * 65_536)
                with suppress(ConnectionError):
                    assert not await reader.read()
                writer.close()

        run(scenario)

    def test_long_request_id(self) -> None:
        """A caller's id of any length neither fails its request nor makes a host avoided."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target) as (cut, _):
                dial = cut.paths.dial(request="x" * 10_000, seconds=PATIENCE)
                client = HttpClient(address=target.address, connector=dial)
                answer = await client.request(method="POST", path="/", timeout=PATIENCE)
                assert answer.body == b"whole"
                client.close()

        run(scenario)

    def test_build_without_tunnels(self) -> None:
        """A host that does not listen for tunnels costs no time, and the next one is asked."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target, count=3) as (cut, old, _):
                old.paths.abort()
                for _ in range(4):
                    assert await cut.ask(target.address) == b"whole"

        run(scenario)

    def test_frozen_host(self) -> None:
        """A host that takes the connection and says nothing is passed over."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target) as (cut, _):
                with socket() as frozen:
                    frozen.bind(("127.0.0.9", 0))
                    frozen.listen()
                    address = f"127.0.0.9:{frozen.getsockname()[1]}"
                    cut.peers.insert(
                        0, PeerHost(host=HostName("frozen"), place=PLACE, address=address)
                    )
                    for _ in range(4):
                        assert await cut.ask(target.address) == b"whole"

        run(scenario)

    def test_no_further_host(self) -> None:
        """A host that has lost the path itself never asks a third one."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target, lost=2, count=3) as (cut, middle, last):
                cut.peers[:] = [peer for peer in cut.peers if peer.host == "h1"]
                with pytest.raises(NoPathError):
                    await cut.ask(target.address)
                assert not target.received
                assert not last.paths.carried
                assert not middle.paths.used

        run(scenario)

    def test_too_many(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A host carries a bounded number of tunnels, and refuses further ones at once."""
        monkeypatch.setattr("azureswitch.paths._server.MAX_TUNNELS", 1)
        assert MAX_TUNNELS > 1

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED)
            async with hosts(target) as (cut, other):
                asking = asyncio.create_task(cut.ask(target.address))
                await reach(lambda: bool(target.received))
                with pytest.raises(NoPathError):
                    await cut.ask(target.address)
                assert other.paths.carried == 1
                asking.cancel()

        run(scenario)

    def test_address_in_use(self) -> None:
        """A host whose tunnel address is taken serves its own requests all the same."""

        async def scenario() -> None:
            target = RawTarget()
            async with hosts(target, lost=0, count=1) as (host,):
                with socket() as taken:
                    taken.bind(("127.0.0.1", 0))
                    taken.listen()
                    await host.paths.start(address=f"127.0.0.1:{taken.getsockname()[1]}")
                assert await host.ask(target.address) == b"whole"

        run(scenario)

    def test_not_a_tunnel_request(self) -> None:
        """Anything but a request for a tunnel ends the connection."""

        async def scenario() -> None:
            async with hosts(RawTarget()) as (_, other):
                ip, _, port = other.paths.tunnel_address.rpartition(":")
                for data in (b"GET / HTTP/1.1\r\n\r\n", b"noise\r\n\r\n", b"x" * 9_000):
                    reader, writer = await asyncio.open_connection(ip, int(port))
                    writer.write(data)
                    with suppress(ConnectionError):
                        assert await reader.read() == b""
                    writer.close()

        run(scenario)


class TestSilence:
    """What a silent connection says of its path."""

    def test_counts_once(self) -> None:
        """A connection that stays silent counts once, however often that is noticed."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED)
            async with hosts(target, lost=0) as (host, _):
                dial = host.paths.dial(request="r1", seconds=PATIENCE)
                connection = await dial.connect(
                    address=target.address, protocol=ProbeConnection, timeout=PATIENCE
                )
                for _ in range(3):
                    dial.unanswered()
                assert host.paths._state.leads_to(target.address, now=host.paths._clock())
                connection.abort()

        run(scenario)


class TestCheck:
    """Whether a failed connection is blamed on the target or on its path."""

    @pytest.mark.parametrize(
        ("cut_off", "alive", "verdict"),
        [
            (False, True, Verdict.SOUND),
            (True, True, Verdict.LOST),
            (False, False, Verdict.UNREACHABLE),
        ],
    )
    def test_verdict(self, cut_off: bool, alive: bool, verdict: Verdict) -> None:
        """It is the path's fault if only another route leads to the target."""

        async def scenario() -> None:
            target = RawTarget(answer=UNFRAMED, resets=True)
            async with hosts(target, lost=0) as (host, _):
                dial = host.paths.dial(request="r1", seconds=PATIENCE)
                client = HttpClient(address=target.address, connector=dial)
                with pytest.raises(HttpBrokenError):
                    await client.request(method="GET", path="/", timeout=PATIENCE)
                if cut_off:
                    host.paths._dialer._direct = LostConnector(hangs=True)
                if not alive and target.server is not None:
                    target.server.close()
                assert await dial.check() is verdict

        run(scenario)

    @pytest.mark.parametrize("alive", [True, False])
    def test_tunnel(self, alive: bool) -> None:
        """The same holds through a tunnel."""

        async def scenario() -> None:
            target, sound = RawTarget(answer=UNFRAMED, resets=True), RawTarget()
            async with hosts(target, sound) as (cut, other):
                dial = cut.paths.dial(request="r1", seconds=PATIENCE)
                client = HttpClient(address=target.address, connector=dial)
                with pytest.raises(HttpBrokenError):
                    await client.request(method="GET", path="/", timeout=PATIENCE)
                assert dial.peer == "h1"
                if not alive and target.server is not None:
                    target.server.close()
                    await other.ask(sound.address)
                assert await dial.check() is (Verdict.SOUND if alive else Verdict.UNREACHABLE)

        run(scenario)
