"""Adapters to the platform's object store and host list over HTTP and JSON."""

from azureswitch.platform._hosts import HttpHostList
from azureswitch.platform._store import HttpStore
from azureswitch.platform._wire import (
    API_ROOT,
    HOSTS_PATH,
    WatchType,
    WireChange,
    WireDelete,
    WireHosts,
    WireList,
    WireMetadata,
    WireObject,
    WirePreconditions,
    WireStatus,
    to_wire,
)

__all__ = [
    "API_ROOT",
    "HOSTS_PATH",
    "HttpHostList",
    "HttpStore",
    "WatchType",
    "WireChange",
    "WireDelete",
    "WireHosts",
    "WireList",
    "WireMetadata",
    "WireObject",
    "WirePreconditions",
    "WireStatus",
    "to_wire",
]
