"""The driver of one host's journal."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from functools import singledispatchmethod
from time import time

from absl import logging
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from azureswitch.coordination.effects import run_effects
from azureswitch.coordination.journal._jobs import JobSigner
from azureswitch.coordination.journal._key import KeySource
from azureswitch.coordination.journal._model import (
    JOURNAL_KIND,
    DeleteGroup,
    DeleteOutput,
    GroupFailed,
    GroupRead,
    GroupWritten,
    JobQuery,
    JobRecord,
    JobReply,
    JournalEvent,
    JournalTicked,
    LongCallEnded,
    LongCallProgressed,
    LongCallStarted,
    OutputKept,
    OwnerAnswered,
    ReadGroup,
    ResumeJob,
    WriteGroup,
)
from azureswitch.coordination.journal._outputs import Outputs
from azureswitch.coordination.journal._reduce import reduce
from azureswitch.coordination.journal._state import JournalState
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.coordination.roster import Roster
from azureswitch.core import CallId, CustomerName, Effect, Effects, Incarnation, TargetName
from azureswitch.exceptions import (
    PeerError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
)
from azureswitch.hashing import ranked
from azureswitch.ports import Chunk, Engine, Peers, Store, StoredObject
from azureswitch.serving import Call

_TICK_SECONDS = 1.0
"""Seconds between two `JournalTicked` events."""

_QUERY_TIMEOUT_SECONDS = 0.5
"""Seconds after which a `JobQuery` times out."""


class Journal:
    """Records long requests, finds them, and takes over those of dead hosts.

    Args:
        myself: This process.
        store: The platform's store.
        peers: Sends messages to other hosts.
        members: Returns the current members, this host included.
        seed: Seeds the jitter; different on every host.
        engines: Returns the engines of the configuration in force, to read the output of requests
            that this host takes over.  Without it only records are taken over, and a request whose
            engine requires a reader ends with its host.
    """

    def __init__(
        self,
        *,
        myself: Incarnation,
        store: Store,
        peers: Peers,
        members: Callable[[], Iterable[Member]],
        seed: int,
        engines: Callable[[], Mapping[TargetName, Engine]] = dict,
    ) -> None:
        self._myself = myself
        self._store = store
        self._peers = peers
        self._roster = Roster(members=members)
        self._outputs = Outputs(store=store, engines=engines)
        self._reader_tasks: dict[CallId, Task[None]] = {}
        self._state = JournalState(myself=myself, seed=seed)
        self._key = KeySource(myself=myself, store=store, peers=peers, members=members, seed=seed)
        peers.handle(JobQuery, self._answer_query)

    @property
    def records(self) -> tuple[JobRecord, ...]:
        """The records of this host's long requests, including those taken over."""
        return self._state.records

    def keeps(self, *, call: CallId, attempt: int) -> bool:
        """Return whether this host reads the output of an attempt that it has taken over."""
        record = self._state.find(call)
        return call in self._reader_tasks and record is not None and record.attempt == attempt

    async def record(self, *, call: Call, target: TargetName, attempt: int) -> str | None:
        """Record that an attempt at a long request was sent to its engine.

        Args:
            call: The request.
            target: The engine that generates the output.
            attempt: The attempt, counted from 1.

        Returns:
            The job id for the caller, or None while there is no key to sign one; the request is
            then served without a job id.
        """
        now = get_running_loop().time()
        record = JobRecord(
            call=call.id,
            customer=call.customer,
            target=target,
            attempt=attempt,
            owner=self._myself,
            expires=time() + call.deadline - now,
        )
        reduce(self._state, LongCallStarted(now=now, record=record))
        key = await self._key.key()
        return None if key is None else JobSigner(key=key).sign(record)

    async def progress(self, *, call: CallId, tokens: int) -> None:
        """Record how many output tokens have reached the caller, without a write of its own."""
        now = get_running_loop().time()
        reduce(self._state, LongCallProgressed(now=now, call=call, tokens=tokens))

    async def close(self, *, call: CallId) -> None:
        """Record that a long request has ended."""
        reduce(self._state, LongCallEnded(now=get_running_loop().time(), call=call))

    async def keep(self, *, call: CallId, chunks: Iterable[Chunk]) -> None:
        """Store the whole output of a request that has ended, so that any host can return it.

        Args:
            call: The request, as it was recorded.
            chunks: All of its output; it is not kept if it is too large for the store.
        """
        record = self._state.find(call)
        if record is not None:
            await self._record_kept(record, await self._outputs.store(record, chunks))

    async def find(self, *, job: str, customer: CustomerName) -> JobRecord | None:
        """Return the newest known record of a request.

        The sources are, from the newest: the host of the request, the host that took it over, the
        store, and the job id itself.  Whether the engine still has the request is known only when
        its output is read.

        Args:
            job: The job id that the caller presents.
            customer: The customer of the caller.

        Returns:
            The record, or None if the job id was not signed for this customer.
        """
        key = await self._key.key()
        signed = None if key is None else JobSigner(key=key).read(job=job, customer=customer)
        if signed is None:
            return None
        newest = self._state.find(signed.call)
        if newest is None:
            newest = await self._query_owner(signed) or await self._read_record(signed)
        if newest is None or newest.customer != customer or newest.attempt < signed.attempt:
            return signed
        return newest

    def output(self, *, record: JobRecord, offset: int) -> AsyncIterator[Chunk]:
        """Yield the output of a request.

        Args:
            record: The record that `find` returned.
            offset: Number of output tokens that the caller has; the output continues after them.

        Raises:
            LongWorkLostError: Neither the engine nor the store has the output.
            StoreUnavailableError: The engine no longer has it, and the store is not available.
        """
        return self._outputs.read(record=record, offset=offset)

    async def run(self) -> None:
        """Write records and take over those of dead hosts until cancelled."""
        try:
            while True:
                await self.tick()
                await sleep(_TICK_SECONDS)
        finally:
            for task in self._reader_tasks.values():
                task.cancel()

    async def tick(self) -> None:
        """Handle what is due now: writes, and takeovers of dead hosts' requests."""
        now = get_running_loop().time()
        event = JournalTicked(now=now, members=self._roster.members(now=now), wall=time())
        await self._handle(event)

    async def _handle(self, event: JournalEvent) -> None:
        await run_effects(self._reduce(event), run=self._run, reduce=self._reduce)

    def _reduce(self, event: JournalEvent) -> Effects:
        return reduce(self._state, event)

    @singledispatchmethod
    async def _run(self, effect: Effect) -> JournalEvent | None:
        raise NotImplementedError(type(effect))

    @_run.register
    async def _(self, effect: WriteGroup) -> JournalEvent | None:
        name = str(self._myself)
        value = encode(effect.records)
        try:
            if effect.version:
                item = await self._store.update(
                    kind=JOURNAL_KIND, name=name, value=value, version=effect.version
                )
            else:
                item = await self._store.create(kind=JOURNAL_KIND, name=name, value=value)
        except (StoreConflictError, StoreNotFoundError):
            return await self._read_group(self._myself)
        except StoreError as error:
            logging.warning("journal: %s", error)
            return GroupFailed(now=get_running_loop().time(), owner=self._myself)
        return GroupWritten(now=get_running_loop().time(), item=item)

    @_run.register
    async def _(self, effect: ReadGroup) -> JournalEvent | None:
        owner = effect.owner
        if effect.address:
            reply = await self._query(effect.address, None)
            if reply is not None and reply.present == owner:
                return OwnerAnswered(now=get_running_loop().time(), owner=owner)
        return await self._read_group(owner)

    @_run.register
    async def _(self, effect: DeleteGroup) -> JournalEvent | None:
        try:
            await self._store.delete(
                kind=JOURNAL_KIND, name=str(effect.owner), version=effect.version
            )
        except StoreError as error:
            logging.warning("journal: %s", error)
        return None

    @_run.register
    async def _(self, effect: ResumeJob) -> JournalEvent | None:
        record = effect.record
        logging.info("journal: Took over %s, which runs at %s.", record.call, record.target)
        task = create_task(self._read_and_keep(record))
        self._reader_tasks[record.call] = task
        task.add_done_callback(lambda _: self._reader_tasks.pop(record.call, None))
        return None

    @_run.register
    async def _(self, effect: DeleteOutput) -> JournalEvent | None:
        await self._outputs.delete(effect.call)
        return None

    async def _read_and_keep(self, record: JobRecord) -> None:
        await self._record_kept(record, await self._outputs.keep(record))

    async def _record_kept(self, record: JobRecord, expires: float | None) -> None:
        now = get_running_loop().time()
        if expires is None:
            await self.close(call=record.call)
            return
        event = OutputKept(now=now, call=record.call, expires=expires)
        await self._handle(event)

    async def _read_group(self, owner: Incarnation) -> JournalEvent:
        try:
            item: StoredObject | None = await self._store.get(kind=JOURNAL_KIND, name=str(owner))
        except StoreNotFoundError:
            item = None
        except StoreError:
            return GroupFailed(now=get_running_loop().time(), owner=owner)
        now = get_running_loop().time()
        return GroupRead(now=now, owner=owner, item=item, records=_records(item))

    async def _query_owner(self, signed: JobRecord) -> JobRecord | None:
        known = self._roster.members(now=get_running_loop().time())
        members = {member.incarnation.host: member for member in known}
        owner = members.get(signed.owner.host)
        is_present = owner is not None and owner.incarnation == signed.owner
        if owner is not None and is_present and owner.status is not MemberStatus.DEAD:
            return await self._query_record(owner, signed.call)
        live = [host for host, member in members.items() if member.status is MemberStatus.ALIVE]
        successors = ranked(name=str(signed.owner), hosts=live)
        return await self._query_record(members[successors[0]], signed.call) if successors else None

    async def _query_record(self, member: Member, call: CallId) -> JobRecord | None:
        if member.incarnation == self._myself:
            return None
        reply = await self._query(member.address, call)
        return None if reply is None else reply.record

    async def _query(self, address: str, call: CallId | None) -> JobReply | None:
        try:
            return await self._peers.call(
                address=address,
                request=JobQuery(call=call),
                reply=JobReply,
                timeout=_QUERY_TIMEOUT_SECONDS,
            )
        except PeerError:
            return None

    async def _read_record(self, signed: JobRecord) -> JobRecord | None:
        event = await self._read_group(signed.owner)
        if not isinstance(event, GroupRead):
            return None
        return next((record for record in event.records if record.call == signed.call), None)

    async def _answer_query(self, query: JobQuery) -> JobReply:
        record = None if query.call is None else self._state.find(query.call)
        return JobReply(present=self._myself, record=record)


def _records(item: StoredObject | None) -> tuple[JobRecord, ...]:
    if item is None:
        return ()
    try:
        return decode(item.value, type=tuple[JobRecord, ...])
    except MsgspecError:
        logging.error("journal: The records of %s cannot be read.", item.name)
        return ()
