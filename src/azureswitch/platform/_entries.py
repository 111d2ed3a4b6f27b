"""Parses the store's listings and watch responses, tolerating invalid entries of other programs.

A page is decoded as a whole.  If that fails because one entry does not match the schema, each entry
is decoded separately.  If an entry is not valid JSON, the page is split at its brackets, in steps.

An invalid entry whose name and version can be read keeps them, so that it replaces its previous
state; its value is set to bytes that fail to decode as any kind.  An entry without them is only
counted.
"""

from base64 import b64decode
from collections.abc import Callable
from math import inf
from typing import Annotated, TypeVar

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from azureswitch.decoding import UNDECODED
from azureswitch.platform._splitting import members, split_member
from azureswitch.platform._wire import NULL
from azureswitch.ports import ChangeKind, StoreChange, StoredObject
from azureswitch.slices import GO_ON, Steps

Form = TypeVar("Form")

MAX_VERSION = 2**63 - 1
"""The greatest version that a message between hosts can hold."""


OVERSIZED = b"oversized"
"""The value of an entry that is larger than any valid one; it decodes as no kind."""

EntryLimit = Callable[[str, str], float]
"""Returns the bytes that the value of a kind's entry may have, by kind and name."""


def no_limit(kind: str, name: str) -> float:
    """Permit values of any size."""
    return inf


class EntryMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Name and version of an entry, both required."""

    name: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(name="Name")
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)] = msgspec.field(name="Revision")


class RemovedMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Name of a removed entry; its version is not used."""

    name: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(name="Name")


class WireEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry: a `azureswitch.platform._wire.WireObject` whose metadata are required."""

    metadata: EntryMetadata = msgspec.field(name="Metadata")
    content: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(NULL))
    status: msgspec.Raw = msgspec.field(name="Status", default=msgspec.Raw(NULL))


class WirePage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a listing."""

    items: tuple[WireEntry, ...] = msgspec.field(name="Items", default=())
    more: bool = msgspec.field(name="HasMore", default=False)
    version: int = msgspec.field(name="AsOf", default=0)


class WireRawPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a listing whose entries are not decoded yet."""

    items: tuple[msgspec.Raw, ...] = msgspec.field(name="Items", default=())
    more: bool = msgspec.field(name="HasMore", default=False)
    version: int = msgspec.field(name="AsOf", default=0)


class WireEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of an entry."""

    item: WireEntry = msgspec.field(name="Object")
    removed: bool = msgspec.field(name="Removed", default=False)


class WireEvents(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a watch."""

    changes: tuple[WireEvent, ...] = msgspec.field(name="events", default=())
    version: int = msgspec.field(name="AsOf", default=0)


class WireRawEvents(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a watch whose changes are not decoded yet."""

    changes: tuple[msgspec.Raw, ...] = msgspec.field(name="events", default=())
    version: int = msgspec.field(name="AsOf", default=0)


class Page(Struct, frozen=True, kw_only=True):
    """A page of a listing.

    Attributes:
        items: The objects whose name and version can be read.
        unnamed: The fault of each of the other entries.
        more: Whether another page follows.
        version: The version at which the page was read.
    """

    items: tuple[StoredObject, ...]
    unnamed: tuple[str, ...] = ()
    more: bool
    version: int


class Changes(Struct, frozen=True, kw_only=True):
    """The response to a watch.

    Attributes:
        changes: The changed objects.
        unnamed: The fault of each changed entry without a readable name or version.
        version: The version to watch from next.
    """

    changes: tuple[StoreChange, ...]
    unnamed: tuple[str, ...] = ()
    version: int


def read_listing(body: bytes, *, kind: str, limit: EntryLimit = no_limit) -> Steps[Page]:
    """Parse a page of a listing, in steps.

    Raises:
        ValueError: The bytes are not a page.
    """
    try:
        page = msgspec.json.decode(body, type=WirePage)
    except UNDECODED:
        return (yield from _read_listing_singly(body, kind=kind, limit=limit))
    items = tuple(_object(entry, kind=kind, limit=limit) for entry in page.items)
    return Page(items=items, more=page.more, version=page.version)


def read_changes(body: bytes, *, kind: str, limit: EntryLimit = no_limit) -> Steps[Changes]:
    """Parse the response to a watch, in steps.

    Raises:
        ValueError: The bytes are not a response to a watch.
    """
    try:
        page = msgspec.json.decode(body, type=WireEvents)
    except UNDECODED:
        return (yield from _read_changes_singly(body, kind=kind, limit=limit))
    changes = tuple(
        _change(
            _object(event.item, kind=kind, limit=limit), removed=event.removed, most=page.version
        )
        for event in page.changes
    )
    return Changes(changes=changes, version=page.version)


def read_entry(
    entry: bytes, *, kind: str, limit: EntryLimit = no_limit
) -> Steps[StoredObject | str]:
    """Return an entry, or the fault of its name or version, in steps."""
    try:
        return _object(msgspec.json.decode(entry, type=WireEntry), kind=kind, limit=limit)
    except UNDECODED:
        pass  # Name and version may still be valid.
    try:
        metadata = yield from _metadata(entry, EntryMetadata)
    except UNDECODED as error:
        return str(error)
    found = StoredObject(kind=kind, name=metadata.name, version=metadata.version, value=entry)
    return _bounded(found, limit)


def read_value(content: bytes) -> bytes:
    """Return the value in an entry's content.

    This system writes values as base64 strings.  A string that is not base64 was written by another
    program and is returned as JSON.
    """
    if content[:1] != b'"':
        return content
    try:
        return b64decode(content[1:-1], validate=True)
    except ValueError:
        return content


def _read_listing_singly(body: bytes, *, kind: str, limit: EntryLimit) -> Steps[Page]:
    try:
        page = msgspec.json.decode(body, type=WireRawPage)
        entries = tuple(bytes(entry) for entry in page.items)
    except UNDECODED:
        entries, rest = yield from split_member(body, name=b"Items")
        page = _decode_rest(rest, WireRawPage)
    found: list[StoredObject | str] = []
    for entry in entries:
        found.append((yield from read_entry(entry, kind=kind, limit=limit)))
        yield GO_ON
    return Page(
        items=tuple(entry for entry in found if isinstance(entry, StoredObject)),
        unnamed=tuple(entry for entry in found if isinstance(entry, str)),
        more=page.more,
        version=page.version,
    )


def _read_changes_singly(body: bytes, *, kind: str, limit: EntryLimit) -> Steps[Changes]:
    try:
        page = msgspec.json.decode(body, type=WireRawEvents)
        events = tuple(bytes(event) for event in page.changes)
    except UNDECODED:
        events, rest = yield from split_member(body, name=b"events")
        page = _decode_rest(rest, WireRawEvents)
    found: list[StoreChange | str] = []
    for event in events:
        found.append((yield from _read_event(event, kind=kind, version=page.version, limit=limit)))
        yield GO_ON
    return Changes(
        changes=tuple(event for event in found if isinstance(event, StoreChange)),
        unnamed=tuple(event for event in found if isinstance(event, str)),
        version=page.version,
    )


def _decode_rest(rest: bytes, type: type[Form]) -> Form:
    try:
        return msgspec.json.decode(rest, type=type)
    except RecursionError as error:
        raise ValueError("The page is nested too deeply.") from error


def _read_event(
    event: bytes, *, kind: str, version: int, limit: EntryLimit
) -> Steps[StoreChange | str]:
    """Return a change, or its fault."""
    try:
        found_members = yield from members(event)
    except ValueError as error:
        return str(error)
    entry = found_members.get(b"Object", NULL)
    removed = found_members.get(b"Removed", b"false")
    if removed == b"true":
        return (yield from _read_removal(entry, kind=kind, version=version))
    found = yield from read_entry(entry, kind=kind, limit=limit)
    if isinstance(found, str):
        return found
    if removed != b"false":
        # Whether the entry was removed is unknown; its value must not be usable.
        found = _bounded(
            StoredObject(kind=kind, name=found.name, version=found.version, value=event), limit
        )
    return _change(found, removed=False, most=version)


def _read_removal(entry: bytes, *, kind: str, version: int) -> Steps[StoreChange | str]:
    try:
        metadata = yield from _metadata(entry, RemovedMetadata)
    except UNDECODED as error:
        return str(error)
    item = StoredObject(kind=kind, name=metadata.name, version=version, value=b"")
    return _change(item, removed=True, most=version)


def _metadata(entry: bytes, type: type[Form]) -> Steps[Form]:
    found = yield from members(entry, until=b"Metadata")
    return msgspec.json.decode(found.get(b"Metadata", NULL), type=type)


def _object(entry: WireEntry, *, kind: str, limit: EntryLimit) -> StoredObject:
    content = bytes(entry.content)
    if content == NULL:
        content = bytes(entry.status)
    found = StoredObject(
        kind=kind,
        name=entry.metadata.name,
        version=entry.metadata.version,
        value=read_value(content),
    )
    return _bounded(found, limit)


def _bounded(item: StoredObject, limit: EntryLimit) -> StoredObject:
    """Return an object, whose value is replaced where it is larger than any valid one.

    It is neither kept nor sent to peers, whatever its size.
    """
    too_large = len(item.value) > limit(item.kind, item.name)
    return replace(item, value=OVERSIZED) if too_large else item


def _change(item: StoredObject, *, removed: bool, most: int) -> StoreChange:
    """Return a change.

    A version greater than the store's own, if that is known, is replaced by the store's.  A watch
    that continued from the greater one would receive no more changes.
    """
    if 0 < most < item.version:
        item = replace(item, version=most)
    return StoreChange(kind=ChangeKind.DELETED if removed else ChangeKind.PUT, item=item)
