"""The line through measured points."""

import pytest

from bench.capacity._series import series


class TestSeries:
    """`Series`."""

    @pytest.mark.parametrize(
        ("points", "size", "slope", "there", "measured"),
        [
            ({1: 3.0, 2: 5.0, 3: 7.0, 4: 9.0}, 10, 2.0, 21.0, False),
            ({4: 9.0, 1: 3.0, 2: 5.0, 3: 7.5}, 3, 2.05, 7.5, True),
            ({5: 2.0}, 5, 0.0, 2.0, True),
        ],
        ids=["line", "measured", "single"],
    )
    def test_line(
        self, points: dict[int, float], size: int, slope: float, there: float, measured: bool
    ) -> None:
        """The value at a size is the measured one, or else that of the line."""
        found = series("x", unit="s", by="hosts", size=size, points=points)
        assert found.slope == pytest.approx(slope)
        assert found.there == pytest.approx(there)
        assert found.measured is measured
