"""The target stand-in does what the platform publishes, and what its faults say."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from azureswitch.client import Headers, HttpAnswer, HttpClient
from azureswitch.exceptions import HttpBrokenError
from azureswitch.platform import ORDER_PATH, TARGETS_KIND, HttpStore, header_names
from azureswitch_standins.store import StoreStandin
from azureswitch_standins.target import (
    COLD_PATH,
    REPORT_PATH,
    Act,
    NoteKind,
    TargetFaults,
    TargetPlan,
    TargetStandin,
    answer_body,
    event,
    event_count,
    seal,
)
from azureswitch_standins.target._registration import Registration
from azureswitch_standins.target._runs import Notes

PLAN = TargetPlan(name="i-1", service="s", place="p", store="", work=0.001, slots=1, queue=1)


class KeptNotes(Notes):
    """Notes that a test reads."""

    def __init__(self) -> None:
        super().__init__(target="i-1")
        self.kinds: list[NoteKind] = []

    def write(self, kind: NoteKind, **more: object) -> None:
        """Keep the kind of a note."""
        self.kinds.append(kind)


async def send(
    target: TargetStandin, *, path: str = "/x", body: bytes = b"", headers: Headers = ()
) -> HttpAnswer:
    """Send a request and return its answer."""
    client = HttpClient(address=target.address)
    usual: Headers = ((header_names.ID, "r1"), (header_names.MILLISECONDS_LEFT, "300"))
    try:
        return await client.request(
            method="POST", path=path, body=body, headers=(*usual, *headers), timeout=5.0
        )
    finally:
        client.close()


def run(
    scenario: Callable[[TargetStandin, KeptNotes], Awaitable[None]], plan: TargetPlan = PLAN
) -> None:
    """Run a scenario before a target."""

    async def whole() -> None:
        notes = KeptNotes()
        target = TargetStandin(plan=plan, notes=notes, address="127.0.0.1:0", seed=1)
        await target.start()
        async with asyncio.timeout(20.0):
            await scenario(target, notes)

    asyncio.run(whole())


class TestRequests:
    """Requests to a target."""

    @pytest.mark.parametrize(
        ("act", "streams", "status", "ran"),
        [
            (Act.ANSWER, False, 200, True),
            (Act.ANSWER, True, 200, True),
            (Act.FAIL, False, 500, True),
            (Act.SHED, True, 503, False),
            (Act.HANG, False, 504, True),
            (Act.LOSE, False, 0, True),
            (Act.LOSE, True, 0, True),
            (Act.BREAK, False, 0, True),
            (Act.BREAK, True, 0, True),
            (Act.CROSS, False, 200, True),
        ],
    )
    def test_acts(self, act: Act, streams: bool, status: int, ran: bool) -> None:
        """Each act shows to the caller as it says, and in the notes whether the request ran."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            faults = msgspec.json.encode(TargetFaults(share=1.0, act=act))
            await send(target, path="/standin/faults", body=faults)
            try:
                answer = await send(target)
            except HttpBrokenError:
                assert status == 0
            else:
                assert answer.head.status == status
                told = answer.head.header(name=header_names.NOT_RUN) is not None
                assert told is (status == 503)
                mine = answer.head.header(name=header_names.SEAL) == seal("r1")
                assert mine is (ran and act is not Act.CROSS)
            assert (NoteKind.RUN in notes.kinds) is ran

        run(scenario, msgspec.structs.replace(PLAN, streams=streams))

    @pytest.mark.parametrize(("last", "first"), [("0", 1), ("3", 4)])
    def test_stream(self, last: str, first: int) -> None:
        """A stream goes on after the event that its caller has."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            answer = await send(target, headers=((header_names.LAST_EVENT, last),))
            numbers = range(first, event_count("r1") + 1)
            assert answer.body == b"".join(event("r1", number) for number in numbers)

        run(scenario, msgspec.structs.replace(PLAN, streams=True))

    def test_misdirected(self) -> None:
        """A request that expects another target does not run."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            answer = await send(target, headers=((header_names.EXPECTED_TARGET, "i-2"),))
            assert (answer.head.status, notes.kinds) == (421, [])

        run(scenario)

    def test_full(self) -> None:
        """With its place and its queue taken a target refuses, and says so."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            answers = await asyncio.gather(*(send(target) for _ in range(3)))
            assert sorted(answer.head.status for answer in answers) == [200, 200, 503]
            assert notes.kinds.count(NoteKind.RUN) == 2

        run(scenario, msgspec.structs.replace(PLAN, work=0.05))

    def test_caller_left(self) -> None:
        """Work ends when its caller has left."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await send(target)
            await asyncio.sleep(0.05)
            kinds = [NoteKind.ARRIVED, NoteKind.RUN, NoteKind.CALLER_LEFT, NoteKind.OVER]
            assert notes.kinds == kinds
            assert not target.busy

        run(scenario, msgspec.structs.replace(PLAN, work=0.2))

    def test_plain_answer(self) -> None:
        """An answer is the one to its request."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            assert (await send(target)).body == answer_body("r1")

        run(scenario)


class TestMemory:
    """Memory that is set aside."""

    def test_orders(self) -> None:
        """Memory is set aside up to what there is, for its time, and freed."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            async def order(operation: str, ticket: str, tokens: int, held: int) -> int:
                body = {"Operation": operation, "Id": ticket, "Tokens": tokens, "HoldMs": held}
                answer = await send(target, path=ORDER_PATH, body=msgspec.json.encode(body))
                return answer.head.status

            assert await order("reserve", "a", 60, 5_000) == 200
            assert await order("reserve", "b", 60, 5_000) == 409
            assert await order("reserve", "a", 90, 5_000) == 200
            assert await order("release", "a", 0, 0) == 200
            assert await order("reserve", "b", 60, 50) == 200
            await asyncio.sleep(0.1)
            assert await order("reserve", "c", 100, 5_000) == 200

        run(scenario, msgspec.structs.replace(PLAN, memory=100))

    def test_sequence(self) -> None:
        """Orders that were taken are counted, from none at the start."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            async def sequence() -> object:
                answer = await send(target, path=REPORT_PATH)
                return msgspec.json.decode(answer.body)["Sequence"]

            assert await sequence() == 0
            for tokens in (60, 200):
                body = {"Operation": "reserve", "Id": "a", "Tokens": tokens, "HoldMs": 5_000}
                await send(target, path=ORDER_PATH, body=msgspec.json.encode(body))
            assert await sequence() == 1

        run(scenario, msgspec.structs.replace(PLAN, memory=100))


class TestStarts:
    """Starts of a target under one name."""

    @pytest.mark.parametrize("born", [0, 1_796_261_543_516])
    def test_seal(self, born: int) -> None:
        """Answers carry the mark of the start that gave them."""

        async def play() -> None:
            target = TargetStandin(
                plan=PLAN, notes=KeptNotes(), address="127.0.0.1:0", seed=1, born=born
            )
            await target.start()
            answer = await send(target)
            assert answer.head.header(name=header_names.SEAL) == seal("r1", born=born)
            assert (seal("r1", born=born) == seal("r1")) is (born == 0)

        asyncio.run(play())

    def test_entry(self) -> None:
        """A later start replaces the entry of an earlier one, and a sequence alone changes none."""

        async def play() -> None:
            store = StoreStandin()
            await store.start()
            counts = {1_000: 3, 2_000: 0}
            client = HttpStore(address=store.address, timeout=5.0)
            plan = msgspec.structs.replace(PLAN, store=store.address)
            for born in (1_000, 2_000):
                listed = asyncio.Event()
                registration = Registration(
                    plan=plan,
                    address="127.0.0.1:1",
                    born=born,
                    sequence=lambda born=born: counts[born],  # type: ignore[misc]
                    entered=lambda _, listed=listed: listed.set(),  # type: ignore[misc]
                )
                beats = asyncio.create_task(registration.run())
                await listed.wait()
                first = await client.get(kind=TARGETS_KIND, name=plan.name)
                entry = msgspec.json.decode(first.value)
                assert (entry["born"], entry["Sequence"]) == (born, counts[born])
                counts[born] += 1
                beats.cancel()
                await registration.leave()
                left = await client.get(kind=TARGETS_KIND, name=plan.name)
                assert msgspec.json.decode(left.value)["Sequence"] == counts[born]
            client.close()
            await store.stop()

        asyncio.run(play())


class TestCold:
    """A target that is cold after its start."""

    COLD = msgspec.structs.replace(
        PLAN, cold_seconds=0.5, cold_rate=2.0, cold_excess=1.5, cold_slack=1.0, slots=9
    )

    @pytest.mark.parametrize(
        ("count", "rate", "pause", "again", "crashed"),
        [
            (4, 2.0, 0.0, False, False),
            (5, 2.0, 0.0, False, True),
            (9, 0.0, 0.0, False, False),
            (9, 2.0, 0.6, False, False),
            (9, 2.0, 0.6, True, True),
        ],
        ids=["at the bound", "above the bound", "without a rate", "warm", "cold again"],
    )
    def test_crash(self, count: int, rate: float, pause: float, again: bool, crashed: bool) -> None:
        """It crashes under more requests in a second than the bound, only while it is cold."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            await asyncio.sleep(pause)
            if again:
                await send(target, path=COLD_PATH)
            asked = [asyncio.create_task(send(target)) for _ in range(count)]
            answers = await asyncio.gather(*asked, return_exceptions=True)
            assert target.crashed.is_set() is crashed
            assert (NoteKind.CRASHED in notes.kinds) is crashed
            assert any(isinstance(answer, Exception) for answer in answers) is crashed

        run(scenario, msgspec.structs.replace(self.COLD, cold_rate=rate))

    def test_misdirected_requests_do_not_count(self) -> None:
        """Requests that it answers with status 421 are not counted."""

        async def scenario(target: TargetStandin, notes: KeptNotes) -> None:
            other = ((header_names.EXPECTED_TARGET, "other"),)
            for _ in range(9):
                assert (await send(target, headers=other)).head.status == 421
            assert not target.crashed.is_set()

        run(scenario, self.COLD)

    def test_entry(self) -> None:
        """Its entry says for how long it stays cold, and that of another target does not."""

        async def play() -> None:
            store = StoreStandin()
            await store.start()
            client = HttpStore(address=store.address, timeout=5.0)
            for name, cold, told in (("i-1", lambda: 0.25, 250), ("i-2", None, 0)):
                listed = asyncio.Event()
                registration = Registration(
                    plan=msgspec.structs.replace(PLAN, name=name, store=store.address),
                    address="127.0.0.1:1",
                    born=1,
                    sequence=int,
                    entered=lambda _, listed=listed: listed.set(),  # type: ignore[misc]
                    cold=cold,
                )
                beats = asyncio.create_task(registration.run())
                await listed.wait()
                beats.cancel()
                entry = msgspec.json.decode((await client.get(kind=TARGETS_KIND, name=name)).value)
                assert entry["ColdLeftMs"] == told
            client.close()
            await store.stop()

        asyncio.run(play())
