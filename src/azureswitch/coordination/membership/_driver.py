"""Runs the membership reducer against peers, the host list and the clock."""

from asyncio import CancelledError, Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from random import Random
from typing import Any

from absl import logging

from azureswitch.clock import until_step
from azureswitch.coordination.membership._effects import (
    AnswerSync,
    ListHosts,
    NotifyChange,
    Send,
    Sync,
)
from azureswitch.coordination.membership._events import (
    Ended,
    HostsListed,
    LeaveBegan,
    MembershipEvent,
    Received,
    RevisionAdopted,
    SyncReplied,
    SyncRequested,
    Ticked,
)
from azureswitch.coordination.membership._limits import JOIN_SECONDS, SYNC_TIMEOUT, TICK_SECONDS
from azureswitch.coordination.membership._messages import (
    Ack,
    Gossip,
    Message,
    Nack,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
)
from azureswitch.coordination.membership._model import Member, MemberStatus
from azureswitch.coordination.membership._reduce import reduce
from azureswitch.coordination.membership._state import MembershipState
from azureswitch.core import Effect, HostName, Incarnation, PlaceName
from azureswitch.exceptions import HostListError, PeerError
from azureswitch.ports import HostList, ListedHost, Peers

Listener = Callable[[tuple[Member, ...]], None]

LEAVE_SPREAD_SECONDS = 1.0
"""Seconds after which practically every member knows that a host leaves."""


class Membership:
    """This host's view of the fleet, kept up to date while `run` runs.

    Args:
        myself: This process.
        place: The failure domain that it runs in.
        address: ``IP:PORT`` on which peers reach it.
        peers: Sends messages to other hosts; the handlers are registered there.
        hosts: The platform's host list.
        seed: Seeds every random choice.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        place: PlaceName,
        address: str,
        peers: Peers,
        hosts: HostList,
        seed: int,
    ) -> None:
        self._peers = peers
        self._host_list = hosts
        self._state = MembershipState(
            myself=myself, place=place, address=address, random=Random(seed)
        )
        self._started_at: float | None = None
        self._listeners: list[Listener] = []
        self._tasks: set[Task[None]] = set()
        peers.handle(Ping, self._receive)
        peers.handle(Ack, self._receive)
        peers.handle(PingRequest, self._receive)
        peers.handle(Nack, self._receive)
        peers.handle(Gossip, self._receive)
        peers.handle(SyncRequest, self._answer_sync)

    @property
    def members(self) -> tuple[Member, ...]:
        """Members that are not dead, this host included, by host name."""
        return self._state.members

    @property
    def dead(self) -> tuple[HostName, ...]:
        """Hosts that are dead and not yet forgotten."""
        return self._state.dead

    @property
    def fleet_size(self) -> int | None:
        """Upper bound of the number of hosts, dead ones included; None before others are known."""
        return self._state.fleet_size

    @property
    def expected(self) -> tuple[Member, ...]:
        """Listed hosts that are not members yet, for some seconds after the start of this host.

        They are assumed to be alive at their listed address, with a start of zero.
        """
        if self._started_at is None or _now() - self._started_at >= JOIN_SECONDS:
            return ()
        return tuple(map(_expected_member, self._state.unknown))

    @property
    def health(self) -> int:
        """The local health score: 0 if this host is healthy; above 0, it probes more slowly."""
        return self._state.health

    @property
    def stalls(self) -> int:
        """Number of detected pauses of this process."""
        return self._state.stalls

    def on_change(self, callback: Listener) -> None:
        """Call back with all members whenever one has joined, left or changed status."""
        self._listeners.append(callback)

    def set_revision(self, revision: int) -> None:
        """Publish to other hosts which configuration is in force here."""
        self._feed(RevisionAdopted(now=_now(), revision=revision))

    async def run(self) -> None:
        """Run the protocol until cancelled."""
        self._started_at = _now()
        try:
            while True:
                self._feed(Ticked(now=_now()))
                await sleep(until_step(TICK_SECONDS))
        except CancelledError:
            self._feed(Ended(now=_now()))
            raise
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    async def leave(self) -> None:
        """Announce that this host takes no new work, and return when practically all members know.

        `run` must continue until the host has finished its open work.
        """
        self._feed(LeaveBegan(now=_now()))
        await sleep(LEAVE_SPREAD_SECONDS)

    def _receive(self, message: Message) -> None:
        self._feed(Received(now=_now(), message=message))

    async def _answer_sync(self, request: SyncRequest) -> SyncReply | None:
        effects = self._feed(SyncRequested(now=_now(), request=request))
        answers = (effect.reply for effect in effects if isinstance(effect, AnswerSync))
        return next(answers, None)

    def _feed(self, event: MembershipEvent) -> tuple[Effect, ...]:
        effects = tuple(reduce(self._state, event))
        for effect in effects:
            self._execute(effect)
        return effects

    @singledispatchmethod
    def _execute(self, effect: Effect) -> None:
        """Do nothing for effects that the caller of the reducer handles."""

    @_execute.register
    def _(self, effect: Send) -> None:
        self._peers.cast(address=effect.address, message=effect.message)

    @_execute.register
    def _(self, effect: Sync) -> None:
        self._spawn(self._sync(effect))

    @_execute.register
    def _(self, effect: ListHosts) -> None:
        self._spawn(self._list_hosts())

    @_execute.register
    def _(self, effect: NotifyChange) -> None:
        for listener in self._listeners:
            listener(self.members)

    async def _sync(self, effect: Sync) -> None:
        try:
            reply = await self._peers.call(
                address=effect.address,
                request=effect.request,
                reply=SyncReply,
                timeout=SYNC_TIMEOUT,
            )
        except PeerError:
            return
        self._feed(SyncReplied(now=_now(), reply=reply))

    async def _list_hosts(self) -> None:
        try:
            hosts = await self._host_list.hosts()
        except HostListError as error:
            logging.warning("membership: %s", error)
            return
        self._feed(HostsListed(now=_now(), hosts=hosts))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _expected_member(listed: ListedHost) -> Member:
    return Member(
        incarnation=Incarnation(host=listed.name, started=0),
        place=listed.place,
        address=listed.address,
        status=MemberStatus.ALIVE,
    )


def _now() -> float:
    return get_running_loop().time()
