"""The copy of one kind of the store's objects, and when the store and peers last answered."""

from bisect import bisect_left, insort
from collections.abc import Iterable
from math import inf

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

from azureswitch.coordination.mirror._messages import StoreSeen
from azureswitch.ports import StoredObject


class Contents(Struct, kw_only=True):
    """The names and versions of the objects in a copy, updated incrementally.

    Attributes:
        entries: One entry of name and version per object, sorted.
    """

    entries: list[str] = field(default_factory=list)

    def add(self, item: StoredObject) -> None:
        """Add an object."""
        insort(self.entries, _entry(item))

    def discard(self, item: StoredObject) -> None:
        """Remove an object, if present."""
        entry = _entry(item)
        index = bisect_left(self.entries, entry)
        if self.entries[index : index + 1] == [entry]:
            del self.entries[index]

    def replace(self, items: Iterable[StoredObject]) -> None:
        """Replace all entries by those of these objects."""
        self.entries = sorted(map(_entry, items))

    def fingerprint(self) -> int:
        """Return a hash of the names and versions."""
        return xxh3_64_intdigest("\n".join(self.entries).encode())


def _entry(item: StoredObject) -> str:
    return f"{item.name}={item.version}"


class MirrorState(Struct, kw_only=True):
    """A copy of the objects of one kind.

    Attributes:
        return_grace: Seconds after an outage of the store for which missing objects are kept.
        objects: The objects, by name.
        contents: The names and versions of those that the store holds, as far as is known.
        version: The version up to which the copy is complete.
        listed: Whether there is a copy.
        listed_at: When all objects were last listed, or a listing was last requested.
        failing_since: When the first call failed after the store last answered, or None.
        store_answered_at: When the store last answered this host or a peer.
        recovered_at: When the store first answered after its last outage, or None.
        missing: Until when objects are kept that are no longer in the store, by name.
        checked_at: When this host or a peer last asked the store for changes.
        behind_since: Since when peers have had a newer copy, or None.
        reordered: Announced changes that arrived before their predecessors, by the fingerprint of
            the copy that they apply to.
        copies_requested_at: When requests to peers for their copies began, or None if none is open.
        peer_fingerprint: The fingerprint that a peer announced last.
        peer_checked_at: When that announcement arrived.
        fingerprint: The fingerprint of this copy.
        announced: The last fingerprint that this host announced or that peers are known to have.
        put: Objects created or changed since then, by name.
        removed: The names of objects deleted since then.
    """

    return_grace: float = 0.0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    contents: Contents = field(default_factory=Contents)
    version: int = 0
    listed: bool = False
    listed_at: float = 0.0
    failing_since: float | None = None
    store_answered_at: float = -inf
    recovered_at: float | None = None
    missing: dict[str, float] = field(default_factory=dict)
    checked_at: float = 0.0
    behind_since: float | None = None
    reordered: dict[int, StoreSeen] = field(default_factory=dict)
    copies_requested_at: float | None = None
    peer_fingerprint: int = 0
    peer_checked_at: float = -inf
    fingerprint: int = 0
    announced: int = 0
    put: dict[str, StoredObject] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)

    def present(self) -> tuple[StoredObject, ...]:
        """Return the objects that the store holds, as far as is known."""
        return tuple(item for name, item in self.objects.items() if name not in self.missing)
