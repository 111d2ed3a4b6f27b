"""The users' platform: its store, its host list, its settings, headers and configuration.

Only this package translates between the platform's terms and the project's.
"""

from azureswitch.platform import _headers as header_names
from azureswitch.platform._deployment import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
    decode_deployment,
)
from azureswitch.platform._dialect import PlatformDialect
from azureswitch.platform._evacuations import EVACUATIONS_KIND, EvacuationReader
from azureswitch.platform._foreign import Fault, Foreign
from azureswitch.platform._hosts import HttpHostList
from azureswitch.platform._orders import ORDER_PATH
from azureswitch.platform._program import main, run
from azureswitch.platform._settings import PlatformSettings, read_settings
from azureswitch.platform._store import HttpStore
from azureswitch.platform._targets import TargetReader, Targets
from azureswitch.platform._wire import (
    HOSTS_PATH,
    OBJECTS_PATH,
    WireChange,
    WireChanges,
    WireHosts,
    WireListing,
    WireMetadata,
    WireObject,
    from_wire,
    to_wire,
)

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "EVACUATIONS_KIND",
    "HOSTS_PATH",
    "OBJECTS_PATH",
    "ORDER_PATH",
    "HttpHostList",
    "HttpStore",
    "PlatformDialect",
    "PlatformSettings",
    "TARGETS_KIND",
    "EvacuationReader",
    "Fault",
    "Foreign",
    "TargetReader",
    "Targets",
    "WireChange",
    "WireChanges",
    "WireHosts",
    "WireListing",
    "WireMetadata",
    "WireObject",
    "decode_deployment",
    "from_wire",
    "header_names",
    "main",
    "read_settings",
    "run",
    "to_wire",
]
