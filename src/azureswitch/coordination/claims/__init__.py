"""Calls that may not repeat run at most once, whichever host they come to."""

from azureswitch.coordination.claims._claims import RETENTION, Claims, Granted, Replayed
from azureswitch.coordination.claims._messages import (
    ClaimAsk,
    ClaimReply,
    HoldAsk,
    HoldReply,
    SettleAsk,
)

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
