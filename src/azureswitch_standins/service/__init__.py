"""A plain service that stands in for the real ones and counts what it runs."""

from azureswitch_standins.service._http import (
    Receipt,
    ServiceCounters,
    ServiceFaults,
    ServiceStandin,
)
from azureswitch_standins.service._program import main

__all__ = ["Receipt", "ServiceCounters", "ServiceFaults", "ServiceStandin", "main"]
