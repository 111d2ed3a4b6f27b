"""Times as operators read them."""

from datetime import UTC, datetime, timedelta

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def start_text(started: int) -> str:
    """Return a start as a time of day in UTC.

    Args:
        started: Milliseconds of the wall clock; zero where no start was told.

    Returns:
        The time, or the number itself where it lies beyond the calendar.
    """
    if not started:
        return "not told"
    try:
        time = _EPOCH + timedelta(milliseconds=started)
    except OverflowError:
        return f"{started} ms"
    return f"{time:%Y-%m-%dT%H:%M:%S}.{started % 1_000:03}Z"
