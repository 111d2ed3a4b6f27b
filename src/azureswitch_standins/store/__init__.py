"""A stand-in for the platform's object store."""

from azureswitch_standins.store._fake import StoreFake, StoreFaults
from azureswitch_standins.store._model import (
    VALUE_LIMIT,
    CallKind,
    StoreCounters,
    StoreLimits,
    StoreModel,
)

__all__ = [
    "VALUE_LIMIT",
    "CallKind",
    "StoreCounters",
    "StoreFake",
    "StoreFaults",
    "StoreLimits",
    "StoreModel",
]
