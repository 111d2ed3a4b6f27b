"""A model engine that stands in for the real ones, in virtual and in real time."""

from azureswitch_standins.engine._errors import EngineError
from azureswitch_standins.engine._http import EngineStandin
from azureswitch_standins.engine._kv import Span
from azureswitch_standins.engine._model import EngineModel
from azureswitch_standins.engine._outputs import (
    Failed,
    Failure,
    Finished,
    FirstToken,
    Output,
    RunRequest,
    SpanFailed,
    SpanReady,
)
from azureswitch_standins.engine._program import main
from azureswitch_standins.engine._prompt import (
    BLOCK_TOKENS,
    BYTES_PER_TOKEN,
    Prompt,
    chat_text,
    expected_answer,
    read_prompt,
)
from azureswitch_standins.engine._settings import CostModel, EngineSettings
from azureswitch_standins.engine._streams import EngineCounters, EngineFaults

__all__ = [
    "BLOCK_TOKENS",
    "BYTES_PER_TOKEN",
    "CostModel",
    "EngineCounters",
    "EngineError",
    "EngineFaults",
    "EngineModel",
    "EngineSettings",
    "EngineStandin",
    "Failed",
    "Failure",
    "Finished",
    "FirstToken",
    "Output",
    "Prompt",
    "RunRequest",
    "Span",
    "SpanFailed",
    "SpanReady",
    "chat_text",
    "expected_answer",
    "main",
    "read_prompt",
]
