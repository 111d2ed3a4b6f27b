"""Keeps a copy of one kind of the store's objects, also while the store is away."""

from azureswitch.coordination.mirror._driver import Mirror
from azureswitch.coordination.mirror._events import Broken, Changed, Listed, MirrorEvent, Ticked
from azureswitch.coordination.mirror._reduce import Publish, reduce
from azureswitch.coordination.mirror._state import MirrorState

__all__ = [
    "Broken",
    "Changed",
    "Listed",
    "Mirror",
    "MirrorEvent",
    "MirrorState",
    "Publish",
    "Ticked",
    "reduce",
]
