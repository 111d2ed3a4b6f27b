"""What hosts tell each other of the configuration in force."""

from zlib import compress, decompressobj
from zlib import error as zlib_error

from msgspec import Struct

from azureswitch.coordination.configuration._limits import BODY_LIMIT
from azureswitch.core import HostName


class RevisionNews(Struct, frozen=True, kw_only=True):
    """Says which configuration is in force on a host.

    Attributes:
        host: The host.
        address: ``IP:PORT`` on which the body can be pulled from it.
        revision: The revision; zero where none is in force yet.
        digest: SHA-256 of the body, in lower-case hexadecimal.
    """

    host: HostName
    address: str
    revision: int
    digest: str


class RevisionAsk(Struct, frozen=True, kw_only=True):
    """Asks a host for its `RevisionNews`.

    Attributes:
        host: Who asks.
        address: Where to send the answer.
    """

    host: HostName
    address: str


class BodyPull(Struct, frozen=True, kw_only=True):
    """Asks a host for the body that is in force on it, if it is at least a revision."""

    revision: int


class BodyReply(Struct, frozen=True, kw_only=True):
    """Answers a `BodyPull`.

    Attributes:
        revision: The revision of the body; zero where the host has no such revision.
        digest: SHA-256 of the body.
        packed: The body, compressed by `pack_body`.
    """

    revision: int
    digest: str
    packed: bytes


def pack_body(body: bytes) -> bytes:
    """Compress a body; an inventory shrinks to a fraction."""
    return compress(body)


def unpack_body(packed: bytes) -> bytes | None:
    """Return a compressed body, or None where it is damaged or too large."""
    unpacker = decompressobj()
    try:
        body = unpacker.decompress(packed, BODY_LIMIT)
    except zlib_error:
        return None
    return body if unpacker.eof else None
