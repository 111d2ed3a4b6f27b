"""Prompts larger than one engine's memory run on several engines at once.

A `SpanRun` reserves memory at every engine of the set or at none, prefills the prompt span by span,
links the spans, decodes on the last engine and gives everything back at any end.
"""

from azureswitch.spans._driver import SpanRun
from azureswitch.spans._model import (
    HOLD_LIMIT,
    HOLD_LONGEST,
    NEWCOMER_PAUSE,
    POLL_PERIOD,
    Decode,
    Export,
    Fail,
    Fetch,
    Pause,
    Prefill,
    Reserve,
    SpanBegan,
    SpanEvent,
    SpanMember,
    StepDone,
    StepFailed,
)
from azureswitch.spans._plan import divide
from azureswitch.spans._reduce import reduce
from azureswitch.spans._state import SpanState

__all__ = [
    "HOLD_LIMIT",
    "HOLD_LONGEST",
    "NEWCOMER_PAUSE",
    "POLL_PERIOD",
    "Decode",
    "Export",
    "Fail",
    "Fetch",
    "Pause",
    "Prefill",
    "Reserve",
    "SpanBegan",
    "SpanEvent",
    "SpanMember",
    "SpanRun",
    "SpanState",
    "StepDone",
    "StepFailed",
    "divide",
    "reduce",
]
