"""A target that is silent for a while does not cost its caller the answer."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from azureswitch.serving._retries import MIN_OUTPUT_GAP_SECONDS
from tests.gateway.fixtures import PATIENCE, Act, model_headers, serve, whole_stream

SILENCE = MIN_OUTPUT_GAP_SECONDS + 0.4
"""Seconds for which an engine reads a long prompt and writes nothing; callers leave after 2 s."""

EVENTS = 5


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())


class TestSilence:
    """An answer is broken off for silence only where another target can go on with it."""

    @pytest.mark.parametrize(
        "acts",
        [(Act.PAUSE, Act.PAUSE), (Act.HANG, Act.PAUSE), (Act.BREAK, Act.PAUSE)],
        ids=["both attempts", "after none at all", "after one broken"],
    )
    def test_last_attempt(self, acts: tuple[Act, ...]) -> None:
        """The last attempt is waited for, and its caller gets the whole answer."""

        async def scenario() -> None:
            async with serve(acts=acts) as bed:
                bed.fleet.events, bed.fleet.silence = EVENTS, SILENCE
                answer = await bed.ask("/ask/", headers=model_headers())
                assert answer.body == whole_stream(EVENTS)
                assert len(bed.fleet.runs) == 2

        run(scenario)
