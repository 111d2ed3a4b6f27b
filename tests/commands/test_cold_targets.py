"""Tests that ``azureswitch status`` shows for how long a target stays cold."""

import pytest

from azureswitch.commands._merging import merge_targets
from azureswitch.commands._status import _target_cells
from azureswitch.status import TargetStatus


class TestColdTargets:
    """A target as two hosts know it."""

    @pytest.mark.parametrize(
        ("told", "cold", "note"),
        [
            ((None, None), None, ""),
            ((1.25, 2.1), 2.1, "cold for 2.1 s more"),
            ((None, 0.5), 0.5, "cold for 0.5 s more"),
        ],
    )
    def test_note(self, told: tuple[float | None, ...], cold: float | None, note: str) -> None:
        """The longest time that any host knows is shown, and nothing for a warm target."""
        lists = [
            [TargetStatus(name="e0", place="p1", state="serving", started=1, cold=seconds)]
            for seconds in told
        ]
        (report,) = merge_targets(lists)
        assert report.cold == cold
        assert _target_cells(report)[-1] == note
