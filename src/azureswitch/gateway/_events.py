"""Splits a stream of server-sent events into whole events."""

from msgspec import Struct

EVENT_END = b"\n\n"
"""The terminator of an event."""

ID_FIELD = b"id:"
"""The prefix of the line that holds an event's id."""


class StreamEvent(Struct, frozen=True, kw_only=True):
    """One whole event.

    Attributes:
        id: The id, or None if it is missing or not a number.
        data: The bytes, including the terminating blank line.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Buffers bytes until an event is complete, so that a partial one is never relayed."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def torn(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        *whole, self._buffer = (self._buffer + data).split(EVENT_END)
        return [StreamEvent(id=_id_of(event), data=event + EVENT_END) for event in whole]


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
