"""Requests that end without a complete answer are logged and counted, and no others are."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from azureswitch.exceptions import HttpBrokenError
from azureswitch.metrics import Metrics
from azureswitch.server import CloseReason, ConnectionClosed, HttpRequest
from tests.gateway.fixtures import (
    PATIENCE,
    Act,
    Bed,
    RecordingLog,
    model_headers,
    serve,
    usual_headers,
)

COUNTER = "azureswitch_requests_without_answer_total"

EVENTS = 5


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario to its end."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await scenario()

    asyncio.run(bounded())


def counted(metrics: Metrics) -> list[str]:
    """Return the counter's lines of the metrics page."""
    text = metrics.text()[0].decode()
    return [line for line in text.splitlines() if line.startswith(COUNTER)]


async def ask(bed: Bed) -> None:
    """Ask for a stream, which may be broken off."""
    with suppress(HttpBrokenError):
        await bed.ask("/ask/", headers=model_headers())


class TestRequestsWithoutAnswer:
    """The counter, and the lines that lead from it to a request."""

    @pytest.mark.parametrize(
        ("acts", "lines"),
        [
            ((), 0),
            ((Act.FAIL, Act.FAIL), 0),
            ((Act.BREAK,), 0),
            ((Act.BREAK, Act.BREAK), 1),
        ],
        ids=["answered", "failed before the answer", "resumed", "broken off twice"],
    )
    def test_broken_off(self, acts: tuple[Act, ...], lines: int) -> None:
        """An answer that was begun and is broken off is counted by its failure."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve(acts=acts, log=log) as bed:
                bed.fleet.events = EVENTS
                await ask(bed)
                await asyncio.sleep(0.05)
                found = counted(bed.metrics)
                assert len(found) == lines
                assert all('reason="retries_exhausted"' in line for line in found)
                assert "Request dropped." not in log.about("r1")

        run(scenario)

    @pytest.mark.parametrize(
        ("reason", "sentences"),
        [
            (CloseReason.CALLER, ["Request not served."]),
            (CloseReason.BROKEN_OFF, ["Request not served."]),
            (CloseReason.IDLE, ["Request not served.", "Request dropped."]),
            (CloseReason.STOP, ["Request not served.", "Request dropped."]),
            (CloseReason.FAULT, ["Request not served.", "Request dropped."]),
        ],
        ids=lambda value: value.value if isinstance(value, CloseReason) else "",
    )
    def test_closed(self, reason: CloseReason, sentences: list[str]) -> None:
        """A connection that this host closes names the requests that it leaves unanswered."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve(log=log) as bed:
                request = HttpRequest(
                    method="POST", target="/ask/", headers=usual_headers("r1"), body=b""
                )
                bed.gateway._handler.closed(
                    ConnectionClosed(reason=reason, unserved=(request,), unanswered=request)
                )
                assert log.about("r1") == sentences
                assert bool(counted(bed.metrics)) is (reason is not CloseReason.CALLER)

        run(scenario)

    def test_resumed(self) -> None:
        """A target that is waited for is logged as silent, and then as resumed."""

        async def scenario() -> None:
            log = RecordingLog()
            async with serve(acts=(Act.PAUSE,), log=log, count=1) as bed:
                bed.fleet.events, bed.fleet.silence = EVENTS, 1.6
                await ask(bed)
                told = [line for line in log.about("r1") if line.startswith("Target ")]
                assert told == ["Target silent.", "Target resumed."]

        run(scenario)
