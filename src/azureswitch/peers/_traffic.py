"""Counts of what a host sends to and receives from its peers."""

from collections import defaultdict

from msgspec import Struct


class Traffic(Struct, frozen=True, kw_only=True):
    """What one host has exchanged of one kind of message since it started.

    Bytes are those of encoded envelopes; headers of the transport below are not in them.

    Attributes:
        kind: The type name of the messages.
        sent_messages: Messages sent, replies included.
        sent_bytes: Their bytes.
        received_messages: Messages received, replies included.
        received_bytes: Their bytes.
    """

    kind: str
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class TrafficCounter:
    """Counts messages by kind."""

    def __init__(self) -> None:
        self._sent: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])
        self._received: defaultdict[str, list[int]] = defaultdict(lambda: [0, 0])

    @property
    def traffic(self) -> tuple[Traffic, ...]:
        """The counts, by kind in alphabetical order."""
        kinds = sorted(self._sent.keys() | self._received.keys())
        return tuple(self._traffic(kind) for kind in kinds)

    def sent(self, *, kind: str, size: int) -> None:
        """Count one message sent."""
        _add(self._sent[kind], size)

    def received(self, *, kind: str, size: int) -> None:
        """Count one message received."""
        _add(self._received[kind], size)

    def _traffic(self, kind: str) -> Traffic:
        sent = self._sent.get(kind, (0, 0))
        received = self._received.get(kind, (0, 0))
        return Traffic(
            kind=kind,
            sent_messages=sent[0],
            sent_bytes=sent[1],
            received_messages=received[0],
            received_bytes=received[1],
        )


def _add(counts: list[int], size: int) -> None:
    counts[0] += 1
    counts[1] += size
