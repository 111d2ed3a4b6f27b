"""Tests that ``azureswitch status`` shows which hosts do not reach all targets."""

import pytest

from azureswitch.commands._answers import HostAnswer
from azureswitch.commands._fleet import assess
from azureswitch.commands._status import _host_note
from azureswitch.status import HostStatus, MemberReport, TargetStatus

MEMBERS = tuple(
    MemberReport(host=host, place="p1", address="", status="alive", revision=0, started=1)
    for host in ("h1", "h2")
)


def status(host: str, lost: tuple[float | None, ...]) -> HostAnswer:
    """Return the answer of a host that has lost its paths to targets for some seconds each."""
    targets = tuple(
        TargetStatus(name=f"e{n}", place="p1", state="serving", started=1, path_lost=seconds)
        for n, seconds in enumerate(lost)
    )
    told = HostStatus(
        host=host,
        place="p1",
        revision=0,
        leaving=False,
        open_calls=0,
        members=MEMBERS,
        targets=targets,
    )
    return HostAnswer(status=told, unread=())


class TestLostPaths:
    """Two hosts, of which one may have lost paths."""

    @pytest.mark.parametrize(
        ("lost", "note"),
        [
            ((None, None, None), ""),
            ((None, 2.0, 11.6), "reaches 1 of 3 targets directly (for 12 s)"),
            ((4.0, 4.0, 4.0), "reaches 0 of 3 targets directly (for 4 s)"),
        ],
    )
    def test_note(self, lost: tuple[float | None, ...], note: str) -> None:
        """The host that lost them is shown with how many it reaches, and needs attention."""
        answers = {"a": status("h1", lost), "b": status("h2", (None, None, None))}
        report = assess(answers, head=None)
        assert _host_note("h1", report) == note
        assert _host_note("h2", report) == ""
        assert bool(report.lost_paths) is bool(note)
        assert report.needs_attention >= bool(note)
