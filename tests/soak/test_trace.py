"""What the soak tells of a run that breaks a promise, or that does not start."""

import asyncio
from pathlib import Path

import pytest

from azureswitch_standins.target import Note, NoteKind
from bench.soak import _run
from bench.soak._records import CallKind, CallRecord, Records, Window
from bench.soak._run import Plan, run
from bench.soak._trace import MOST_LETTERS, trace


def call(id: str) -> CallRecord:
    """Return a stream that was broken off half a second after it was sent."""
    return CallRecord(
        id=id,
        kind=CallKind.ASK,
        host="h0",
        key="k",
        digest="d",
        sent=10.0,
        deadline=15.0,
        ended=10.5,
        tokens=900,
        begun=True,
        body=b"abc",
    )


SUMMARY = (
    "s-1: ask of 900 tokens to h0, sent at 0.000 s, over at 0.500 s with status 0; its answer had "
    "begun, 3 bytes came"
)


class TestTrace:
    """Unit tests of `trace`."""

    @pytest.mark.parametrize(
        ("broken", "expected"),
        [
            ([], 0),
            (["EXIT: h0 ended of itself"], 0),
            (["LOST: s-1 was broken off at h0"], 1),
            (["LOST: s-1 was broken off at h0", "CUT: h0 has cut off s-1"], 1),
            (["GONE: still at work for callers who left: s-1, s-2"], 2),
            ([f"LOST: s-{n} was broken off at h0" for n in range(1, 6)], 3),
        ],
    )
    def test_calls(self, broken: list[str], expected: int) -> None:
        """Each call that is named is told of once, up to a few."""
        records = Records(calls={f"s-{n}": call(f"s-{n}") for n in range(1, 6)})
        assert len(trace(broken, records=records, logs=())) == expected

    def test_lines(self, tmp_path: Path) -> None:
        """The call, its targets, its host's log and the faults near it are told in that order."""
        log = tmp_path / "h0.log"
        long = b'{"id": "s-1", "more": "' + b"x" * MOST_LETTERS
        log.write_bytes(b'{"id": "s-10"}\n' + long + b"\n")
        faults = [(7.4, 7.6), (1.0, 6.0), (12.0, 13.0)]
        records = Records(
            calls={"s-1": call("s-1")},
            notes=[
                Note(kind=NoteKind.RUN, at=10.1, target="t1", id="s-1"),
                Note(kind=NoteKind.RUN, at=10.2, target="t2", id="s-2"),
            ],
            windows=[Window(kind="paused", subject="t1", begin=b, end=e) for b, e in faults],
        )
        assert trace(["LOST: s-1"], records=records, logs=(log,)) == (
            SUMMARY,
            "0.100 s, t1: a request began to run",
            f"log of h0: {long.decode()[:MOST_LETTERS]}",
            "-2.600 to -2.400 s, t1: paused",
        )


class TestStart:
    """Unit tests of a run whose processes do not start."""

    def test_told(self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
        """It is told as such, with what was waited for, and nothing is left running."""
        monkeypatch.setattr(_run, "START_SECONDS", 0.01)
        result = asyncio.run(run(Plan(seed=1), folder=tmp_path / "run"))
        assert len(result.broken) == 1
        assert result.broken[0].startswith("START: after 0.01 s still waited for ")
