"""Failure domains that an operator evacuates and restores, and whether hosts keep to that."""

import asyncio
from collections.abc import Iterator
from http import HTTPStatus
from random import Random
from time import monotonic

from azureswitch_standins.target import Note, NoteKind
from bench.soak._documents import ZONES
from bench.soak._fleet import Fleet
from bench.soak._moments import moments
from bench.soak._objects import put
from bench.soak._records import AFTERMATH, AWAY, EVERYWHERE, STORE, CallRecord, Evacuated, Records

KIND = "evacuations"
"""Kind of the objects by which an operator evacuates a failure domain."""

CONTRACT = "places"
"""The contract of the settings with which hosts read them."""

CONTENTS = (b"{}", b"{}", b"[1, 2]", b"\xff no text")
"""Contents of such an object, which do not matter."""

LAST_SECONDS = (3.0, 9.0)
"""Seconds for which a domain stays evacuated, from and to."""

AGAIN_SECONDS = (0.0, 0.5)
"""Seconds between a restoration and the next evacuation of the same domain, from and to."""

AGAIN_SHARE = 0.3
"""Share of the evacuations that are followed by another one of the same domain."""

UNKNOWN_SHARE = 0.3
"""Share of the evacuations beside which a domain that does not exist is evacuated."""

BOUND = 1.0
"""Seconds after the acknowledgement from which on no request may reach a target of the domain."""

SLACK = 0.6
"""Seconds by which a bound of time may be missed on a machine that runs much else."""

NO_EXCUSES = frozenset(("host killed", "all hosts killed", AWAY, "callers disturbed"))
"""Faults of a host beside which it must keep to an evacuation all the same.

A host that starts reads the evacuations before it serves, from the store or a host.
"""


class Evacuations:
    """Evacuates failure domains and restores them.

    Args:
        fleet: The processes.
        records: Takes when which domain was evacuated.
        seed: Draws them.
    """

    def __init__(self, *, fleet: Fleet, records: Records, seed: int) -> None:
        self._fleet = fleet
        self._records = records
        self._random = Random(f"{seed} evacuations")
        self._taken: set[str] = set()

    async def run(self, *, count: int, seconds: float) -> None:
        """Evacuate so often, and return once all domains are in use again.

        Args:
            count: How often.
            seconds: Within how many seconds evacuations begin.
        """
        async with asyncio.TaskGroup() as group:
            async for number in moments(self._random, count=count, seconds=seconds):
                group.create_task(self._one(f"nowhere-{number}"))

    async def _one(self, unknown: str) -> None:
        free = [place for place in ZONES if place not in self._taken]
        if not free:
            return
        place = self._random.choice(free)
        self._taken.add(place)
        beside = self._random.random() < UNKNOWN_SHARE
        if beside:
            await put(self._fleet, KIND, unknown, self._random.choice(CONTENTS))
        await self._evacuate(place)
        if self._random.random() < AGAIN_SHARE:
            await asyncio.sleep(self._random.uniform(*AGAIN_SECONDS))
            await self._evacuate(place)
        if beside:
            await put(self._fleet, KIND, unknown, None)
        self._taken.discard(place)

    async def _evacuate(self, place: str) -> None:
        await put(self._fleet, KIND, place, self._random.choice(CONTENTS))
        begin = monotonic()
        await asyncio.sleep(self._random.uniform(*LAST_SECONDS))
        # Whether hosts know of the removal is open from the moment at which it is asked for.
        end = monotonic()
        await put(self._fleet, KIND, place, None)
        self._records.evacuations.append(Evacuated(place=place, begin=begin, end=end))
        self._records.note("place evacuated", f"{place} evacuated", begin)


def kept(records: Records) -> Iterator[str]:
    """Yield a line for each request that reached an evacuated domain, or was cut off there."""
    for evacuated in records.evacuations:
        notes = [n for n in records.notes if records.places.get(n.target) == evacuated.place]
        yield from _late(records, evacuated, notes)
        yield from _cut_off(records, evacuated, notes)


def concerned(records: Records, target: str, *, begin: float, end: float) -> bool:
    """Return whether a target's domain was evacuated in a span, or shortly before it."""
    return any(
        records.places.get(target) == evacuated.place
        and evacuated.begin <= end
        and begin <= evacuated.end + AFTERMATH
        for evacuated in records.evacuations
    )


def _late(records: Records, evacuated: Evacuated, notes: list[Note]) -> Iterator[str]:
    """Yield what arrived too late.

    Excused are faults of the store or between it and the host, pauses of the host, and what holds
    bytes back before the target, each until shortly after its end.  What a target answers with 421
    is not noted as arrived.
    """
    for note in notes:
        call = records.calls.get(note.id)
        due = evacuated.begin + BOUND + SLACK
        if note.kind is not NoteKind.ARRIVED or call is None or not due < note.at < evacuated.end:
            continue
        subjects = {call.host, note.target, STORE, EVERYWHERE}
        faults = [window for window in records.windows if window.kind not in NO_EXCUSES]
        relevant = Records(windows=[window for window in faults if window.subject in subjects])
        # Faults that are over for longer are no excuse: seed 10 would have been checked at no time.
        if not relevant.disturbed(subjects, begin=note.at, end=note.at):
            after = note.at - evacuated.begin
            yield (
                f"EVACUATED: {note.id} reached {note.target} {after:.1f} s after "
                f"{evacuated.place} was evacuated"
            )


def _cut_off(records: Records, evacuated: Evacuated, notes: list[Note]) -> Iterator[str]:
    """Yield the calls that ran in the domain and ended without a whole answer."""
    ran = {note.id for note in notes if note.kind is NoteKind.RUN and note.at < evacuated.end}
    for id in sorted(ran):
        call = records.calls.get(id)
        if call is None or not evacuated.begin <= call.ended <= evacuated.end + BOUND:
            continue
        targets = {note.target for note in records.notes if note.id == id}
        subjects = (call.host, f"{call.host} planned", *targets)
        calm = not records.disturbed(subjects, begin=call.sent, end=call.ended)
        if calm and _was_cut_off(call):
            yield f"EVACUATED: {id} ran in {evacuated.place} and was cut off ({call.status})"


def _was_cut_off(call: CallRecord) -> bool:
    """Return whether a call ended without a whole answer before its time was over."""
    in_time = call.ended < call.deadline - SLACK
    return call.status != HTTPStatus.OK and call.left is None and call.reached and in_time
