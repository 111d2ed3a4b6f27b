"""What all tests need before the first of them runs, and which tests are known to fail."""

from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import strategies as st

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
"""Tests with a known fault, one a line: ``TEST | CAUSE | ISSUE | COMMAND AND SEED``."""

MOST_KNOWN_RED = 3
"""Lines that the list may have; a longer one means that faults are put off."""

CROWDS = "tests/crowds/"
"""Tests of crowds, whose lines do not count, as each of them has a line of its own."""

SEPARATOR = " | "


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownFailure:
    """A line of the list.

    Attributes:
        test: The node id of a test, or of a class or file with several.
        cause: Why it fails.
        issue: Where it is worked on.
        command: How the failure is seen, with its seed.
    """

    test: str
    cause: str
    issue: str
    command: str

    def covers(self, node: str) -> bool:
        """Return whether a test is meant: by its own id, or by its class, file or parameters."""
        return node == self.test or node.startswith((f"{self.test}::", f"{self.test}["))


def read_known_failures(text: str) -> tuple[KnownFailure, ...]:
    """Return the lines of the list.

    Raises:
        ValueError: A line has other fields, or the list is too long.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    known = tuple(_known_failure(line) for line in lines)
    counted = sum(not failure.test.startswith(CROWDS) for failure in known)
    if counted > MOST_KNOWN_RED:
        raise ValueError(f"{counted} tests are listed as failing; {MOST_KNOWN_RED} may be.")
    return known


def _known_failure(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 4 or not all(fields):
        raise ValueError(f"This line does not name test, cause, issue and command: {line}")
    test, cause, issue, command = fields
    return KnownFailure(test=test, cause=cause, issue=issue, command=command)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list, which may be missing."""
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    config.stash[_KNOWN] = read_known_failures(text)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over the failure of listed tests; one that passes must be taken off the list."""
    for item in items:
        for known in config.stash[_KNOWN]:
            if known.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=known.cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that nobody takes a run that passes for one without known faults."""
    known = terminalreporter.config.stash[_KNOWN]
    if not known:
        return
    terminalreporter.section("known to fail (KNOWN-RED.txt)")
    for failure in known:
        terminalreporter.write_line(f"{failure.test}: {failure.cause} ({failure.issue})")


_KNOWN = pytest.StashKey[tuple[KnownFailure, ...]]()


@pytest.fixture(scope="session", autouse=True)
def _characters() -> None:
    """Have the table of all characters built.

    On a fresh checkout the first text that is drawn has it built, which takes 3 s and more on a
    busy machine.  That is no part of drawing an example, which is watched for being slow.
    """
    st.text().validate()
