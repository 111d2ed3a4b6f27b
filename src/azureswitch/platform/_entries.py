"""Reads the store's pages and watches entry by entry, whoever wrote the entries.

A page is decoded at once.  Only where that fails, for one entry that does not fit the form, each is
decoded by itself; and where one holds bytes that are no JSON, the page is cut up by its brackets,
which takes 20 ms for 600 entries, and the other two ways 1 and 2.

An entry whose name and version can be read keeps them, so that it takes the place of what it was
before; its bytes are such that nobody who reads its content takes them for good.  Of an entry
without them nothing can be said but that it is there.
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

VERSION_MOST = 2**63 - 1
"""The greatest version that hosts can tell each other in a message."""

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_NAME = re.compile(_STRING, re.DOTALL)

_MARK = re.compile(rb'(?:[^"\[\]{},]++|%s)*+(["\[\]{},])' % _STRING, re.DOTALL)
"""The next bracket or comma outside of strings, or the quote of a string that has no end."""

_BRACKET = re.compile(rb'(?:[^"\[\]{}]++|%s)*+(["\[\]{}])' % _STRING, re.DOTALL)
"""The same without commas; of those that stand deeper than one list none matters."""

_CLOSING = {b"[": b"]", b"{": b"}"}


class EntryMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Name and version of an entry, both of which must be there."""

    name: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(name="Name")
    version: Annotated[int, msgspec.Meta(ge=0, le=VERSION_MOST)] = msgspec.field(name="Revision")


class RemovedMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Name of an entry that was removed; its version says nothing of use."""

    name: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(name="Name")


class WireEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry, as `azureswitch.platform._wire.WireObject` with nothing left out of its head."""

    metadata: EntryMetadata = msgspec.field(name="Metadata")
    content: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(NULL))
    status: msgspec.Raw = msgspec.field(name="Status", default=msgspec.Raw(NULL))


class WirePage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a listing."""

    items: tuple[WireEntry, ...] = msgspec.field(name="Items", default=())
    more: bool = msgspec.field(name="HasMore", default=False)
    version: int = msgspec.field(name="AsOf", default=0)


class WireRawPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a listing whose entries are still to be decoded."""

    items: tuple[msgspec.Raw, ...] = msgspec.field(name="Items", default=())
    more: bool = msgspec.field(name="HasMore", default=False)
    version: int = msgspec.field(name="AsOf", default=0)


class WireEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of an entry."""

    item: WireEntry = msgspec.field(name="Object")
    removed: bool = msgspec.field(name="Removed", default=False)


class WireEvents(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a watch."""

    changes: tuple[WireEvent, ...] = msgspec.field(name="events", default=())
    version: int = msgspec.field(name="AsOf", default=0)


class WireRawEvents(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a watch whose changes are still to be decoded."""

    changes: tuple[msgspec.Raw, ...] = msgspec.field(name="events", default=())
    version: int = msgspec.field(name="AsOf", default=0)


class Page(Struct, frozen=True, kw_only=True):
    """A page of a listing.

    Attributes:
        items: The objects whose name and version can be read.
        unnamed: What is wrong with each of the others.
        more: Whether another page follows.
        version: The version at which the page was read.
    """

    items: tuple[StoredObject, ...]
    unnamed: tuple[str, ...] = ()
    more: bool
    version: int


class Changes(Struct, frozen=True, kw_only=True):
    """The answer to a watch.

    Attributes:
        changes: What has changed.
        unnamed: What is wrong with each entry that changed and has no name or version.
        version: The version to watch from next.
    """

    changes: tuple[StoreChange, ...]
    unnamed: tuple[str, ...] = ()
    version: int


def read_listing(body: bytes, *, kind: str) -> Page:
    """Return a page of a listing.

    Raises:
        ValueError: The bytes are no page.
    """
    try:
        page = msgspec.json.decode(body, type=WirePage)
    except UNDECODED:
        return _read_listing_singly(body, kind=kind)
    items = tuple(_object(entry, kind=kind) for entry in page.items)
    return Page(items=items, more=page.more, version=page.version)


def read_changes(body: bytes, *, kind: str) -> Changes:
    """Return the answer to a watch.

    Raises:
        ValueError: The bytes are none.
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
    """Return an entry, or what is wrong with its name and version."""
    try:
        return _object(msgspec.json.decode(entry, type=WireEntry), kind=kind)
    except UNDECODED:
        pass  # Name and version may hold all the same.
    try:
        metadata = _metadata(entry, EntryMetadata)
    except UNDECODED as error:
        return str(error)
    return StoredObject(kind=kind, name=metadata.name, version=metadata.version, value=entry)


def read_value(content: bytes) -> bytes:
    """Return the value that an entry's content holds.

    A value of our own is a text in base64.  Another writer's text is no value of ours, and stays
    the JSON that it is.
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
        entries, rest = _cut_out(body, name=b"Items")
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
        events, rest = _cut_out(body, name=b"events")
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
    """Return a change, or what is wrong with it."""
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
        # Whether it is there cannot be said, and it must not be used as if it were.
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

    A version that is greater than the store's own, where that is told, is taken for the store's: a
    watch that went on from there would hear of nothing any more.
    """
    if 0 < most < item.version:
        item = replace(item, version=most)
    return StoreChange(kind=ChangeKind.DELETED if removed else ChangeKind.PUT, item=item)


def _cut_out(body: bytes, *, name: bytes) -> tuple[tuple[bytes, ...], bytes]:
    """Return the elements of a member of an object, and the object without it.

    Raises:
        ValueError: The bytes are no object, or the member is no list.
    """
    members = _members(body)
    elements = tuple(_parts(members.pop(name, b"[]"), opening=b"["))
    rest = b",".join(b'"%s":%s' % member for member in members.items())
    return elements, b"{%s}" % rest


def _members(container: bytes) -> dict[bytes, bytes]:
    """Return the members of an object, without decoding them.

    Raises:
        ValueError: The bytes are no object.
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
    """Yield what stands between the commas of a list or an object.

    Raises:
        ValueError: The bytes are neither, or have quotes or brackets without an end.
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
