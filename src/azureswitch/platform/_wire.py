"""The JSON schema of the platform's store and of the host list.

The platform's field names are translated only here.  Fields are named for what they hold, with a
comment if the platform's name means something else.
"""

from base64 import b64decode, b64encode

import msgspec

from azureswitch.ports import ListedHost, StoredObject

OBJECTS_PATH = "/api/objects"
"""Path prefix of the collections, one per kind of object."""

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
        content: The content written by its owner.
        status: The status written by others.
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
    """The response to a watch.

    Attributes:
        changes: The changed objects; unlike the other fields, its name is in lower case.
        version: The version to watch from next.
    """

    changes: tuple[WireChange, ...] = msgspec.field(name="events", default=())
    version: int = msgspec.field(name="AsOf", default=0)


class WireHosts(msgspec.Struct, frozen=True, kw_only=True):
    """The host list."""

    items: tuple[ListedHost, ...]
    kind: str = "HostList"


def to_wire(*, item: StoredObject) -> WireObject:
    """Return the JSON form of an object of this system, whose value is encoded in base64."""
    metadata = WireMetadata(name=item.name, version=item.version)
    return WireObject(metadata=metadata, content=pack_value(item.value))


def from_wire(*, kind: str, item: WireObject) -> StoredObject:
    """Return the object of a JSON form.

    The value of an object of this system is decoded from base64; that of the platform's own kinds
    is its JSON.

    Raises:
        ValueError: The value is a string that is not base64.
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
    """Encode a value of this system as a JSON string in base64."""
    return msgspec.Raw(b'"' + b64encode(value) + b'"')
