"""The soak reads from a host's log which requests have no end."""

from pathlib import Path

import msgspec
import pytest

from bench.soak._logs import read_log
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
