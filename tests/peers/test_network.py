"""Messages between hosts, over the real network and in memory."""

from asyncio import create_task, gather, run, sleep, wait
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import pytest

from azureswitch.exceptions import (
    HostListError,
    PeerError,
    PeerMessageInvalidError,
    PeerMessageTooLargeError,
    PeerRefusedError,
)
from azureswitch.peers import CALL_LIMIT, PeerNetwork, encode, kind_of
from azureswitch.peers.peers_pb2 import Envelope
from azureswitch.ports import DATAGRAM_LIMIT
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersFake, PeersNetworkFake
from tests.waiting import PATIENCE, reach


@dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """Asks for a number of bytes."""

    size: int = 0
    padding: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Holds bytes."""

    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """Has no handler."""


async def _answer(question: Question) -> Result:
    if question.size < 0:
        raise HostListError
    await sleep(0.0)
    return Result(data=bytes(question.size))


def _datagram(message: Question) -> bytes:
    body = encode(message=message, peer="b", limit=DATAGRAM_LIMIT)
    return Envelope(kind=kind_of(Question), body=body).SerializeToString()


Scenario = Callable[[Any, Any], Awaitable[None]]


async def _real(scenario: Scenario, first: PeerNetwork, second: PeerNetwork) -> None:
    second.handle(Question, _answer)
    await gather(first.start(), second.start())
    try:
        await scenario(first, second)
    finally:
        await gather(first.close(), second.close())


async def _fake(scenario: Scenario) -> None:
    network = PeersNetworkFake()
    second = network.peers(address="b")
    second.handle(Question, _answer)
    await scenario(network.peers(address="a"), second)


def _on_real(scenario: Scenario) -> None:
    # Networks may be made before the loop that they run in.
    first = PeerNetwork(address="127.0.0.1:0", connections=2)
    run(_real(scenario, first, PeerNetwork(address="127.0.0.1:0")))


def _on_fake(scenario: Scenario) -> None:
    run_virtual(_fake(scenario))


both = pytest.mark.parametrize("on", [_on_real, _on_fake])


@both
class TestCall:
    """Calls and their failures are the same over gRPC and in memory."""

    @pytest.mark.parametrize("size", [0, 1, CALL_LIMIT - 64])
    def test_reply_arrives_whole(self, on: Callable[[Scenario], None], size: int) -> None:
        """A reply of any permitted size arrives whole and is counted at both ends."""

        async def scenario(first: Any, second: Any) -> None:
            request = Question(size=size)
            reply = await first.call(
                address=second.address, request=request, reply=Result, timeout=PATIENCE
            )
            assert len(reply.data) == size
            sent = {item.kind: item.sent_bytes for item in second.traffic}
            received = {item.kind: item.received_bytes for item in first.traffic}
            assert sent["Result"] == received["Result"] > size

        on(scenario)

    @pytest.mark.parametrize(
        ("request_", "reply", "failure"),
        [
            (Question(size=-1), Result, PeerRefusedError),
            (Question(size=CALL_LIMIT), Result, PeerRefusedError),
            (Unknown(), Result, PeerRefusedError),
            (Question(size=1), Question, None),
            (Question(size=1), int, PeerMessageInvalidError),
            (Question(padding=bytes(CALL_LIMIT)), Result, PeerMessageTooLargeError),
        ],
    )
    def test_failure_has_a_type(
        self, on: Callable[[Scenario], None], request_: object, reply: Any, failure: Any
    ) -> None:
        """A failing handler, an unknown message and a wrong or large one give typed failures."""

        async def scenario(first: Any, second: Any) -> None:
            call = first.call(
                address=second.address, request=request_, reply=reply, timeout=PATIENCE
            )
            if failure is None:
                await call
                return
            with pytest.raises(failure):
                await call

        on(scenario)

    def test_nobody_listens(self, on: Callable[[Scenario], None]) -> None:
        """A call to an address without a host fails as a peer error."""

        async def scenario(first: Any, second: Any) -> None:
            with pytest.raises(PeerError):
                await first.call(
                    address="127.0.0.1:1", request=Question(), reply=Result, timeout=1.0
                )

        on(scenario)

    def test_cast(self, on: Callable[[Scenario], None]) -> None:
        """A datagram arrives, and one over the limit is never sent."""
        received = []

        async def collect(message: Question) -> None:
            received.append(message)

        async def scenario(first: Any, second: Any) -> None:
            second.handle(Question, collect)
            first.cast(address=second.address, message=Question(size=7))
            with pytest.raises(PeerMessageTooLargeError):
                first.cast(address=second.address, message=Question(padding=bytes(DATAGRAM_LIMIT)))
            await reach(lambda: bool(received))
            # Datagrams on the loopback stay in order, so that nothing else is on its way now.
            first.cast(address=second.address, message=Question(size=8))
            await reach(lambda: len(received) > 1)

        on(scenario)
        assert received == [Question(size=7), Question(size=8)]


class TestNetwork:
    """Connections are bounded and bad datagrams harmless."""

    def test_connections_are_bounded(self) -> None:
        """No more connections stay open than permitted, however many hosts were called."""

        async def scenario(first: PeerNetwork, second: PeerNetwork) -> None:
            others = [PeerNetwork(address="127.0.0.1:0") for _ in range(4)]
            for other in others:
                other.handle(Question, _answer)
            await gather(*(other.start() for other in others))
            for other in others:
                await first.call(
                    address=other.address, request=Question(), reply=Result, timeout=PATIENCE
                )
            assert first.connections == 2
            await gather(*(other.close() for other in others))

        _on_real(scenario)

    def test_unreadable_datagram(self) -> None:
        """A datagram that is no envelope is dropped and counted."""

        async def scenario(first: PeerNetwork, second: PeerNetwork) -> None:
            second.receive(data=b"\xff\xff\xff", peer="127.0.0.1")
            assert second.dropped == 1

        _on_real(scenario)

    def test_datagrams_at_once(self) -> None:
        """A cast is handled as it arrives; one whose handler fails does not harm the next."""
        taken = []

        def take(message: Question) -> None:
            if message.size < 0:
                raise HostListError
            if message.size == 0:
                raise ZeroDivisionError
            taken.append(message.size)

        async def scenario(first: PeerNetwork, second: PeerNetwork) -> None:
            second.handle(Question, take)
            for size in (1, -1, 0, 2):
                second.receive(data=_datagram(Question(size=size)), peer="127.0.0.1")
            assert taken == [1, 2]

        _on_real(scenario)

    def test_datagrams_that_wait(self) -> None:
        """A cast whose handler waits is handled beside others, and so is one that fails then."""
        taken = []

        async def take(message: Question) -> None:
            await sleep(0.0)
            if message.size < 0:
                raise HostListError
            taken.append(message.size)

        async def scenario(first: PeerNetwork, second: PeerNetwork) -> None:
            second.handle(Question, take)
            for size in (1, -1, 2):
                second.receive(data=_datagram(Question(size=size)), peer="127.0.0.1")
            assert not taken
            await reach(lambda: taken == [1, 2])

        _on_real(scenario)

    @pytest.mark.parametrize("first_step", ["caller cancelled", "connections closed"])
    def test_cancelled_as_the_connection_is_lost(self, first_step: str) -> None:
        """A loop that outlives failed calls ends when cancelled, also in the turn of a loss."""
        asked: list[Question] = []

        async def hang(question: Question) -> Result:
            asked.append(question)
            await sleep(PATIENCE)
            return Result(data=b"")

        async def call_on(first: PeerNetwork, address: str) -> None:
            while True:
                with suppress(PeerError):
                    await first.call(
                        address=address, request=Question(), reply=Result, timeout=PATIENCE
                    )
                await sleep(0.0)

        async def scenario(first: PeerNetwork, second: PeerNetwork) -> None:
            second.handle(Question, hang)
            calling = create_task(call_on(first, second.address))
            await reach(lambda: bool(asked))
            steps = [calling.cancel, lambda: first._pool.close()]
            for step in steps if first_step == "caller cancelled" else reversed(steps):
                step()
            done, _ = await wait([calling], timeout=1.0)
            calling.cancel()
            assert done == {calling}
            assert calling.cancelled()

        _on_real(scenario)


class TestNetworkFake:
    """The switches of the in-memory network."""

    @pytest.mark.parametrize(
        ("switch", "expected"),
        [("none", 50), ("loss", 0), ("partition", 0), ("pause", 0), ("stop", 0)],
    )
    def test_switches(self, switch: str, expected: int) -> None:
        """Loss, a partition, a pause and a stopped host each keep datagrams away."""
        network = PeersNetworkFake(loss=1.0 if switch == "loss" else 0.0)
        received = []

        async def collect(message: Question) -> None:
            received.append(message)

        async def scenario() -> None:
            first: PeersFake = network.peers(address="a")
            network.peers(address="b").handle(Question, collect)
            if switch == "partition":
                network.partition(["a"], ["b"])
            if switch in {"pause", "stop"}:
                getattr(network, switch)(address="b")
            for _ in range(50):
                first.cast(address="b", message=Question())
            await sleep(1.0)

        run_virtual(scenario())
        assert len(received) == expected
