"""In-memory peers with loss, delay, partitions and pauses."""

import builtins
from asyncio import Event, Task, create_task, get_running_loop, sleep
from asyncio import timeout as deadline
from collections.abc import Callable, Coroutine, Iterable
from random import Random
from typing import Any, TypeVar

from azureswitch.exceptions import PeerError, PeerRefusedError
from azureswitch.peers import (
    CALL_LIMIT,
    Answer,
    Handlers,
    Traffic,
    TrafficCounter,
    decode,
    encode,
    kind_of,
)
from azureswitch.ports import DATAGRAM_LIMIT, Handled

Request = TypeVar("Request")
Reply = TypeVar("Reply")

_ENVELOPE_BYTES = 8
"""Bytes that an envelope adds to its kind and body, about."""


class PeersNetworkFake:
    """Everything between the hosts of a test.

    Attributes:
        loss: The share of datagrams that are lost, from 0 to 1.
        delay: Seconds that a message takes one way.
        jitter: Seconds that a message may take on top.
    """

    def __init__(
        self, *, seed: int = 1, loss: float = 0.0, delay: float = 0.0005, jitter: float = 0.0005
    ) -> None:
        self.loss = loss
        self.delay = delay
        self.jitter = jitter
        self._random = Random(seed)
        self._hosts: dict[str, PeersFake] = {}
        self._groups: dict[str, int] = {}
        self._running: dict[str, Event] = {}
        self._tasks: set[Task[None]] = set()

    def peers(self, *, address: str) -> "PeersFake":
        """Add a host, or replace the one at this address."""
        self._running[address] = Event()
        self._running[address].set()
        self._hosts[address] = PeersFake(address=address, network=self)
        return self._hosts[address]

    def stop(self, *, address: str) -> None:
        """Take a host away; messages to and from it are lost."""
        self._hosts.pop(address, None)

    def partition(self, *groups: Iterable[str]) -> None:
        """Let only hosts of the same group reach each other; hosts in no group form one more."""
        self._groups = {address: at for at, group in enumerate(groups, 1) for address in group}

    def heal(self) -> None:
        """Let all hosts reach each other again."""
        self._groups = {}

    def pause(self, *, address: str) -> None:
        """Hold back everything that a host would send or receive."""
        self._running[address].clear()

    def resume(self, *, address: str) -> None:
        """Deliver what was held back, late."""
        self._running[address].set()

    def transit(self) -> float:
        """Draw the seconds that one message takes."""
        return self.delay + self._random.random() * self.jitter

    def lost(self) -> bool:
        """Draw whether one datagram is lost."""
        return self.loss > 0.0 and self._random.random() < self.loss

    def reaches(self, *, source: "PeersFake", address: str) -> bool:
        """Whether a message from a host arrives at an address."""
        if self._hosts.get(source.address) is not source or address not in self._hosts:
            return False
        return self._groups.get(source.address, 0) == self._groups.get(address, 0)

    def host(self, *, address: str) -> "PeersFake | None":
        """Return the host at an address, or None."""
        return self._hosts.get(address)

    async def running(self, *, address: str) -> None:
        """Wait while a host is paused."""
        await self._running[address].wait()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a delivery beside the caller."""
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class PeersFake:
    """One host's `azureswitch.ports.Peers` in a `PeersNetworkFake`.

    Messages are encoded and decoded as between real hosts, and counted.
    """

    def __init__(self, *, address: str, network: PeersNetworkFake) -> None:
        self._address = address
        self._network = network
        self._handlers = Handlers()
        self._counter = TrafficCounter()

    @property
    def address(self) -> str:
        """``IP:PORT`` on which this host is reached."""
        return self._address

    @property
    def traffic(self) -> tuple[Traffic, ...]:
        """What was exchanged so far, by kind of message."""
        return self._counter.traffic

    def handle(self, request: type[Request], handler: Callable[[Request], Handled]) -> None:
        """Register the one handler for a type of message."""
        self._handlers.register(request, handler)

    async def call(
        self, *, address: str, request: object, reply: type[Reply], timeout: float
    ) -> Reply:
        """Send a message and return its reply.

        Raises:
            PeerError: No reply arrived in time.
        """
        body = encode(message=request, peer=address, limit=CALL_LIMIT)
        try:
            async with deadline(timeout):
                answer = await self._exchange(address, kind_of(type(request)), body)
        except builtins.TimeoutError as error:
            raise PeerError(peer=address) from error
        if answer.error:
            raise PeerRefusedError(peer=address, reason=answer.error)
        return decode(body=answer.body, kind=reply, peer=address)

    def cast(self, *, address: str, message: object) -> None:
        """Send a message that may be lost."""
        body = encode(message=message, peer=address, limit=DATAGRAM_LIMIT)
        kind = kind_of(type(message))
        self._counter.sent(kind=kind, size=_size(kind, body))
        if self._network.lost():
            return
        transit = self._network.transit()
        get_running_loop().call_later(transit, self._deliver, address, kind, body)

    def cast_all(self, *, addresses: Iterable[str], message: object) -> None:
        """Send a message that may be lost to many."""
        for address in addresses:
            self.cast(address=address, message=message)

    async def receive(self, *, kind: str, body: bytes, peer: str) -> Answer:
        """Handle one message from another host."""
        self._counter.received(kind=kind, size=_size(kind, body))
        return await self._handlers.handle(kind=kind, body=body, peer=peer)

    def replied(self, *, answer: Answer) -> None:
        """Count the reply to a call from another host."""
        self._counter.sent(kind=answer.kind, size=_size(answer.kind, answer.body))

    def _deliver(self, address: str, kind: str, body: bytes) -> None:
        self._network.spawn(self._cast(address, kind, body))

    async def _cast(self, address: str, kind: str, body: bytes) -> None:
        await self._network.running(address=self._address)
        if not self._network.reaches(source=self, address=address):
            return
        await self._network.running(address=address)
        host = self._network.host(address=address)
        if host is not None:
            await host.receive(kind=kind, body=body, peer=self._address)

    async def _exchange(self, address: str, kind: str, body: bytes) -> Answer:
        self._counter.sent(kind=kind, size=_size(kind, body))
        await sleep(self._network.transit())
        host = await self._reach(address)
        answer = await host.receive(kind=kind, body=body, peer=self._address)
        host.replied(answer=answer)
        await sleep(self._network.transit())
        await self._reach(address)
        self._counter.received(kind=answer.kind, size=_size(answer.kind, answer.body))
        return answer

    async def _reach(self, address: str) -> "PeersFake":
        await self._network.running(address=self._address)
        host = self._network.host(address=address)
        if host is None:
            raise PeerError(peer=address)
        if not self._network.reaches(source=self, address=address):
            # A partition drops packets, so that the caller waits until its timeout.
            await Event().wait()
        await self._network.running(address=address)
        return host


def _size(kind: str, body: bytes) -> int:
    return len(kind) + len(body) + _ENVELOPE_BYTES
