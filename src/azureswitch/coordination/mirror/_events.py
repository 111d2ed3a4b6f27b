"""What can happen to a copy of the store's objects."""

from azureswitch.coordination.mirror._messages import StoreSeen
from azureswitch.core import Event
from azureswitch.ports import Listing, StoreChange, StoredObject


class MirrorEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the mirror's reducer."""


class Listed(MirrorEvent, frozen=True, kw_only=True):
    """All objects were read."""

    listing: Listing


class Changed(MirrorEvent, frozen=True, kw_only=True):
    """A watch reported a change."""

    change: StoreChange


class Checked(MirrorEvent, frozen=True, kw_only=True):
    """A short watch from the copy's version has ended, so that the copy was complete just now."""


class Broken(MirrorEvent, frozen=True, kw_only=True):
    """A call to the store failed."""


class Heard(MirrorEvent, frozen=True, kw_only=True):
    """A peer has checked its copy."""

    seen: StoreSeen


class Copied(MirrorEvent, frozen=True, kw_only=True):
    """A peer gave its copy."""

    version: int
    objects: tuple[StoredObject, ...]


class Asked(MirrorEvent, frozen=True, kw_only=True):
    """The peers that were to be asked for their copies have been, whatever came of it."""


class Ticked(MirrorEvent, frozen=True, kw_only=True):
    """Time passed.

    Attributes:
        rank: How many other hosts are to check before this one.
    """

    rank: int = 0
