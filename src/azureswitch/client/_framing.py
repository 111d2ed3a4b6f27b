"""Bounds the bytes of an HTTP message that carry no body.

A parser hands a header over only once it is whole, so that a limit on headers alone is never
reached by one without end.  This bound is checked on the bytes as they arrive.
"""

from collections.abc import Iterator

MAX_FRAMING_BYTES = 65_536
"""Bytes of a message beside its body: start line, headers, informational answers, trailers."""

PIECE_BYTES = 16_384
"""Bytes that are parsed between two looks at the bound."""


class FramingMeter:
    """Counts the bytes of a message that carry no body.

    Chunks bring framing of their own, so as many bytes again as the body has are permitted.

    Args:
        limit: Bytes of framing that are permitted beside those of chunks.
    """

    def __init__(self, *, limit: int = MAX_FRAMING_BYTES) -> None:
        self._limit = limit
        self._total = 0
        self._body = 0

    @property
    def exceeded(self) -> bool:
        """Whether the message has more framing than is permitted."""
        return self._total - self._body > self._limit + self._body

    def add(self, size: int) -> None:
        """Count bytes of the message, whatever they carry."""
        self._total += size

    def add_body(self, size: int) -> None:
        """Count those of them that carry a body."""
        self._body += size

    def reset(self, *, limit: int | None = None) -> None:
        """Begin with another message, and another limit if one is given."""
        self._limit = self._limit if limit is None else limit
        self._total = 0
        self._body = 0


def pieces(data: bytes) -> Iterator[bytes]:
    """Yield bytes in pieces of at most `PIECE_BYTES`."""
    if len(data) <= PIECE_BYTES:
        yield data
        return
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]
