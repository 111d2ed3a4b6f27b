"""The driver of the sweep on one host."""

from asyncio import TaskGroup, gather, get_running_loop, sleep
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from random import Random

from absl import logging

from azureswitch.coordination.effects import run_effects
from azureswitch.coordination.membership import Member
from azureswitch.coordination.memory._model import (
    SWEEP_PERIOD_SECONDS,
    HeldAttempt,
    HoldingsRead,
    HoldingsReadFailed,
    KeptQuery,
    KeptReply,
    OwnerAnswered,
    OwnerQuery,
    OwnerReply,
    OwnerUnreachable,
    QueryOwner,
    ReadHoldings,
    ReleaseHolding,
    SweepCounts,
    SweepEvent,
    SweepTicked,
)
from azureswitch.coordination.memory._reduce import reduce
from azureswitch.coordination.memory._state import SweepState
from azureswitch.coordination.roster import Roster
from azureswitch.core import CallId, Effect, Effects, Incarnation, TargetName
from azureswitch.exceptions import AzureswitchError, PeerError
from azureswitch.ports import Engine, Peers

_QUERY_TIMEOUT_SECONDS = 0.7
"""Timeout in seconds of the query of an owner or of its successor."""


class Sweeper:
    """Releases engine memory whose owner has died or no longer uses it.

    Args:
        myself: This process.
        members: Returns the current members, this host included.
        engines: Returns the engines of the configuration in force.
        peers: Sends messages to other hosts.
        running: Returns whether an attempt runs in this process, or was taken over by it from a
            dead one.  It must be true from before the attempt's first holding is created until
            the last is released.
        seed: Seeds the jitter and the choice of witnesses; different on every host.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        members: Callable[[], Iterable[Member]],
        engines: Callable[[], Mapping[TargetName, Engine]],
        peers: Peers,
        running: Callable[[CallId, int], bool],
        seed: int,
    ) -> None:
        self._myself = myself
        self._roster = Roster(members=members)
        self._engines = engines
        self._peers = peers
        self._running = running
        self._random = Random(seed)
        self._state = SweepState(myself=myself, seed=seed)
        peers.handle(OwnerQuery, self._answer)
        peers.handle(KeptQuery, self._answer_taken_over)

    @property
    def counts(self) -> SweepCounts:
        """The counters since the start."""
        return self._state.counts

    async def run(self) -> None:
        """Sweep until cancelled."""
        async with TaskGroup() as group:
            while True:
                group.create_task(self.sweep())
                await sleep(SWEEP_PERIOD_SECONDS * self._random.uniform(0.9, 1.1))

    async def sweep(self) -> None:
        """Read the engines that this host sweeps once, and release what has no owner."""
        now = get_running_loop().time()
        members = self._roster.members(now=now)
        event = SweepTicked(now=now, members=members, targets=tuple(self._engines()))
        await self._handle(event)

    async def _handle(self, event: SweepEvent) -> None:
        await run_effects(self._reduce(event), run=self._run, reduce=self._reduce)

    def _reduce(self, event: SweepEvent) -> Effects:
        return reduce(self._state, event)

    @singledispatchmethod
    async def _run(self, effect: Effect) -> SweepEvent | None:
        raise NotImplementedError(type(effect))

    @_run.register
    async def _(self, effect: ReadHoldings) -> SweepEvent | None:
        target = effect.target
        engine = self._engines().get(target)
        try:
            holdings = () if engine is None else await engine.holdings()
        except AzureswitchError as error:
            logging.warning("memory: %s", error)
            return HoldingsReadFailed(now=get_running_loop().time(), target=target)
        return HoldingsRead(now=get_running_loop().time(), target=target, holdings=holdings)

    @_run.register
    async def _(self, effect: ReleaseHolding) -> SweepEvent | None:
        engine = self._engines().get(effect.target)
        if engine is None:
            return None
        try:
            await engine.release(holding=effect.holding.id)
        except AzureswitchError as error:
            logging.warning("memory: %s", error)
            return None
        logging.info(
            "memory: Released %d tokens of %s at %s.",
            effect.holding.tokens,
            effect.holding.owner,
            effect.target,
        )
        return None

    @_run.register
    async def _(self, effect: QueryOwner) -> SweepEvent | None:
        owner = effect.query.owner
        if owner == self._myself:
            return self._owner_answered(self._own_reply(effect.query), owner)
        reply = await self._query(effect.address, effect.query, timeout=_QUERY_TIMEOUT_SECONDS)
        if reply is not None and reply.present == owner:
            return self._owner_answered(reply, owner)
        proven = _is_later(reply, owner)
        # A witness needs additional time for its own query.
        asked = () if proven else effect.witnesses
        replies = await gather(
            *(
                self._query(address, effect.query, timeout=2 * _QUERY_TIMEOUT_SECONDS)
                for address in asked
            )
        )
        for reply in replies:
            if reply is not None and reply.present == owner:
                return self._owner_answered(reply, owner)
        kept = await self._query_taken_over(effect)
        if kept is None:
            return None
        return OwnerUnreachable(
            now=get_running_loop().time(),
            owner=owner,
            proven=proven or any(_is_later(reply, owner) for reply in replies),
            witnesses=sum(reply is not None for reply in replies),
            asked=effect.query.attempts,
            kept=kept,
        )

    def _owner_answered(self, reply: OwnerReply, owner: Incarnation) -> SweepEvent:
        return OwnerAnswered(now=get_running_loop().time(), owner=owner, ended=reply.ended)

    async def _query_taken_over(self, effect: QueryOwner) -> tuple[HeldAttempt, ...] | None:
        query = KeptQuery(attempts=effect.query.attempts)
        if not effect.successor:
            return (await self._answer_taken_over(query)).kept
        try:
            reply = await self._peers.call(
                address=effect.successor,
                request=query,
                reply=KeptReply,
                timeout=_QUERY_TIMEOUT_SECONDS,
            )
        except PeerError:
            # The successor is presumed alive, so the next sweep queries it again.
            return None
        return reply.kept

    async def _query(self, address: str, query: OwnerQuery, *, timeout: float) -> OwnerReply | None:
        if not address:
            return None
        try:
            return await self._peers.call(
                address=address, request=query, reply=OwnerReply, timeout=timeout
            )
        except PeerError:
            return None

    async def _answer(self, query: OwnerQuery) -> OwnerReply:
        if query.owner.host == self._myself.host:
            return self._own_reply(query)
        unreached = OwnerReply(present=None, ended=())
        if query.relayed:
            return unreached
        relayed = OwnerQuery(owner=query.owner, attempts=query.attempts, relayed=True)
        # The last member of a host is its current process, which knows that it succeeded another.
        for member in reversed(self._roster.members(now=get_running_loop().time())):
            if member.incarnation.host == query.owner.host:
                return (
                    await self._query(member.address, relayed, timeout=_QUERY_TIMEOUT_SECONDS)
                    or unreached
                )
        return unreached

    async def _answer_taken_over(self, query: KeptQuery) -> KeptReply:
        return KeptReply(
            kept=tuple(held for held in query.attempts if self._running(held.call, held.attempt))
        )

    def _own_reply(self, query: OwnerQuery) -> OwnerReply:
        return OwnerReply(
            present=self._myself,
            ended=tuple(
                held for held in query.attempts if not self._running(held.call, held.attempt)
            ),
        )


def _is_later(reply: OwnerReply | None, owner: Incarnation) -> bool:
    if reply is None or reply.present is None:
        return False
    return reply.present.host == owner.host and reply.present.started > owner.started
