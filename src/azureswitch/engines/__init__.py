"""Adapters to model engines and to targets of plain services over HTTP."""

from azureswitch.engines._engine import HttpEngine
from azureswitch.engines._plain import HttpPlainTarget

__all__ = ["HttpEngine", "HttpPlainTarget"]
