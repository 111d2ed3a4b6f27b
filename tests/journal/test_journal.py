"""Tests of the journal: finding long requests after the death of a host, and its store calls."""

from asyncio import Event, sleep
from collections.abc import AsyncIterator, Awaitable, Callable
from string import ascii_letters, digits
from time import time
from typing import cast

import pytest
from msgspec.structs import replace

from azureswitch.coordination.journal import (
    JOURNAL_KIND,
    KEY_BYTES,
    MIN_FLUSH_SECONDS,
    MIN_RECORDED_SECONDS,
    OUTPUT_KIND,
    OUTPUT_RETENTION_SECONDS,
    JobRecord,
    JobSigner,
    Journal,
    Resilience,
    resilience,
)
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import (
    CallId,
    CustomerName,
    HostName,
    Incarnation,
    PlaceName,
    ServiceName,
    TargetName,
)
from azureswitch.exceptions import LongWorkLostError, TargetBrokenError, TargetRefusedError
from azureswitch.inventory import Rules
from azureswitch.ports import Chunk, Engine, StoredObject
from azureswitch.serving import Call
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel

HOSTS = tuple(HostName(f"host-{at}") for at in range(4))
CUSTOMER = CustomerName("cascade")
RIVAL = CustomerName("rival")
ENGINE = TargetName("engine-1")
OTHER_ENGINE = TargetName("engine-2")
TOKENS = 3
END = b"data: [DONE]\n\n"
CALL = Call(
    id=CallId("call-1"),
    customer=CUSTOMER,
    service=ServiceName("pool"),
    prompt_tokens=200_000,
    deadline=1_800.0,
)


class CountedStore(StoreFake):
    """Counts attempted calls, also while the store is down."""

    attempts = 0

    async def get(self, *, kind: str, name: str) -> StoredObject:
        """Return an object."""
        self.attempts += 1
        return await super().get(kind=kind, name=name)

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object."""
        self.attempts += 1
        return await super().create(kind=kind, name=name, value=value)


class EngineFake:
    """One host's client of an engine that runs one request of three tokens.

    Attributes:
        attached: The offsets of all attachments.
        broken: Number of streams that break after their first token.
        lost: Whether the engine does not know the request.
    """

    def __init__(self, *, finished: Event) -> None:
        self.attached: list[int] = []
        self.broken = 0
        self.lost = False
        self._finished = finished

    async def attach(self, *, call: CallId, attempt: int, offset: int) -> AsyncIterator[Chunk]:
        """Yield the tokens after an offset, the last one once the request may finish."""
        self.attached.append(offset)
        if self.lost:
            raise TargetRefusedError(target="engine")
        for at in range(offset, TOKENS):
            if at == TOKENS - 1:
                await self._finished.wait()
            yield chunk(at)
            if self.broken:
                self.broken -= 1
                raise TargetBrokenError(target="engine")
        if offset == TOKENS:
            yield Chunk(data=END, tokens=0, last=True)


def chunk(at: int) -> Chunk:
    """Return the chunk of one token; the last one ends the stream as well."""
    last = at == TOKENS - 1
    return Chunk(data=b"data: %d\n\n" % at + END * last, tokens=1, last=last)


class Fleet:
    """Hosts with one store, each with its own client."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.network = PeersNetworkFake()
        self.members = {
            name: Member(
                incarnation=Incarnation(host=name, started=1),
                place=PlaceName("place"),
                address=f"10.0.0.{at}:7000",
                status=MemberStatus.ALIVE,
            )
            for at, name in enumerate(HOSTS)
        }
        self.stores = {name: CountedStore(model=self.model) for name in HOSTS}
        self.finished = Event()
        self.engines = {
            host: {name: EngineFake(finished=self.finished) for name in (ENGINE, OTHER_ENGINE)}
            for host in HOSTS
        }
        self.journals = {name: self._journal(at, name) for at, name in enumerate(HOSTS)}
        self.dead: set[HostName] = set()

    def _journal(self, at: int, name: HostName) -> Journal:
        return Journal(
            myself=self.members[name].incarnation,
            store=self.stores[name],
            peers=self.network.peers(address=self.members[name].address),
            members=lambda: self.members.values(),
            seed=at,
            engines=lambda: cast("dict[TargetName, Engine]", self.engines[name]),
        )

    @property
    def successors(self) -> list[HostName]:
        """Hosts that have attached to the request's engine."""
        return [name for name in HOSTS if self.engines[name][ENGINE].attached]

    @property
    def groups(self) -> set[str]:
        """The names of the stored groups of records."""
        return {item.name for item in self.model.list(kind=JOURNAL_KIND).items}

    @property
    def living(self) -> list[HostName]:
        """Hosts that were not killed."""
        return [name for name in HOSTS if name not in self.dead]

    def set_status(self, name: HostName, status: MemberStatus) -> None:
        """Set a host's status in the views of all hosts."""
        self.members[name] = replace(self.members[name], status=status)

    def kill(self, name: HostName) -> None:
        """Stop a host and set its status to dead."""
        self.dead.add(name)
        self.network.stop(address=self.members[name].address)
        self.set_status(name, MemberStatus.DEAD)

    def all_stores(self, faults: StoreFaults) -> None:
        """Set the faults of every host's store client."""
        for store in self.stores.values():
            store.faults = faults

    async def start(self, *, call: Call = CALL) -> str:
        """Start a long request at the first host."""
        job = await self.journals[HOSTS[0]].record(call=call, target=ENGINE, attempt=1)
        assert job is not None
        return job

    async def redispatch(self) -> None:
        """Send the request to another engine."""
        await self.journals[HOSTS[0]].record(call=CALL, target=OTHER_ENGINE, attempt=2)

    async def run(self, seconds: float) -> None:
        """Run the living hosts for some seconds."""
        for _ in range(int(seconds)):
            for name in self.living:
                await self.journals[name].tick()
            await sleep(1.0)

    async def found(self, job: str, *, customer: CustomerName = CUSTOMER) -> set[TargetName]:
        """Return the engines in the records that the living hosts find."""
        records = [await self.journals[n].find(job=job, customer=customer) for n in self.living]
        return {record.target for record in records if record is not None}


def play(script: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a script on a fresh fleet in virtual time."""

    async def main() -> None:
        await script(Fleet())

    run_virtual(main())


ALPHABET = ascii_letters + digits + "-_"


class TestFind:
    """Any host finds a customer's own long request."""

    @pytest.mark.parametrize("store_down", [False, True])
    @pytest.mark.parametrize("killed", [False, True])
    def test_job_id_is_sufficient(self, killed: bool, store_down: bool) -> None:
        """A request is found by its id alone if its host is dead and the store is down."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            assert await fleet.found(job) == {ENGINE}
            fleet.all_stores(StoreFaults(down=store_down))
            if killed:
                fleet.kill(HOSTS[0])
            assert await fleet.found(job) == {ENGINE}

        play(script)

    @pytest.mark.parametrize("seconds", [0, 2, 60], ids=["alive", "recorded", "taken over"])
    def test_redispatched_request_is_found(self, seconds: int) -> None:
        """An id with a previous engine leads to the current one."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            await fleet.redispatch()
            if seconds:
                await fleet.run(2)
                fleet.kill(HOSTS[0])
            if seconds > 2:
                await fleet.run(seconds)
            assert await fleet.found(job) == {OTHER_ENGINE}

        play(script)

    def test_other_customers_find_nothing(self) -> None:
        """An id of another customer, or a modified one, is rejected."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            assert await fleet.found(job, customer=RIVAL) == set()
            spellings = [job[:-1] + last for last in ALPHABET if last != job[-1]]
            for changed in (*spellings, job + "=", f"{job[:4]}!{job[4:]}", "nonsense"):
                assert await fleet.found(changed) == set()

        play(script)

    def test_key_during_an_outage(self) -> None:
        """While the store is down, a host gets the key from another one and creates no second."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            fleet.all_stores(StoreFaults(down=True))
            assert await fleet.journals[HOSTS[3]].find(job=job, customer=CUSTOMER) is not None

        play(script)

    def test_no_job_id_without_key(self) -> None:
        """Before a host has the key, a request gets no job id; later ones get one."""

        async def script(fleet: Fleet) -> None:
            fleet.all_stores(StoreFaults(down=True))
            journal = fleet.journals[HOSTS[0]]
            assert await journal.record(call=CALL, target=ENGINE, attempt=1) is None
            fleet.all_stores(StoreFaults(lose_answers=1))
            await sleep(5.0)
            assert await journal.record(call=CALL, target=ENGINE, attempt=2) is None
            await sleep(5.0)
            assert await journal.record(call=CALL, target=ENGINE, attempt=3) is not None

        play(script)


class TestRecords:
    """Writes of records, and takeovers by other hosts."""

    def test_early_end_writes_nothing(self) -> None:
        """A long request that ends before it is recorded causes no write."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            written = fleet.model.counters.writes
            await fleet.run(MIN_RECORDED_SECONDS - 1)
            await fleet.journals[HOSTS[0]].close(call=CALL.id)
            await fleet.run(3 * MIN_FLUSH_SECONDS)
            assert fleet.model.counters.writes == written

        play(script)

    def test_many_requests_share_a_write(self) -> None:
        """A host writes at most once per period for any number of requests."""

        async def script(fleet: Fleet) -> None:
            seconds = 100
            for at in range(seconds):
                for nth in range(5):
                    await fleet.start(call=replace(CALL, id=CallId(f"{at}-{nth}")))
                await fleet.run(1)
            # The key is one further write.
            assert fleet.model.counters.writes <= seconds / MIN_FLUSH_SECONDS * 1.2 + 1

        play(script)

    @pytest.mark.parametrize(
        "faults",
        [StoreFaults(), StoreFaults(lose_answers=1), StoreFaults(lose_answers=2, lose_writes=True)],
        ids=["whole", "answer lost", "writes lost"],
    )
    def test_records_of_the_dead_are_taken_over_once(self, faults: StoreFaults) -> None:
        """One host takes over a dead host's records, and the dead host's object is deleted."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.journals[HOSTS[0]].progress(call=CALL.id, tokens=7)
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.all_stores(faults)
            fleet.kill(HOSTS[0])
            await fleet.run(5 * MIN_FLUSH_SECONDS)
            (successor,) = fleet.successors
            assert [record.tokens for record in fleet.journals[successor].records] == [7]
            assert fleet.journals[successor].keeps(call=CALL.id, attempt=1)
            assert fleet.groups == {str(fleet.members[successor].incarnation)}

        play(script)

    def test_death_of_a_successor(self) -> None:
        """Requests that were taken over are taken over again when the successor dies."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.kill(HOSTS[0])
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.kill(fleet.successors[0])
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            assert len(fleet.successors) == 2

        play(script)

    def test_long_outage_loses_no_record(self) -> None:
        """During an outage hosts rarely call the store; after it they take over requests."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.all_stores(StoreFaults(down=True))
            fleet.kill(HOSTS[0])
            other = replace(CALL, id=CallId("call-2"))
            await fleet.journals[HOSTS[1]].record(call=other, target=OTHER_ENGINE, attempt=1)
            before = sum(store.attempts for store in fleet.stores.values())
            await fleet.run(600)
            attempts = sum(store.attempts for store in fleet.stores.values()) - before
            assert 0 < attempts <= 600 / (MIN_FLUSH_SECONDS / 2)
            fleet.all_stores(StoreFaults())
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            assert len(fleet.successors) == 1

        play(script)

    def test_suspected_host_that_answers(self) -> None:
        """The requests of a suspected host that answers are not taken over."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.set_status(HOSTS[0], MemberStatus.SUSPECT)
            await fleet.run(60)
            assert fleet.successors == []

        play(script)

    def test_suspected_host_that_does_not_answer(self) -> None:
        """A suspected host's requests are taken over, but its object is kept until it is dead."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.network.partition([fleet.members[HOSTS[0]].address])
            fleet.set_status(HOSTS[0], MemberStatus.SUSPECT)
            await fleet.run(3 * MIN_FLUSH_SECONDS)
            assert len(fleet.successors) == 1
            assert str(fleet.members[HOSTS[0]].incarnation) in fleet.groups

        play(script)

    def test_host_wrongly_considered_dead(self) -> None:
        """A host that was partitioned, and whose object was deleted, writes its records again."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.network.partition([fleet.members[HOSTS[0]].address])
            fleet.set_status(HOSTS[0], MemberStatus.DEAD)
            await fleet.run(3 * MIN_FLUSH_SECONDS)
            name = str(fleet.members[HOSTS[0]].incarnation)
            assert name not in fleet.groups
            fleet.network.heal()
            fleet.set_status(HOSTS[0], MemberStatus.ALIVE)
            await fleet.start(call=replace(CALL, id=CallId("call-2")))
            await fleet.run(4 * MIN_FLUSH_SECONDS)
            assert name in fleet.groups

        play(script)


class TestOutput:
    """A caller whose host died receives the whole output, without repeats."""

    @staticmethod
    async def _read(fleet: Fleet, job: str, offset: int) -> bytes:
        journal = fleet.journals[fleet.living[0]]
        record = await journal.find(job=job, customer=CUSTOMER)
        assert record is not None
        chunks = [part async for part in journal.output(record=record, offset=offset)]
        return b"".join(part.data for part in chunks)

    @pytest.mark.parametrize("offset", range(TOKENS + 1))
    @pytest.mark.parametrize("running", [True, False], ids=["from the engine", "from the store"])
    def test_rest_without_gap_or_repeat(self, running: bool, offset: int) -> None:
        """From any offset exactly the rest is returned, while the engine runs and hours later."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.kill(HOSTS[0])
            for engines in fleet.engines.values():
                engines[ENGINE].broken = 1
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.finished.set()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            for engines in fleet.engines.values():
                engines[ENGINE].lost = not running
                engines[ENGINE].broken = 1
            if not running:
                await fleet.run(3_600)
            rest = b"".join(chunk(at).data for at in range(offset, TOKENS))
            assert await self._read(fleet, job, offset) == (rest or END)

        play(script)

    def test_lost_output(self) -> None:
        """If the engine has lost the request too, a specific error is raised."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            fleet.kill(HOSTS[0])
            for engines in fleet.engines.values():
                engines[ENGINE].lost = True
            with pytest.raises(LongWorkLostError):
                await self._read(fleet, job, 0)

        play(script)

    def test_kept_output_expires(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A kept output is deleted when it expires, also after its record was taken over again."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            fleet.kill(HOSTS[0])
            fleet.finished.set()
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            assert len(fleet.model.list(kind=OUTPUT_KIND).items) == 1
            fleet.kill(fleet.successors[0])
            await fleet.run(2 * MIN_FLUSH_SECONDS)
            later = time() + 2 * OUTPUT_RETENTION_SECONDS
            monkeypatch.setattr("azureswitch.coordination.journal._driver.time", lambda: later)
            await fleet.run(2)
            assert fleet.model.list(kind=OUTPUT_KIND).items == ()

        play(script)


class TestResilience:
    """Unit tests of `resilience`."""

    @pytest.mark.parametrize(
        ("call", "expected"),
        [
            (replace(CALL, prompt_tokens=1_000), Resilience.NONE),
            (replace(CALL, prompt_tokens=31_999), Resilience.NONE),
            (replace(CALL, prompt_tokens=32_000), Resilience.JOURNAL),
            (replace(CALL, prompt_tokens=0, repeatable=False), Resilience.CLAIM),
        ],
        ids=["short", "below the limit", "long", "booking"],
    )
    def test_kind_of_request(self, call: Call, expected: Resilience) -> None:
        """Short requests get no record, long ones a record, and non-idempotent ones a claim."""
        assert resilience(call=call, rules=Rules()) is expected


class TestJobSigner:
    """Unit tests of `JobSigner`."""

    def test_id_needs_its_key(self) -> None:
        """A job id is accepted with the key that signed it and rejected with another one."""
        record = JobRecord(
            call=CALL.id,
            customer=CUSTOMER,
            target=ENGINE,
            attempt=3,
            owner=Incarnation(host=HOSTS[0], started=9),
            expires=1_000.0,
        )
        job = JobSigner(key=bytes(KEY_BYTES)).sign(record)
        assert JobSigner(key=bytes(KEY_BYTES)).read(job=job, customer=CUSTOMER) == record
        assert JobSigner(key=b"x" * KEY_BYTES).read(job=job, customer=CUSTOMER) is None
