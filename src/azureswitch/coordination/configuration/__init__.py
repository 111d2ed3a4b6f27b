"""Accepts changes of the configuration and distributes accepted revisions to every host."""

from azureswitch.coordination.configuration._changes import Changes
from azureswitch.coordination.configuration._driver import Configuration
from azureswitch.coordination.configuration._events import (
    Asked,
    BodyFetched,
    ConfigurationEvent,
    FetchFailed,
    HeadSeen,
    HostsListed,
    NewsReceived,
    StoreFailed,
    Ticked,
    WatchRenewed,
)
from azureswitch.coordination.configuration._model import AuditEntry
from azureswitch.coordination.configuration._reduce import reduce, watchers
from azureswitch.coordination.configuration._state import ConfigurationState

__all__ = [
    "Asked",
    "AuditEntry",
    "BodyFetched",
    "Changes",
    "Configuration",
    "ConfigurationEvent",
    "ConfigurationState",
    "FetchFailed",
    "HeadSeen",
    "HostsListed",
    "NewsReceived",
    "StoreFailed",
    "Ticked",
    "WatchRenewed",
    "reduce",
    "watchers",
]
