"""Times as operators read and write them."""

from dataclasses import dataclass
from datetime import UTC, datetime

from azureswitch.settings import Kind
from azureswitch.texts import time_text


def start_text(started: int) -> str:
    """Return a start as a time of day in UTC.

    Args:
        started: Milliseconds of the wall clock; zero if the start is unknown.

    Returns:
        The time, or the number itself where it lies beyond the calendar.
    """
    return time_text(started) if started else "not told"


@dataclass(frozen=True, slots=True, kw_only=True)
class Timestamp(Kind[int]):
    """A time of day with its offset, in milliseconds of the wall clock."""

    @property
    def expected(self) -> str:
        """What is accepted."""
        return "a time with its offset from UTC, such as 2026-01-31T18:00Z"

    def parse(self, text: str) -> int:
        """Read a value."""
        time = datetime.fromisoformat(text)
        # Without an offset, the time would depend on the time zone of the operator's machine.
        if time.tzinfo is None:
            raise ValueError(text)
        return round(time.timestamp() * 1_000)

    def show(self, value: int) -> str:
        """Return the time in UTC."""
        return datetime.fromtimestamp(value / 1_000, UTC).isoformat(timespec="milliseconds")
