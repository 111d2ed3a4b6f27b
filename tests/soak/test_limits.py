"""What the soak says of limits that hosts exceed."""

import pytest

from azureswitch_standins.target import Note, NoteKind
from bench.soak._limits import kept, subject
from bench.soak._records import CallKind, CallRecord, Records, Window


def records(*, limit: str, count: int, begin: float, faults: tuple[Window, ...] = ()) -> Records:
    """Return a run in which a target named a limit for 10 s and got requests in one second."""
    window = Window(kind=f"limit {limit}", subject=subject("t"), begin=0.0, end=10.0)
    notes = [
        Note(kind=NoteKind.ARRIVED, at=begin + index / count, target="t") for index in range(count)
    ]
    call = CallRecord(
        id="c",
        kind=next(iter(CallKind)),
        host="h1",
        key="",
        digest="",
        sent=0.0,
        deadline=1.0,
    )
    return Records(calls={"c": call}, notes=notes, windows=[window, *faults])


class TestKept:
    """`kept`."""

    @pytest.mark.parametrize(
        ("limit", "count", "begin", "broken"),
        [
            ("1", 11, 5.0, False),
            ("1", 12, 5.0, True),
            ("1", 40, 0.5, False),
            ("0", 6, 5.0, True),
            ("many", 40, 5.0, False),
            ("-1", 40, 5.0, False),
            ("", 40, 5.0, False),
        ],
    )
    def test_sum(self, limit: str, count: int, begin: float, broken: bool) -> None:
        """What may arrive in 4 s is allowed, from 3 s on, where the limit can be read."""
        assert bool(list(kept(records(limit=limit, count=count, begin=begin)))) is broken

    @pytest.mark.parametrize(
        ("who", "broken"), [("h1", False), ("h1 planned", False), ("t", True), ("h9", True)]
    )
    def test_excused(self, who: str, broken: bool) -> None:
        """A host's restart or pause excuses, a fault of a target or the store does not."""
        fault = Window(kind="fault", subject=who, begin=4.0, end=4.5)
        run = records(limit="1", count=40, begin=5.0, faults=(fault,))
        assert bool(list(kept(run))) is broken
