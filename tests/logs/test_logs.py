"""Logs of bounded volume that never hold up the process."""

import json
import os
import subprocess
import sys
from typing import ClassVar

import pytest

from azureswitch.logs import Entry, Level, LineStream, Log

PROGRAM = """
from azureswitch.gateway import PeersKnown
from azureswitch.logs import Log, start_logs
from absl import logging
start_logs(host="h1")
Log().write(PeersKnown(added="h1,h2", gone="h3", hosts=7))
logging.warning("mirror: The store does not answer for %s.", "config")
"""


class Told(Entry, frozen=True, kw_only=True):
    """An entry about a request."""

    part: ClassVar[str] = "test"
    sentence: ClassVar[str] = "Told."
    id: str

    @property
    def request(self) -> str | None:
        """The id of the request."""
        return self.id


class Warned(Told, frozen=True, kw_only=True):
    """The same as a warning."""

    level: ClassVar[Level] = Level.WARNING


class TestLog:
    """`Log`."""

    @pytest.mark.parametrize(
        ("count", "seconds", "least", "most"),
        [(400, 0.0, 400, 400), (20_000, 0.0, 501, 1_000), (20_000, 100.0, 5_000, 21_000)],
    )
    def test_volume(self, count: int, seconds: float, least: int, most: int) -> None:
        """A burst is written whole, and of more a share that the time permits."""
        now = 0.0
        log = Log(clock=lambda: now)
        for index in range(count):
            now = seconds * index / count
            log.write(Told(id=f"r{index}"))
        assert least <= count - log.left_out <= most

    def test_failures_first(self) -> None:
        """Failures are written where other lines are left out."""
        log = Log(clock=lambda: 0.0)
        for index in range(20_000):
            log.write(Told(id=f"r{index}"))
        left_out = log.left_out
        assert left_out
        log = Log(clock=lambda: 0.0)
        for index in range(520):
            log.write(Told(id=f"r{index}"))
        before = log.left_out
        for index in range(100):
            log.write(Warned(id=f"r{index}"))
        assert log.left_out == before

    def test_same_requests(self, caplog: pytest.LogCaptureFixture) -> None:
        """Hosts that leave out lines keep those of the same requests."""
        kept = []
        for _ in range(2):
            log = Log(clock=lambda: 0.0)
            caplog.clear()
            with caplog.at_level("INFO", logger="absl"):
                for index in range(2_000):
                    log.write(Told(id=f"r{index}"))
            kept.append([record.__dict__["id"] for record in caplog.records][501:])
        assert kept[0]
        assert kept[0] == kept[1]


class TestLineStream:
    """`LineStream`."""

    def test_full(self) -> None:
        """A reader that is too slow costs lines, which are counted, and no waiting."""
        reader, writer = os.pipe()
        stream = LineStream(descriptor=writer)
        for _ in range(10_000):
            stream.write("x" * 99 + "\n")
        assert stream.dropped
        read = 0
        os.set_blocking(reader, False)
        while True:
            stream.flush()
            try:
                read += len(os.read(reader, 65_536))
            except BlockingIOError:
                break
        assert read == (10_000 - stream.dropped) * 100
        os.close(reader)
        os.close(writer)

    def test_gone(self) -> None:
        """A reader that is gone costs lines alone."""
        reader, writer = os.pipe()
        os.close(reader)
        stream = LineStream(descriptor=writer)
        stream.write("a\n")
        assert stream.dropped == 1
        os.close(writer)


class TestLines:
    """What a process writes."""

    def test_objects(self) -> None:
        """Each line is one JSON object with host, level and sentence, on standard output."""
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, check=True, text=True
        )
        first, second = (json.loads(line) for line in done.stdout.splitlines())
        assert first["message"] == "gateway: Hosts changed."
        assert (first["added"], first["gone"], first["hosts"]) == ("h1,h2", "h3", 7)
        assert (first["host"], first["level"]) == ("h1", "INFO")
        assert (second["level"], done.stderr) == ("WARNING", "")
        assert second["message"] == "mirror: The store does not answer for config."
