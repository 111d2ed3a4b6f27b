"""What is known of one kind of the store's objects."""

from bisect import bisect_left, insort
from collections.abc import Iterable
from math import inf

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

from azureswitch.coordination.mirror._messages import StoreSeen
from azureswitch.ports import StoredObject


class Contents(Struct, kw_only=True):
    """Which versions of which objects a copy holds; a change costs little, however many there are.

    Attributes:
        entries: The objects, each by name and version, in order.
    """

    entries: list[str] = field(default_factory=list)

    def add(self, item: StoredObject) -> None:
        """Take in an object."""
        insort(self.entries, _entry(item))

    def discard(self, item: StoredObject) -> None:
        """Drop an object, if it is held."""
        entry = _entry(item)
        index = bisect_left(self.entries, entry)
        if self.entries[index : index + 1] == [entry]:
            del self.entries[index]

    def replace(self, items: Iterable[StoredObject]) -> None:
        """Hold these objects alone."""
        self.entries = sorted(map(_entry, items))

    def fingerprint(self) -> int:
        """Return a number that differs where objects or their versions do."""
        return xxh3_64_intdigest("\n".join(self.entries).encode())


def _entry(item: StoredObject) -> str:
    return f"{item.name}={item.version}"


class MirrorState(Struct, kw_only=True):
    """A copy of the objects of one kind.

    Attributes:
        return_grace: Seconds after the store's return for which an object that is missing stays.
        objects: The objects, by name.
        contents: Those of them that the store holds, so far as is known.
        version: The version up to which the copy is complete.
        listed: Whether there is a copy.
        listed_at: When all objects were last read, or were to be.
        broken_at: When the store failed first since it answered last, or None.
        served_at: When it answered this host or a peer last.
        returned_at: When it answered again after it had answered nobody, or None.
        missing: Until when objects stay that are not in the store any more, by name.
        checked_at: When this host or a peer last asked the store for changes.
        behind_at: Since when peers have had a newer copy, or None.
        early: Changes told that apply to a later copy than this one, by the fingerprint of that.
        asked_at: When peers began to be asked for their copies, or None where none is.
        heard: The fingerprint that a peer told last.
        heard_at: When it did so.
        fingerprint: Tells this copy from others that differ.
        told: The fingerprint that peers were told of last, or told this host.
        put: Objects that have come or changed since then, by name.
        removed: The names of those that have gone since then.
    """

    return_grace: float = 0.0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    contents: Contents = field(default_factory=Contents)
    version: int = 0
    listed: bool = False
    listed_at: float = 0.0
    broken_at: float | None = None
    served_at: float = -inf
    returned_at: float | None = None
    missing: dict[str, float] = field(default_factory=dict)
    checked_at: float = 0.0
    behind_at: float | None = None
    early: dict[int, StoreSeen] = field(default_factory=dict)
    asked_at: float | None = None
    heard: int = 0
    heard_at: float = -inf
    fingerprint: int = 0
    told: int = 0
    put: dict[str, StoredObject] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)

    def present(self) -> tuple[StoredObject, ...]:
        """Return the objects that the store holds, so far as is known."""
        return tuple(item for name, item in self.objects.items() if name not in self.missing)
