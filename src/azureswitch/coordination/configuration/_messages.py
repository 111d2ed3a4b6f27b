"""What hosts tell each other of the configuration in force."""

from dataclasses import dataclass

from azureswitch.core import HostName


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionNews:
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


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionAsk:
    """Asks a host for its `RevisionNews`.

    Attributes:
        host: Who asks.
        address: Where to send the answer.
    """

    host: HostName
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyPull:
    """Asks a host for the body that is in force on it, if it is at least a revision."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyReply:
    """Answers a `BodyPull`.

    Attributes:
        revision: The revision of the body; zero where the host has no such revision.
        digest: SHA-256 of the body.
        body: The body.
    """

    revision: int
    digest: str
    body: bytes
