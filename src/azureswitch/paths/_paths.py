"""The paths of one host: connects it to targets, directly or through the tunnels of others."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from functools import singledispatchmethod
from random import Random
from typing import Protocol, TypeVar

from absl import logging
from msgspec.structs import replace

from azureswitch.client import Abortable, Connector
from azureswitch.clock import elapsed
from azureswitch.core import Effect, PlaceName
from azureswitch.exceptions import NoPathError, NotSent, TunnelRefusal
from azureswitch.inventory import Target
from azureswitch.logs import Log
from azureswitch.metrics import Metrics
from azureswitch.paths._dialer import CARRIED_TIMEOUT_SECONDS, Dialer, Failed, Opened
from azureswitch.paths._events import (
    DirectAnswered,
    DirectUnanswered,
    PathEvent,
    PathLost,
    PathRegained,
    TunnelRefused,
)
from azureswitch.paths._log import PathLostEntry, PathRegainedEntry
from azureswitch.paths._messages import TunnelRequest
from azureswitch.paths._model import DIRECT, PeerHost, Route, Verdict
from azureswitch.paths._plan import HEAD_START_SECONDS, Candidate, candidates, choose_peers
from azureswitch.paths._reduce import PathsState, reduce
from azureswitch.paths._server import TunnelServer
from azureswitch.paths._session import TargetEnd

CHECK_SECONDS = 0.5
"""Most seconds that the check of a failed connection takes."""

P = TypeVar("P", bound=Abortable)


class TargetDirectory(Protocol):
    """The targets that a host knows."""

    def target_at(self, address: str) -> Target | None:
        """Return the target that is listed at ``IP:PORT``, or None."""

    def takes_work(self, target: Target) -> bool:
        """Return whether a target may get new work."""


class Paths:
    """Connects one host to targets, and other hosts that ask for a tunnel.

    Args:
        place: The failure domain of this host.
        local_ip: Its IP address, by which other hosts know it; empty where it has no tunnels.
        directory: The targets that it knows.
        peers: Returns the other hosts.
        metrics: The metrics registry.
        log: Receives the log entries.
        seed: Seeds the choice between hosts that are equally good.
        clock: Returns seconds of the monotonic clock.
        connector: Opens direct connections, or None for the usual way.
    """

    def __init__(
        self,
        *,
        place: PlaceName,
        local_ip: str,
        directory: TargetDirectory,
        peers: Callable[[], Iterable[PeerHost]],
        metrics: Metrics,
        log: Log,
        seed: int,
        clock: Callable[[], float] = elapsed,
        connector: Connector | None = None,
    ) -> None:
        self._place = place
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._log = log
        self._random = Random(seed)
        self._clock = clock
        self._state = PathsState()
        self._leaving = False
        self._checks: dict[tuple[str, Route], asyncio.Task[Verdict]] = {}
        self._dialer = Dialer(
            local_ip=local_ip, dispatch=self._dispatch, clock=clock, connector=connector
        )
        self._server = TunnelServer(
            is_host=self._is_host,
            refusal=self._refusal,
            connect=self._connect_for_other,
            answered=lambda address: self.answered(address, DIRECT),
            unanswered=lambda address: self.unanswered(address, DIRECT),
            unreached=self._unreached,
            name_of=self._name_of,
            metrics=metrics,
            log=log,
            clock=clock,
        )

    @property
    def carried(self) -> int:
        """Number of tunnels that this host carries for others."""
        return self._server.carried

    @property
    def used(self) -> int:
        """Number of tunnels that others carry for this host."""
        return sum(self._dialer.open_tunnels.values())

    @property
    def lost(self) -> dict[str, float]:
        """The addresses that are not reached directly, with the seconds since their loss."""
        return self._state.lost_seconds(now=self._clock())

    @property
    def tunnel_address(self) -> str:
        """``IP:PORT`` on which other hosts ask for tunnels, known once it listens."""
        return self._server.address

    async def start(self, *, address: str) -> None:
        """Listen for other hosts on ``IP:PORT``, or log that the address cannot be used."""
        try:
            await self._server.start(address=address)
        except OSError as error:
            # A host that carries no tunnels still serves its callers.
            logging.warning("paths: Tunnels cannot be taken at %s: %s", address, error)

    def leave(self) -> None:
        """Open no new tunnels for other hosts; those that are open go on."""
        self._leaving = True

    def abort(self) -> None:
        """Break all tunnels for other hosts off."""
        self._server.abort()
        self._dialer.abort()

    def keep(self, addresses: Iterable[str]) -> None:
        """Forget the paths to all other addresses."""
        self._state.keep(frozenset(addresses))

    def dial(
        self, *, request: str, seconds: float, new_work: bool = True, repeatable: bool = True
    ) -> "Dial":
        """Return a connector for one connection.

        Args:
            request: The id of the request that it is for, for the logs of both hosts.
            seconds: Seconds for which it is needed at most.
            new_work: Whether it carries new work for its target.
            repeatable: Whether what it carries may be sent again if it is not answered.
        """
        asked = TunnelRequest(address="", request=request, new_work=new_work, seconds=seconds)
        return Dial(paths=self, asked=asked, repeatable=repeatable)

    async def open(
        self, asked: TunnelRequest, *, protocol: Callable[[], P], repeatable: bool
    ) -> Opened[P]:
        """Open a connection by the first route that leads to its target.

        Raises:
            NoPathError: None does.
        """
        routes = candidates(
            self._state,
            asked.address,
            peers=self._peers_to(asked.address),
            repeatable=repeatable,
            now=self._clock(),
        )
        result = await self._dialer.open(routes, asked=asked, protocol=protocol)
        if isinstance(result, Failed):
            raise NoPathError(
                address=asked.address,
                reason=NotSent.NOT_PERMITTED if result.withheld else result.reason,
                witnessed=result.witnessed,
                isolated=self._state.isolated(),
            )
        return result

    async def check(self, address: str, route: Route) -> Verdict:
        """Return whether the route of a connection that has failed still leads to its target.

        Checks of the same route that run at the same time are one.
        """
        key = (address, route)
        task = self._checks.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._check(address, route))
            self._checks[key] = task
            task.add_done_callback(lambda _: self._checks.pop(key, None))
        # One that is cancelled must not end the check of the others.
        return await asyncio.shield(task)

    async def _check(self, address: str, route: Route) -> Verdict:
        asked = TunnelRequest(address=address, new_work=False, seconds=CHECK_SECONDS)
        opening = self._dialer.open(
            self._candidates_from(route, address), asked=asked, protocol=ProbeConnection
        )
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                result = await opening
        except TimeoutError:
            result = Failed(reason=NotSent.TIMED_OUT, witnessed=False, withheld=False)
        if isinstance(result, Failed):
            blameless = self._state.isolated() and not result.witnessed
            return Verdict.LOST if blameless else Verdict.UNREACHABLE
        result.connection.abort()
        return Verdict.SOUND if result.route == route else Verdict.LOST

    def answered(self, address: str, route: Route) -> None:
        """Note that something has arrived on a connection."""
        if route.peer is None:
            self._dispatch(DirectAnswered(now=self._clock(), address=address))

    def unanswered(self, address: str, route: Route) -> None:
        """Note that a connection broke or fell silent with nothing received."""
        now = self._clock()
        if route.peer is None:
            self._dispatch(DirectUnanswered(now=now, address=address))
        else:
            refused = TunnelRefused(
                now=now, address=address, peer=route.peer, refusal=TunnelRefusal.UNANSWERED
            )
            self._dispatch(refused)

    def _candidates_from(self, route: Route, address: str) -> Iterator[Candidate]:
        """Return the routes for a check: that of the connection, and then all others."""
        peers = list(self._peers_to(address))
        if route.peer is None:
            yield Candidate(peer=None, head_start=HEAD_START_SECONDS)
        else:
            same = [peer for peer in self._peers() if peer.host == route.peer]
            for peer in same:
                yield Candidate(peer=peer, head_start=HEAD_START_SECONDS)
        for peer in peers:
            if peer.host != route.peer:
                yield Candidate(peer=peer, head_start=HEAD_START_SECONDS)

    def _peers_to(self, address: str) -> Iterator[PeerHost]:
        """Return the hosts to ask for a tunnel, best first; the choice is made when first read."""
        target = self._directory.target_at(address)
        places = (self._place,) if target is None else (self._place, target.place)
        yield from choose_peers(
            self._state,
            self._peers(),
            open_tunnels=self._dialer.open_tunnels,
            places=places,
            random=self._random,
            now=self._clock(),
        )

    # --- Tunnels for other hosts ------------------------------------------------------------------

    def _is_host(self, ip: str) -> bool:
        return any(peer.address.rpartition(":")[0] == ip for peer in self._peers())

    def _refusal(self, request: TunnelRequest) -> TunnelRefusal | None:
        target = self._directory.target_at(request.address)
        if target is None:
            return TunnelRefusal.UNKNOWN_TARGET
        if self._leaving:
            return TunnelRefusal.LEAVING
        if request.new_work and not self._directory.takes_work(target):
            return TunnelRefusal.WITHHELD
        if not self._state.leads_to(request.address, now=self._clock()):
            return TunnelRefusal.NO_PATH
        return None

    def _unreached(self, address: str) -> TunnelRefusal:
        """Return why a tunnel is refused to a target that this host did not reach."""
        reaches = self._state.reaches_others(address, now=self._clock())
        return TunnelRefusal.UNREACHABLE if reaches else TunnelRefusal.NO_PATH

    async def _connect_for_other(self, address: str) -> TargetEnd:
        return await self._dialer.connect_directly(
            address, protocol=TargetEnd, timeout=CARRIED_TIMEOUT_SECONDS
        )

    # --- Effects ----------------------------------------------------------------------------------

    def _dispatch(self, event: PathEvent) -> None:
        for effect in reduce(event, self._state):
            self._run(effect)

    @singledispatchmethod
    def _run(self, effect: Effect) -> None:
        raise TypeError(effect)

    @_run.register
    def _(self, effect: PathLost) -> None:
        self._log.write(
            PathLostEntry(
                target=self._name_of(effect.address),
                cause="unanswered" if effect.reason is None else effect.reason.value,
                peer=effect.peer,
            )
        )
        self._metrics.count(name="paths_lost", help="Direct paths to targets that were lost.")

    @_run.register
    def _(self, effect: PathRegained) -> None:
        self._log.write(
            PathRegainedEntry(
                target=self._name_of(effect.address), seconds=round(effect.seconds, 3)
            )
        )

    def _name_of(self, address: str) -> str:
        target = self._directory.target_at(address)
        return address if target is None else target.name


class Dial:
    """Opens one connection; implements `azureswitch.client.Connector`.

    Args:
        paths: The paths of this host.
        asked: What a tunnel would be asked for, but for the address.
        repeatable: Whether what it carries may be sent again if it is not answered.
    """

    def __init__(self, *, paths: Paths, asked: TunnelRequest, repeatable: bool) -> None:
        self._paths = paths
        self._asked = asked
        self._repeatable = repeatable
        self._address = ""
        self._route: Route | None = None
        self._heard = False
        self._found_unanswered = False

    @property
    def route(self) -> Route | None:
        """The route that the connection takes, or None before it is open."""
        return self._route

    @property
    def peer(self) -> str:
        """The host through whose tunnel the connection goes; empty for none."""
        return "" if self._route is None or self._route.peer is None else self._route.peer

    async def connect(self, *, address: str, protocol: Callable[[], P], timeout: float) -> P:
        """Open the connection; arguments and failures as for `Connector.connect`."""
        asked = replace(self._asked, address=address)
        try:
            async with asyncio.timeout(timeout):
                opened = await self._paths.open(
                    asked, protocol=protocol, repeatable=self._repeatable
                )
        except TimeoutError as error:
            raise NoPathError(address=address, reason=NotSent.TIMED_OUT) from error
        self._address = address
        self._route = opened.route
        return opened.connection

    def answered(self) -> None:
        """Note that something has arrived on the connection."""
        if self._route is not None and not self._heard:
            self._heard = True
            self._paths.answered(self._address, self._route)

    def unanswered(self) -> None:
        """Note, once, that the connection broke or fell silent, if nothing has arrived on it."""
        if self._route is not None and not self._heard and not self._found_unanswered:
            self._found_unanswered = True
            self._paths.unanswered(self._address, self._route)

    async def check(self) -> Verdict:
        """Return whether the route of the connection still leads to its target."""
        if self._route is None:
            return Verdict.SOUND
        return await self._paths.check(self._address, self._route)


class ProbeConnection(Abortable):
    """A connection that is opened only to see whether it can be."""

    def __init__(self) -> None:
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = transport

    def abort(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()
