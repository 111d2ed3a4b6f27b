"""Formats timestamps, and texts from other sources, for people to read."""

from datetime import UTC, datetime, timedelta

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def time_text(timestamp: int) -> str:
    """Return a time of the wall clock as a time of day in UTC.

    Args:
        timestamp: Milliseconds of the wall clock.

    Returns:
        The time, or the number itself where it lies beyond the calendar.
    """
    try:
        time = _EPOCH + timedelta(milliseconds=timestamp)
    except OverflowError:
        return f"{timestamp} ms"
    return f"{time:%Y-%m-%dT%H:%M:%S}.{timestamp % 1_000:03}Z"


def printable(text: str) -> str:
    """Return a text such that what others wrote there cannot steer the reader's terminal."""
    if text.isprintable():
        return text
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)
