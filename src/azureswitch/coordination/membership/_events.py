"""What can happen to a member's view of the fleet."""

from azureswitch.coordination.membership._messages import Message, SyncReply, SyncRequest
from azureswitch.core import Event
from azureswitch.ports import ListedHost


class MembershipEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the membership reducer."""


class Ticked(MembershipEvent, frozen=True, kw_only=True):
    """Time passed; sent every `TICK` seconds."""


class Received(MembershipEvent, frozen=True, kw_only=True):
    """A datagram arrived."""

    message: Message


class SyncRequested(MembershipEvent, frozen=True, kw_only=True):
    """Another member asks for what differs."""

    request: SyncRequest


class SyncReplied(MembershipEvent, frozen=True, kw_only=True):
    """Another member answered an exchange of digests."""

    reply: SyncReply


class HostsListed(MembershipEvent, frozen=True, kw_only=True):
    """The host list was read."""

    hosts: tuple[ListedHost, ...]


class RevisionAdopted(MembershipEvent, frozen=True, kw_only=True):
    """A newer configuration is in force on this host."""

    revision: int


class LeaveBegan(MembershipEvent, frozen=True, kw_only=True):
    """This host takes no new work from now on."""


class Ended(MembershipEvent, frozen=True, kw_only=True):
    """This process ends."""
