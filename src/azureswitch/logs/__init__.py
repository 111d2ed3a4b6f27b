"""Structured logs: one JSON object a line, of bounded volume, which never hold up the process."""

from azureswitch.logs._entry import Entry, Level
from azureswitch.logs._log import Log
from azureswitch.logs._setup import start_logs
from azureswitch.logs._stream import LineStream

__all__ = ["Entry", "Level", "LineStream", "Log", "start_logs"]
