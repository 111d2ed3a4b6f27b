"""The list of tests that are known to fail."""

import pytest

from bench.__main__ import known_records
from tests.conftest import KnownFailure, read_known_failures

LINE = "tests/a/test_a.py::TestA | a cause | issue 1 | make test"


class TestKnownFailures:
    """The list names each failure whole, is short, and covers just what it names."""

    def test_line(self) -> None:
        """A line has four fields; empty lines are passed over."""
        (known,) = read_known_failures(f"\n{LINE}\n\n")
        assert known == KnownFailure(
            test="tests/a/test_a.py::TestA",
            cause="a cause",
            issue="issue 1",
            command="make test",
        )

    @pytest.mark.parametrize(
        "text",
        [
            "tests/a/test_a.py::TestA",
            "tests/a/test_a.py::TestA | a cause | issue 1",
            "tests/a/test_a.py::TestA |  | issue 1 | make test",
            "\n".join([LINE] * 4),
        ],
    )
    def test_refused(self, text: str) -> None:
        """Lines without cause, issue or command, and a list of more than three, are refused."""
        with pytest.raises(ValueError, match=r"line does not name|are listed"):
            read_known_failures(text)

    def test_crowds(self) -> None:
        """Each test of a crowd has a line of its own, and these do not count."""
        crowd = LINE.replace("tests/a/", "tests/crowds/")
        assert len(read_known_failures("\n".join([LINE] * 3 + [crowd] * 9))) == 12
        with pytest.raises(ValueError, match="are listed"):
            read_known_failures("\n".join([LINE] * 4 + [crowd]))

    @pytest.mark.parametrize(
        ("node", "covered"),
        [
            ("tests/a/test_a.py::TestA::test_one", True),
            ("tests/a/test_a.py::TestA", True),
            ("tests/a/test_a.py::TestAll::test_one", False),
            ("tests/a/test_a.py::TestB::test_one", False),
        ],
    )
    def test_covers(self, node: str, covered: bool) -> None:
        """A class covers its tests, and no other whose name begins alike."""
        (known,) = read_known_failures(LINE)
        assert known.covers(node) is covered

    def test_benchmarks(self) -> None:
        """A line covers a benchmark by the whole name of its record, and no test does."""
        line = "bench adoption.4000.longest_turn | a cause | issue 1 | make bench"
        assert known_records(f"{LINE}\n{line}\n") == {"adoption.4000.longest_turn"}
        _, known = read_known_failures(f"{LINE}\n{line}")
        assert known.covers("tests/a/test_a.py::TestA") is False
