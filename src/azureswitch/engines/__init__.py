"""Adapters to model engines and to targets of plain services over HTTP."""

from azureswitch.engines._engine import HttpEngine
from azureswitch.engines._plain import CONNECTION_HEADERS, HttpPlainTarget, end_to_end

__all__ = ["CONNECTION_HEADERS", "HttpEngine", "HttpPlainTarget", "end_to_end"]
