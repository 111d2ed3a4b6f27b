"""A stand-in for the platform's object store."""

from azureswitch_standins.store._fake import StoreFake, StoreFaults
from azureswitch_standins.store._http import REVISION, StoreStandin
from azureswitch_standins.store._model import (
    VALUE_LIMIT,
    CallKind,
    StoreCounters,
    StoreLimits,
    StoreModel,
)
from azureswitch_standins.store._program import main

__all__ = [
    "REVISION",
    "VALUE_LIMIT",
    "CallKind",
    "StoreCounters",
    "StoreFake",
    "StoreFaults",
    "StoreLimits",
    "StoreModel",
    "StoreStandin",
    "main",
]
