"""The driver that sweeps engines for one host."""

from asyncio import TaskGroup, gather, get_running_loop, sleep
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from random import Random

from absl import logging

from azureswitch.coordination.effects import run_effects
from azureswitch.coordination.membership import Member
from azureswitch.coordination.memory._model import (
    SWEEP_PERIOD,
    AskOwner,
    HeldAttempt,
    HoldingsRead,
    HoldingsUnread,
    KeptQuery,
    KeptReply,
    OwnerAnswered,
    OwnerGone,
    OwnerQuery,
    OwnerReply,
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

_ASK_TIMEOUT = 0.7
"""Seconds that an owner, or a witness of it, has to answer in."""


class Sweeper:
    """Gives back the engine memory that belongs to nobody any more.

    Args:
        myself: This process.
        members: Returns what this host knows of the members, itself included.
        engines: Returns the engines of the configuration in force.
        peers: The other hosts.
        running: Tells whether an attempt runs in this process, or was taken over by it from a
            dead one.  It must be true from before the attempt's first holding is made until the
            last is released.
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
        peers.handle(KeptQuery, self._answer_kept)

    @property
    def counts(self) -> SweepCounts:
        """What has been done so far."""
        return self._state.counts

    async def run(self) -> None:
        """Sweep until cancelled."""
        async with TaskGroup() as group:
            while True:
                group.create_task(self.sweep())
                await sleep(SWEEP_PERIOD * self._random.uniform(0.9, 1.1))

    async def sweep(self) -> None:
        """Read the engines that this host is responsible for, once, and release what is left."""
        now = get_running_loop().time()
        members = self._roster.members(now=now)
        event = SweepTicked(now=now, members=members, targets=tuple(self._engines()))
        await self._take(event)

    async def _take(self, event: SweepEvent) -> None:
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
            return HoldingsUnread(now=get_running_loop().time(), target=target)
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
    async def _(self, effect: AskOwner) -> SweepEvent | None:
        owner = effect.query.owner
        if owner == self._myself:
            return self._answered(self._own_reply(effect.query), owner)
        reply = await self._ask(effect.address, effect.query, timeout=_ASK_TIMEOUT)
        if reply is not None and reply.present == owner:
            return self._answered(reply, owner)
        proven = _is_later(reply, owner)
        # A witness needs the time of its own question on top.
        asked = () if proven else effect.witnesses
        replies = await gather(
            *(self._ask(address, effect.query, timeout=2 * _ASK_TIMEOUT) for address in asked)
        )
        for reply in replies:
            if reply is not None and reply.present == owner:
                return self._answered(reply, owner)
        kept = await self._kept(effect)
        if kept is None:
            return None
        return OwnerGone(
            now=get_running_loop().time(),
            owner=owner,
            proven=proven or any(_is_later(reply, owner) for reply in replies),
            witnesses=sum(reply is not None for reply in replies),
            asked=effect.query.attempts,
            kept=kept,
        )

    def _answered(self, reply: OwnerReply, owner: Incarnation) -> SweepEvent:
        return OwnerAnswered(now=get_running_loop().time(), owner=owner, ended=reply.ended)

    async def _kept(self, effect: AskOwner) -> tuple[HeldAttempt, ...] | None:
        query = KeptQuery(attempts=effect.query.attempts)
        if not effect.heir:
            return (await self._answer_kept(query)).kept
        try:
            reply = await self._peers.call(
                address=effect.heir, request=query, reply=KeptReply, timeout=_ASK_TIMEOUT
            )
        except PeerError:
            # The heir is alive as far as this host knows, so that the next sweep asks again.
            return None
        return reply.kept

    async def _ask(self, address: str, query: OwnerQuery, *, timeout: float) -> OwnerReply | None:
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
        silent = OwnerReply(present=None, ended=())
        if query.relayed:
            return silent
        relayed = OwnerQuery(owner=query.owner, attempts=query.attempts, relayed=True)
        # The last of a host is the process of the present, which knows that it succeeded another.
        for member in reversed(self._roster.members(now=get_running_loop().time())):
            if member.incarnation.host == query.owner.host:
                return await self._ask(member.address, relayed, timeout=_ASK_TIMEOUT) or silent
        return silent

    async def _answer_kept(self, query: KeptQuery) -> KeptReply:
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
