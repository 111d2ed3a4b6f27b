"""Effects of the membership reducer."""

from azureswitch.coordination.membership._messages import Message, SyncReply, SyncRequest
from azureswitch.core import Effect


class MembershipEffect(Effect, frozen=True, kw_only=True):
    """Base of the effects of the membership reducer."""


class Send(MembershipEffect, frozen=True, kw_only=True):
    """Send a datagram."""

    address: str
    message: Message


class Sync(MembershipEffect, frozen=True, kw_only=True):
    """Call a member and feed its answer back as `SyncReplied`."""

    address: str
    request: SyncRequest


class AnswerSync(MembershipEffect, frozen=True, kw_only=True):
    """Return a reply to the caller of a `SyncRequest`."""

    reply: SyncReply


class ListHosts(MembershipEffect, frozen=True, kw_only=True):
    """Read the host list and feed it back as `HostsListed`."""


class NotifyChange(MembershipEffect, frozen=True, kw_only=True):
    """Notify listeners that members have joined, left or changed status."""
