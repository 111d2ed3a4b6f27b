"""Parses the store's listings and watch responses, tolerating invalid entries of other programs.

A page is decoded as a whole.  If that fails because one entry does not match the schema, each entry
is decoded separately.  If an entry is not valid JSON, the page is split at its brackets.  For 600
entries these three ways take 1, 2 and 20 ms.

An invalid entry whose name and version can be read keeps them, so that it replaces its previous
state; its value is set to bytes that fail to decode as any kind.  An entry without them is only
counted.
"""

import re
from base64 import b64decode
from collections.abc import Iterator
from typing import Annotated, TypeVar

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from azureswitch.decoding import UNDECODED
from azureswitch.platform._wire import NULL
from azureswitch.ports import ChangeKind, StoreChange, StoredObject

Form = TypeVar("Form")

MAX_VERSION = 2**63 - 1
"""The greatest version that a message between hosts can hold."""

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_NAME = re.compile(_STRING, re.DOTALL)

_MARK = re.compile(rb'(?:[^"\[\]{},]++|%s)*+(["\[\]{},])' % _STRING, re.DOTALL)
"""The next bracket or comma outside of strings, or the quote of an unterminated string."""

_BRACKET = re.compile(rb'(?:[^"\[\]{}]++|%s)*+(["\[\]{}])' % _STRING, re.DOTALL)
"""The same without commas, which only matter at the outermost level."""

_CLOSING = {b"[": b"]", b"{": b"}"}


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


def read_listing(body: bytes, *, kind: str) -> Page:
    """Parse a page of a listing.

    Raises:
        ValueError: The bytes are not a page.
    """
    try:
        page = msgspec.json.decode(body, type=WirePage)
    except UNDECODED:
        return _read_listing_singly(body, kind=kind)
    items = tuple(_object(entry, kind=kind) for entry in page.items)
    return Page(items=items, more=page.more, version=page.version)


def read_changes(body: bytes, *, kind: str) -> Changes:
    """Parse the response to a watch.

    Raises:
        ValueError: The bytes are not a response to a watch.
    """
    try:
        page = msgspec.json.decode(body, type=WireEvents)
    except UNDECODED:
        return _read_changes_singly(body, kind=kind)
    changes = tuple(
        _change(_object(event.item, kind=kind), removed=event.removed, most=page.version)
        for event in page.changes
    )
    return Changes(changes=changes, version=page.version)


def read_entry(entry: bytes, *, kind: str) -> StoredObject | str:
    """Return an entry, or the fault of its name or version."""
    try:
        return _object(msgspec.json.decode(entry, type=WireEntry), kind=kind)
    except UNDECODED:
        pass  # Name and version may still be valid.
    try:
        metadata = _metadata(entry, EntryMetadata)
    except UNDECODED as error:
        return str(error)
    return StoredObject(kind=kind, name=metadata.name, version=metadata.version, value=entry)


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


def _read_listing_singly(body: bytes, *, kind: str) -> Page:
    try:
        page = msgspec.json.decode(body, type=WireRawPage)
        entries = tuple(bytes(entry) for entry in page.items)
    except UNDECODED:
        entries, rest = _split_member(body, name=b"Items")
        page = _decode_rest(rest, WireRawPage)
    found = [read_entry(entry, kind=kind) for entry in entries]
    return Page(
        items=tuple(entry for entry in found if isinstance(entry, StoredObject)),
        unnamed=tuple(entry for entry in found if isinstance(entry, str)),
        more=page.more,
        version=page.version,
    )


def _read_changes_singly(body: bytes, *, kind: str) -> Changes:
    try:
        page = msgspec.json.decode(body, type=WireRawEvents)
        events = tuple(bytes(event) for event in page.changes)
    except UNDECODED:
        events, rest = _split_member(body, name=b"events")
        page = _decode_rest(rest, WireRawEvents)
    found = [_read_event(event, kind=kind, version=page.version) for event in events]
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


def _read_event(event: bytes, *, kind: str, version: int) -> StoreChange | str:
    """Return a change, or its fault."""
    try:
        members = _members(event)
    except ValueError as error:
        return str(error)
    entry = members.get(b"Object", NULL)
    removed = members.get(b"Removed", b"false")
    if removed == b"true":
        return _read_removal(entry, kind=kind, version=version)
    found = read_entry(entry, kind=kind)
    if isinstance(found, str):
        return found
    if removed != b"false":
        # Whether the entry was removed is unknown; its value must not be usable.
        found = StoredObject(kind=kind, name=found.name, version=found.version, value=event)
    return _change(found, removed=False, most=version)


def _read_removal(entry: bytes, *, kind: str, version: int) -> StoreChange | str:
    try:
        metadata = _metadata(entry, RemovedMetadata)
    except UNDECODED as error:
        return str(error)
    item = StoredObject(kind=kind, name=metadata.name, version=version, value=b"")
    return _change(item, removed=True, most=version)


def _metadata(entry: bytes, type: type[Form]) -> Form:
    return msgspec.json.decode(_members(entry).get(b"Metadata", NULL), type=type)


def _object(entry: WireEntry, *, kind: str) -> StoredObject:
    content = bytes(entry.content)
    if content == NULL:
        content = bytes(entry.status)
    return StoredObject(
        kind=kind,
        name=entry.metadata.name,
        version=entry.metadata.version,
        value=read_value(content),
    )


def _change(item: StoredObject, *, removed: bool, most: int) -> StoreChange:
    """Return a change.

    A version greater than the store's own, if that is known, is replaced by the store's.  A watch
    that continued from the greater one would receive no more changes.
    """
    if 0 < most < item.version:
        item = replace(item, version=most)
    return StoreChange(kind=ChangeKind.DELETED if removed else ChangeKind.PUT, item=item)


def _split_member(body: bytes, *, name: bytes) -> tuple[tuple[bytes, ...], bytes]:
    """Return the elements of a member of an object, and the object without that member.

    Raises:
        ValueError: The bytes are not an object, or the member is not a list.
    """
    members = _members(body)
    elements = tuple(_parts(members.pop(name, b"[]"), opening=b"["))
    rest = b",".join(b'"%s":%s' % member for member in members.items())
    return elements, b"{%s}" % rest


def _members(container: bytes) -> dict[bytes, bytes]:
    """Return the members of an object without decoding them.

    Raises:
        ValueError: The bytes are not an object.
    """
    members: dict[bytes, bytes] = {}
    for part in _parts(container, opening=b"{"):
        name = _NAME.match(part)
        value = part[name.end() :].lstrip() if name else b""
        if name is None or not value.startswith(b":"):
            raise ValueError("A member of an object has no name.")
        members[name[0][1:-1]] = value[1:].strip()
    return members


def _parts(container: bytes, *, opening: bytes) -> Iterator[bytes]:
    """Yield the comma-separated parts of a list or an object.

    Raises:
        ValueError: The bytes are neither, or contain an unterminated string or unmatched brackets.
    """
    container = container.strip()
    if not container.startswith(opening):
        raise ValueError("The bytes are not of the form that is expected.")
    open_marks = [opening]
    start = end = 1
    while open_marks:
        found = (_MARK if len(open_marks) == 1 else _BRACKET).match(container, end)
        if found is None:
            raise ValueError("The bytes end too early.")
        mark, end = found[1], found.end()
        if mark in _CLOSING:
            open_marks.append(mark)
        elif mark == b",":
            yield container[start : end - 1].strip()
            start = end
        elif mark == b'"':
            raise ValueError("The bytes have a string without an end.")
        elif _CLOSING[open_marks.pop()] != mark:
            raise ValueError("The bytes have brackets that do not match.")
    if end != len(container):
        raise ValueError("The bytes go on after their end.")
    last = container[start:-1].strip()
    if last or start > 1:
        yield last
