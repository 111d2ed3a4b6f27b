"""Settings files are read by one table, and whatever is wrong is named."""

from contextlib import suppress
from enum import Enum
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureswitch.exceptions import (
    DuplicateSettingError,
    InvalidSettingError,
    MissingSettingError,
    SettingsError,
    SettingsFileMissingError,
    SettingsSyntaxError,
    UnknownSettingError,
)
from azureswitch.settings import (
    NAME,
    Address,
    Choice,
    ExistingFile,
    Flag,
    HostPort,
    Integer,
    Items,
    Kind,
    Number,
    Seconds,
    Setting,
    Table,
    Text,
    parse,
    read,
    reference,
)


class Colour(Enum):
    """An enumeration to choose from."""

    RED = "red"
    BLUE = "blue"


LISTEN = Setting(section="entry", key="listen", kind=HostPort(), help="Where it listens.")
PAUSE = Setting(
    section="entry", key="pause", kind=Seconds(high=60), default=0.5, help="How long it waits."
)
PLACE = Setting(section="place", key="region", kind=NAME, help="Its region.")
TABLE = Table(title="Example", settings=(LISTEN, PAUSE, PLACE), named=frozenset({"place"}))
GOOD = b"[entry]\nlisten = 127.0.0.1:80\n"


class TestKinds:
    """`Kind`."""

    @pytest.mark.parametrize(
        ("kind", "text", "value"),
        [
            (Integer(low=1, high=5_000), "4_096", 4096),
            (Number(), "-1.25", -1.25),
            (Seconds(), "1.5", 1.5),
            (Seconds(), "200 ms", 0.2),
            (Seconds(), "5min", 300.0),
            (Seconds(), "1 d", 86_400.0),
            (HostPort(), "10.0.0.7:8080", Address(ip="10.0.0.7", port=8080)),
            (HostPort(), "[FD00::7]:1", Address(ip="fd00::7", port=1)),
            (HostPort(any_port=True), "127.0.0.1:0", Address(ip="127.0.0.1", port=0)),
            (Choice(options=Colour), "blue", Colour.BLUE),
            (Flag(), "yes", True),
            (Items(kind=Integer()), "1, 2,\n3", (1, 2, 3)),
            (Items(kind=NAME), "", ()),
            (Text(), "Zürich north", "Zürich north"),
        ],
    )
    def test_accepts(self, kind: Kind[object], text: str, value: object) -> None:
        """A good value is read, and its own text reads the same."""
        assert kind.parse(text) == value
        assert kind.parse(kind.show(value)) == value

    @pytest.mark.parametrize(
        ("kind", "text"),
        [
            (Integer(low=1), "0"),
            (Integer(), "1.0"),
            (Integer(), "٣"),
            (Number(), "nan"),
            (Number(), "1e400"),
            (Seconds(high=60), "61"),
            (Seconds(), "-1 s"),
            (Seconds(), "1 week"),
            (HostPort(), "localhost:80"),
            (HostPort(), "127.0.0.1"),
            (HostPort(), "127.0.0.1:0"),
            (HostPort(), "127.0.0.1:65536"),
            (HostPort(), "fd00::7:80"),
            (Choice(options=Colour), "green"),
            (Flag(), "true"),
            (Items(kind=Integer()), "1, 1"),
            (Items(kind=Integer(), least=1), " "),
            (NAME, "North"),
            (NAME, "a" * 64),
            (ExistingFile(), "/nowhere/at/all"),
        ],
    )
    def test_refuses(self, kind: Kind[object], text: str) -> None:
        """A bad value is refused, and the type says what it expects."""
        with pytest.raises(ValueError):
            kind.parse(text)
        assert kind.expected


class TestRead:
    """`read` and `parse`."""

    def test_values_and_defaults(self, tmp_path: Path) -> None:
        """Values come back by their setting, defaults included, names in the file's order."""
        path = tmp_path / "entry.ini"
        path.write_bytes(GOOD + b"[place b]\nregion = x\n[place a]\nregion = y\n")
        values = read(path, TABLE)
        assert values.get(LISTEN).port == 80
        assert values.get(PAUSE) == 0.5
        assert values.names("place") == ("b", "a")
        assert values.get(PLACE, "a") == "y"

    @pytest.mark.parametrize(
        ("content", "error", "section", "key"),
        [
            (b"", MissingSettingError, "entry", "listen"),
            (b"[entry]\npause = 1", MissingSettingError, "entry", "listen"),
            (GOOD + b"pause = 61", InvalidSettingError, "entry", "pause"),
            (GOOD + b"pause =", InvalidSettingError, "entry", "pause"),
            (GOOD + b"paws = 1", UnknownSettingError, "entry", "paws"),
            (GOOD + b"Pause = 1", UnknownSettingError, "entry", "Pause"),
            (GOOD + b"pause = 1\npause = 1", DuplicateSettingError, "entry", "pause"),
            (GOOD + b"[entry]", DuplicateSettingError, "entry", ""),
            (GOOD + b"[other]", UnknownSettingError, "other", ""),
            (GOOD + b"[entry x]", UnknownSettingError, "entry x", ""),
            (GOOD + b"[DEFAULT]\npause = 1", UnknownSettingError, "DEFAULT", ""),
            (GOOD + b"[place]", UnknownSettingError, "place", ""),
            (GOOD + b"[place A]", UnknownSettingError, "place A", ""),
            (GOOD + b"[place a]", MissingSettingError, "place a", "region"),
            (b"listen = 1", SettingsSyntaxError, "", ""),
            (GOOD + b"what is this", SettingsSyntaxError, "", ""),
            (b"\xff", SettingsSyntaxError, "", ""),
        ],
    )
    def test_refusals(
        self, content: bytes, error: type[SettingsError], section: str, key: str
    ) -> None:
        """Whatever is wrong is refused with the file, section and key."""
        with pytest.raises(error) as caught:
            parse(content, TABLE, file="entry.ini")
        found = caught.value
        assert (found.file, found.section, found.key) == ("entry.ini", section, key)
        assert "entry.ini" in str(found)

    @pytest.mark.parametrize("name", ["absent.ini", "", "\x00"])
    def test_missing_file(self, tmp_path: Path, name: str) -> None:
        """A file that cannot be read is refused."""
        with pytest.raises(SettingsFileMissingError):
            read(tmp_path / name, TABLE)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.binary(max_size=200)
        | st.lists(
            st.sampled_from(
                [b"[entry]", b"[place a]", b"listen = ", b"127.0.0.1:80", b"\n", b" ", b"=", b"x"]
            )
            | st.binary(max_size=3),
            max_size=30,
        ).map(b"".join)
    )
    def test_fuzz(self, content: bytes) -> None:
        """Any content gives values or a typed error and nothing else."""
        with suppress(SettingsError):
            assert isinstance(parse(content, TABLE, file="fuzz.ini").get(LISTEN), Address)


class TestReference:
    """`reference`."""

    def test_rows(self) -> None:
        """Every setting has a row with its type, default and meaning."""
        page = reference(TABLE)
        assert "### `[place NAME]`" in page
        assert "| `pause` | a duration from 0 to 60 s" in page
        assert "| `0.5 s` | How long it waits. |" in page
        assert "| required | Where it listens. |" in page
