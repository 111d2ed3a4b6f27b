"""What a large change of the configuration costs hosts, a third of which the store turns away.

Copies run over in-memory peers and a store in virtual time, so that the figures are the same in
each run.  The baselines are those of copies taken whole from whoever told of a change, at each
message that told of it.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Iterator

from msgspec import Struct

from azureswitch.coordination.mirror import CopyReply, StoreSeen
from azureswitch_standins.clock import run_virtual
from azureswitch_standins.mirrors import MirrorHosts
from azureswitch_standins.store import StoreFaults
from bench.records import Record, at_most

SIZES = (6, 25, 77)

TURNED_AWAY = 3
"""One host in so many."""

CHANGE_BYTES = 300_000
"""A configuration of 1,300 routes."""

SETTLE_SECONDS = 5.0

MOST_SECONDS = 2.0
"""In which a change must be in force."""

BASELINES = {
    6: (8.0, 2_400_624.0, 40.0),
    25: (135.0, 40_510_530.0, 744.0),
    77: (1_302.0, 390_701_556.0, 7_904.0),
}
"""By hosts: copies, bytes of copies, and messages that tell of the change."""


class Figures(Struct, frozen=True, kw_only=True):
    """What one fleet size gave.

    Attributes:
        seconds: Until the last host had the change.
        copies: Copies that were given.
        bytes: Their bytes.
        told: Messages that told of a check or a change.
    """

    seconds: float
    copies: int
    bytes: int
    told: int


def measure(size: int) -> Figures:
    """Measure one fleet size."""
    hosts = MirrorHosts(count=size)
    figures: list[Figures] = []

    async def scenario() -> None:
        await sleep(SETTLE_SECONDS)
        for store in hosts.stores[::TURNED_AWAY]:
            store.faults = StoreFaults(down=True)
        await sleep(SETTLE_SECONDS)
        copies, told = hosts.sent(CopyReply), hosts.sent(StoreSeen)
        began = get_running_loop().time()
        await hosts.write("new", size=CHANGE_BYTES)
        while not all("new" in names for names in hosts.seen):
            await sleep(0.01)
        seconds = get_running_loop().time() - began
        await sleep(MOST_SECONDS - seconds)
        after = hosts.sent(CopyReply)
        figures.append(
            Figures(
                seconds=seconds,
                copies=after[0] - copies[0],
                bytes=after[1] - copies[1],
                told=hosts.sent(StoreSeen)[0] - told[0],
            )
        )

    run_virtual(hosts.run(scenario))
    return figures[0]


def records() -> Iterator[Record]:
    """Return what each fleet size gives."""
    for size in SIZES:
        yield from _records(size, measure(size))


def _records(size: int, figures: Figures) -> Iterator[Record]:
    copies, bytes_, told = BASELINES[size]
    yield at_most(f"mirror.in_force.{size}", figures.seconds, "s", MOST_SECONDS)
    yield at_most(f"mirror.copies.{size}", figures.copies, "messages", 1.5 * size, copies)
    yield at_most(f"mirror.copy_bytes.{size}", figures.bytes, "bytes", 10_000 * size, bytes_)
    yield at_most(f"mirror.told.{size}", figures.told, "messages", 12.0 * size, told)
