"""The soak's evacuations, and what it says of hosts that do not keep to them."""

import asyncio
from itertools import pairwise
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest

from azureswitch_standins.store import StoreFake, StoreFaults, StoreModel
from azureswitch_standins.target import Note, NoteKind
from bench.soak import _evacuations
from bench.soak._checks import check
from bench.soak._documents import ZONES
from bench.soak._evacuations import KIND, Evacuations, concerned, kept
from bench.soak._fleet import Fleet
from bench.soak._records import CallKind, CallRecord, Evacuated, Records, Window


def call(**more: object) -> CallRecord:
    """Return a call that was answered whole while the domain was evacuated."""
    fields: dict[str, object] = {
        "id": "c",
        "kind": CallKind.ASK,
        "host": "h1",
        "key": "",
        "digest": "",
        "sent": 9.0,
        "deadline": 30.0,
        "ended": 12.0,
        "status": 200,
        **more,
    }
    return CallRecord(**fields)  # type: ignore[arg-type]


def run(record: CallRecord, *notes: Note, faults: tuple[Window, ...] = ()) -> Records:
    """Return a run in which the domain of the target t was evacuated from 10 s to 16 s."""
    return Records(
        calls={"c": record},
        notes=list(notes),
        windows=list(faults),
        places={"t": "z1", "other": "z2"},
        evacuations=[Evacuated(place="z1", begin=10.0, end=16.0)],
    )


def note(kind: NoteKind, at: float, target: str = "t") -> Note:
    """Return a note of a target."""
    return Note(kind=kind, at=at, target=target, id="c")


class TestKept:
    """`kept`."""

    @pytest.mark.parametrize(
        ("kind", "at", "target", "broken"),
        [
            (NoteKind.ARRIVED, 9.9, "t", False),
            (NoteKind.ARRIVED, 11.5, "t", False),
            (NoteKind.ARRIVED, 11.7, "t", True),
            (NoteKind.ARRIVED, 15.9, "t", True),
            (NoteKind.ARRIVED, 16.1, "t", False),
            (NoteKind.ARRIVED, 13.0, "other", False),
            (NoteKind.OVER, 13.0, "t", False),
        ],
    )
    def test_late(self, kind: NoteKind, at: float, target: str, broken: bool) -> None:
        """What reaches a target of the domain later than the bound breaks the promise."""
        lines = list(kept(run(call(), note(kind, at, target))))
        assert bool(lines) is broken
        assert all(line.startswith("EVACUATED: c reached t") for line in lines)

    @pytest.mark.parametrize(
        ("kind", "subject", "begin", "end", "broken"),
        [
            ("store slow", "store", 9.0, 12.0, False),
            ("store slow", "store", 2.0, 6.9, True),
            ("store slow", "store", 9.0, 9.9, True),
            ("silent between host and store", "h1", 9.0, 12.0, False),
            ("silent between host and store", "h2", 9.0, 12.0, True),
            ("host paused", "h1", 12.0, 13.0, False),
            ("target disturbed", "t", 12.0, 13.0, False),
            ("target disturbed", "other", 12.0, 13.0, True),
            ("machine stood still", "everywhere", 12.0, 13.0, False),
            ("host killed", "h1", 9.0, 12.0, True),
            ("all hosts killed", "everywhere", 9.0, 12.0, True),
            ("callers disturbed", "h1", 9.0, 12.0, True),
            ("host stopped", "h1 planned", 9.0, 12.0, True),
        ],
    )
    def test_excused(self, kind: str, subject: str, begin: float, end: float, broken: bool) -> None:
        """A host that cannot know is excused; one that was started anew is not."""
        fault = Window(kind=kind, subject=subject, begin=begin, end=end)
        records = run(call(), note(NoteKind.ARRIVED, 13.0), faults=(fault,))
        assert bool(list(kept(records))) is broken

    @pytest.mark.parametrize(
        ("record", "faulty", "broken"),
        [
            (call(), "", False),
            (call(status=0), "", True),
            (call(status=502), "", True),
            (call(status=0), "h1", False),
            (call(status=0), "h1 planned", False),
            (call(status=0), "t", False),
            (call(status=0), "h2", True),
            (call(status=0, left=11.0), "", False),
            (call(status=504, deadline=12.0), "", False),
            (call(status=0, ended=9.5), "", False),
            (call(status=0, ended=20.0), "", False),
        ],
    )
    def test_cut_off(self, record: CallRecord, faulty: str, broken: bool) -> None:
        """What ran in the domain when it was evacuated must end as it would have otherwise."""
        fault = Window(kind="fault", subject=faulty, begin=9.0, end=11.0)
        records = run(record, note(NoteKind.RUN, 9.5), faults=(fault,) if faulty else ())
        lines = list(kept(records))
        assert bool(lines) is broken
        assert all("was cut off" in line for line in lines)

    def test_among_the_checks(self) -> None:
        """The soak asks for it."""
        lines = check(run(call(), note(NoteKind.ARRIVED, 13.0)))
        assert any(line.startswith("EVACUATED: ") for line in lines)

    @pytest.mark.parametrize(
        ("target", "begin", "end", "found"),
        [
            ("t", 9.0, 11.0, True),
            ("t", 1.0, 9.0, False),
            ("t", 18.0, 20.0, True),
            ("t", 20.0, 21.0, False),
        ],
    )
    def test_concerned(self, target: str, begin: float, end: float, found: bool) -> None:
        """Targets of an evacuated domain need not be used, also shortly after its end."""
        records = run(call())
        assert concerned(records, target, begin=begin, end=end) is found
        assert not concerned(records, "other", begin=begin, end=end)


class TestEvacuations:
    """The operator."""

    @pytest.mark.parametrize("faults", [StoreFaults(), StoreFaults(lose_answers=3)])
    def test_run(self, faults: StoreFaults, monkeypatch: pytest.MonkeyPatch) -> None:
        """Each evacuation is noted, none is of two at once in one domain, and all are removed."""
        monkeypatch.setattr(_evacuations, "LAST_SECONDS", (0.01, 0.03))
        monkeypatch.setattr(_evacuations, "AGAIN_SECONDS", (0.0, 0.01))
        model, records = StoreModel(), Records()
        store = StoreFake(model=model)
        store.faults = faults
        store.close = lambda: None  # type: ignore[attr-defined]
        evacuations = Evacuations(
            fleet=cast(Fleet, SimpleNamespace(store=store)), records=records, seed=1
        )

        async def play() -> int:
            await evacuations.run(count=6, seconds=0.05)
            return len((await store.list(kind=KIND)).items)

        assert asyncio.run(play()) == 0
        assert records.evacuations
        for place in ZONES:
            spans = sorted((e.begin, e.end) for e in records.evacuations if e.place == place)
            assert all(before[1] <= after[0] for before, after in pairwise(spans))
        assert {window.kind for window in records.windows} == {"place evacuated"}

    def test_own_draws(self) -> None:
        """It draws from a generator of its own, so that a seed's other faults stay the same."""
        evacuations = Evacuations(fleet=cast(Fleet, None), records=Records(), seed=7)
        assert evacuations._random.random() == Random("7 evacuations").random()
