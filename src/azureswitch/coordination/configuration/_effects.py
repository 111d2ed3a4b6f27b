"""Effects of the configuration reducer."""

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
    """Read the host list; `HostsListed` follows on success."""


class ReadHead(ConfigurationEffect, frozen=True, kw_only=True):
    """Read the head from the store; `HeadSeen` or `StoreFailed` follows."""


class OpenWatch(ConfigurationEffect, frozen=True, kw_only=True):
    """Watch the head; `HeadSeen` follows, and at the end `WatchRenewed` or `StoreFailed`."""


class CloseWatch(ConfigurationEffect, frozen=True, kw_only=True):
    """Cancel the watch; no event follows."""


class FetchFromStore(ConfigurationEffect, frozen=True, kw_only=True):
    """Read a body from the store; `BodyFetched` or `FetchFailed` follows."""

    entry: AuditEntry


class FetchFromHost(ConfigurationEffect, frozen=True, kw_only=True):
    """Pull a body from another host; `BodyFetched` or `FetchFailed` follows."""

    address: str
    revision: int
    timeout: float


class Adopt(ConfigurationEffect, frozen=True, kw_only=True):
    """Put a body in force on this host."""

    revision: int
    body: bytes
