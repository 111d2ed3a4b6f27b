"""Events of the configuration reducer."""

from azureswitch.coordination.configuration._messages import RevisionAsk, RevisionNews
from azureswitch.coordination.configuration._model import AuditEntry
from azureswitch.coordination.membership import Member
from azureswitch.core import Event
from azureswitch.ports import ListedHost


class ConfigurationEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the configuration reducer."""


class Ticked(ConfigurationEvent, frozen=True, kw_only=True):
    """Time passed; sent every `TICK_SECONDS` seconds.

    Attributes:
        members: The current members.
    """

    members: tuple[Member, ...]


class HostsListed(ConfigurationEvent, frozen=True, kw_only=True):
    """The host list, which a starting host requests, was read."""

    hosts: tuple[ListedHost, ...]


class HeadSeen(ConfigurationEvent, frozen=True, kw_only=True):
    """The head was read from the store; None before the first change."""

    entry: AuditEntry | None


class StoreFailed(ConfigurationEvent, frozen=True, kw_only=True):
    """A read of the head or a watch failed."""


class WatchRenewed(ConfigurationEvent, frozen=True, kw_only=True):
    """A watch ended at its timeout and can be renewed at once."""


class NewsReceived(ConfigurationEvent, frozen=True, kw_only=True):
    """Another host announced its revision in force."""

    news: RevisionNews


class Asked(ConfigurationEvent, frozen=True, kw_only=True):
    """A starting host queried the revision in force on this host."""

    ask: RevisionAsk


class BodyFetched(ConfigurationEvent, frozen=True, kw_only=True):
    """A body arrived from the store or from another host.

    Attributes:
        revision: The revision that its sender states.
        digest: The digest that its sender states.
        body: The body.
    """

    revision: int
    digest: str
    body: bytes


class FetchFailed(ConfigurationEvent, frozen=True, kw_only=True):
    """A fetch of a body failed.

    Attributes:
        address: The host that was called; empty for the store.
    """

    address: str
