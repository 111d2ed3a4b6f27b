"""Splits a stream of server-sent events into whole events."""

from msgspec import Struct

END = b"\n\n"
"""What ends an event."""

ID_FIELD = b"id:"
"""How the line begins that holds an event's id."""


class StreamEvent(Struct, frozen=True, kw_only=True):
    """One whole event.

    Attributes:
        id: Its id, or None where it has none or one that is no number.
        data: Its bytes, the blank line included.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Gives out events once they are whole, so that a torn one is never passed on."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def torn(self) -> bool:
        """Whether a part of an event has arrived whose end has not."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that became whole with some more bytes."""
        *whole, self._rest = (self._rest + data).split(END)
        return [StreamEvent(id=_id_of(event), data=event + END) for event in whole]


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
