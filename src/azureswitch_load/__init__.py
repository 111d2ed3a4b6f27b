"""A load tool that sends a seeded mix of calls and checks what comes back independently."""

from azureswitch_load._balancer import Balancer
from azureswitch_load._bodies import prepare
from azureswitch_load._calls import Caller, CallKind, Length, Phase, PlannedCall
from azureswitch_load._outcome import Attempt, End, Outcome
from azureswitch_load._plan import PlanSettings, draw
from azureswitch_load._program import main, progress_line
from azureswitch_load._promises import (
    Promise,
    Runs,
    Violation,
    check_engines,
    check_outcomes,
    check_runs,
    count_violations,
    sum_runs,
)
from azureswitch_load._report import LoadReport, make_report
from azureswitch_load._run import Progress, Run
from azureswitch_load._sender import Sender, Target
from azureswitch_load._tables import show_report, table

__all__ = [
    "Attempt",
    "Balancer",
    "CallKind",
    "Caller",
    "End",
    "Length",
    "LoadReport",
    "Outcome",
    "Phase",
    "PlanSettings",
    "PlannedCall",
    "Progress",
    "Promise",
    "Run",
    "Runs",
    "Sender",
    "Target",
    "Violation",
    "check_engines",
    "check_outcomes",
    "check_runs",
    "count_violations",
    "draw",
    "main",
    "make_report",
    "prepare",
    "progress_line",
    "show_report",
    "sum_runs",
    "table",
]
