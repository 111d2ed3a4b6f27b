"""The facade of claims, and the asyncio shell of owner and claimer."""

import asyncio
from collections.abc import Callable, Container, Coroutine
from functools import singledispatchmethod
from random import Random
from time import time
from typing import Any

from azureswitch.coordination.claims import _claimer, _owner
from azureswitch.coordination.claims._events import (
    ClaimCancelled,
    ClaimerTicked,
    ClaimRequested,
    MembersChanged,
    OutcomeReported,
    OwnerEvent,
    OwnerTicked,
    QueryHolder,
    ReplyReceived,
    RequestFailed,
    RequestReceived,
    ResolveClaim,
    SendReply,
    SendRequest,
)
from azureswitch.coordination.claims._limits import (
    CLAIM_TIMEOUT,
    IDLE_TICK_SECONDS,
    JOIN_SECONDS,
    OWNER_TIMEOUT,
    RETENTION_SECONDS,
    RETRY_AFTER_SECONDS,
    TICK_SECONDS,
)
from azureswitch.coordination.claims._messages import (
    ClaimAsk,
    ClaimReply,
    HoldAsk,
    HoldReply,
    Request,
    SettleAsk,
)
from azureswitch.coordination.claims._model import (
    Answer,
    Record,
    fingerprint_mark,
    key_digest,
    shard_of,
)
from azureswitch.coordination.claims._presence import PresumedAlive, live_incarnations
from azureswitch.coordination.claims._results import Granted, Replayed, result
from azureswitch.coordination.claims._router import Router
from azureswitch.coordination.claims._state import MAX_WRITES_PER_SECOND, OwnerState
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
    """Ensures that a non-idempotent call runs at most once in the whole fleet.

    Args:
        myself: This process.
        store: The platform's store.
        peers: Sends messages to other hosts.
        members: Returns the current members, this process included.
        seed: Seeds the jitter of retries.
        retention: Seconds for which a key is remembered.
        budget: Upper bound of the writes of heads per second by the whole fleet.
        wait: Seconds after which an undecided claim is abandoned.
        wall: Returns the wall clock in seconds; only retention uses it.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        store: Store,
        peers: Peers,
        members: Callable[[], tuple[Member, ...]],
        seed: int = 0,
        retention: float = RETENTION_SECONDS,
        budget: float = MAX_WRITES_PER_SECOND,
        wait: float = CLAIM_TIMEOUT,
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
        self._requests: dict[int, asyncio.Future[ClaimReply]] = {}
        self._last_number = 0
        self._alive: Container[Incarnation] | None = None
        self._join_ends_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._wakeup = asyncio.Event()
        peers.handle(ClaimAsk, self._handle_request)
        peers.handle(SettleAsk, self._handle_request)
        peers.handle(HoldAsk, self._answer_hold)

    @property
    def unreported(self) -> int:
        """Number of outcomes of this process that are not in the store yet."""
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
        """Number of requests that are pending at this process as the owner of their shards."""
        return self._owner.waiting

    @property
    def indexed_keys(self) -> int:
        """Number of keys of sealed segments that this process has indexed."""
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
            customer: The customer of the key; keys of different customers are independent.
            key: The caller's Idempotency-Key.
            fingerprint: Digest of the request, which distinguishes a repeat from another request.
            call: The call's id, which must be used for only one claim in the life of this process.
            deadline: When the call must have finished, on the event loop's clock.

        Returns:
            `Granted` if the call may be sent now, otherwise the first answer.

        Raises:
            ClaimUnavailableError: It could not be claimed; it did not run and never will.
            IdempotencyInProgressError: The first call with the key has not ended.
            IdempotencyMismatchError: The key was used for another request.
            OutcomeLostError: The first call with the key may have run.
        """
        now = self._now()
        until = min(deadline, now + self._wait)
        digest = key_digest(customer=customer, key=key)
        request = ClaimAsk(
            shard=shard_of(digest),
            key=digest,
            mark=fingerprint_mark(fingerprint),
            holder=self._myself,
            call=call,
            wait=until - now,
        )
        if until <= now:
            raise ClaimUnavailableError(seconds=RETRY_AFTER_SECONDS)
        future: asyncio.Future[ResolveClaim] = asyncio.get_running_loop().create_future()
        self._claims[call] = future
        try:
            self._feed_claimer(ClaimRequested(now=now, request=request, until=until))
            return result(await future)
        except asyncio.CancelledError:
            self._feed_claimer(ClaimCancelled(now=self._now(), call=call))
            raise
        finally:
            del self._claims[call]

    async def settle(
        self, *, call: CallId, outcome: ClaimOutcome, answer: PlainAnswer | None = None
    ) -> None:
        """Record the outcome of a granted call.

        Returns at once.  The outcome is stored within `MAX_OUTCOME_DELAY_SECONDS`, and reported
        again while the store or the owner does not answer.

        Args:
            call: The call.
            outcome: Its outcome.
            answer: The target's answer, if the outcome is DONE.
        """
        recorded = None
        if answer is not None:
            recorded = Answer(status=answer.status, headers=answer.headers, body=answer.body)
        event = OutcomeReported(now=self._now(), call=call, outcome=outcome, answer=recorded)
        self._feed_claimer(event)

    async def drain(self, *, timeout: float) -> bool:
        """Wait until every claim is decided and every outcome stored, before a shutdown.

        A claim whose call was cancelled meanwhile may still be granted, and must then be released.

        Returns:
            Whether this was reached within the timeout.
        """
        end = self._now() + timeout
        quiet = 0
        # The outcome of a claim that has just been decided is reported after a short delay.
        while quiet < 2 and self._now() < end:
            await asyncio.sleep(TICK_SECONDS)
            quiet = 0 if self._claims or self.unreported else quiet + 1
        return quiet == 2

    async def run(self) -> None:
        """Run the owner and the claimer until cancelled."""
        try:
            while True:
                self._tick()
                busy = self._owner.waiting or self._claims or self._claimer.unreported
                await self._sleep(TICK_SECONDS if busy else IDLE_TICK_SECONDS)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    # --- Events and effects -----------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _sleep(self, seconds: float) -> None:
        if seconds <= TICK_SECONDS:
            await asyncio.sleep(seconds)
            return
        self._wakeup.clear()
        try:
            # wait_for would lose a cancellation that coincides with the setting of the event.
            async with asyncio.timeout(seconds):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    def _tick(self) -> None:
        now = self._now()
        members = self._members()
        self._join_ends_at = self._join_ends_at or now + JOIN_SECONDS
        running = (
            PresumedAlive(known=members) if now < self._join_ends_at else live_incarnations(members)
        )
        if running != self._alive:
            self._alive = running
            self._feed_owner(MembersChanged(now=now, wall=self._wall(), alive=running))
        self._feed_owner(OwnerTicked(now=now, wall=self._wall()))
        self._feed_claimer(ClaimerTicked(now=now))

    def _feed_owner(self, event: OwnerEvent) -> None:
        self._execute_all(_owner.reduce(event, self._owner))

    def _feed_claimer(self, event: Event) -> None:
        self._execute_all(_claimer.reduce(event, self._claimer))

    def _execute_all(self, effects: Effects) -> None:
        for effect in effects:
            self._execute(effect)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._wakeup.set()

    @singledispatchmethod
    def _execute(self, effect: Effect) -> None:
        raise NotImplementedError(type(effect).__name__)

    # --- Claimer side -----------------------------------------------------------------------------

    @_execute.register
    def _resolve(self, effect: ResolveClaim) -> None:
        future = self._claims.get(effect.call)
        if future is not None and not future.done():
            future.set_result(effect)

    @_execute.register
    def _send(self, effect: SendRequest) -> None:
        self._spawn(self._send_request(effect))

    async def _send_request(self, effect: SendRequest) -> None:
        request, attempt = effect.request, effect.attempt
        owner = self._router.route(request.shard, rank=effect.rank)
        try:
            reply = await (
                self._handle_request(request)
                if owner is None
                else self._router.call(owner, request)
            )
        except PeerError:
            self._feed_claimer(RequestFailed(now=self._now(), call=request.call, attempt=attempt))
            return
        event = ReplyReceived(
            now=self._now(),
            call=request.call,
            attempt=attempt,
            verdict=reply.verdict,
            answer=reply.answer,
        )
        self._feed_claimer(event)

    # --- Owner side -------------------------------------------------------------------------------

    async def _handle_request(self, request: Request) -> ClaimReply:
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._requests[number] = future
        event = RequestReceived(now=self._now(), wall=self._wall(), number=number, request=request)
        try:
            self._feed_owner(event)
            self._wakeup.set()
            return await future
        finally:
            del self._requests[number]

    @_execute.register
    def _reply(self, effect: SendReply) -> None:
        future = self._requests.get(effect.number)
        if future is not None and not future.done():
            future.set_result(ClaimReply(verdict=effect.verdict, answer=effect.answer))

    @_execute.register
    def _query_holder(self, effect: QueryHolder) -> None:
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
        await self._handle_request(release)

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
        # A process cannot answer for an earlier one at its address.
        own = request.holder == self._myself
        return HoldReply(held=not own or self._claimer.holds(call=request.call))

    @_execute.register
    def _start_store_call(self, effect: StoreEffect) -> None:
        self._spawn(self._run_store_call(effect))

    async def _run_store_call(self, effect: StoreEffect) -> None:
        self._feed_owner(await self._storage.run(effect))
