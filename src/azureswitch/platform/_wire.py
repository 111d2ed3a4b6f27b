"""The JSON of the platform's store and of the host list.

The platform spells field names in its own way.  Each is decoded here, once; fields are named for
what they hold, and a comment stands where the platform's name says something else.
"""

from base64 import b64decode, b64encode

import msgspec

from azureswitch.ports import ListedHost, StoredObject

OBJECTS_PATH = "/api/objects"
"""Path below which each kind of object is a collection."""

HOSTS_PATH = "/hosts"
"""Path of the host list."""

NULL = b"null"


class WireMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Name and version of an object."""

    name: str = msgspec.field(name="Name", default="")
    version: int = msgspec.field(name="Revision", default=0)


class WireObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object.

    Attributes:
        metadata: Its name and version.
        content: What its writer put there.
        status: What others say of it.
    """

    metadata: WireMetadata = msgspec.field(name="Metadata")
    content: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(NULL))
    status: msgspec.Raw = msgspec.field(name="Status", default=msgspec.Raw(NULL))


class WireListing(msgspec.Struct, frozen=True, kw_only=True):
    """A page of the objects of a kind.

    Attributes:
        items: The objects.
        more: Whether another page follows.
        version: The version at which the page was read.
    """

    items: tuple[WireObject, ...] = msgspec.field(name="Items", default=())
    more: bool = msgspec.field(name="HasMore", default=False)
    version: int = msgspec.field(name="AsOf", default=0)


class WireChange(msgspec.Struct, frozen=True, kw_only=True):
    """One change of an object."""

    item: WireObject = msgspec.field(name="Object")
    removed: bool = msgspec.field(name="Removed", default=False)


class WireChanges(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a watch.

    Attributes:
        changes: What has changed; alone of all fields it is spelled in lower case.
        version: The version to watch from next.
    """

    changes: tuple[WireChange, ...] = msgspec.field(name="events", default=())
    version: int = msgspec.field(name="AsOf", default=0)


class WireHosts(msgspec.Struct, frozen=True, kw_only=True):
    """The host list."""

    items: tuple[ListedHost, ...]
    kind: str = "HostList"


def to_wire(*, item: StoredObject) -> WireObject:
    """Return the JSON shape of an object of our own, whose value travels in base64."""
    metadata = WireMetadata(name=item.name, version=item.version)
    return WireObject(metadata=metadata, content=pack_value(item.value))


def from_wire(*, kind: str, item: WireObject) -> StoredObject:
    """Return the object of a JSON shape.

    The value of an object of our own is the bytes that were put there; that of the platform's own
    kinds is their JSON.

    Raises:
        ValueError: The value is a text that is not base64.
    """
    content = bytes(item.content)
    if content == NULL:
        content = bytes(item.status)
    return StoredObject(
        kind=kind,
        name=item.metadata.name,
        version=item.metadata.version,
        value=b64decode(content[1:-1], validate=True) if content[:1] == b'"' else content,
    )


def pack_value(value: bytes) -> msgspec.Raw:
    """Return the JSON in which a value of our own travels."""
    return msgspec.Raw(b'"' + b64encode(value) + b'"')
