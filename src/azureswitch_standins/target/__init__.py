"""A target in the form that the users' platform publishes: a model engine or a plain service."""

from azureswitch_standins.target._content import answer_body, event, event_count, seal
from azureswitch_standins.target._http import (
    COLD_PATH,
    FATAL_PART,
    FAULTS_PATH,
    LIMIT_PATH,
    REPORT_PATH,
    SILENCE_PATH,
    Report,
    TargetStandin,
)
from azureswitch_standins.target._model import SILENT_ACTS, Act, TargetFaults, TargetPlan
from azureswitch_standins.target._program import main
from azureswitch_standins.target._registration import BEATS_KIND
from azureswitch_standins.target._runs import Note, NoteKind, digest
from azureswitch_standins.target._silence import LEAD_SECONDS

__all__ = [
    "Act",
    "BEATS_KIND",
    "COLD_PATH",
    "FATAL_PART",
    "FAULTS_PATH",
    "LEAD_SECONDS",
    "LIMIT_PATH",
    "Note",
    "NoteKind",
    "REPORT_PATH",
    "Report",
    "SILENCE_PATH",
    "SILENT_ACTS",
    "TargetFaults",
    "TargetPlan",
    "TargetStandin",
    "answer_body",
    "digest",
    "event",
    "event_count",
    "main",
    "seal",
]
