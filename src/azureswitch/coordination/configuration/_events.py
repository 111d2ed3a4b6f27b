"""What can happen to the configuration in force on a host."""

from azureswitch.coordination.configuration._messages import RevisionAsk, RevisionNews
from azureswitch.coordination.configuration._model import AuditEntry
from azureswitch.coordination.membership import Member
from azureswitch.core import Event
from azureswitch.ports import ListedHost


class ConfigurationEvent(Event, frozen=True, kw_only=True):
    """Base of the events of the configuration reducer."""


class Ticked(ConfigurationEvent, frozen=True, kw_only=True):
    """Time passed; sent every `TICK` seconds.

    Attributes:
        members: The fleet as this host sees it.
    """

    members: tuple[Member, ...]


class HostsListed(ConfigurationEvent, frozen=True, kw_only=True):
    """The host list was read, which a starting host needs."""

    hosts: tuple[ListedHost, ...]


class HeadSeen(ConfigurationEvent, frozen=True, kw_only=True):
    """The store showed its head; None before the first change."""

    entry: AuditEntry | None


class StoreFailed(ConfigurationEvent, frozen=True, kw_only=True):
    """A reading of the head or a watch failed."""


class WatchRenewed(ConfigurationEvent, frozen=True, kw_only=True):
    """A watch ended in its time and may go on at once."""


class NewsReceived(ConfigurationEvent, frozen=True, kw_only=True):
    """Another host said what is in force on it."""

    news: RevisionNews


class Asked(ConfigurationEvent, frozen=True, kw_only=True):
    """A starting host asks what is in force here."""

    ask: RevisionAsk


class BodyFetched(ConfigurationEvent, frozen=True, kw_only=True):
    """A body arrived from the store or from another host.

    Attributes:
        revision: The revision that it is said to be of.
        digest: The digest that it is said to have.
        body: The body.
    """

    revision: int
    digest: str
    body: bytes


class FetchFailed(ConfigurationEvent, frozen=True, kw_only=True):
    """A body did not arrive.

    Attributes:
        address: The host that was asked; empty for the store.
    """

    address: str
