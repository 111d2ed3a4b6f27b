"""The admitted calls, their attempts and their timers.

`_admit` and `_due` work on the serving state, which contains these types, and are imported by their
own names.
"""

from azureswitch.serving.calls._records import Attempt, CallRecord, Phase
from azureswitch.serving.calls._timers import Timer, TimerKind, Timers

__all__ = ["Attempt", "CallRecord", "Phase", "Timer", "TimerKind", "Timers"]
