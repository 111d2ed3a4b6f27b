"""What the driver does for the configuration reducer."""

from azureswitch.coordination.configuration._messages import RevisionAsk, RevisionNews
from azureswitch.coordination.configuration._model import AuditEntry
from azureswitch.core import Effect


class ConfigurationEffect(Effect, frozen=True, kw_only=True):
    """Base of the effects of the configuration reducer."""


class Cast(ConfigurationEffect, frozen=True, kw_only=True):
    """Send a datagram."""

    address: str
    message: RevisionNews | RevisionAsk


class ListHosts(ConfigurationEffect, frozen=True, kw_only=True):
    """Read the host list and report it as `HostsListed`."""


class ReadHead(ConfigurationEffect, frozen=True, kw_only=True):
    """Read the head from the store; report `HeadSeen` or `StoreFailed`."""


class OpenWatch(ConfigurationEffect, frozen=True, kw_only=True):
    """Watch the head; report `HeadSeen`, and at the end `WatchRenewed` or `StoreFailed`."""


class CloseWatch(ConfigurationEffect, frozen=True, kw_only=True):
    """Stop watching, without a report."""


class FetchFromStore(ConfigurationEffect, frozen=True, kw_only=True):
    """Get a body from the store; report `BodyFetched` or `FetchFailed`."""

    entry: AuditEntry


class FetchFromHost(ConfigurationEffect, frozen=True, kw_only=True):
    """Pull a body from another host; report `BodyFetched` or `FetchFailed`."""

    address: str
    revision: int
    timeout: float


class Adopt(ConfigurationEffect, frozen=True, kw_only=True):
    """Put a body in force on this host."""

    revision: int
    body: bytes
