"""What hosts tell each other of the store."""

from dataclasses import dataclass

from azureswitch.core import HostName
from azureswitch.ports import StoredObject


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSeen:
    """A host has just asked the store whether anything of a kind has changed.

    Attributes:
        host: The host.
        address: ``IP:PORT`` on which its copy can be had.
        kind: The kind of object.
        version: The version up to which its copy is complete.
        fingerprint: Tells copies apart that differ; the store's versions grow with changes of other
            kinds too.
    """

    host: HostName
    address: str
    kind: str
    version: int
    fingerprint: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CopyRequest:
    """Asks a host for its copy of the objects of a kind."""

    kind: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CopyReply:
    """A host's copy.

    Attributes:
        version: The version up to which it is complete.
        objects: The objects.
    """

    version: int
    objects: tuple[StoredObject, ...]
