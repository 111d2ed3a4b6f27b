"""The daemon as a process: its settings and its graceful shutdown."""

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from re import compile
from signal import SIGTERM

import httpx
import pytest

from azureswitch.coordination.configuration import Changes
from azureswitch.entry import ENTRY_TABLE, LogLevel, main, read_settings
from azureswitch.exceptions import SettingsError
from azureswitch.platform import HttpStore
from azureswitch_standins.engine import CostModel, EngineSettings, EngineStandin, expected_answer
from azureswitch_standins.hosts import HostListStandin
from azureswitch_standins.store import StoreStandin
from tests.entry.rig import KEY, Rig, configuration
from tests.entry.test_survival import body, tokens
from tests.waiting import PATIENCE, wait_until

GOOD = """
[host]
name = entry-1
place = north-1
region = west
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
operations = 127.0.0.1:0
[platform]
store = {store}
hosts = {hosts}
[shutdown]
drain_notice = 0
"""

LISTENS = compile(r"Host entry-1 listens on (127\.0\.0\.1:[0-9]+)\.")
"""The daemon's log line once it accepts callers."""


def settings_file(path: Path, **values: object) -> Path:
    """Write a settings file and return its path."""
    file = path / "entry.ini"
    defaults = {"store": "127.0.0.1:1", "hosts": "127.0.0.1:1"}
    file.write_text(GOOD.format(**{**defaults, **values}))
    return file


class TestSettings:
    """`read_settings` and the exit codes."""

    @pytest.mark.parametrize(
        ("old", "new", "named"),
        [
            ("region = west", "", "[host] region"),
            ("name = entry-1", "name = Entry 1", "[host] name"),
            ("drain_notice = 0", "drain_notice = -1", "[shutdown] drain_notice"),
            ("[shutdown]", "[shutdwon]", "[shutdwon]"),
            ("drain_notice", "drain_note", "[shutdown] drain_note"),
            ("[shutdown]", "[limits]\nbody_bytes = 1\n[shutdown]", "[limits] body_bytes"),
            ("127.0.0.1:0", "localhost:0", "[listen] callers"),
        ],
    )
    def test_refused(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, named: str
    ) -> None:
        """Invalid settings end the program with code 2 and an error with file, section and key."""
        file = settings_file(tmp_path)
        file.write_text(file.read_text().replace(old, new))
        assert main(["--settings", str(file)]) == 2
        message = capsys.readouterr().err
        assert str(file) in message
        assert named in message

    def test_missing(self, tmp_path: Path) -> None:
        """A missing file is rejected."""
        with pytest.raises(SettingsError):
            read_settings(tmp_path / "nowhere.ini")

    def test_defaults(self, tmp_path: Path) -> None:
        """Missing settings have the defaults that the table documents."""
        settings = read_settings(settings_file(tmp_path))
        defaults = {setting.key: setting.default for setting in ENTRY_TABLE.of("limits")}
        assert settings.limits.body_bytes == defaults["body_bytes"]
        assert settings.log_level is LogLevel.INFO


class Outside(Rig):
    """Stand-ins over HTTP, and a daemon in a separate process."""

    def __init__(self) -> None:
        super().__init__(hosts=0)
        cost = CostModel(decode_base=0.01)
        self.engines = [EngineStandin(settings=EngineSettings(name="engine-0", cost=cost))]
        self.platform = StoreStandin()
        self.listed = HostListStandin()

    async def start(self) -> None:
        """Start the stand-ins and accept a configuration."""
        await self.engines[0].start()
        await self.platform.start()
        await self.listed.start()
        changes = Changes(store=HttpStore(address=self.platform.address))
        await changes.propose(
            base=0, body=configuration(self.engines), author="operator", change="first"
        )

    async def stop(self) -> None:
        """Stop the stand-ins."""
        for standin in (self.engines[0], self.platform, self.listed):
            await standin.stop()


@pytest.fixture
def outside() -> Iterator[Outside]:
    """Return running stand-ins."""
    rig = Outside()
    with rig.running():
        yield rig


class TestProcess:
    """The daemon."""

    def test_sigterm(self, outside: Outside, tmp_path: Path) -> None:
        """A stream in progress at SIGTERM is completed, and the exit code is 0."""
        file = settings_file(tmp_path, store=outside.platform.address, hosts=outside.listed.address)
        program = "import sys; from azureswitch.entry import main; sys.exit(main())"
        command = [sys.executable, "-c", program, "--settings", str(file)]
        log = tmp_path / "log"
        with log.open("wb") as output, subprocess.Popen(command, stderr=output) as process:
            try:
                url = self.ready(process, log)
                headers = {"authorization": f"Bearer {KEY}"}
                request = body("Last one?", 80)
                with httpx.stream(
                    "POST", f"{url}/v1/completions", json=request, headers=headers, timeout=PATIENCE
                ) as stream:
                    process.send_signal(SIGTERM)
                    text = stream.read().decode()
                assert tokens(text) == expected_answer("Last one?", 80)
                assert process.wait(timeout=PATIENCE) == 0
            finally:
                process.kill()

    def ready(self, process: subprocess.Popen[bytes], log: Path) -> str:
        """Wait until the daemon is ready and return its address for callers."""
        found: list[str] = []

        def is_ready() -> bool:
            assert process.poll() is None, log.read_text()
            found[:] = LISTENS.findall(log.read_text())
            return bool(found) and httpx.get(f"http://{found[0]}/readyz").is_success

        wait_until(is_ready)
        return f"http://{found[0]}"
