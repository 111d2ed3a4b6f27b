"""Notes of a machine that stood still."""

import asyncio
from time import sleep

import pytest

from bench.soak._records import EVERYWHERE, Records
from bench.soak._run import STALL_SECONDS, notice_stalls


class TestNoticeStalls:
    """Unit tests of `notice_stalls`."""

    @pytest.mark.parametrize(("seconds", "noted"), [(0.0, 0), (STALL_SECONDS + 0.2, 1)])
    def test_noted(self, seconds: float, noted: int) -> None:
        """A stall of the soak itself is noted as one of all, and a short delay is not."""

        async def scenario() -> Records:
            records = Records()
            noticing = asyncio.create_task(notice_stalls(records))
            await asyncio.sleep(0.1)
            sleep(seconds)
            await asyncio.sleep(0.1)
            noticing.cancel()
            return records

        windows = asyncio.run(scenario()).windows
        assert [window.subject for window in windows] == [EVERYWHERE] * noted
        assert all(window.end - window.begin >= seconds for window in windows)
