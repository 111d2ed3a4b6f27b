"""An entry host: serves requests of callers by engines and plain services."""

from azureswitch.entry._program import main
from azureswitch.entry._server import EntryServer
from azureswitch.entry._settings import (
    ENTRY_TABLE,
    EntrySettings,
    Limits,
    LogLevel,
    read_settings,
)
from azureswitch.entry._wiring import EntryPorts
from azureswitch.metrics import Metrics

__all__ = [
    "ENTRY_TABLE",
    "EntryPorts",
    "EntryServer",
    "EntrySettings",
    "Limits",
    "LogLevel",
    "Metrics",
    "main",
    "read_settings",
]
