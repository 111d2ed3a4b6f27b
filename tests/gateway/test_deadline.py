"""Tests that a request is ended just before its deadline, and no earlier."""

import asyncio

import pytest

from azureswitch.exceptions import DeadlineExceededError
from azureswitch.gateway import Gateway, RouteKind, _shell
from azureswitch.gateway._log import RequestFailed
from tests.gateway.fixtures import PATIENCE, Act, RecordingLog, deployment, route, serve

SECONDS = 0.5
"""The route's timeout."""

EARLY_END_SECONDS = 0.02
"""Seconds before its deadline at which a request may be ended."""

COUNT = 12
"""Requests that arrive 5 ms apart, over more than one tick."""


def configure(gateway: Gateway) -> None:
    """Configure a route with a short timeout."""
    lookups = route(RouteKind.IDEMPOTENT, prefix="/read/", service="plain", timeout=SECONDS)
    gateway.adopt(deployment(routes=(lookups,)))


@pytest.mark.parametrize("tick", [_shell.TICK_SECONDS, PATIENCE])
def test_silent(tick: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """A request does not fail before its deadline, nor wait for the next tick after it."""

    async def scenario() -> None:
        monkeypatch.setattr(_shell, "TICK_SECONDS", tick)
        log = RecordingLog()
        async with serve(acts=(Act.HANG,) * COUNT, configure=configure, log=log) as bed:
            asking = []
            for number in range(COUNT):
                asking.append(asyncio.create_task(bed.ask("/read/", id=f"r{number}")))
                await asyncio.sleep(0.005)
            async with asyncio.timeout(PATIENCE / 2.0):
                await asyncio.gather(*asking)
            ends = [entry for entry in log.entries if isinstance(entry, RequestFailed)]
            assert len(ends) == COUNT
            assert {entry.code for entry in ends} == {DeadlineExceededError.code}
            assert min(entry.seconds for entry in ends) >= SECONDS - EARLY_END_SECONDS - 0.001

    asyncio.run(scenario())
