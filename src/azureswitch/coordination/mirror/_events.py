"""Events of the mirror's reducer."""

from azureswitch.coordination.mirror._messages import StoreSeen
from azureswitch.core import Event
from azureswitch.ports import Listing, StoreChange, StoredObject


class MirrorEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the mirror's reducer."""


class Listed(MirrorEvent, frozen=True, kw_only=True):
    """All objects were listed."""

    listing: Listing


class Changed(MirrorEvent, frozen=True, kw_only=True):
    """A watch reported a change."""

    change: StoreChange


class Checked(MirrorEvent, frozen=True, kw_only=True):
    """A short watch from the copy's version has ended, which shows that the copy is complete."""


class StoreFailed(MirrorEvent, frozen=True, kw_only=True):
    """A call to the store failed."""


class PeerChecked(MirrorEvent, frozen=True, kw_only=True):
    """A peer announced that it has checked its copy."""

    seen: StoreSeen


class CopyReceived(MirrorEvent, frozen=True, kw_only=True):
    """A peer answered with its copy."""

    version: int
    objects: tuple[StoredObject, ...]


class CopyRequestsEnded(MirrorEvent, frozen=True, kw_only=True):
    """The requests of a `RequestCopy` have ended, with or without a copy."""


class Ticked(MirrorEvent, frozen=True, kw_only=True):
    """Time passed.

    Attributes:
        rank: This host's rank among those that check the store, from 0.
    """

    rank: int = 0
