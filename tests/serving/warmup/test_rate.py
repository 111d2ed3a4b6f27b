"""Tests the rate of a target while it is cold and just after."""

import pytest

from azureswitch.serving.warmup import current_rate


class TestCurrentRate:
    """A target that is cold until second 3 and sustains 17 requests per second."""

    @pytest.mark.parametrize(
        ("now", "rate"),
        [
            (0.0, 17.0),
            (2.99, 17.0),
            (3.0, 17.0),
            (3.5, 34.0),
            (4.0, 68.0),
            (4.25, 17.0 * 2.0**2.5),
            (4.5, None),
            (9.0, None),
        ],
    )
    def test_ramp(self, now: float, rate: float | None) -> None:
        """Load does not step from the cold rate to any number of requests."""
        found = current_rate(17.0, until=3.0, now=now)
        assert found == (rate if rate is None else pytest.approx(rate))
