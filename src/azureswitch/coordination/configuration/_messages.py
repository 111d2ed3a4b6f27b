"""Messages between hosts about the configuration in force."""

from zlib import compress, decompressobj
from zlib import error as zlib_error

from msgspec import Struct

from azureswitch.coordination.configuration._limits import MAX_BODY_BYTES
from azureswitch.core import HostName


class RevisionNews(Struct, frozen=True, kw_only=True):
    """Announces which configuration is in force on a host.

    Attributes:
        host: The host.
        address: ``IP:PORT`` on which the body can be pulled from it.
        revision: The revision; zero if none is in force yet.
        digest: SHA-256 of the body, in lower-case hexadecimal.
    """

    host: HostName
    address: str
    revision: int
    digest: str


class RevisionAsk(Struct, frozen=True, kw_only=True):
    """Requests a host's `RevisionNews`.

    Attributes:
        host: The requesting host.
        address: ``IP:PORT`` to which the answer is sent.
    """

    host: HostName
    address: str


class BodyPull(Struct, frozen=True, kw_only=True):
    """Requests the body in force on a host, if its revision is not lower than ``revision``."""

    revision: int


class BodyReply(Struct, frozen=True, kw_only=True):
    """Answers a `BodyPull`.

    Attributes:
        revision: The revision of the body; zero if the revision in force is lower.
        digest: SHA-256 of the body.
        packed: The body, compressed by `pack_body`.
    """

    revision: int
    digest: str
    packed: bytes


def pack_body(body: bytes) -> bytes:
    """Compress a body."""
    return compress(body)


def unpack_body(packed: bytes) -> bytes | None:
    """Decompress a body; return None if it is damaged or too large."""
    unpacker = decompressobj()
    try:
        body = unpacker.decompress(packed, MAX_BODY_BYTES)
    except zlib_error:
        return None
    return body if unpacker.eof else None
