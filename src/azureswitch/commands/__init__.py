"""The operators' command line."""

from azureswitch.commands._application import build, main
from azureswitch.commands._base import Connections
from azureswitch.commands._exits import ExitCode
from azureswitch.commands._explain import Explanation, Question, explain
from azureswitch.commands._settings import OPERATOR_TABLE, OperatorSettings, read_settings

__all__ = [
    "OPERATOR_TABLE",
    "Connections",
    "ExitCode",
    "Explanation",
    "OperatorSettings",
    "Question",
    "build",
    "explain",
    "main",
    "read_settings",
]
