"""What the driver does for the membership reducer."""

from azureswitch.coordination.membership._messages import Message, SyncReply, SyncRequest
from azureswitch.core import Effect


class MembershipEffect(Effect, frozen=True, kw_only=True):
    """Base of the effects of the membership reducer."""


class Send(MembershipEffect, frozen=True, kw_only=True):
    """Send a datagram."""

    address: str
    message: Message


class Sync(MembershipEffect, frozen=True, kw_only=True):
    """Call a member and report its answer as `SyncReplied`."""

    address: str
    request: SyncRequest


class AnswerSync(MembershipEffect, frozen=True, kw_only=True):
    """Return this as the reply to the call."""

    reply: SyncReply


class ListHosts(MembershipEffect, frozen=True, kw_only=True):
    """Read the host list and report it as `HostsListed`."""


class NotifyChange(MembershipEffect, frozen=True, kw_only=True):
    """Tell listeners that members came, went or changed status."""
