"""Quarantine of what crashes the targets that run it: a request, or a part that prompts share.

The load that this responds to is requests whose content crashes every engine that runs them: one
request that is repeated, or requests, no two alike, that share a part of their prompt.  Each of
them costs the engine and all that runs on it.

Hosts gossip at which starts of targets each cause was interrupted, and which of these crashes were
cleared as a target answered it later.  All decisions are functions of the evidence known,
regardless of its sender and order, so that hosts with the same evidence decide the same.
"""

from azureswitch.serving.quarantine._causes import Cause
from azureswitch.serving.quarantine._changes import (
    QuarantineChange,
    QuarantinedCause,
    QuarantineStage,
)
from azureswitch.serving.quarantine._crashes import ONSET_SECONDS, Crashes, Hold
from azureswitch.serving.quarantine._schedule import QUARANTINE_SECONDS

__all__ = [
    "ONSET_SECONDS",
    "QUARANTINE_SECONDS",
    "Cause",
    "Crashes",
    "Hold",
    "QuarantineChange",
    "QuarantinedCause",
    "QuarantineStage",
]
