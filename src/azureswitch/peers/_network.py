"""Messages between hosts over gRPC and UDP."""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    Task,
    create_task,
    get_running_loop,
    sleep,
    wait,
)
from asyncio import (
    timeout as deadline,
)
from collections.abc import Callable, Coroutine, Iterable
from sys import maxsize
from typing import TypeVar

from absl import logging
from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from azureswitch.clock import elapsed
from azureswitch.exceptions import PeerError, PeerMessageTooLargeError, PeerRefusedError
from azureswitch.peers._codec import decode, encode, kind_of
from azureswitch.peers._handlers import Answer, Handlers
from azureswitch.peers._limits import (
    CALL_LIMIT,
    CONNECTIONS,
    IDLE_SECONDS,
    PENDING_CALLS,
    PENDING_CASTS,
    PORT_TRIES,
)
from azureswitch.peers._pool import ChannelPool, split
from azureswitch.peers._server import LimitedServer
from azureswitch.peers._traffic import Traffic, TrafficCounter
from azureswitch.peers.peers_grpc import PeersBase, PeersStub
from azureswitch.peers.peers_pb2 import Envelope
from azureswitch.ports import DATAGRAM_LIMIT, Handled
from azureswitch.shedding import ConnectionLimit

Request = TypeVar("Request")
Reply = TypeVar("Reply")

BUSY = "peer_busy"
"""The error of an envelope that was refused because too many calls are being handled."""

TOO_LARGE = PeerMessageTooLargeError.code

_BROKEN = (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError)
_CLOSE_SECONDS = 2.0


class PeerNetwork:
    """The `azureswitch.ports.Peers` of a real host.

    Calls travel over gRPC and casts as UDP datagrams, both on the same port number.

    Args:
        address: ``IP:PORT`` to listen on; port 0 lets the system choose one.
        connections: Connections that are kept to other hosts at most.
        idle: Seconds after which an unused connection is closed.
        max_accepted: Connections of other hosts that may be open.
    """

    def __init__(
        self,
        *,
        address: str,
        connections: int = CONNECTIONS,
        idle: float = IDLE_SECONDS,
        max_accepted: int = maxsize,
    ) -> None:
        self._address = address
        self._limit = ConnectionLimit(limit=max_accepted, clock=elapsed)
        self._idle = idle
        self._handlers = Handlers()
        self._counter = TrafficCounter()
        self._pool = ChannelPool(limit=connections, idle=idle)
        self._server: LimitedServer | None = None
        self._datagrams: DatagramTransport | None = None
        self._sweeper: Task[None] | None = None
        self._casts: set[Task[None]] = set()
        self._calls = 0
        self._dropped = 0

    @property
    def address(self) -> str:
        """``IP:PORT`` on which this host is reached."""
        return self._address

    @property
    def traffic(self) -> tuple[Traffic, ...]:
        """What was exchanged so far, by kind of message."""
        return self._counter.traffic

    @property
    def connections(self) -> int:
        """Connections to other hosts that are open."""
        return self._pool.size

    @property
    def dropped(self) -> int:
        """Datagrams that were dropped because they were unreadable or too many at once."""
        return self._dropped

    async def start(self) -> None:
        """Listen for calls and datagrams.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = split(self._address)
        tries = 1 if port else PORT_TRIES
        for left in reversed(range(tries)):
            try:
                port = await self._bind(host, port)
                break
            except OSError:
                # A port that is free for datagrams may be taken for calls.
                if not left:
                    raise
        self._address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._sweeper = create_task(self._sweep())

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._datagrams is not None:
            self._datagrams.close()
        for task in tuple(self._casts):
            task.cancel()
        self._pool.close()
        if self._server is None:
            return
        self._server.close()
        try:
            async with deadline(_CLOSE_SECONDS):
                await self._server.wait_closed()
        except TimeoutError:
            logging.warning("peers: Calls from other hosts were still running at close.")

    def handle(self, request: type[Request], handler: Callable[[Request], Handled]) -> None:
        """Register the one handler for a type of message, called or cast.

        Args:
            request: The type of message.
            handler: Returns the reply to a call, or None for a cast, or what waits for either.
        """
        self._handlers.register(request, handler)

    async def call(
        self, *, address: str, request: object, reply: type[Reply], timeout: float
    ) -> Reply:
        """Send a message to ``IP:PORT`` and return its reply.

        Args:
            address: The host to call.
            request: The message, of at most `CALL_LIMIT` bytes.
            reply: The type of the reply.
            timeout: Seconds that the whole call may take.

        Raises:
            PeerError: No reply arrived in time.
            PeerRefusedError: The host answered with a failure.
            PeerMessageTooLargeError: The message is over the limit; nothing was sent.
            PeerMessageInvalidError: The reply is not of the type.
        """
        body = encode(message=request, peer=address, limit=CALL_LIMIT)
        envelope = Envelope(kind=kind_of(type(request)), body=body)
        answer = await self._exchange(address=address, envelope=envelope, timeout=timeout)
        self._counter.received(kind=answer.kind, size=answer.ByteSize())
        if answer.error:
            raise PeerRefusedError(peer=address, reason=answer.error)
        return decode(body=answer.body, kind=reply, peer=address)

    def cast(self, *, address: str, message: object) -> None:
        """Send a message of at most `DATAGRAM_LIMIT` bytes that may be lost.

        Args:
            address: ``IP:PORT`` of the host.
            message: The message.

        Raises:
            PeerMessageTooLargeError: The message is over the limit; nothing was sent.
        """
        self.cast_all(addresses=(address,), message=message)

    def cast_all(self, *, addresses: Iterable[str], message: object) -> None:
        """Send a message as `cast` does to many hosts, encoded once.

        With 77 hosts each send of a request is told to 76 others.

        Raises:
            PeerMessageTooLargeError: The message is over the limit; nothing was sent.
        """
        body = encode(message=message, peer="the others", limit=DATAGRAM_LIMIT)
        kind = kind_of(type(message))
        data = Envelope(kind=kind, body=body).SerializeToString()
        if self._datagrams is None or self._datagrams.is_closing():
            return
        for address in addresses:
            self._counter.sent(kind=kind, size=len(data))
            self._datagrams.sendto(data, split(address))

    async def serve(self, *, envelope: Envelope, peer: str) -> Envelope:
        """Answer one call from another host."""
        self._counter.received(kind=envelope.kind, size=envelope.ByteSize())
        answer = await self._bounded(envelope=envelope, peer=peer)
        result = Envelope(kind=answer.kind, body=answer.body, error=answer.error)
        self._counter.sent(kind=answer.kind, size=result.ByteSize())
        return result

    def receive(self, *, data: bytes, peer: str) -> None:
        """Handle one datagram from another host."""
        try:
            envelope = Envelope.FromString(data)
        except DecodeError:
            self._dropped += 1
            return
        self._counter.received(kind=envelope.kind, size=len(data))
        if len(self._casts) >= PENDING_CASTS:
            self._dropped += 1
            return
        rest = self._handlers.take(kind=envelope.kind, body=envelope.body, peer=peer)
        if rest is None:
            return
        task = create_task(rest)
        self._casts.add(task)
        task.add_done_callback(self._casts.discard)

    async def _bind(self, host: str, port: int) -> int:
        datagrams, _ = await get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(network=self), local_addr=(host, port)
        )
        chosen: int = datagrams.get_extra_info("sockname")[1]
        # The server belongs to the loop that runs when it is made.
        server = LimitedServer([_Service(network=self)])
        server.limit = self._limit
        try:
            await server.start(host, chosen)
        except OSError:
            datagrams.close()
            raise
        self._server = server
        self._datagrams = datagrams
        return chosen

    async def _bounded(self, *, envelope: Envelope, peer: str) -> Answer:
        if self._calls >= PENDING_CALLS:
            return Answer(error=BUSY)
        if len(envelope.body) > CALL_LIMIT:
            return Answer(error=TOO_LARGE)
        self._calls += 1
        try:
            return await self._handlers.handle(kind=envelope.kind, body=envelope.body, peer=peer)
        finally:
            self._calls -= 1

    async def _exchange(self, *, address: str, envelope: Envelope, timeout: float) -> Envelope:
        self._counter.sent(kind=envelope.kind, size=envelope.ByteSize())
        try:
            with self._pool.use(address=address, now=get_running_loop().time()) as channel:
                return await _run_call(PeersStub(channel).Exchange(envelope), timeout=timeout)
        except _BROKEN as error:
            # The connection may be to a host that was replaced; the next call opens a new one.
            self._pool.drop(address=address)
            raise PeerError(peer=address) from error

    async def _sweep(self) -> None:
        while True:
            await sleep(self._idle / 2)
            self._pool.sweep(now=get_running_loop().time())


async def _run_call(call: Coroutine[object, object, Envelope], *, timeout: float) -> Envelope:
    """Run a call in a task of its own and return its reply.

    Where the connection is lost in the same turn of the loop in which the caller is cancelled,
    grpclib raises the loss in place of the cancellation.  A caller that goes on after a loss would
    then never end: a host that stopped beside its peers outlived its time of grace.

    Raises:
        TimeoutError: The time is over.
    """
    task = create_task(call)
    task.add_done_callback(_take_outcome)
    try:
        await wait((task,), timeout=timeout)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()


def _take_outcome(task: Task[Envelope]) -> None:
    """Look at how a call ended that nobody waits for, so that asyncio does not report it."""
    if not task.cancelled():
        task.exception()


class _Service(PeersBase):
    def __init__(self, *, network: PeerNetwork) -> None:
        self._network = network

    async def Exchange(self, stream: Stream[Envelope, Envelope]) -> None:  # noqa: N802
        envelope = await stream.recv_message()
        if envelope is None:
            return
        address = stream.peer.addr()
        peer = "" if address is None else str(address[0])
        await stream.send_message(await self._network.serve(envelope=envelope, peer=peer))


class _Datagrams(DatagramProtocol):
    def __init__(self, *, network: PeerNetwork) -> None:
        self._network = network

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one datagram on."""
        self._network.receive(data=data, peer=addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore a datagram that was refused; probes find out by themselves."""
