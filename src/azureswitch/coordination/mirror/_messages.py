"""What hosts tell each other of the store."""

from dataclasses import dataclass

from azureswitch.core import HostName
from azureswitch.ports import StoredObject


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSeen:
    """A host has just asked the store whether anything of a kind has changed.

    Where little has, the change comes along, so that peers need not ask the store.

    Attributes:
        host: The host.
        address: ``IP:PORT`` on which its copy can be had.
        kind: The kind of object.
        version: The version up to which its copy is complete.
        fingerprint: Tells copies apart that differ; the store's versions grow with changes of other
            kinds too.
        base: The fingerprint of the copy that the change applies to.
        put: Objects that have come or changed since then.
        removed: The names of those that have gone.
    """

    host: HostName
    address: str
    kind: str
    version: int
    fingerprint: int
    base: int = 0
    put: tuple[StoredObject, ...] = ()
    removed: tuple[str, ...] = ()


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
