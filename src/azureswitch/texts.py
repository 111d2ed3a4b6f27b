"""Times and texts of others as people read them."""

from datetime import UTC, datetime, timedelta

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def time_text(moment: int) -> str:
    """Return a time of the wall clock as a time of day in UTC.

    Args:
        moment: Milliseconds of the wall clock.

    Returns:
        The time, or the number itself where it lies beyond the calendar.
    """
    try:
        time = _EPOCH + timedelta(milliseconds=moment)
    except OverflowError:
        return f"{moment} ms"
    return f"{time:%Y-%m-%dT%H:%M:%S}.{moment % 1_000:03}Z"


def printable(text: str) -> str:
    """Return a text such that what others wrote there cannot steer the reader's terminal."""
    if text.isprintable():
        return text
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)
