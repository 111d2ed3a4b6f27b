"""Tests of the journal: finding long work after its host died, and what it costs."""

from asyncio import Event, sleep
from collections.abc import AsyncIterator, Awaitable, Callable
from string import ascii_letters, digits
from time import time
from typing import cast

import pytest
from msgspec.structs import replace

from azureswitch.coordination.journal import (
    FLUSH_PERIOD,
    JOURNAL_KIND,
    KEY_BYTES,
    OUTPUT_KEPT,
    OUTPUT_KIND,
    RECORD_AGE,
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
    """Counts the calls that are tried, also while the store is down."""

    asked = 0

    async def get(self, *, kind: str, name: str) -> StoredObject:
        """Return an object."""
        self.asked += 1
        return await super().get(kind=kind, name=name)

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Create an object."""
        self.asked += 1
        return await super().create(kind=kind, name=name, value=value)


class EngineFake:
    """One host's way to an engine that runs one request of three tokens.

    Attributes:
        attached: The offsets that were attached to.
        broken: Streams that break after their first token.
        lost: Whether the engine does not know the request.
    """

    def __init__(self, *, finished: Event) -> None:
        self.attached: list[int] = []
        self.broken = 0
        self.lost = False
        self._finished = finished

    async def attach(self, *, call: CallId, attempt: int, offset: int) -> AsyncIterator[Chunk]:
        """Yield the tokens after an offset, the last once the request may finish."""
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
    """Hosts with one store, of which each host has its own view."""

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
    def heirs(self) -> list[HostName]:
        """Hosts that attached to the request's engine."""
        return [name for name in HOSTS if self.engines[name][ENGINE].attached]

    @property
    def groups(self) -> set[str]:
        """The names of the stored groups of records."""
        return {item.name for item in self.model.list(kind=JOURNAL_KIND).items}

    @property
    def living(self) -> list[HostName]:
        """Hosts that were not killed."""
        return [name for name in HOSTS if name not in self.dead]

    def believe(self, name: HostName, status: MemberStatus) -> None:
        """Let all hosts believe something of one."""
        self.members[name] = replace(self.members[name], status=status)

    def kill(self, name: HostName) -> None:
        """End a host and let the others know."""
        self.dead.add(name)
        self.network.stop(address=self.members[name].address)
        self.believe(name, MemberStatus.DEAD)

    def all_stores(self, faults: StoreFaults) -> None:
        """Set the faults of every host's way to the store."""
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
        """Let the living hosts work for a while."""
        for _ in range(int(seconds)):
            for name in self.living:
                await self.journals[name].tick()
            await sleep(1.0)

    async def found(self, job: str, *, customer: CustomerName = CUSTOMER) -> set[TargetName]:
        """Ask every living host; return the engines that they name."""
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
    def test_job_id_alone_is_enough(self, killed: bool, store_down: bool) -> None:
        """The id says where the request runs, with its host dead and the store away."""

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
        """An id that names an earlier engine leads to the present one."""

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
        """An id is of no use to a customer that it was not made for, nor is a changed one."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            assert await fleet.found(job, customer=RIVAL) == set()
            spellings = [job[:-1] + last for last in ALPHABET if last != job[-1]]
            for changed in (*spellings, job + "=", f"{job[:4]}!{job[4:]}", "nonsense"):
                assert await fleet.found(changed) == set()

        play(script)

    def test_host_that_joins_in_an_outage_has_the_key(self) -> None:
        """Hosts pass the key on while the store is away, and never make a second one."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            fleet.all_stores(StoreFaults(down=True))
            assert await fleet.journals[HOSTS[3]].find(job=job, customer=CUSTOMER) is not None

        play(script)

    def test_no_key_means_no_job_id(self) -> None:
        """Before any host has the key a request runs without a job id, and later ones get one."""

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
    """What is written, when, and who takes it over."""

    def test_quick_long_work_writes_nothing(self) -> None:
        """Work that ends before it is old leaves the store alone."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            written = fleet.model.counters.writes
            await fleet.run(RECORD_AGE - 1)
            await fleet.journals[HOSTS[0]].close(call=CALL.id)
            await fleet.run(3 * FLUSH_PERIOD)
            assert fleet.model.counters.writes == written

        play(script)

    def test_many_requests_share_a_write(self) -> None:
        """However many requests run, one host writes at most once per period."""

        async def script(fleet: Fleet) -> None:
            seconds = 100
            for at in range(seconds):
                for nth in range(5):
                    await fleet.start(call=replace(CALL, id=CallId(f"{at}-{nth}")))
                await fleet.run(1)
            # The key is the one further write.
            assert fleet.model.counters.writes <= seconds / FLUSH_PERIOD * 1.2 + 1

        play(script)

    @pytest.mark.parametrize(
        "faults",
        [StoreFaults(), StoreFaults(lose_answers=1), StoreFaults(lose_answers=2, lose_writes=True)],
        ids=["whole", "answer lost", "writes lost"],
    )
    def test_records_of_the_dead_are_taken_over_once(self, faults: StoreFaults) -> None:
        """One host resumes a dead host's work, and the dead host's object goes."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.journals[HOSTS[0]].progress(call=CALL.id, tokens=7)
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.all_stores(faults)
            fleet.kill(HOSTS[0])
            await fleet.run(5 * FLUSH_PERIOD)
            (heir,) = fleet.heirs
            assert [record.tokens for record in fleet.journals[heir].records] == [7]
            assert fleet.journals[heir].keeps(call=CALL.id, attempt=1)
            assert fleet.groups == {str(fleet.members[heir].incarnation)}

        play(script)

    def test_heir_that_dies_is_succeeded(self) -> None:
        """Work that was taken over is taken over again."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.kill(HOSTS[0])
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.kill(fleet.heirs[0])
            await fleet.run(2 * FLUSH_PERIOD)
            assert len(fleet.heirs) == 2

        play(script)

    def test_long_outage_loses_no_record(self) -> None:
        """Hosts ask a store that is away seldom, and take over when it is back."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.all_stores(StoreFaults(down=True))
            fleet.kill(HOSTS[0])
            other = replace(CALL, id=CallId("call-2"))
            await fleet.journals[HOSTS[1]].record(call=other, target=OTHER_ENGINE, attempt=1)
            before = sum(store.asked for store in fleet.stores.values())
            await fleet.run(600)
            asked = sum(store.asked for store in fleet.stores.values()) - before
            assert 0 < asked <= 600 / (FLUSH_PERIOD / 2)
            fleet.all_stores(StoreFaults())
            await fleet.run(2 * FLUSH_PERIOD)
            assert len(fleet.heirs) == 1

        play(script)

    def test_suspected_host_that_answers_keeps_its_work(self) -> None:
        """A host that answers is not succeeded, however long it is suspected."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.believe(HOSTS[0], MemberStatus.SUSPECT)
            await fleet.run(60)
            assert fleet.heirs == []

        play(script)

    def test_cut_off_host_is_succeeded_and_keeps_its_records(self) -> None:
        """A suspected host that does not answer is succeeded; its object goes at its death."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.network.partition([fleet.members[HOSTS[0]].address])
            fleet.believe(HOSTS[0], MemberStatus.SUSPECT)
            await fleet.run(3 * FLUSH_PERIOD)
            assert len(fleet.heirs) == 1
            assert str(fleet.members[HOSTS[0]].incarnation) in fleet.groups

        play(script)

    def test_host_believed_dead_writes_again(self) -> None:
        """A host that was cut off, and whose object another deleted, records its work anew."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.network.partition([fleet.members[HOSTS[0]].address])
            fleet.believe(HOSTS[0], MemberStatus.DEAD)
            await fleet.run(3 * FLUSH_PERIOD)
            name = str(fleet.members[HOSTS[0]].incarnation)
            assert name not in fleet.groups
            fleet.network.heal()
            fleet.believe(HOSTS[0], MemberStatus.ALIVE)
            await fleet.start(call=replace(CALL, id=CallId("call-2")))
            await fleet.run(4 * FLUSH_PERIOD)
            assert name in fleet.groups

        play(script)


class TestOutput:
    """The output reaches a caller whose host died, whole and once."""

    @staticmethod
    async def _read(fleet: Fleet, job: str, offset: int) -> bytes:
        journal = fleet.journals[fleet.living[0]]
        record = await journal.find(job=job, customer=CUSTOMER)
        assert record is not None
        chunks = [part async for part in journal.output(record=record, offset=offset)]
        return b"".join(part.data for part in chunks)

    @pytest.mark.parametrize("offset", range(TOKENS + 1))
    @pytest.mark.parametrize("running", [True, False], ids=["from the engine", "from the store"])
    def test_rest_comes_without_gap_or_repeat(self, running: bool, offset: int) -> None:
        """From any offset exactly the rest comes, while the engine runs and hours later."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.kill(HOSTS[0])
            for engines in fleet.engines.values():
                engines[ENGINE].broken = 1
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.finished.set()
            await fleet.run(2 * FLUSH_PERIOD)
            for engines in fleet.engines.values():
                engines[ENGINE].lost = not running
                engines[ENGINE].broken = 1
            if not running:
                await fleet.run(3_600)
            rest = b"".join(chunk(at).data for at in range(offset, TOKENS))
            assert await self._read(fleet, job, offset) == (rest or END)

        play(script)

    def test_lost_output_is_said_to_be_lost(self) -> None:
        """Where the engine died with the host, the caller gets a failure of its own type."""

        async def script(fleet: Fleet) -> None:
            job = await fleet.start()
            fleet.kill(HOSTS[0])
            for engines in fleet.engines.values():
                engines[ENGINE].lost = True
            with pytest.raises(LongWorkLostError):
                await self._read(fleet, job, 0)

        play(script)

    def test_kept_output_goes_after_its_time(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An output is deleted when its time is over, by whoever has its record then."""

        async def script(fleet: Fleet) -> None:
            await fleet.start()
            await fleet.run(2 * FLUSH_PERIOD)
            fleet.kill(HOSTS[0])
            fleet.finished.set()
            await fleet.run(2 * FLUSH_PERIOD)
            assert len(fleet.model.list(kind=OUTPUT_KIND).items) == 1
            fleet.kill(fleet.heirs[0])
            await fleet.run(2 * FLUSH_PERIOD)
            later = time() + 2 * OUTPUT_KEPT
            monkeypatch.setattr("azureswitch.coordination.journal._driver.time", lambda: later)
            await fleet.run(2)
            assert fleet.model.list(kind=OUTPUT_KIND).items == ()

        play(script)


class TestResilience:
    """Each kind of request gets its own level."""

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
    def test_level_follows_the_kind(self, call: Call, expected: Resilience) -> None:
        """Short answers keep nothing, long work a record, bookings a claim."""
        assert resilience(call=call, rules=Rules()) is expected


class TestJobSigner:
    """Job ids are made by hosts only."""

    def test_id_reads_back_with_its_key_only(self) -> None:
        """The same key gives the record, another one nothing."""
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
