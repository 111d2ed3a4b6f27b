"""Claims: non-idempotent calls run at most once, whichever hosts they reach."""

from azureswitch.coordination.claims._claims import Claims
from azureswitch.coordination.claims._limits import RETENTION_SECONDS
from azureswitch.coordination.claims._messages import (
    ClaimAsk,
    ClaimReply,
    HoldAsk,
    HoldReply,
    SettleAsk,
)
from azureswitch.coordination.claims._results import Granted, Replayed

__all__ = [
    "RETENTION_SECONDS",
    "ClaimAsk",
    "ClaimReply",
    "Claims",
    "Granted",
    "HoldAsk",
    "HoldReply",
    "Replayed",
    "SettleAsk",
]
