"""What claims cost: store writes and bytes per call, and added latency, by load.

Nine hosts run in virtual time over one store whose calls take five milliseconds.  Calls arrive at
random, take a fifth of a second at the target and are answered by a receipt of 400 bytes.
"""

import asyncio
from random import Random

from msgspec import Struct

from azureswitch.coordination.claims import Claims, Granted
from azureswitch.coordination.claims._model import HEAD_KIND, SEGMENT_KIND
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import CallId, CustomerName, HostName, Incarnation, PlaceName
from azureswitch.exceptions import ClaimUnavailableError
from azureswitch.ports import PlainAnswer, StoredObject
from azureswitch.serving import ClaimOutcome
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.peers import PeersNetworkFake
from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel
from bench.records import Record, at_most

HOSTS = 9
STORE_DELAY = 0.005
"""Seconds that a call to the store takes."""

RUN = 0.2
"""Seconds that a call takes at its target."""

CALLS = 3_000
"""Calls of one measurement at most."""

SPAN = 60.0
"""Seconds of one measurement at most."""

UNBATCHED = 2.0
"""Store writes per call where every claim and every outcome is a write of its own."""

WRITES_BOUND = {10: 1.4, 100: 0.75, 400: 0.3}
"""Store writes per call at most, by calls a second."""

BYTES_BOUND = {10: 6_500.0, 100: 4_200.0, 400: 2_400.0}
"""Bytes written to the store per call at most, by calls a second."""

STORED_BOUND = {10: 600.0, 100: 600.0, 400: 600.0}
"""Bytes that the store keeps per call until its retention ends at most, by calls a second."""

MEDIAN_BOUND = {10: 0.02, 100: 0.16, 400: 0.17}
"""Seconds that a claim adds in the middle case at most, by calls a second."""

TAIL_BOUND = {10: 0.3, 100: 0.3, 400: 0.3}
"""Seconds that a claim adds in 99 of 100 cases at most, by calls a second."""


class MeteredStore(StoreFake):
    """Counts the bytes that are sent to the store."""

    def __init__(self, *, model: StoreModel) -> None:
        super().__init__(model=model)
        self.written = 0
        self.faults = StoreFaults(delay=STORE_DELAY)

    async def create(self, *, kind: str, name: str, value: bytes) -> StoredObject:
        """Count and create."""
        self.written += len(value)
        return await super().create(kind=kind, name=name, value=value)

    async def update(self, *, kind: str, name: str, value: bytes, version: int) -> StoredObject:
        """Count and update."""
        self.written += len(value)
        return await super().update(kind=kind, name=name, value=value, version=version)


class Measured(Struct, frozen=True, kw_only=True):
    """The figures of one load.

    Attributes:
        calls: Calls made.
        refused: Calls that could not be claimed.
        writes: Writes to the store.
        written: Bytes written.
        stored: Bytes that the store holds at the end.
        median: Seconds that a claim took in the middle case.
        tail: Seconds that a claim took in 99 of 100 cases.
    """

    calls: int
    refused: int
    writes: int
    written: int
    stored: int
    median: float
    tail: float


class _Load:
    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._random = Random(7)
        self._model = StoreModel()
        self._stores = [MeteredStore(model=self._model) for _ in range(HOSTS)]
        self._waits: list[float] = []
        self._refused = 0
        network = PeersNetworkFake()
        names = [HostName(f"10.0.0.{index}:70") for index in range(1, HOSTS + 1)]
        members = tuple(_member(name) for name in names)
        self._hosts = [
            Claims(
                myself=member.incarnation,
                store=store,
                peers=network.peers(address=member.address),
                members=lambda: members,
                wall=lambda: 1_700_000_000 + asyncio.get_running_loop().time(),
            )
            for member, store in zip(members, self._stores, strict=True)
        ]

    async def run(self) -> Measured:
        """Make the calls and return what they cost."""
        drivers = [asyncio.create_task(host.run()) for host in self._hosts]
        count = min(CALLS, int(self._rate * SPAN))
        calls = []
        for number in range(count):
            await asyncio.sleep(self._random.expovariate(self._rate))
            calls.append(asyncio.create_task(self._call(number)))
        await asyncio.gather(*calls)
        for host in self._hosts:
            await host.drain(timeout=10.0)
        for driver in drivers:
            driver.cancel()
        self._waits.sort()
        return Measured(
            calls=count,
            refused=self._refused,
            writes=self._model.counters.writes,
            written=sum(store.written for store in self._stores),
            stored=sum(
                len(item.value)
                for kind in (HEAD_KIND, SEGMENT_KIND)
                for item in self._model.list(kind=kind).items
            ),
            median=self._waits[count // 2],
            tail=self._waits[count * 99 // 100],
        )

    async def _call(self, number: int) -> None:
        host = self._random.choice(self._hosts)
        call = CallId(f"{number:032x}")
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            result = await host.claim(
                customer=CustomerName("ruamjai"),
                key=f"receipt-{number}",
                fingerprint="a",
                call=call,
                deadline=began + 10.0,
            )
        except ClaimUnavailableError:
            self._refused += 1
            return
        finally:
            self._waits.append(loop.time() - began)
        assert isinstance(result, Granted)
        await asyncio.sleep(RUN)
        answer = PlainAnswer(status=201, headers=(), body=bytes(400))
        await host.settle(call=call, outcome=ClaimOutcome.DONE, answer=answer)


def _member(name: HostName) -> Member:
    return Member(
        incarnation=Incarnation(host=name, started=1_700_000_000_000),
        place=PlaceName("a"),
        address=name,
        status=MemberStatus.ALIVE,
    )


def measure(*, rate: float) -> Measured:
    """Return what claims cost at a load.

    Args:
        rate: Calls a second.
    """

    async def main() -> Measured:
        return await _Load(rate=rate).run()

    return run_virtual(main())


def _records_at(rate: int) -> list[Record]:
    seen = measure(rate=rate)
    prefix = f"claims.{rate}_per_s"
    return [
        at_most(
            f"{prefix}.writes_per_call",
            seen.writes / seen.calls,
            "writes",
            WRITES_BOUND[rate],
            baseline=UNBATCHED,
        ),
        at_most(f"{prefix}.bytes_per_call", seen.written / seen.calls, "bytes", BYTES_BOUND[rate]),
        at_most(f"{prefix}.stored_per_call", seen.stored / seen.calls, "bytes", STORED_BOUND[rate]),
        at_most(f"{prefix}.added_median", seen.median, "s", MEDIAN_BOUND[rate]),
        at_most(f"{prefix}.added_p99", seen.tail, "s", TAIL_BOUND[rate]),
        at_most(f"{prefix}.refused", float(seen.refused), "calls", 0.0),
    ]


def records() -> list[Record]:
    """Return the figures at 10, 100 and 400 calls a second."""
    return [record for rate in WRITES_BOUND for record in _records_at(rate)]
