"""The soak finds each broken promise, and none in a run that keeps them."""

import pytest
from msgspec.structs import replace

from azureswitch_standins.target import Note, NoteKind, answer_body, event, event_count, seal
from bench.soak._checks import check
from bench.soak._ends import crossed
from bench.soak._keepers import Ending
from bench.soak._records import (
    AWAY,
    CallKind,
    CallRecord,
    Change,
    Records,
    Sample,
    Silent,
    Window,
)
from bench.soak._run import unserved


def call(kind: CallKind = CallKind.BOOK, **more: object) -> CallRecord:
    """Return a call that was sent at 10 s, and by default answered whole."""
    body = answer_body("c1")
    if kind in (CallKind.ASK, CallKind.ONCE):
        body = b"".join(event("c1", n) for n in range(1, event_count("c1") + 1))
    fields: dict[str, object] = {
        "host": "h1",
        "key": "key-ann",
        "digest": "d",
        "sent": 10.0,
        "deadline": 15.0,
        "ended": 10.2,
        "status": 200,
        "seal": seal("c1"),
        "body": body,
        **more,
    }
    return CallRecord(id="c1", kind=kind, **fields)  # type: ignore[arg-type]


def note(kind: NoteKind, at: float = 10.1, target: str = "t1", **more: object) -> Note:
    """Return a note of a target."""
    fields: dict[str, object] = {"id": "c1", "customer": "ann", "digest": "d", "left": 4.0, **more}
    return Note(kind=kind, at=at, target=target, **fields)  # type: ignore[arg-type]


RUN = note(NoteKind.RUN)
UNREAD = call(status=0, body=b"", ending=Ending.UNREAD.value)
BEGUN = call(CallKind.ONCE, status=0, body=event("c1", 1), begun=True, ended=11.0)
"""A stream that was broken off after its first event."""
CHANGES = [
    Change(version=1, at=0.0, extra=True),
    Change(version=4, at=5.0, extra=False),
]


def window(subject: str, *, begin: float = 9.0, end: float = 11.0) -> Window:
    """Return a fault around the call."""
    return Window(kind="fault", subject=subject, begin=begin, end=end)


SILENT = Window(kind="silence", subject="t1", begin=9.0, end=11.0, silent=True)

AWAY_AGAIN = Window(kind=AWAY, subject="h1", begin=10.2, end=11.0)


class TestCheck:
    """Unit tests of `check`."""

    @pytest.mark.parametrize(
        ("kind", "read", "counts"),
        [
            (CallKind.LOOK, False, (1, 0)),
            (CallKind.BOOK, False, (1, 1)),
            (CallKind.LOOK, True, (0, 0)),
        ],
    )
    def test_crossed(self, kind: CallKind, read: bool, counts: tuple[int, int]) -> None:
        """Requests that crossed a close are counted, but for those that a log shows as read."""
        record = replace(UNREAD, kind=kind, told=True)
        records = Records(calls={"c1": record}, read={("h1", "c1")} if read else set())
        assert crossed(records) == counts
        assert [line.partition(":")[0] for line in check(records)] == ["LOST"] * read

    @pytest.mark.parametrize(
        ("promise", "record", "notes", "windows"),
        [
            ("TWICE", call(), [RUN, note(NoteKind.RUN, 10.15, "t2")], []),
            ("TWICE", call(CallKind.ONCE), [RUN, note(NoteKind.RUN, 10.15)], [window("h1")]),
            ("REFUSED", call(status=503, seal="", body=b""), [RUN], [window("h1")]),
            ("REFUSED", call(status=429, seal="", body=b""), [note(NoteKind.RUN, 30.0)], []),
            ("UNASKED", call(), [note(NoteKind.RUN, digest="other")], []),
            ("UNASKED", call(), [note(NoteKind.RUN, customer="bob")], []),
            ("UNASKED", call(), [note(NoteKind.RUN, keyed=True)], []),
            ("UNASKED", call(), [note(NoteKind.RUN, left=9.0)], []),
            ("UNASKED", call(), [RUN, note(NoteKind.RUN, id="never-sent")], []),
            ("MIXED", call(body=answer_body("c2")), [RUN], []),
            ("MIXED", call(seal=""), [RUN], []),
            ("MIXED", call(), [note(NoteKind.RUN, born=7)], []),
            (
                "MIXED",
                call(CallKind.LOOK, seal=seal("c1", born=5)),
                [note(NoteKind.RUN, born=7)],
                [],
            ),
            ("MIXED", call(CallKind.ASK, body=event("c1", 1)), [RUN], [window("h1")]),
            ("MIXED", call(status=500), [], []),
            ("ORDER", call(CallKind.ASK, status=0, body=event("c1", 2)), [RUN], [window("h1")]),
            ("TIME", call(ended=16.5), [RUN], []),
            ("LOST", call(status=0, body=b""), [RUN], []),
            ("LOST", call(status=0, body=b""), [RUN], [window("h1 planned")]),
            ("LOST", call(status=0, body=b""), [RUN], [window("t1", end=8.0)]),
            (
                "LOST",
                call(status=0, body=b"", ended=11.0),
                [RUN],
                [window("h1 planned", begin=3.0)],
            ),
            ("LOST", BEGUN, [RUN], [window("h1 planned", begin=4.0)]),
            ("LOST", BEGUN, [RUN], [SILENT]),
            ("LOST", replace(BEGUN, ended=14.8), [RUN], []),
            ("LOST", call(status=0, body=b""), [RUN], [SILENT]),
            ("LOST", call(CallKind.LOOK, status=0, body=b"", begun=True), [RUN], [SILENT]),
            ("LOST", call(status=0, body=b"", ending=Ending.READ.value), [], []),
            ("LOST", call(status=0, body=b""), [RUN], [AWAY_AGAIN]),
            ("CROSSED", UNREAD, [], [window("h1 planned")]),
            (
                "DRAIN",
                call(),
                [note(NoteKind.DRAINING, 7.0, id=""), RUN],
                [],
            ),
            (
                "ATTEMPTS",
                call(CallKind.ASK),
                [RUN, note(NoteKind.RUN, target="t2"), note(NoteKind.RUN, target="t3")],
                [],
            ),
            ("ROUTE", call(key="key-extra"), [RUN], []),
            ("DENIED", call(status=401, seal="", body=b""), [], []),
        ],
    )
    def test_broken(
        self, promise: str, record: CallRecord, notes: list[Note], windows: list[Window]
    ) -> None:
        """Each broken promise is told by its name."""
        records = Records(calls={record.id: record}, notes=notes, windows=windows, changes=CHANGES)
        assert {line.partition(":")[0] for line in check(records)} == {promise}

    @pytest.mark.parametrize(
        ("record", "notes", "windows"),
        [
            (call(), [RUN], []),
            (call(seal=seal("c1", born=7)), [note(NoteKind.RUN, born=7)], []),
            (call(CallKind.ASK), [RUN, note(NoteKind.RUN, target="t2")], []),
            (call(CallKind.LOOK), [RUN, note(NoteKind.RUN, 10.15, "t2")], []),
            (call(status=503, seal="", body=b""), [note(NoteKind.REFUSED)], []),
            (call(status=0, body=b""), [RUN], [window("h1")]),
            (BEGUN, [RUN], [window("t1", end=8.0)]),
            (
                replace(BEGUN, kind=CallKind.ASK),
                [RUN, note(NoteKind.RUN, target="t2")],
                [SILENT, window("t2")],
            ),
            (replace(BEGUN, ended=14.95), [RUN], [SILENT]),
            (BEGUN, [RUN], [window("h1 planned", begin=3.0)]),
            (UNREAD, [], [window("h1")]),
            (replace(UNREAD, told=True), [], [window("h1 planned")]),
            (replace(UNREAD, kind=CallKind.LOOK), [], [window("h1 planned")]),
            (call(ended=16.5), [RUN], [window("h1 planned")]),
            (call(status=0, body=b"", reached=False), [], []),
            (call(), [note(NoteKind.DRAINING, 7.0, id=""), RUN], [window("store")]),
            (call(), [note(NoteKind.DRAINING, 8.0, id=""), RUN], []),
            (call(status=401, key="key-extra", seal="", body=b""), [], []),
        ],
    )
    def test_kept(self, record: CallRecord, notes: list[Note], windows: list[Window]) -> None:
        """What the platform's rules excuse is no finding."""
        records = Records(calls={record.id: record}, notes=notes, windows=windows, changes=CHANGES)
        assert check(records) == []

    @pytest.mark.parametrize(
        ("versions", "found"),
        [
            ([(1, 1.0, 1), (1, 8.0, 4)], 0),
            ([(1, 1.0, 1), (1, 8.0, 1)], 1),
            ([(1, 6.0, 4), (1, 7.0, 1)], 1),
            ([(1, 6.0, 4), (2, 7.0, 1)], 0),
        ],
    )
    def test_configuration(self, versions: list[tuple[int, float, int]], found: int) -> None:
        """A version is in force in time, and none goes back while a process lives."""
        samples = [Sample(host="h1", start=s, at=at, version=v) for s, at, v in versions]
        records = Records(samples=samples, changes=CHANGES)
        assert len(check(records)) == found

    @pytest.mark.parametrize(("left", "lost"), [(1.05, 0), (1.2, 1)])
    def test_timeout(self, left: float, lost: int) -> None:
        """A stream may be broken off at its route's timeout as it was admitted, and no sooner."""
        records = Records(calls={"c1": BEGUN}, notes=[RUN], admitted={"h1 c1": left, "h2 c1": 0.5})
        assert [line.partition(":")[0] for line in check(records)] == ["LOST"] * lost

    @pytest.mark.parametrize(
        ("silent", "failed", "lost"),
        [
            ("t1", "t2", 1),
            ("t2", "t1", 1),
            ("t1", "t1", 0),
            ("t3", "t2", 0),
            ("t1", "h2", 1),
        ],
    )
    def test_moved(self, silent: str, failed: str, lost: int) -> None:
        """A stream may be broken off where a way of it failed, and no other one was silent."""
        records = Records(
            calls={"c1": replace(BEGUN, kind=CallKind.ASK)},
            notes=[RUN, note(NoteKind.RUN, target="t2")],
            windows=[window(failed)],
            silences=[Silent(target=silent, begin=10.0, end=11.5)],
            read={("h1", "c1"), ("h2", "c1")},
        )
        assert [line.partition(":")[0] for line in check(records)] == ["LOST"] * lost

    @pytest.mark.parametrize(
        ("broken", "lost"), [(("t2",), 0), (("t1",), 1), ((), 1), (("t1", "t2"), 0)]
    )
    def test_moved_by_log(self, broken: tuple[str, ...], lost: int) -> None:
        """A failure excuses where the answer of that target had begun, by its host's log."""
        records = Records(
            calls={"c1": replace(BEGUN, kind=CallKind.ASK)},
            notes=[RUN, note(NoteKind.RUN, target="t2")],
            windows=[window("t2")],
            silences=[Silent(target="t1", begin=10.0, end=11.5)],
            broken={"h1 c1": broken},
        )
        assert [line.partition(":")[0] for line in check(records)] == ["LOST"] * lost

    @pytest.mark.parametrize(("target", "found"), [("t1", 0), ("t2", 1)])
    def test_gone_silent(self, target: str, found: int) -> None:
        """Work for callers who left may linger at a target that was silent, and at no other."""
        gone = call(CallKind.LOOK, left=10.2)
        notes = [RUN, note(NoteKind.OVER, 12.0)]
        records = Records(silences=[Silent(target=target, begin=10.0, end=11.9)])
        for number in range(4):
            records.calls[f"c{number}"] = replace(gone, id=f"c{number}", status=0, body=b"")
            records.notes += [replace(each, id=f"c{number}") for each in notes]
        assert [line.partition(":")[0] for line in check(records)] == ["GONE"] * found

    def test_gone(self) -> None:
        """Some requests may linger for callers who left, and more may not."""
        records = Records()
        for number in range(5):
            id = f"c{number}"
            gone = CallRecord(
                id=id,
                kind=CallKind.ASK,
                host="h1",
                key="key-ann",
                digest="d",
                sent=10.0,
                deadline=15.0,
                ended=10.2,
                left=10.2,
            )
            records.calls[id] = gone
            records.notes.append(note(NoteKind.RUN, 10.1, id=id))
            assert not any("GONE" in line for line in check(records)) or number > 2
            records.notes.append(note(NoteKind.OVER, 12.0, id=id))
        assert [line.partition(":")[0] for line in check(records)] == ["GONE"]

    @pytest.mark.parametrize(
        ("status", "tokens", "found"),
        [(200, 0, 0), (503, 900_000, 0), (503, 405_000, 1), (502, 900_000, 1), (0, 900_000, 1)],
    )
    def test_unserved(self, status: int, tokens: int, found: int) -> None:
        """Requests that fail in calm are a finding, but for prompts that find no room."""
        calls = {}
        for number in range(20):
            record = call(CallKind.ASK, status=status, tokens=tokens)
            calls[f"c{number}"] = record
        assert len(unserved(Records(calls=calls), since=5.0)) == found

    @pytest.mark.parametrize(
        ("kind", "sent", "ran", "trouble", "found"),
        [
            ("target restarted out of reach", 150, ("t2",), None, ["t3"]),
            ("target restarted out of reach", 150, ("t2", "t3"), None, []),
            ("target restarted out of reach", 150, ("t2",), window("t3", begin=8.0), []),
            ("target restarted out of reach", 150, ("t2",), window("store", begin=8.0), []),
            ("target restarted out of reach", 40, ("t2",), None, []),
            ("target restarted out of reach", 40, ("t1",), None, ["t2", "t3"]),
            ("target restarted out of reach", 10, ("t1",), None, []),
            ("target paused", 150, ("t1",), None, []),
        ],
    )
    def test_unused(
        self, kind: str, sent: int, ran: tuple[str, ...], trouble: Window | None, found: list[str]
    ) -> None:
        """While a target restarts, each other one of its service gets requests."""
        records = Records(services={"t1": "desk", "t2": "desk", "t3": "desk", "t4": "pool"})
        records.windows = [
            Window(kind=kind, subject="t1", begin=9.0, end=12.0),
            *([trouble] if trouble else []),
        ]
        records.notes = [note(NoteKind.LISTED, 1.0, target, id="") for target in records.services]
        for number in range(sent):
            id = f"c{number}"
            record = call(CallKind.LOOK, body=answer_body(id), seal=seal(id))
            record.id = id
            records.calls[id] = record
            target = ran[number % len(ran)]
            records.notes.append(note(NoteKind.RUN, 10.1 + number / 1_000.0, target, id=id))
        lines = [line.split() for line in check(records)]
        assert [line[1] for line in lines if line[0] == "UNUSED:"] == found
        assert all(line[0] == "UNUSED:" for line in lines)

    def test_budget(self) -> None:
        """More repeated sends than the hosts share break the budget."""
        records = Records(calls={"c1": call(CallKind.LOOK)})
        records.notes = [note(NoteKind.REFUSED, 10.0 + n / 100.0) for n in range(60)]
        assert any(line.startswith("BUDGET") for line in check(records))


class TestCarriers:
    """A stream that was sent through the tunnel of another host."""

    @pytest.mark.parametrize(
        ("read", "killed", "lost"),
        [
            pytest.param({("h2", "c1")}, "h2", [], id="its carrier is killed"),
            pytest.param({("h2", "c1")}, "h3", ["LOST"], id="another host is killed"),
            pytest.param({("h2", "c2")}, "h2", ["LOST"], id="it took no tunnel"),
        ],
    )
    def test_broken_off(self, read: set[tuple[str, str]], killed: str, lost: list[str]) -> None:
        """It may be broken off as its carrier dies, and as no other host does."""
        records = Records(
            calls={"c1": BEGUN}, notes=[RUN], windows=[window(killed)], read={("h1", "c1"), *read}
        )
        assert [line.partition(":")[0] for line in check(records)] == lost
