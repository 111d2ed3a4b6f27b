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
