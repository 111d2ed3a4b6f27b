"""Carries tunnels to targets for other hosts."""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from azureswitch.exceptions import HttpNotSentError, TunnelRefusal
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.paths._log import TunnelClosedEntry, TunnelOpenedEntry, TunnelRefusedEntry
from azureswitch.paths._messages import TunnelRequest
from azureswitch.paths._session import TargetEnd, TunnelSession
from azureswitch.tasks import Tasks

MAX_TUNNELS = 256
"""Most tunnels that a host carries; each takes two descriptors and up to 256 KB of buffers."""

MAX_CONNECTIONS = 512
"""Most connections of other hosts, those included that have not asked for a tunnel yet."""


class _Carried(Struct, frozen=True, kw_only=True):
    """What a session has asked for, for the log.

    Attributes:
        request: The request for the tunnel.
        since: When it was asked for, in seconds of the monotonic clock.
    """

    request: TunnelRequest
    since: float


class TunnelServer:
    """Listens for other hosts and connects them to targets.

    It connects straight to the targets, never through a further host.

    Args:
        is_host: Returns whether an IP address is that of another host of the fleet.
        refusal: Returns why a tunnel is refused, or None.
        connect: Opens a direct connection to ``IP:PORT``.
        unreached: Returns why a tunnel is refused to a target that was not reached.
        answered: Called with the address of a target from which bytes have arrived.
        unanswered: Called with that of a target that broke off before any have.
        name_of: Returns the name of the target at an address, for the log.
        metrics: Counts tunnels by what became of them.
        log: Receives the log entries.
        clock: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        is_host: Callable[[str], bool],
        refusal: Callable[[TunnelRequest], TunnelRefusal | None],
        connect: Callable[[str], Awaitable[TargetEnd]],
        unreached: Callable[[str], TunnelRefusal],
        answered: Callable[[str], None],
        unanswered: Callable[[str], None],
        name_of: Callable[[str], str],
        metrics: Metrics,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        self._is_host = is_host
        self._refusal = refusal
        self._connect = connect
        self._unreached = unreached
        self._answered = answered
        self._unanswered = unanswered
        self._name_of = name_of
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._sessions: set[TunnelSession] = set()
        self._carried: dict[TunnelSession, _Carried] = {}
        self._tasks = Tasks(prefix="paths")

    @property
    def carried(self) -> int:
        """Number of tunnels that are open or being opened."""
        return len(self._carried)

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, *, address: str) -> None:
        """Listen on ``IP:PORT``.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._session, host, int(port)
        )

    def abort(self) -> None:
        """Stop listening and break all tunnels off."""
        if self._server is not None:
            self._server.close()
        for session in list(self._sessions):
            session.abort()

    def _session(self) -> TunnelSession:
        session = TunnelSession(opener=self)
        self._sessions.add(session)
        return session

    # Sessions call these.

    def asked(self, session: TunnelSession, request: TunnelRequest) -> None:
        """Refuse a tunnel, or begin to open it."""
        refusal = self._decide(session, request)
        if refusal is not None:
            self._refuse(session, request, refusal)
            return
        self._carried[session] = _Carried(request=request, since=self._clock())
        self._tasks.spawn(self._open(session, request), name=f"tunnel to {request.address}")

    def ended(self, session: TunnelSession) -> None:
        """Log the end of a tunnel."""
        self._sessions.discard(session)
        carried = self._carried.pop(session, None)
        if carried is None or not session.is_open:
            return
        if session.received:
            self._answered(carried.request.address)
        elif session.sent and session.broken_off:
            self._unanswered(carried.request.address)
        self._log.write(
            TunnelClosedEntry(
                id=carried.request.request,
                target=self._name_of(carried.request.address),
                origin=session.origin,
                whole=session.whole,
                seconds=round(self._clock() - carried.since, 3),
                sent=session.sent,
                received=session.received,
            )
        )

    def _decide(self, session: TunnelSession, request: TunnelRequest) -> TunnelRefusal | None:
        if not self._is_host(session.origin):
            return TunnelRefusal.NOT_A_HOST
        if len(self._carried) >= MAX_TUNNELS or len(self._sessions) > MAX_CONNECTIONS:
            return TunnelRefusal.BUSY
        return self._refusal(request)

    async def _open(self, session: TunnelSession, request: TunnelRequest) -> None:
        try:
            target = await self._connect(request.address)
        except HttpNotSentError:
            self._carried.pop(session, None)
            self._refuse(session, request, self._unreached(request.address))
            return
        if session.closing:
            target.abort()
            return
        self._count("opened")
        self._log.write(
            TunnelOpenedEntry(
                id=request.request,
                target=self._name_of(request.address),
                origin=session.origin,
            )
        )
        session.open(target)

    def _refuse(
        self, session: TunnelSession, request: TunnelRequest, refusal: TunnelRefusal
    ) -> None:
        self._count(refusal.value)
        self._log.write(
            TunnelRefusedEntry(
                id=request.request,
                target=self._name_of(request.address),
                origin=session.origin,
                refusal=refusal.value,
            )
        )
        session.refuse(refusal)

    def _count(self, result: str) -> None:
        self._metrics.count(
            name="tunnels_carried",
            help="Tunnels that other hosts asked for, by what became of them.",
            result=result,
        )
