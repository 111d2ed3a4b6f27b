"""Keeps engines' load reports up to date with few requests to each engine.

Few hosts poll each engine and send its reports to the others.  The reducer of
`azureswitch.coordination.sharing` decides when to poll and whom to send reports; this module
executes its effects.
"""

import asyncio
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from random import Random

from msgspec.structs import replace

from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.sharing import (
    TICK_SECONDS,
    DeliverReport,
    EnginePolled,
    EngineReports,
    EnginesChanged,
    EngineUnreachable,
    HostsChanged,
    PollEngine,
    PollFailed,
    ReportsReceived,
    SendReports,
    SharingEvent,
    SharingHost,
    SharingState,
    SharingTicked,
    reduce,
)
from azureswitch.core import Effect, HostName, PlaceName, TargetName
from azureswitch.entry._targets import Targets
from azureswitch.exceptions import TargetError
from azureswitch.inventory import Target
from azureswitch.ports import Peers
from azureswitch.serving import LoadReported, ServingEvent, TargetUnreachable
from azureswitch.tasks import Tasks

POLL_TIMEOUT_SECONDS = 1.0
"""Timeout of a poll in seconds."""


class Poller:
    """Polls engines and exchanges their reports with other hosts.

    Args:
        host: This host.
        targets: The ports of targets.
        peers: Sends messages to other hosts.
        members: Returns the current members, this host included; a new object after each
            change.
        dispatch: Passes an event to the serving reducer.
        clock: Returns seconds of the monotonic clock.
        seed: Seeds the jitter and the choice of receivers.
    """

    def __init__(
        self,
        *,
        host: HostName,
        targets: Targets,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        dispatch: Callable[[ServingEvent], None],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self._host = host
        self._targets = targets
        self._peers = peers
        self._members = members
        self._dispatch = dispatch
        self._clock = clock
        self._random = Random(seed)
        self._tasks = Tasks(prefix="entry")
        self._state = SharingState(host=host, seed=seed)
        self._seen: Iterable[Member] = ()
        self._hosts: tuple[SharingHost, ...] = ()
        self._engines: tuple[Target, ...] | None = None
        peers.handle(EngineReports, self._receive)

    @property
    def assigned(self) -> frozenset[TargetName]:
        """The engines that this host polls and reports to others."""
        return self._state.assigned

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                self.step()
                await asyncio.sleep(TICK_SECONDS * self._random.uniform(0.9, 1.1))
        finally:
            await self._tasks.stop()

    def step(self) -> None:
        """Send new reports and start the polls that are due."""
        self._follow_hosts()
        self._follow_engines()
        self._feed(SharingTicked(now=self._clock()))

    def _follow_hosts(self) -> None:
        members = self._members()
        if members is self._seen:
            return
        self._seen = members
        alive = (member for member in members if member.status is not MemberStatus.DEAD)
        hosts = tuple(_sharing_host(member) for member in alive)
        if hosts != self._hosts:
            self._hosts = hosts
            places = {host.name: host.place for host in hosts}
            place = places.get(self._host, PlaceName(""))
            others = tuple(host for host in hosts if host.name != self._host)
            self._feed(HostsChanged(now=self._clock(), place=place, hosts=others))

    def _follow_engines(self) -> None:
        engines = self._targets.engine_targets
        if engines is not self._engines:
            self._engines = engines
            places = self._targets.places
            self._feed(EnginesChanged(now=self._clock(), engines=engines, places=places))

    def _feed(self, event: SharingEvent) -> None:
        for effect in reduce(self._state, event):
            self._execute(effect)

    @singledispatchmethod
    def _execute(self, effect: Effect) -> None:
        raise NotImplementedError(type(effect))

    @_execute.register
    def _(self, effect: PollEngine) -> None:
        self._tasks.spawn(self._poll(effect.target), name=f"{effect.target} poll")

    @_execute.register
    def _(self, effect: SendReports) -> None:
        self._peers.cast(address=effect.address, message=effect.message)

    @_execute.register
    def _(self, effect: DeliverReport) -> None:
        self._dispatch(LoadReported(now=self._clock(), report=effect.report, age=effect.age))

    @_execute.register
    def _(self, effect: EngineUnreachable) -> None:
        self._dispatch(TargetUnreachable(now=self._clock(), target=effect.target))

    async def _poll(self, name: TargetName) -> None:
        engine = self._targets.engine(name)
        if engine is None:
            self._feed(PollFailed(now=self._clock(), target=name))
            return
        try:
            async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
                # The name in the inventory counts; the engine may report another one.
                report = replace(await engine.load(), target=name)
        except (TargetError, TimeoutError):
            self._feed(PollFailed(now=self._clock(), target=name))
        else:
            self._feed(EnginePolled(now=self._clock(), report=report))

    def _receive(self, message: EngineReports) -> None:
        self._feed(ReportsReceived(now=self._clock(), reports=message.reports))


def _sharing_host(member: Member) -> SharingHost:
    return SharingHost(
        name=member.incarnation.host,
        place=member.place,
        address=member.address,
        polls=member.status is MemberStatus.ALIVE,
    )
