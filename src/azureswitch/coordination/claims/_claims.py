"""The asyncio shell around owner and claimer, and the part's facade."""

import asyncio
from collections.abc import Callable, Container, Coroutine
from functools import singledispatchmethod
from random import Random
from time import time
from typing import Any

from azureswitch.coordination.claims import _claimer, _owner
from azureswitch.coordination.claims._events import (
    AskArrived,
    AskFailed,
    AskReplied,
    ClaimCalled,
    ClaimDropped,
    ClaimerTicked,
    InquireHolder,
    MembersSeen,
    OutcomeKnown,
    OwnerEvent,
    OwnerTicked,
    ReplyToAsk,
    ResolveClaim,
    SendAsk,
)
from azureswitch.coordination.claims._limits import (
    CLAIM_WAIT,
    IDLE_TICK,
    JOIN_SECONDS,
    OWNER_TIMEOUT,
    RETENTION,
    RETRY_AFTER,
    TICK,
)
from azureswitch.coordination.claims._messages import (
    Ask,
    ClaimAsk,
    ClaimReply,
    HoldAsk,
    HoldReply,
    SettleAsk,
)
from azureswitch.coordination.claims._model import (
    Answer,
    Record,
    fingerprint_mark,
    key_digest,
    shard_of,
)
from azureswitch.coordination.claims._presence import Presumed, alive
from azureswitch.coordination.claims._results import Granted, Replayed, result
from azureswitch.coordination.claims._router import Router
from azureswitch.coordination.claims._state import WRITE_BUDGET, OwnerState
from azureswitch.coordination.claims._storage import ClaimStorage, StoreEffect
from azureswitch.coordination.membership import Member
from azureswitch.core import CallId, CustomerName, Effect, Effects, Event, Incarnation
from azureswitch.exceptions import (
    ClaimUnavailableError,
    PeerError,
)
from azureswitch.ports import Peers, PlainAnswer, Store
from azureswitch.serving import ClaimOutcome


class Claims:
    """Lets calls that may not repeat run at most once over the whole fleet.

    Args:
        myself: This process.
        store: The platform's store.
        peers: The way to other hosts.
        members: Returns the processes known now, this one included.
        seed: Seeds the jitter of retries.
        retention: Seconds for which a key is remembered.
        budget: Writes of heads a second by the whole fleet.
        wait: Seconds after which an undecided claim is given up.
        wall: Returns the wall clock in seconds; only retention looks at it.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        store: Store,
        peers: Peers,
        members: Callable[[], tuple[Member, ...]],
        seed: int = 0,
        retention: float = RETENTION,
        budget: float = WRITE_BUDGET,
        wait: float = CLAIM_WAIT,
        wall: Callable[[], float] = time,
    ) -> None:
        self._myself = myself
        self._peers = peers
        self._members = members
        self._wait = wait
        self._wall = wall
        self._router = Router(myself=myself, peers=peers, members=members)
        self._storage = ClaimStorage(store=store, wall=wall)
        self._owner = OwnerState(retention=retention, budget=budget)
        self._claimer = _claimer.ClaimerState(random=Random(seed))
        self._claims: dict[CallId, asyncio.Future[ResolveClaim]] = {}
        self._asks: dict[int, asyncio.Future[ClaimReply]] = {}
        self._numbers = 0
        self._alive: Container[Incarnation] | None = None
        self._joined_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._woken = asyncio.Event()
        peers.handle(ClaimAsk, self._ask)
        peers.handle(SettleAsk, self._ask)
        peers.handle(HoldAsk, self._answer_hold)

    @property
    def unreported(self) -> int:
        """How many outcomes of this process are not in the store yet."""
        return self._claimer.unreported

    @property
    def retention(self) -> float:
        """Seconds for which a key is remembered; set it when the rules change."""
        return self._owner.retention

    @retention.setter
    def retention(self, seconds: float) -> None:
        self._owner.retention = seconds

    @property
    def waiting(self) -> int:
        """How many asks wait here, as at their shard's owner."""
        return self._owner.waiting

    @property
    def indexed_keys(self) -> int:
        """How many keys of older segments this process holds digests of."""
        return self._owner.indexed_keys

    async def claim(
        self,
        *,
        customer: CustomerName,
        key: str,
        fingerprint: str,
        call: CallId,
        deadline: float,
    ) -> Granted | Replayed:
        """Claim a call before it is sent.

        Args:
            customer: Whose key it is; equal keys of two customers have nothing in common.
            key: The caller's Idempotency-Key.
            fingerprint: Digest of the request, to tell a repeat from another request.
            call: The call's id, used for one claim in the life of this process.
            deadline: When the call must have finished, on the event loop's clock.

        Returns:
            Granted where the call may be sent now, else the first answer.

        Raises:
            ClaimUnavailableError: It could not be claimed; it did not run and never will.
            IdempotencyInProgressError: The first call with the key has not ended.
            IdempotencyMismatchError: The key was used for another request.
            OutcomeLostError: The first call with the key may have run.
        """
        now = self._now()
        until = min(deadline, now + self._wait)
        digest = key_digest(customer=customer, key=key)
        ask = ClaimAsk(
            shard=shard_of(digest),
            key=digest,
            mark=fingerprint_mark(fingerprint),
            holder=self._myself,
            call=call,
            wait=until - now,
        )
        if until <= now:
            raise ClaimUnavailableError(seconds=RETRY_AFTER)
        future: asyncio.Future[ResolveClaim] = asyncio.get_running_loop().create_future()
        self._claims[call] = future
        try:
            self._claim_side(ClaimCalled(now=now, ask=ask, until=until))
            return result(await future)
        except asyncio.CancelledError:
            self._claim_side(ClaimDropped(now=self._now(), call=call))
            raise
        finally:
            del self._claims[call]

    async def settle(
        self, *, call: CallId, outcome: ClaimOutcome, answer: PlainAnswer | None = None
    ) -> None:
        """Record what became of a granted call.

        Returns at once; the outcome reaches the store within the bound for flushing, and is
        reported again for as long as the store or the owner is away.

        Args:
            call: The call.
            outcome: What became of it.
            answer: The target's answer, where the outcome is DONE.
        """
        recorded = None
        if answer is not None:
            recorded = Answer(status=answer.status, headers=answer.headers, body=answer.body)
        event = OutcomeKnown(now=self._now(), call=call, outcome=outcome, answer=recorded)
        self._claim_side(event)

    async def drain(self, *, timeout: float) -> bool:
        """Wait until every claim is decided and every outcome in the store, before a shutdown.

        A claim whose call was given up meanwhile may still be granted, and is then to be released.

        Returns:
            Whether all are.
        """
        end = self._now() + timeout
        quiet = 0
        # A claim that was decided just now has its outcome reported a moment later.
        while quiet < 2 and self._now() < end:
            await asyncio.sleep(TICK)
            quiet = 0 if self._claims or self.unreported else quiet + 1
        return quiet == 2

    async def run(self) -> None:
        """Drive claims and outcomes until cancelled."""
        try:
            while True:
                self._tick()
                busy = self._owner.waiting or self._claims or self._claimer.unreported
                await self._pause(TICK if busy else IDLE_TICK)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    # --- Plumbing ---------------------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _pause(self, seconds: float) -> None:
        if seconds <= TICK:
            await asyncio.sleep(seconds)
            return
        self._woken.clear()
        try:
            # Not wait_for, which loses a cancellation that comes as the event is set.
            async with asyncio.timeout(seconds):
                await self._woken.wait()
        except TimeoutError:
            pass

    def _tick(self) -> None:
        now = self._now()
        members = self._members()
        self._joined_at = self._joined_at or now + JOIN_SECONDS
        taken = Presumed(known=members) if now < self._joined_at else alive(members)
        if taken != self._alive:
            self._alive = taken
            self._own_side(MembersSeen(now=now, wall=self._wall(), alive=taken))
        self._own_side(OwnerTicked(now=now, wall=self._wall()))
        self._claim_side(ClaimerTicked(now=now))

    def _own_side(self, event: OwnerEvent) -> None:
        self._perform_all(_owner.reduce(event, self._owner))

    def _claim_side(self, event: Event) -> None:
        self._perform_all(_claimer.reduce(event, self._claimer))

    def _perform_all(self, effects: Effects) -> None:
        for effect in effects:
            self._perform(effect)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._woken.set()

    @singledispatchmethod
    def _perform(self, effect: Effect) -> None:
        raise NotImplementedError(type(effect).__name__)

    # --- Claimer side -----------------------------------------------------------------------------

    @_perform.register
    def _resolve(self, effect: ResolveClaim) -> None:
        future = self._claims.get(effect.call)
        if future is not None and not future.done():
            future.set_result(effect)

    @_perform.register
    def _send(self, effect: SendAsk) -> None:
        self._spawn(self._send_ask(effect))

    async def _send_ask(self, effect: SendAsk) -> None:
        ask, attempt = effect.ask, effect.attempt
        owner = self._router.route(ask.shard, rank=effect.rank)
        try:
            reply = await (self._ask(ask) if owner is None else self._router.call(owner, ask))
        except PeerError:
            self._claim_side(AskFailed(now=self._now(), call=ask.call, attempt=attempt))
            return
        event = AskReplied(
            now=self._now(),
            call=ask.call,
            attempt=attempt,
            verdict=reply.verdict,
            answer=reply.answer,
        )
        self._claim_side(event)

    # --- Owner side -------------------------------------------------------------------------------

    async def _ask(self, ask: Ask) -> ClaimReply:
        self._numbers += 1
        number = self._numbers
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._asks[number] = future
        event = AskArrived(now=self._now(), wall=self._wall(), number=number, ask=ask)
        try:
            self._own_side(event)
            self._woken.set()
            return await future
        finally:
            del self._asks[number]

    @_perform.register
    def _reply(self, effect: ReplyToAsk) -> None:
        future = self._asks.get(effect.number)
        if future is not None and not future.done():
            future.set_result(ClaimReply(verdict=effect.verdict, answer=effect.answer))

    @_perform.register
    def _inquire(self, effect: InquireHolder) -> None:
        self._spawn(self._release_unheld(effect.record))

    async def _release_unheld(self, record: Record) -> None:
        call = CallId(record.call)
        if await self._is_held(record.holder, call):
            return
        release = SettleAsk(
            shard=shard_of(record.key),
            key=record.key,
            mark=record.mark,
            holder=record.holder,
            call=call,
            outcome=ClaimOutcome.NOT_RUN,
        )
        await self._ask(release)

    async def _is_held(self, holder: Incarnation, call: CallId) -> bool:
        request = HoldAsk(holder=holder, call=call)
        if holder == self._myself:
            return (await self._answer_hold(request)).held
        for member in self._members():
            if member.incarnation != holder:
                continue
            try:
                reply = await self._peers.call(
                    address=member.address, request=request, reply=HoldReply, timeout=OWNER_TIMEOUT
                )
            except PeerError:
                return True
            return reply.held
        return True

    async def _answer_hold(self, request: HoldAsk) -> HoldReply:
        # A process cannot speak for an earlier one at its address.
        mine = request.holder == self._myself
        return HoldReply(held=not mine or self._claimer.holds(call=request.call))

    @_perform.register
    def _use_store(self, effect: StoreEffect) -> None:
        self._spawn(self._run_at_store(effect))

    async def _run_at_store(self, effect: StoreEffect) -> None:
        self._own_side(await self._storage.run(effect))
