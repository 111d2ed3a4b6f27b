"""Audit entries of accepted changes."""

from hashlib import sha256

from msgspec import MsgspecError, Struct
from msgspec.json import decode, encode

from azureswitch.exceptions import AuditEntryInvalidError


class AuditEntry(Struct, frozen=True, kw_only=True):
    """One accepted change; the newest one is the head.

    Attributes:
        revision: Its number, which is one above its base; the first is 1.
        base: The revision that it was made from.
        change: Its id, given by its author and unique among all changes.
        author: Who made it.
        accepted: When it was proposed, in milliseconds of the author's wall clock.
        digest: SHA-256 of the body, in lower-case hexadecimal.
        previous: SHA-256 of the entry before it, as stored; empty for the first one.
    """

    revision: int
    base: int
    change: str
    author: str
    accepted: int
    digest: str
    previous: str

    @property
    def stored(self) -> bytes:
        """The stored form of the entry."""
        return encode(self)

    @property
    def audit_name(self) -> str:
        """The name under which the entry is archived once it is replaced."""
        return audit_name(self.revision)

    @property
    def body_name(self) -> str:
        """The name of the object that stores its body."""
        return f"{self.revision:012d}-{self.digest}"


def audit_name(revision: int) -> str:
    """Return the name under which the entry of a replaced revision is archived."""
    return f"{revision:012d}"


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of the data, in lower-case hexadecimal."""
    return sha256(data).hexdigest()


def read_entry(*, name: str, value: bytes) -> AuditEntry:
    """Decode the stored form of an entry.

    Raises:
        AuditEntryInvalidError: It is not an entry.
    """
    try:
        return decode(value, type=AuditEntry)
    except MsgspecError as error:
        raise AuditEntryInvalidError(name=name) from error
