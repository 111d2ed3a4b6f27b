"""The soak reads from a host's log which requests have no end."""

from pathlib import Path

import msgspec
import pytest

from bench.soak._logs import main, read_log
from bench.soak._records import Records

STOPPED = {"message": "gateway: Stopped."}


def _line(message: str, **more: object) -> dict[str, object]:
    return {"message": f"gateway: Request {message}.", "id": "c1", **more}


class TestReadLog:
    """Unit tests of `read_log`."""

    @pytest.mark.parametrize(
        ("processes", "read", "found"),
        [
            ([[_line("admitted"), _line("answered"), STOPPED]], True, 0),
            ([[_line("admitted"), _line("failed"), STOPPED]], True, 0),
            ([[_line("refused"), STOPPED]], True, 0),
            ([[_line("admitted"), _line("refused"), STOPPED]], True, 1),
            ([[_line("admitted"), _line("answered"), _line("failed"), STOPPED]], True, 1),
            ([[_line("admitted"), _line("answered"), _line("answered")]], True, 1),
            ([[_line("admitted", left=3.0, time=1.0), _line("x", time=10.0)]], True, 1),
            ([[_line("admitted", left=3.0, time=1.0), _line("x", time=8.0)]], True, 0),
            ([[_line("answered"), STOPPED]], False, 0),
            ([[_line("admitted"), STOPPED]], True, 1),
            ([[_line("admitted"), _line("admitted"), _line("answered"), STOPPED]], True, 1),
            ([[_line("admitted")]], True, 0),
            ([[_line("admitted")], [_line("answered"), STOPPED]], True, 0),
            ([[_line("admitted"), STOPPED], [_line("answered"), STOPPED]], True, 1),
            ([[_line("admitted"), {**STOPPED, "left_out": 3}]], True, 0),
            ([[_line("admitted"), _line("cut off"), _line("failed"), STOPPED]], True, 1),
            ([[_line("admitted"), _line("cut off"), STOPPED]], True, 2),
        ],
    )
    def test_ends(
        self, processes: list[list[dict[str, object]]], read: bool, found: int, tmp_path: Path
    ) -> None:
        """Each admitted request has its end in the log of a process that stopped by itself."""
        path = tmp_path / "h1.log"
        starts = []
        text = b""
        for lines in processes:
            starts.append(len(text))
            text += b"".join(msgspec.json.encode(line) + b"\n" for line in lines)
            text += b"no entry\n"
        path.write_bytes(text)
        records = Records()
        read_log(path, starts=starts, host="h1", records=records)
        assert records.read == ({("h1", "c1")} if read else set())
        assert len(records.findings) == found
        assert all(line.startswith("CUT: h1") for line in records.findings)


def _sent(attempt: int) -> dict[str, object]:
    more = {"attempt": attempt, "targets": f"t{attempt},t9"}
    return {"message": "gateway: Attempt sent.", "id": "c1", **more}


def _over(attempt: int, end: str, *, begun: bool) -> dict[str, object]:
    more = {"attempt": attempt, "end": end, "begun": begun}
    return {"message": "gateway: Attempt over.", "id": "c1", **more}


FAILED = _line("failed")


class TestBroken:
    """The targets whose answers had begun and ended by themselves."""

    @pytest.mark.parametrize(
        ("lines", "broken"),
        [
            ([_over(1, "broken", begun=True), FAILED], ("t1",)),
            ([_over(1, "broken", begun=False), FAILED], ()),
            ([_over(1, "cancelled", begun=True), _over(2, "broken", begun=True)], None),
            (
                [
                    _over(1, "cancelled", begun=True),
                    _over(2, "broken", begun=False),
                    FAILED,
                ],
                (),
            ),
            (
                [
                    _over(2, "cancelled", begun=False),
                    _over(1, "broken", begun=True),
                    FAILED,
                ],
                ("t1",),
            ),
            (
                [
                    _over(1, "broken", begun=True),
                    FAILED,
                    _over(2, "cancelled", begun=False),
                ],
                (),
            ),
            ([_over(1, "broken", begun=True), {**FAILED, "left_out": 1}], None),
        ],
        ids=[
            *("broke off", "before it began", "no failure", "moved to one that failed"),
            *("another was cancelled before", "another was given up", "lines left out"),
        ],
    )
    def test_broken(
        self, lines: list[dict[str, object]], broken: tuple[str, ...] | None, tmp_path: Path
    ) -> None:
        """They are those of attempts that the host did not give up."""
        path = tmp_path / "h1.log"
        all_lines = [_line("admitted"), _sent(1), _sent(2), *lines]
        path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in all_lines))
        records = Records()
        read_log(path, starts=[0], host="h1", records=records)
        assert records.broken.get("h1 c1") == broken


class TestMain:
    """Unit tests of `main`."""

    ADOPTED = {"message": "gateway: Configuration adopted.", "before": 0}  # noqa: RUF012

    @pytest.mark.parametrize(
        ("lines", "found"),
        [
            ([ADOPTED, _line("admitted"), _line("answered"), STOPPED], 0),
            ([ADOPTED, _line("admitted"), STOPPED], 1),
            ([ADOPTED, _line("admitted"), ADOPTED, _line("answered"), STOPPED], 0),
            ([ADOPTED, _line("admitted"), STOPPED, ADOPTED, _line("answered"), STOPPED], 1),
            ([ADOPTED, _line("admitted"), {**ADOPTED, "before": 4}, STOPPED], 1),
        ],
        ids=["one end", "none", "killed", "an end of another process", "a later configuration"],
    )
    def test_ends(self, lines: list[dict[str, object]], found: int, tmp_path: Path) -> None:
        """The log of any run is checked, also where several processes have written it."""
        path = tmp_path / "host.log"
        path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
        assert main([str(path)]) == found
