"""Headers of a request that is not whole yet, in little more memory than they have bytes."""

from azureswitch.buffers import HEADER_BYTES
from azureswitch.client import Headers

_END = b"\n"
"""Ends each name and each value; the parser lets no such byte through in either."""


class PackedHeaders:
    """Headers in one buffer, as each takes many times its bytes as a pair of strings."""

    def __init__(self) -> None:
        self._packed = bytearray()
        self._count = 0

    @property
    def unpacked_bytes(self) -> int:
        """Bytes that the headers take once they are unpacked."""
        return len(self._packed) + self._count * HEADER_BYTES

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header; its name is in lower case."""
        self._packed += name + _END + value + _END
        self._count += 1

    def unpack(self) -> Headers:
        """Return the headers in order."""
        words = iter(self._packed.decode("latin-1").split("\n"))
        return tuple(zip(words, words, strict=False))
