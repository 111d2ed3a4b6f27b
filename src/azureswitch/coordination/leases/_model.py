"""What the store holds of a lease, and the reducer's events and effects."""

from msgspec import Struct

from azureswitch.core import Effect, Event, Incarnation
from azureswitch.ports import StoredObject

LEASE_KIND = "lease"
"""The kind of the store's lease objects."""

LEASE_TERM = 6.0
"""Seconds without a renewal after which others take a lease over."""


class LeaseValue(Struct, frozen=True, kw_only=True):
    """The content of a lease object.

    Attributes:
        holder: Who holds it, or None after it was given back.
        fence: The version of the acquisition; zero in the acquisition itself, whose version its
            writer cannot know beforehand.
        nonce: Tells the writes of one holder apart when an answer was lost.
    """

    holder: Incarnation | None
    fence: int
    nonce: int


class LeaseEvent(Event, frozen=True, kw_only=True):
    """Base of the events of a lease."""


class LeaseTicked(LeaseEvent, frozen=True, kw_only=True):
    """Time passed; the host wants to hold the lease."""


class LeaseUsed(LeaseEvent, frozen=True, kw_only=True):
    """The host is about to act as the holder."""


class LeaseAbandoned(LeaseEvent, frozen=True, kw_only=True):
    """The host wants to hold the lease no longer."""


class LeaseFenced(LeaseEvent, frozen=True, kw_only=True):
    """A receiver has seen a newer fencing number.

    Attributes:
        newest: The number.
    """

    newest: int


class LeaseRead(LeaseEvent, frozen=True, kw_only=True):
    """The store returned the lease object, or None where there is none."""

    item: StoredObject | None


class LeaseWritten(LeaseEvent, frozen=True, kw_only=True):
    """The store accepted a write."""

    item: StoredObject


class LeaseConflicted(LeaseEvent, frozen=True, kw_only=True):
    """Another write came first."""


class LeaseUnanswered(LeaseEvent, frozen=True, kw_only=True):
    """A write may or may not have taken effect."""


class LeaseStoreAway(LeaseEvent, frozen=True, kw_only=True):
    """The store was not reached; nothing was written."""


class ReadLease(Effect, frozen=True, kw_only=True):
    """Read the lease object; answer by LeaseRead or LeaseStoreAway."""


class CreateLease(Effect, frozen=True, kw_only=True):
    """Create the lease object."""

    value: LeaseValue


class UpdateLease(Effect, frozen=True, kw_only=True):
    """Replace the lease object while its version is still the given one."""

    value: LeaseValue
    version: int
