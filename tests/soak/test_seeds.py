"""The soak's command line."""

import pytest

from bench.soak.__main__ import _seeds, main


class TestSeeds:
    """Lists of seeds."""

    @pytest.mark.parametrize(
        ("text", "seeds"),
        [("", []), ("3", [3]), ("1-3", [1, 2, 3]), ("7,1-2", [7, 1, 2]), ("5-5,9", [5, 9])],
    )
    def test_read(self, text: str, seeds: list[int]) -> None:
        """Single seeds and ranges are read in order."""
        assert _seeds(text) == seeds

    @pytest.mark.parametrize("text", ["x", "1-", "-1", "1,,2", "1 2"])
    def test_refused(self, text: str) -> None:
        """What is no list of seeds is refused, and nothing runs."""
        assert main(["--seeds", text]) == 2
