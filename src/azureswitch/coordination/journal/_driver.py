"""The driver that keeps one host's journal."""

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
    DropGroup,
    DropOutput,
    GroupFailed,
    GroupRead,
    GroupWritten,
    JobQuery,
    JobRecord,
    JobReply,
    JournalEvent,
    JournalTicked,
    LongCallEnded,
    LongCallKept,
    LongCallProgressed,
    LongCallStarted,
    OwnerPresent,
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

_TICK = 1.0
"""Seconds between two looks at what is due."""

_ASK_TIMEOUT = 0.5
"""Seconds that a host has to say where a request runs."""


class Journal:
    """Lets any host find a long request whose own host died.

    Args:
        myself: This process.
        store: The platform's store.
        peers: The other hosts.
        members: Returns what this host knows of the members, itself included.
        seed: Seeds the jitter; different on every host.
        engines: Returns the engines of the configuration in force, to read the output of
            requests that this host takes over from a dead one.  Without it the records are taken
            over alone, and a request whose engine wants a reader ends with its host.
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
        self._keeping: dict[CallId, Task[None]] = {}
        self._state = JournalState(myself=myself, seed=seed)
        self._key = KeySource(myself=myself, store=store, peers=peers, members=members, seed=seed)
        peers.handle(JobQuery, self._answer)

    @property
    def records(self) -> tuple[JobRecord, ...]:
        """The long work of this host, what it took over included."""
        return self._state.records

    def keeps(self, *, call: CallId, attempt: int) -> bool:
        """Whether this host reads an attempt's output that it took over from a dead one."""
        record = self._state.find(call)
        return call in self._keeping and record is not None and record.attempt == attempt

    async def record(self, *, call: Call, target: TargetName, attempt: int) -> str | None:
        """Note that an attempt at a long request was sent to its engine.

        Args:
            call: The request.
            target: The engine that the output comes from.
            attempt: The attempt, counted from 1.

        Returns:
            The job id to tell the caller, or None while there is no key to sign one; the request
            is served without.
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
        """Note how many output tokens have reached the caller; costs no write of its own."""
        now = get_running_loop().time()
        reduce(self._state, LongCallProgressed(now=now, call=call, tokens=tokens))

    async def close(self, *, call: CallId) -> None:
        """Note that a long request ended."""
        reduce(self._state, LongCallEnded(now=get_running_loop().time(), call=call))

    async def keep(self, *, call: CallId, chunks: Iterable[Chunk]) -> None:
        """Store the whole output of a request that ended, so that any host can give it again.

        Args:
            call: The request, as it was recorded.
            chunks: All of its output; where that is too large for the store, it is not kept.
        """
        record = self._state.find(call)
        if record is not None:
            await self._note_kept(record, await self._outputs.store(record, chunks))

    async def find(self, *, job: str, customer: CustomerName) -> JobRecord | None:
        """Return where a request runs.

        The newest place is known to the host that runs it, then to the one that took it over, then
        to the store, and last to the job id itself.  Whether the engine still has the request shows
        when it is attached to.

        Args:
            job: The job id that the caller was told.
            customer: Who asks.

        Returns:
            The record, or None where the job id is not one of this customer's.
        """
        key = await self._key.key()
        named = None if key is None else JobSigner(key=key).read(job=job, customer=customer)
        if named is None:
            return None
        newest = self._state.find(named.call)
        if newest is None:
            newest = await self._ask_holder(named) or await self._read_record(named)
        if newest is None or newest.customer != customer or newest.attempt < named.attempt:
            return named
        return newest

    def output(self, *, record: JobRecord, offset: int) -> AsyncIterator[Chunk]:
        """Yield the output of a request that was found.

        Args:
            record: What `find` returned.
            offset: How many output tokens the caller has; the first chunk goes on after them.

        Raises:
            LongWorkLostError: Neither the engine nor the store has the output.
            StoreUnavailableError: The engine no longer has it, and the store cannot be asked now.
        """
        return self._outputs.read(record=record, offset=offset)

    async def run(self) -> None:
        """Write records and take over those of dead hosts until cancelled."""
        try:
            while True:
                await self.tick()
                await sleep(_TICK)
        finally:
            for task in self._keeping.values():
                task.cancel()

    async def tick(self) -> None:
        """Do what is due now."""
        now = get_running_loop().time()
        event = JournalTicked(now=now, members=self._roster.members(now=now), wall=time())
        await self._take(event)

    async def _take(self, event: JournalEvent) -> None:
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
            return await self._read(self._myself)
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
                return OwnerPresent(now=get_running_loop().time(), owner=owner)
        return await self._read(owner)

    @_run.register
    async def _(self, effect: DropGroup) -> JournalEvent | None:
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
        task = create_task(self._keep(record))
        self._keeping[record.call] = task
        task.add_done_callback(lambda _: self._keeping.pop(record.call, None))
        return None

    @_run.register
    async def _(self, effect: DropOutput) -> JournalEvent | None:
        await self._outputs.drop(effect.call)
        return None

    async def _keep(self, record: JobRecord) -> None:
        await self._note_kept(record, await self._outputs.keep(record))

    async def _note_kept(self, record: JobRecord, expires: float | None) -> None:
        now = get_running_loop().time()
        if expires is None:
            await self.close(call=record.call)
            return
        event = LongCallKept(now=now, call=record.call, expires=expires)
        await self._take(event)

    async def _read(self, owner: Incarnation) -> JournalEvent:
        try:
            item: StoredObject | None = await self._store.get(kind=JOURNAL_KIND, name=str(owner))
        except StoreNotFoundError:
            item = None
        except StoreError:
            return GroupFailed(now=get_running_loop().time(), owner=owner)
        now = get_running_loop().time()
        return GroupRead(now=now, owner=owner, item=item, records=_records(item))

    async def _ask_holder(self, named: JobRecord) -> JobRecord | None:
        known = self._roster.members(now=get_running_loop().time())
        members = {member.incarnation.host: member for member in known}
        owner = members.get(named.owner.host)
        is_present = owner is not None and owner.incarnation == named.owner
        if owner is not None and is_present and owner.status is not MemberStatus.DEAD:
            return await self._ask(owner, named.call)
        live = [host for host, member in members.items() if member.status is MemberStatus.ALIVE]
        heirs = ranked(name=str(named.owner), hosts=live)
        return await self._ask(members[heirs[0]], named.call) if heirs else None

    async def _ask(self, member: Member, call: CallId) -> JobRecord | None:
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
                timeout=_ASK_TIMEOUT,
            )
        except PeerError:
            return None

    async def _read_record(self, named: JobRecord) -> JobRecord | None:
        event = await self._read(named.owner)
        if not isinstance(event, GroupRead):
            return None
        return next((record for record in event.records if record.call == named.call), None)

    async def _answer(self, query: JobQuery) -> JobReply:
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
