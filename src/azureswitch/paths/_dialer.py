"""Opens connections to targets by the first route that leads there."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Generic, TypeVar

from msgspec import Struct

from azureswitch.client import Abortable, Connector, DirectConnector
from azureswitch.core import HostName
from azureswitch.exceptions import (
    AzureswitchError,
    HttpNotSentError,
    NotSent,
    TunnelRefusal,
    TunnelRefusedError,
)
from azureswitch.paths._client import open_tunnel
from azureswitch.paths._events import (
    DirectFailed,
    DirectOpened,
    PathEvent,
    TunnelOpened,
    TunnelRefused,
)
from azureswitch.paths._messages import TunnelRequest
from azureswitch.paths._model import DIRECT, PeerHost, Route
from azureswitch.paths._plan import Candidate

CONNECT_TIMEOUT_SECONDS = 0.35
"""Timeout in seconds of a direct connection.

A lost SYN is retransmitted after a second; opening a new connection is faster.
"""

CARRIED_TIMEOUT_SECONDS = 0.25
"""Timeout in seconds of a direct connection for the tunnel of another host."""

TUNNEL_TIMEOUT_SECONDS = 0.4
"""Timeout in seconds of opening a tunnel, which includes the other host's connection."""

P = TypeVar("P", bound=Abortable)


class Opened(Struct, Generic[P], frozen=True, kw_only=True):
    """A connection that was opened.

    Attributes:
        route: The route that it takes.
        connection: Its protocol.
    """

    route: Route
    connection: P


class Failed(Struct, frozen=True, kw_only=True):
    """That no route led to the target.

    Attributes:
        reason: Why the last route failed.
        witnessed: Whether a host that reaches other targets did not reach this one.
        withheld: Whether a host refused since the target must get no new work.
    """

    reason: NotSent
    witnessed: bool
    withheld: bool


class Dialer:
    """Tries routes to a target until one of them is open.

    A route that takes long is joined by the next one, and the first that opens is used.  A direct
    connection that is overtaken is awaited nevertheless, as its end tells whether its path is lost.

    Args:
        local_ip: The IP address of this host.
        dispatch: Dispatches an event to the reducer of the paths.
        clock: Returns seconds of the monotonic clock.
        connector: Opens direct connections.
    """

    def __init__(
        self,
        *,
        local_ip: str,
        dispatch: Callable[[PathEvent], None],
        clock: Callable[[], float],
        connector: Connector | None = None,
    ) -> None:
        self._local_ip = local_ip
        self._dispatch = dispatch
        self._clock = clock
        self._direct = connector or DirectConnector()
        self._open_tunnels: dict[HostName, int] = {}
        self._overtaken: set[asyncio.Task[object]] = set()

    @property
    def open_tunnels(self) -> dict[HostName, int]:
        """The number of open tunnels through each other host."""
        return self._open_tunnels

    async def open(
        self, candidates: Iterator[Candidate], *, asked: TunnelRequest, protocol: Callable[[], P]
    ) -> Opened[P] | Failed:
        """Open a connection by the first route that leads to its target.

        Args:
            candidates: The routes to try, in order; further ones are drawn only if needed.
            asked: The target, and what the connection is for.
            protocol: Returns the protocol of a connection.
        """
        race = _Race(
            candidates=candidates, start=partial(self._start, asked=asked, protocol=protocol)
        )
        try:
            return await race.run()
        finally:
            self._leave(race.running)

    async def connect_directly(
        self, address: str, *, protocol: Callable[[], P], timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> P:
        """Open a direct connection, and tell the reducer whether that was possible.

        Raises:
            HttpNotSentError: It was not.
        """
        try:
            connection = await self._direct.connect(
                address=address, protocol=protocol, timeout=timeout
            )
        except HttpNotSentError as error:
            self._dispatch(DirectFailed(now=self._clock(), address=address, reason=error.reason))
            raise
        self._dispatch(DirectOpened(now=self._clock(), address=address))
        return connection

    def abort(self) -> None:
        """Give up the direct connections that are still awaited."""
        for task in tuple(self._overtaken):
            task.cancel()

    def _start(
        self, candidate: Candidate, *, asked: TunnelRequest, protocol: Callable[[], P]
    ) -> Coroutine[object, object, P]:
        if candidate.peer is None:
            return self.connect_directly(asked.address, protocol=protocol)
        return self._connect_through(candidate.peer, asked=asked, protocol=protocol)

    async def _connect_through(
        self, peer: PeerHost, *, asked: TunnelRequest, protocol: Callable[[], P]
    ) -> P:
        try:
            connection = await open_tunnel(
                peer=peer,
                asked=asked,
                protocol=protocol,
                local_ip=self._local_ip,
                timeout=TUNNEL_TIMEOUT_SECONDS,
                count=partial(self._count, peer.host),
            )
        except TunnelRefusedError as error:
            refused = TunnelRefused(
                now=self._clock(),
                address=asked.address,
                peer=peer.host,
                refusal=error.refusal,
            )
            self._dispatch(refused)
            raise
        self._dispatch(TunnelOpened(now=self._clock(), address=asked.address, peer=peer.host))
        return connection

    def _count(self, peer: HostName, change: int) -> None:
        number = self._open_tunnels.get(peer, 0) + change
        if number:
            self._open_tunnels[peer] = number
        else:
            self._open_tunnels.pop(peer, None)

    def _leave(self, running: dict[asyncio.Task[P], Candidate]) -> None:
        """Drop the connections of a race that is over, and await the direct one."""
        for task, candidate in running.items():
            task.add_done_callback(_drop)
            if candidate.peer is not None:
                task.cancel()
            else:
                self._overtaken.add(task)
                task.add_done_callback(self._overtaken.discard)


class _Race(Generic[P]):
    """One attempt to open a connection, by several routes.

    Attributes:
        running: The routes that are being tried.
    """

    def __init__(
        self,
        *,
        candidates: Iterator[Candidate],
        start: Callable[[Candidate], Coroutine[object, object, P]],
    ) -> None:
        self._candidates = candidates
        self._start = start
        self.running: dict[asyncio.Task[P], Candidate] = {}
        self._exhausted = False
        self._reason = NotSent.NO_ROUTE
        self._witnessed = False
        self._withheld = False

    async def run(self) -> Opened[P] | Failed:
        """Return the first connection that is opened, or that there is none."""
        while True:
            candidate = self._next()
            if candidate is None and not self.running:
                break
            done, _ = await asyncio.wait(
                self.running,
                timeout=None if candidate is None else candidate.head_start,
                return_when=asyncio.FIRST_COMPLETED,
            )
            opened = self._collect(done)
            if opened is not None:
                return opened
            if self._decided:
                break
        return Failed(reason=self._reason, witnessed=self._witnessed, withheld=self._withheld)

    @property
    def _decided(self) -> bool:
        """Whether further routes would lead nowhere either."""
        direct = any(candidate.peer is None for candidate in self.running.values())
        return self._withheld or (self._witnessed and not direct)

    def _next(self) -> Candidate | None:
        """Start the next route and return it, or return None if there is none left."""
        candidate = None if self._exhausted else next(self._candidates, None)
        if candidate is None:
            self._exhausted = True
            return None
        task = asyncio.get_running_loop().create_task(self._start(candidate))
        self.running[task] = candidate
        return candidate

    def _collect(self, done: set[asyncio.Task[P]]) -> Opened[P] | None:
        """Return a connection among routes that have ended, and note why others have failed."""
        opened: Opened[P] | None = None
        for task in done:
            candidate = self.running[task]
            error = task.exception()
            if error is None and opened is None:
                route = DIRECT if candidate.peer is None else Route(peer=candidate.peer.host)
                opened = Opened(route=route, connection=task.result())
                del self.running[task]
            elif error is not None:
                del self.running[task]
                self._note(error)
        return opened

    def _note(self, error: BaseException) -> None:
        if isinstance(error, HttpNotSentError):
            self._reason = error.reason
        elif isinstance(error, TunnelRefusedError):
            self._witnessed = self._witnessed or error.refusal is TunnelRefusal.UNREACHABLE
            self._withheld = self._withheld or error.refusal is TunnelRefusal.WITHHELD
        elif not isinstance(error, AzureswitchError):
            raise error


def _drop(task: asyncio.Task[P]) -> None:
    """Close the connection that a task has opened for nobody."""
    if not task.cancelled() and task.exception() is None:
        task.result().abort()
