"""Rate limits of cold targets: each host decides alone, from listed entries and the live hosts.

The load that this responds to is more requests to a target that has just started than it can
sustain, from all hosts together.  A target without known warmth is not limited.
"""

from azureswitch.serving.warmup._limiter import WarmthChange, WarmupLimiter
from azureswitch.serving.warmup._rate import RAMP_SECONDS, current_rate
from azureswitch.serving.warmup._shares import Shares
from azureswitch.serving.warmup._warmth import EvidenceSource, Warmth, WarmthTracker

__all__ = [
    "RAMP_SECONDS",
    "EvidenceSource",
    "Shares",
    "Warmth",
    "WarmthChange",
    "WarmthTracker",
    "WarmupLimiter",
    "current_rate",
]
