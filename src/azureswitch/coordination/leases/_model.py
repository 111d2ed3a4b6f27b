"""The stored form of a lease, and the reducer's events and effects."""

from msgspec import Struct

from azureswitch.core import Effect, Event, Incarnation
from azureswitch.ports import StoredObject

LEASE_KIND = "lease"
"""The kind of the store's lease objects."""

LEASE_TERM = 6.0
"""Seconds without a renewal after which another host takes over a lease."""


class LeaseValue(Struct, frozen=True, kw_only=True):
    """The content of a lease object.

    Attributes:
        holder: The process that holds it, or None after its release.
        fence: The version of the acquisition; zero in the acquisition itself, as its writer does
            not know the version in advance.
        nonce: Identifies the acquisition of a holder if the outcome of its write was unknown.
    """

    holder: Incarnation | None
    fence: int
    nonce: int


class LeaseEvent(Event, frozen=True, kw_only=True):
    """Base of the events of a lease."""


class LeaseTicked(LeaseEvent, frozen=True, kw_only=True):
    """Time passed; the host is to acquire or renew the lease."""


class LeaseUsed(LeaseEvent, frozen=True, kw_only=True):
    """The host is about to act as the holder."""


class LeaseReleased(LeaseEvent, frozen=True, kw_only=True):
    """The host releases the lease."""


class LeaseFenced(LeaseEvent, frozen=True, kw_only=True):
    """A receiver has reported a newer fencing number.

    Attributes:
        newest: The number.
    """

    newest: int


class LeaseRead(LeaseEvent, frozen=True, kw_only=True):
    """The store returned the lease object, or None if there is none."""

    item: StoredObject | None


class LeaseWritten(LeaseEvent, frozen=True, kw_only=True):
    """The store accepted a write."""

    item: StoredObject


class LeaseConflicted(LeaseEvent, frozen=True, kw_only=True):
    """Another write came first."""


class LeaseOutcomeUnknown(LeaseEvent, frozen=True, kw_only=True):
    """The outcome of a write is unknown."""


class LeaseStoreFailed(LeaseEvent, frozen=True, kw_only=True):
    """A call to the store failed; nothing was written."""


class ReadLease(Effect, frozen=True, kw_only=True):
    """Read the lease object; `LeaseRead` or `LeaseStoreFailed` follows."""


class CreateLease(Effect, frozen=True, kw_only=True):
    """Create the lease object."""

    value: LeaseValue


class UpdateLease(Effect, frozen=True, kw_only=True):
    """Update the lease object on condition that it has the given version."""

    value: LeaseValue
    version: int
