"""Hosts that are cut off from all targets, and whether their callers notice."""

import asyncio
from collections.abc import Iterator
from http import HTTPStatus
from random import Random
from time import monotonic

from bench.soak._cuts import CutMode
from bench.soak._documents import MEMORY
from bench.soak._fleet import Fleet, Host
from bench.soak._moments import moments
from bench.soak._records import (
    EVERYWHERE,
    LENGTHY,
    STORE,
    CallRecord,
    Partition,
    Records,
)

CUT = "host cut off from targets"
"""Kind of the fault."""

LAST_SECONDS = (5.0, 9.0)
"""Seconds for which hosts are cut off, from and to."""

SETTLE_SECONDS = 3.0
"""Seconds after the begin of a cut from which on its hosts must serve, as the platform says."""

MIN_SHARE = 2.0 / 3.0
"""Least share of first tries served at cut hosts, as a part of that at the others."""

MIN_CALLS = 8
"""Least calls on each side that are compared."""


class Partitions:
    """Cuts hosts off from all targets.

    Args:
        fleet: The processes.
        records: Takes which hosts were cut off.
        seed: Draws them.
        away: The names of who has a fault or planned work.
    """

    def __init__(self, *, fleet: Fleet, records: Records, seed: int, away: set[str]) -> None:
        self._fleet = fleet
        self._records = records
        self._random = Random(f"{seed} partitions")
        self._away = away

    async def run(self, *, count: int, seconds: float) -> None:
        """Cut hosts off so often, and return once all reach the targets again.

        Args:
            count: How often.
            seconds: Within how many seconds cuts begin.
        """
        async with asyncio.TaskGroup() as group:
            async for _ in moments(self._random, count=count, seconds=seconds):
                group.create_task(self._one())

    async def _one(self) -> None:
        free = [host for host in self._fleet.hosts if host.name not in self._away]
        # One host at least must reach the targets.
        most = len(free) - 1
        if most < 1:
            return
        hosts = self._random.sample(free, self._random.randint(1, most))
        mode = self._random.choice(list(CutMode))
        self._away |= {host.name for host in hosts}
        begin = monotonic()
        pids = [pid for host in hosts if (pid := host.process.pid) is not None]
        for pid in pids:
            self._fleet.cuts.begin(pid, mode)
        await asyncio.sleep(self._random.uniform(*LAST_SECONDS))
        for pid in pids:
            self._fleet.cuts.end(pid)
        self._note(hosts, mode, begin)
        self._away -= {host.name for host in hosts}

    def _note(self, hosts: list[Host], mode: CutMode, begin: float) -> None:
        for host in hosts:
            self._records.note(CUT, host.name, begin)
        self._records.partitions.append(
            Partition(
                hosts=tuple(host.name for host in hosts),
                mode=mode.value,
                begin=begin,
                end=monotonic(),
            )
        )


def served_alike(records: Records) -> Iterator[str]:
    """Yield a line for each cut whose hosts served first tries less often than the others."""
    for partition in records.partitions:
        calls = [call for call in records.calls.values() if _counts(records, partition, call)]
        cut = [call for call in calls if call.host in partition.hosts]
        others = [call for call in calls if call.host not in partition.hosts]
        if min(len(cut), len(others)) < MIN_CALLS:
            continue
        share, other_share = _served(cut), _served(others)
        if share < MIN_SHARE * other_share:
            yield (
                f"PATHS: hosts cut off ({partition.mode}) served {share:.2f} of {len(cut)} first "
                f"tries, the others {other_share:.2f} of {len(others)}"
            )


def _counts(records: Records, partition: Partition, call: CallRecord) -> bool:
    """Return whether a call is compared: sent in the cut, with no other fault at its host."""
    if not partition.begin + SETTLE_SECONDS <= call.sent < partition.end:
        return False
    if call.left is not None or call.kind in LENGTHY or call.tokens > MEMORY:
        return False
    others = Records(windows=[window for window in records.windows if window.kind != CUT])
    subjects = (call.host, f"{call.host} planned", STORE, EVERYWHERE)
    return not others.disturbed(subjects, begin=call.sent, end=call.ended)


def _served(calls: list[CallRecord]) -> float:
    return sum(call.status == HTTPStatus.OK for call in calls) / len(calls)
