"""The JSON of the object API, in the conventions of the Kubernetes API."""

from typing import Literal

import msgspec

from azureswitch.ports import ChangeKind, ListedHost, StoredObject

API_ROOT = "/apis/azureswitch/v1"
"""Path below which each kind of object is a collection."""

HOSTS_PATH = "/hosts"
"""Path of the host list."""

WatchType = Literal["ADDED", "MODIFIED", "DELETED", "BOOKMARK", "ERROR"]

CHANGE_KINDS: dict[str, ChangeKind] = {
    "ADDED": ChangeKind.PUT,
    "MODIFIED": ChangeKind.PUT,
    "DELETED": ChangeKind.DELETED,
    "BOOKMARK": ChangeKind.BOOKMARK,
}


class WireMetadata(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Name and version of an object; a list has a version alone."""

    name: str = ""
    resource_version: str = ""


class WireObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object; ``value`` travels in base64."""

    kind: str
    metadata: WireMetadata
    value: bytes = b""


class WireList(msgspec.Struct, frozen=True, kw_only=True):
    """All objects of a kind."""

    metadata: WireMetadata
    items: tuple[WireObject, ...]
    kind: str = "List"


class WirePreconditions(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What a deletion asks of the object."""

    resource_version: str


class WireDelete(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a deletion."""

    preconditions: WirePreconditions
    kind: str = "DeleteOptions"


class WireStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a failure."""

    code: int
    reason: str
    message: str = ""
    status: str = "Failure"
    kind: str = "Status"


class WireChange(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a watch; the object of an ``ERROR`` is a `WireStatus`."""

    type: WatchType
    object: msgspec.Raw


class WireHosts(msgspec.Struct, frozen=True, kw_only=True):
    """The host list."""

    items: tuple[ListedHost, ...]
    kind: str = "HostList"


def to_wire(*, item: StoredObject) -> WireObject:
    """Return the JSON shape of an object."""
    metadata = WireMetadata(name=item.name, resource_version=str(item.version))
    return WireObject(kind=item.kind, metadata=metadata, value=item.value)


def from_wire(*, kind: str, item: WireObject) -> StoredObject:
    """Return the object of a JSON shape.

    Raises:
        ValueError: The version is not a number.
    """
    return StoredObject(
        kind=kind,
        name=item.metadata.name,
        version=int(item.metadata.resource_version),
        value=item.value,
    )
