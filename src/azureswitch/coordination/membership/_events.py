"""Events of the membership reducer."""

from azureswitch.coordination.membership._messages import Message, SyncReply, SyncRequest
from azureswitch.core import Event
from azureswitch.ports import ListedHost


class MembershipEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the membership reducer."""


class Ticked(MembershipEvent, frozen=True, kw_only=True):
    """Time passed; sent every `TICK_SECONDS` seconds."""


class Received(MembershipEvent, frozen=True, kw_only=True):
    """A datagram arrived."""

    message: Message


class SyncRequested(MembershipEvent, frozen=True, kw_only=True):
    """A member requested the updates that differ."""

    request: SyncRequest


class SyncReplied(MembershipEvent, frozen=True, kw_only=True):
    """A member answered an exchange of digests."""

    reply: SyncReply


class HostsListed(MembershipEvent, frozen=True, kw_only=True):
    """The host list was read."""

    hosts: tuple[ListedHost, ...]


class RevisionAdopted(MembershipEvent, frozen=True, kw_only=True):
    """A newer configuration is in force on this host."""

    revision: int


class LeaveBegan(MembershipEvent, frozen=True, kw_only=True):
    """This host has begun to leave and takes no new work."""


class Ended(MembershipEvent, frozen=True, kw_only=True):
    """This process is about to end."""
