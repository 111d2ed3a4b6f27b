"""Calls that may not repeat run at most once, whichever host they come to."""

from azureswitch.coordination.claims._claims import Claims
from azureswitch.coordination.claims._limits import RETENTION
from azureswitch.coordination.claims._messages import (
    ClaimAsk,
    ClaimReply,
    HoldAsk,
    HoldReply,
    SettleAsk,
)
from azureswitch.coordination.claims._results import Granted, Replayed

__all__ = [
    "RETENTION",
    "ClaimAsk",
    "ClaimReply",
    "Claims",
    "Granted",
    "HoldAsk",
    "HoldReply",
    "Replayed",
    "SettleAsk",
]
